package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// Bounds of incoming connections.
const (
	maxHeaderBytes  = 16 << 10
	idleTimeout     = 2 * time.Minute
	replyTimeout    = httpapi.MaxWait + 30*time.Second // From the end of the header to the end of the reply.
	shutdownTimeout = 5 * time.Second                  // For writing the last replies after the core has halted.
)

// listenerPlan describes what one listen address serves.
type listenerPlan struct {
	address    string
	interfaces httpapi.Interfaces
	peers      bool // Serves the messages of other hosts.
}

// planListeners returns the listeners of a host. Interfaces with the same address share a listener.
func planListeners(s *Settings) []*listenerPlan {
	var out []*listenerPlan
	at := func(address string) *listenerPlan {
		i := slices.IndexFunc(out, func(l *listenerPlan) bool { return l.address == address })
		if i < 0 {
			out = append(out, &listenerPlan{address: address})
			i = len(out) - 1
		}
		return out[i]
	}
	at(s.PeerListen).peers = true
	at(s.CallerListen).interfaces.Callers = true
	at(s.OperatorListen).interfaces.Operators = true
	at(s.EndpointListen).interfaces.Endpoints = true
	return out
}

// servers holds the HTTP servers of the process and their listeners, in the same order.
type servers struct {
	httpServers []*http.Server
	listeners   []net.Listener
}

// listen opens all listeners. If one fails, it closes the others.
func listen(s *Settings, c *certs, api *httpapi.API, peers http.Handler, logger logr.Logger) (*servers, error) {
	out := &servers{}
	for _, l := range planListeners(s) {
		inner, err := net.Listen("tcp", l.address)
		if err != nil {
			out.closeAll()
			return nil, eris.Wrapf(err, "listening on %s", l.address)
		}
		listener := net.Listener(newLimitListener(inner, s.MaxConnections))
		if s.TLS.Enabled() {
			listener = tls.NewListener(listener, c.serverConfig(l.peers))
		}
		extra := map[string]http.Handler{}
		if l.peers {
			extra[rpc.PeerPathPrefix] = peers
		}
		out.listeners = append(out.listeners, listener)
		out.httpServers = append(out.httpServers, &http.Server{
			Handler:           api.Handler(l.interfaces, extra),
			ReadHeaderTimeout: s.ReadTimeout,
			WriteTimeout:      replyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			Protocols:         protocols(l.peers),
			ErrorLog:          serverLog(logger),
		})
		logger.Info("listening", "event", "listening", "address", inner.Addr().String(), "tls", s.TLS.Enabled(), "peers", l.peers,
			"callers", l.interfaces.Callers, "operators", l.interfaces.Operators, "endpoints", l.interfaces.Endpoints)
	}
	return out, nil
}

// protocols returns the protocols of a listener. Hosts call each other by HTTP/2 if they use no TLS.
func protocols(peers bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(peers)
	return p
}

// serverLog passes messages of net/http, such as failed handshakes, to the log.
func serverLog(logger logr.Logger) *log.Logger {
	h := logr.ToSlogHandler(logger).WithAttrs([]slog.Attr{slog.String("event", "http_server")})
	return slog.NewLogLogger(h, slog.LevelInfo)
}

func (s *servers) closeAll() {
	for _, l := range s.listeners {
		_ = l.Close() // The error does not matter, because the process ends.
	}
}

// serve runs the HTTP servers until ctx ends or shutdown is called.
func (s *servers) serve(ctx context.Context, g *errgroup.Group) {
	for i, server := range s.httpServers {
		g.Go(func() error {
			err := server.Serve(s.listeners[i])
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return eris.Wrap(err, "serving")
		})
		g.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
}

// shutdown stops accepting connections and waits, for at most shutdownTimeout, until the requests in flight are
// answered.
func (s *servers) shutdown() {
	ctx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	var g sync.WaitGroup
	for _, server := range s.httpServers {
		g.Go(func() { _ = server.Shutdown(ctx) }) // Connections still open after the timeout end with the process.
	}
	g.Wait()
}

// limitListener bounds the number of open connections. Further ones wait in the accept queue of the operating system.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, n int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn gives its slot back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
