package capacity

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// traffic counts what passed through a relay. Bytes are those of the TCP streams: bodies and HTTP headers, without the
// headers of TCP and IP.
type traffic struct {
	Connections, Requests int
	Up, Down              int            // Bytes from and to the side that opened the connection.
	Bodies                int            // Bytes of the request bodies, part of Up.
	Messages              map[string]int // By kind.
	Payload               map[string]int // Bytes of messages, by kind.
	Undecoded             int            // Requests whose body could not be decoded.
}

// relay forwards connections to an address and counts their bytes and messages.
type relay struct {
	listener net.Listener
	target   string
	classify func(*http.Request, []byte) ([]message, error)
	mu       sync.Mutex
	count    traffic
	open     map[net.Conn]bool // Connections on both sides, closed with the relay.
}

func newRelay(target string, classify func(*http.Request, []byte) ([]message, error)) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "open relay")
	}
	r := &relay{listener: l, target: target, classify: classify, open: map[net.Conn]bool{},
		count: newTraffic()}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
}

// snapshot returns the counts so far.
func (r *relay) snapshot() traffic {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.count
	out.Messages, out.Payload = maps.Clone(out.Messages), maps.Clone(out.Payload)
	return out
}

func (r *relay) add(change func(*traffic)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.count)
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return // The relay is closed.
		}
		go r.serve(c)
	}
}

// balancer accepts connections and hands them to relays in turn (round robin).
type balancer struct {
	listener net.Listener
	relays   []*relay
}

func (b *balancer) address() string { return b.listener.Addr().String() }

func (b *balancer) accept() {
	for i := 0; ; i++ {
		c, err := b.listener.Accept()
		if err != nil {
			return // The balancer is closed.
		}
		go b.relays[i%len(b.relays)].serve(c)
	}
}

// track registers an open connection. The function that it returns closes the connection.
func (r *relay) track(c net.Conn) func() {
	r.mu.Lock()
	r.open[c] = true
	r.mu.Unlock()
	return func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.open, c)
		r.mu.Unlock()
	}
}

// serve relays one connection. Bytes are forwarded as they are read, and requests are decoded afterwards, so that the
// relay adds little delay.
func (r *relay) serve(client net.Conn) {
	defer r.track(client)()
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return // The host is down. The client sees a closed connection and tries again.
	}
	defer r.track(server)()
	r.add(func(t *traffic) { t.Connections++ })
	go func() {
		up := io.TeeReader(countingReader{client, func(n int) { r.add(func(t *traffic) { t.Up += n }) }}, server)
		r.read(bufio.NewReader(up))
		_ = server.Close()
	}()
	_, _ = io.Copy(client, countingReader{server, func(n int) { r.add(func(t *traffic) { t.Down += n }) }})
}

// read decodes the requests of a connection until it ends.
func (r *relay) read(in *bufio.Reader) {
	if start, err := in.Peek(len(preface)); err == nil && string(start) == preface {
		_, _ = in.Discard(len(preface)) // Cannot fail: these bytes are buffered since the Peek.
		r.readFrames(in)
		return
	}
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			_, _ = io.Copy(io.Discard, in)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		messages, err := r.classify(request, body)
		r.add(func(t *traffic) { t.addRequest(len(body), messages, err) })
	}
}

// readFrames decodes the requests of an HTTP/2 connection until it ends.
func (r *relay) readFrames(in io.Reader) {
	frames := newBodyReader(in)
	for {
		body, err := frames.next()
		if err != nil {
			return
		}
		messages, err := r.classify(nil, body)
		r.add(func(t *traffic) { t.addRequest(len(body), messages, err) })
	}
}

// addRequest counts a request with the length of its body and its messages. The error is that of decoding the body.
func (t *traffic) addRequest(body int, messages []message, err error) {
	t.Requests++
	t.Bodies += body
	if err != nil {
		t.Undecoded++
	}
	for _, m := range messages {
		t.Messages[m.Kind]++
		t.Payload[m.Kind] += m.Bytes
	}
}

// since returns what was counted since the earlier snapshot s.
func (t traffic) since(s traffic) traffic {
	out := traffic{Connections: t.Connections - s.Connections, Requests: t.Requests - s.Requests, Up: t.Up - s.Up,
		Down: t.Down - s.Down, Bodies: t.Bodies - s.Bodies, Undecoded: t.Undecoded - s.Undecoded,
		Messages: map[string]int{}, Payload: map[string]int{}}
	for k, n := range t.Messages {
		out.Messages[k] = n - s.Messages[k]
		out.Payload[k] = t.Payload[k] - s.Payload[k]
	}
	return out
}

// merge adds the counts of another relay.
func (t *traffic) merge(o traffic) {
	t.Connections += o.Connections
	t.Requests += o.Requests
	t.Up += o.Up
	t.Down += o.Down
	t.Bodies += o.Bodies
	t.Undecoded += o.Undecoded
	for k, n := range o.Messages {
		t.Messages[k] += n
		t.Payload[k] += o.Payload[k]
	}
}

func newTraffic() traffic { return traffic{Messages: map[string]int{}, Payload: map[string]int{}} }

// countingReader passes the number of bytes of each read to a function.
type countingReader struct {
	io.Reader
	count func(int)
}

// Read implements io.Reader.
func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if n > 0 {
		c.count(n)
	}
	return n, err
}

// classifyPeer classifies a request between hosts.
func classifyPeer(_ *http.Request, body []byte) ([]message, error) { return classifyBatch(body) }

// classifyEndpoint classifies a request of an endpoint: its kind is the path.
func classifyEndpoint(r *http.Request, body []byte) ([]message, error) {
	if r == nil {
		// Of an HTTP/2 request; its headers are not decoded, so the path is not known.
		return []message{{Kind: kindOther, Bytes: len(body)}}, nil
	}
	return []message{{Kind: r.URL.Path, Bytes: len(body)}}, nil
}
