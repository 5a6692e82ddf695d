package harness

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is what lies between the entry hosts and the core hosts. Once it is armed, all connections that are open go silent
// for good right after the next call of a client has been passed on, while new connections work.
type Link struct {
	mu     sync.Mutex
	armed  bool
	silent time.Time // Connections that were accepted before are silent.
}

// callPath is in the first bytes of a call of a client that an entry host passes on.
const callPath = "/Call HTTP/1.1"

// ProxyPeers puts a proxy between the entry hosts and each core host, and tells the entry hosts the addresses of the
// proxies as seeds. It must be called before the entry hosts are started.
func (d *Deployment) ProxyPeers() (*Link, error) {
	link := &Link{}
	var seeds []string
	for i, h := range d.Cores {
		ip := d.IP(5, i+1)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, peerPort))
		if err != nil {
			return nil, err
		}
		go link.serve(l, fmt.Sprintf("%s:%d", h.IP, peerPort))
		seeds = append(seeds, ip)
	}
	for _, h := range d.Entries {
		if err := h.UseSeeds(seeds); err != nil {
			return nil, err
		}
	}
	return link, nil
}

// Arm makes the connections that are open go silent after the next call.
func (l *Link) Arm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = true
}

func (l *Link) isSilent(accepted time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return accepted.Before(l.silent)
}

// passed notes that bytes were passed on to a core host.
func (l *Link) passed(bytesPassed []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.armed && bytes.Contains(bytesPassed, []byte(callPath)) {
		l.armed, l.silent = false, time.Now()
	}
}

func (l *Link) serve(listener net.Listener, target string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c, target, time.Now())
	}
}

func (l *Link) forward(c net.Conn, target string, accepted time.Time) {
	defer c.Close()
	server, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn, calls bool) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if l.isSilent(accepted) {
				continue
			}
			if calls {
				l.passed(buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go pass(server, c, true)
	go pass(c, server, false)
	<-done
}
