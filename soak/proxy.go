package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Fault is how a proxy disturbs the connections through it.
type Fault int

// Kinds of faults.
const (
	Pass       Fault = iota
	Silent           // Bytes are held back in both directions, and connections stay open.
	OneWay           // Bytes to the server pass, bytes from it are held back.
	Reset            // Open and new connections are reset.
	Delayed          // Each block of bytes is forwarded after delay.
	faultCount       // Number of faults.
)

var faultNames = [...]string{"pass", "silent", "one_way", "reset", "delayed"}

// String returns the name of the fault for logs.
func (f Fault) String() string { return faultNames[f] }

// delay is how long a Delayed proxy holds back each block of bytes: longer than the heartbeat period between hosts,
// shorter than an election timeout.
const delay = 150 * time.Millisecond

// Proxy forwards connections to a server and injects faults into them.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   Fault
	only    int           // Process whose connections the fault disturbs; 0 for all.
	changed chan struct{} // Closed when the fault changes.
	conns   map[net.Conn]bool
	closed  bool
}

// NewProxy listens on an address and forwards to a target.
func NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// SetFault changes the fault for open and new connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.only = f, 0
	close(p.changed)
	p.changed = make(chan struct{})
	if f == Reset {
		p.resetAll()
	}
}

// SetSilentFor holds back the bytes of the connections that a process has opened.
func (p *Proxy) SetSilentFor(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.only = Silent, pid
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // Fails only if it is closed already.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
}

// resetAll resets all connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Close then resets the connection. It may be closed already.
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// track adds a connection to those that resetAll resets. It returns false if the connection must be closed at once.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(client net.Conn) {
	defer client.Close()
	if !p.track(client) {
		return
	}
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	if !p.track(server) {
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, client, false); done <- struct{}{} }()
	go func() { p.copy(client, server, client, true); done <- struct{}{} }()
	<-done
}

// copy forwards bytes in one direction; fromServer tells which.
func (p *Proxy) copy(to io.Writer, from io.Reader, client net.Conn, fromServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitWhileHeld(client, fromServer)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitWhileHeld waits as long as the fault holds back bytes of a direction.
func (p *Proxy) waitWhileHeld(client net.Conn, fromServer bool) {
	for {
		p.mu.Lock()
		fault, only, changed, closed := p.fault, p.only, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed || (only != 0 && !openedBy(only, client)):
			return
		case fault == Delayed:
			time.Sleep(delay)
			return
		case fault == Silent || (fault == OneWay && fromServer):
			<-changed
		default:
			return
		}
	}
}

// openedBy tells whether a process has opened a loopback connection, of which this is the end of the server.
func openedBy(pid int, conn net.Conn) bool {
	a, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	ip := a.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	open, err := os.ReadDir(folder)
	if err != nil {
		return false // The process has ended, and its connections with it.
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1] != local {
			continue
		}
		for _, f := range open {
			if link, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && link == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}
