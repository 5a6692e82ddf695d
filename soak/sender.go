package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Numbers and periods of the senders of malformed input.
const (
	senderStart   = 3 * time.Second         // Jobs are accepted before.
	senders       = 4                       // Each with connections of its own.
	senderPeriod  = 25 * time.Millisecond   // Between two calls of one sender.
	senderTimeout = 1500 * time.Millisecond // Longer than an operator or a worker waits.
)

// sender sends malformed input to all hosts. No host may end by it, take it for what it is not, or do less for others.
type sender struct {
	run    *run
	random *rand.Rand
	client *http.Client
	trap   string // Address that the reports name: only a host that takes one for a worker calls it.
}

// sendMalformed sends malformed input until ctx ends.
func (r *run) sendMalformed(ctx context.Context) error {
	l, err := net.Listen("tcp4", r.ip(workerNetwork, 250)+":0")
	if err != nil {
		return err
	}
	defer l.Close()
	go r.checks.watchTrap(l)
	time.Sleep(senderStart)
	var g errgroup.Group
	for i := range senders {
		s := &sender{
			run: r, random: rand.New(rand.NewPCG(r.options.Seed, uint64(2_000+i))), trap: l.Addr().String(),
			client: &http.Client{Timeout: senderTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}},
		}
		g.Go(func() error {
			for ctx.Err() == nil {
				s.sendOne()
				time.Sleep(senderPeriod)
			}
			s.client.CloseIdleConnections()
			return nil
		})
	}
	return g.Wait()
}

// watchTrap adds a violation for each connection to the address that malformed reports name.
func (c *checker) watchTrap(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // The listener is closed at the end of the run.
		}
		_ = conn.SetReadDeadline(time.Now().Add(senderTimeout)) // Fails if the connection is closed; then the read fails too.
		line := make([]byte, 64)
		n, _ := io.ReadAtLeast(conn, line, 1)
		_ = conn.Close() // Nobody waits for an answer.
		c.addViolation("FOREIGN a worker was called that only a malformed report names: %q", line[:n])
	}
}

// pick returns one element of a list.
func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// sendOne sends one piece of malformed input to a host.
func (s *sender) sendOne() {
	core, entry := pick(s.random, s.run.cores), pick(s.random, s.run.entries)
	control, front := net.JoinHostPort(core.proxyIP, fmt.Sprint(s.run.ports.control)), net.JoinHostPort(entry.proxyIP, fmt.Sprint(s.run.ports.front))
	odd := pick(s.random, oddNames)
	switch s.random.IntN(10) {
	case 0, 1:
		s.refused("a malformed configuration", control, http.MethodPut, "/config", badConfig(s.random))
	case 2, 3:
		s.refused("a malformed report", control, http.MethodPut, fmt.Sprintf("/instances/i-bad-%d", s.random.IntN(20)), badReport(s.random, s.trap))
	case 4:
		if s.random.IntN(2) == 0 {
			worker := pick(s.random, s.run.workers).current().Incarnation()
			s.refused("a malformed departure", control, http.MethodDelete, "/instances/"+worker.ID, spoil(s.random, fmt.Appendf(nil, `{"born":%d}`, worker.BornMS)))
			return
		}
		s.call(control, pick(s.random, []string{http.MethodPut, http.MethodDelete}), "/instances/"+odd, nil, oddReport(s.random, net.JoinHostPort(core.listenIP, "1")))
	case 5:
		path := fmt.Sprintf("/p/%016x", 0xbad<<48|s.random.Uint64N(1<<40))
		if s.random.IntN(20) == 0 {
			s.call(front, http.MethodPost, path, map[string]string{"Host": hostName, "Api-Key": apiKey}, farJob(s.random))
			return
		}
		s.refused("a malformed job", front, http.MethodPost, path, badJob(s.random))
	case 6:
		header := map[string]string{"Api-Key": pick(s.random, oddTexts), "Request-Id": pick(s.random, oddTexts), "X-Request-Deadline": pick(s.random, oddTexts), "Host": pick(s.random, []string{hostName, "\xff", "a:b:c", ""})}
		s.call(front, pick(s.random, []string{http.MethodGet, http.MethodDelete, http.MethodPost, "PATCH"}), "/p/"+odd, header, badJob(s.random))
	case 7:
		if s.random.IntN(2) == 0 {
			s.refused("a malformed wave", control, http.MethodPost, "/wave-start", badWave(s.random))
			return
		}
		s.call(control, pick(s.random, []string{http.MethodPost, http.MethodDelete, http.MethodGet}), pick(s.random, []string{"/evacuate/", "/wave-get/"})+odd, nil, nil)
	case 8:
		path, message := badMessage(s.random)
		header := map[string]string{"Content-Type": pick(s.random, []string{"application/protobuf", "application/json", "\xff"})}
		s.call(net.JoinHostPort(core.proxyIP, fmt.Sprint(s.run.ports.peers)), http.MethodPost, "/twirp/mustardwalk.rpc."+path, header, message)
	case 9:
		s.sendBytes(pick(s.random, []string{control, front, net.JoinHostPort(core.proxyIP, fmt.Sprint(s.run.ports.peers)),
			net.JoinHostPort(entry.listenIP, fmt.Sprint(s.run.ports.ready))}))
	}
}

// refused sends input that must get an answer with a 4xx status, if it gets any answer but that of a host that cannot decide.
func (s *sender) refused(what, address, method, path string, body []byte) {
	header := map[string]string{"Host": hostName, "Api-Key": apiKey}
	if status, _ := s.call(address, method, path, header, body); status != 0 && status < 500 && status/100 != 4 {
		s.run.checks.addViolation("INVALID %s was answered with status %d: %s %s %.1500q", what, status, method, path, body)
	}
}

// call makes a call and returns the status, 0 for no answer, and the body of the answer. The path is sent as it is.
func (s *sender) call(address, method, path string, header map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), senderTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is one of the run.
	}
	r.URL = &url.URL{Scheme: "http", Host: address, Opaque: path}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	r.Host = header["Host"]
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// sendBytes sends bytes that are no request of HTTP, or a part of one.
func (s *sender) sendBytes(address string) {
	conn, err := net.DialTimeout("tcp4", address, senderTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	data := []byte(pick(s.random, []string{
		"", "\x16\x03\x01\x02\x00\x01", "GET /p/1 HTTP/9.9\r\n\r\n", "PUT /config HTTP/1.1\r\nHost: \xff\r\nContent-Length: -1\r\n\r\n",
		"PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{", "POST /p/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n{",
		"DELETE /instances/i-0-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04",
	}))
	for range s.random.IntN(64) {
		data = append(data, byte(s.random.IntN(256)))
	}
	_ = conn.SetDeadline(time.Now().Add(senderTimeout)) // Fails if the connection is closed; then the write fails too.
	if _, err := conn.Write(data); err == nil {
		_, _ = conn.Read(make([]byte, 512)) // Any answer, or none, will do.
	}
}

// checkConfig waits until each core host answers with the same configuration, which must not be older than the last that was
// acknowledged, and until each entry host serves its routes.
func (c *checker) checkConfig(limit time.Duration) {
	newest := int64(0)
	for _, a := range c.acked {
		newest = max(newest, a.version)
	}
	deadline := time.Now().Add(limit)
	var last string
	for ok := false; !ok; time.Sleep(statePeriod) {
		if time.Now().After(deadline) {
			c.addViolation("CONFIG version %d or a later one is not in force and read back %v after the faults: %s", newest, limit, last)
			return
		}
		ok, last = c.configInForce(newest)
	}
}

// checkLogs adds a violation for each host of which a call caused a panic, which its server or a handler has recovered.
func (c *checker) checkLogs() {
	for _, p := range append(slices.Clone(c.parent.cores), c.parent.entries...) {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			c.addViolation("the log of %s was not read: %v", p.name, err)
		}
		if i := bytes.Index(data, []byte("panic")); i >= 0 {
			c.addViolation("PANIC in %s: %.600q", p.name, data[i:])
		}
	}
}

// configInForce tells whether a configuration that is at least as new is read back and in force, and what was seen.
func (c *checker) configInForce(newest int64) (bool, string) {
	s := &sender{run: c.parent, client: http.DefaultClient}
	var first []byte
	for i, address := range c.parent.controlAddresses() {
		status, data := s.call(address, http.MethodGet, "/config", nil, nil)
		if status != http.StatusOK {
			return false, fmt.Sprintf("host %d answers with status %d", i, status)
		}
		if i == 0 {
			first = data
		} else if !bytes.Equal(first, data) {
			return false, fmt.Sprintf("hosts 0 and %d answer with different configurations", i)
		}
	}
	for version := newest; version < newest+operators*2; version++ {
		if !bytes.Equal(first, configBody(version)) {
			continue
		}
		for i, address := range c.parent.frontAddresses() {
			for _, q := range append(slices.Clone(queues), extraQueue(version)) {
				status, _ := s.call(address, http.MethodGet, q.Prefix, map[string]string{"Host": hostName, "Api-Key": apiKey}, nil)
				if status != http.StatusOK {
					return false, fmt.Sprintf("entry host %d answers with status %d to a query of %s", i, status, q.Prefix)
				}
			}
		}
		return true, ""
	}
	return false, fmt.Sprintf("read back: %.200q", first)
}
