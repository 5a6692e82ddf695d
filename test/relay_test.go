package test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relays carry the connections between hosts of different zones, one relay for each ordered pair of hosts. A host
// sends its messages over connections that it opened itself, so a cut relay cuts one direction.
type relays struct{ byPair map[[2]string]*relay }

func newRelays(hosts []host) *relays {
	r := &relays{byPair: map[[2]string]*relay{}}
	for _, from := range hosts {
		for _, to := range hosts {
			if from.zone != to.zone {
				r.byPair[[2]string{from.id, to.id}] = newRelay(from.zone, to.zone, to.peer)
			}
		}
	}
	return r
}

func (r *relays) address(from, to host) string {
	return r.byPair[[2]string{from.id, to.id}].listener.Addr().String()
}

// cut cuts or heals the direction from one zone to another; an empty zone means every zone.
func (r *relays) cut(from, to string, cut bool) {
	for _, x := range r.byPair {
		if (from == "" || x.from == from) && (to == "" || x.to == to) {
			x.set(cut)
		}
	}
}

// relay forwards connections to one address. While it is cut, connections stay open and their bytes are dropped, as when
// packets are lost.
type relay struct {
	from, to string // Zones.
	target   string
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	conns    map[net.Conn]bool
}

func newRelay(from, to, target string) *relay {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{from: from, to: to, target: target, listener: l, conns: map[net.Conn]bool{}}
	DeferCleanup(func() {
		l.Close()
		r.set(false) // Closes the connections of a relay that is cut.
		r.closeAll()
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *relay) serve(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		in.Close()
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	go r.copy(out, in)
	r.copy(in, out)
	r.mu.Lock()
	delete(r.conns, in)
	delete(r.conns, out)
	r.mu.Unlock()
}

// copy forwards bytes in one direction. If bytes arrive while the relay is cut, it drops them and all later bytes of the
// connection.
func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.cutNow() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) cutNow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCut
}

// set cuts or heals the relay. Healing closes all connections, because they may have lost bytes.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	healed := r.isCut && !cut
	r.isCut = cut
	r.mu.Unlock()
	if healed {
		r.closeAll()
	}
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}
