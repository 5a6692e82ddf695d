package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// links forwards the connections between machines to the core machines' ports for other machines, and cuts a machine off
// from the core like a network that drops packets: what was sent on an open connection stays in the network until the cut
// has healed, unless the sender resets the connection; connections that are opened during the cut do not come about.
type links struct {
	cluster *cluster

	mu     sync.Mutex
	cutOff string        // Name of the machine that is cut off from the core, empty for none.
	healed chan struct{} // Closed when the cut heals.
}

// forward listens on the address of core machine i and forwards to its process.
func (n *links) forward(i int) error {
	l, err := net.Listen("tcp4", n.cluster.address(netCore, i, portPeers))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // The case is over.
			}
			go n.serve(c.(*net.TCPConn), i)
		}
	}()
	return nil
}

func coreName(i int) string { return fmt.Sprintf("core-%d", i+1) }

// cut cuts a core machine off from the other core machines, or an entry machine from all core machines.
func (n *links) cut(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff, n.healed = name, make(chan struct{})
}

func (n *links) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = ""
	close(n.healed)
}

// held returns a channel that is closed when packets between two machines pass again, nil if they pass now.
func (n *links) held(from, to string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	apart := strings.HasPrefix(from, "core") && strings.HasPrefix(to, "core") || strings.HasPrefix(n.cutOff, "entry")
	if n.cutOff != "" && apart && (from == n.cutOff || to == n.cutOff) {
		return n.healed
	}
	return nil
}

// serve forwards one connection.
func (n *links) serve(in *net.TCPConn, i int) {
	defer in.Close()
	from, to := n.cluster.owner(in.RemoteAddr().(*net.TCPAddr).Port), coreName(i)
	if from == "" {
		return // The process that has opened it has ended.
	}
	if healed := n.held(from, to); healed != nil {
		<-healed
		return
	}
	c, err := net.DialTimeout("tcp4", n.cluster.address(netProcess, i, portPeers), time.Second)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	done := make(chan struct{}, 2)
	go func() { n.copy(out, in, from, to); done <- struct{}{} }()
	go func() { n.copy(in, out, to, from); done <- struct{}{} }()
	<-done
	<-done
}

// copy forwards one direction of a connection.
func (n *links) copy(to, from *net.TCPConn, sender, receiver string) {
	buffer := make([]byte, 64<<10)
	for {
		k, err := from.Read(buffer)
		var later []byte
		if healed := n.held(sender, receiver); healed != nil {
			// Takes what else is sent, to learn whether the sender resets the connection, and waits for the end of the cut.
			later = append(later, buffer[:k]...)
			for err == nil {
				_ = from.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				k, err = from.Read(buffer)
				later = append(later, buffer[:k]...)
				select {
				case <-healed:
					if errors.Is(err, os.ErrDeadlineExceeded) {
						goto over
					}
				default:
				}
				if errors.Is(err, os.ErrDeadlineExceeded) {
					err = nil
				}
			}
		over:
			<-healed
			_ = from.SetReadDeadline(time.Time{})
			if errors.Is(err, os.ErrDeadlineExceeded) {
				err = nil
			}
			if errors.Is(err, syscall.ECONNRESET) {
				_ = to.SetLinger(0) // The reset arrives, and what was held up is lost.
				_ = to.Close()
				return
			}
		} else {
			later = buffer[:k]
		}
		if len(later) > 0 {
			if _, werr := to.Write(later); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				_ = to.SetLinger(0)
				_ = to.Close()
			} else {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// owner returns the name of the process that has the local end of a connection at a port, empty if there is none.
func (c *cluster) owner(port int) string {
	inode := ""
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 {
			continue
		}
		_, hex, _ := strings.Cut(fields[1], ":")
		_, remote, _ := strings.Cut(fields[2], ":")
		local, err := strconv.ParseInt(hex, 16, 32)
		peer, perr := strconv.ParseInt(remote, 16, 32)
		if err == nil && perr == nil && int(local) == port && peer == portPeers {
			inode = fields[9]
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.cmd == nil {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
		entries, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if target, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && target == "socket:["+inode+"]" {
				return p.name
			}
		}
	}
	return ""
}
