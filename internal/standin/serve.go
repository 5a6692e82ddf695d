package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
)

// Paths of a Server that inject faults while it runs. All are POST.
const (
	PathFaults  = "/faults" // Body: Faults.
	PathLeave   = "/leave"
	PathVanish  = "/vanish"
	PathRestart = "/restart" // Body: the new incarnation, as text.
)

const (
	tickPeriod    = 10 * time.Millisecond
	maxBody       = 2 << 20 // Bytes; more than twice the largest request body in base64.
	clientTimeout = ReportTimeout - 500*time.Millisecond
)

// Server runs one Endpoint as a process: it serves calls over HTTP and sends reports to hosts.
type Server struct {
	Endpoint *Endpoint
	Listener net.Listener
	Hosts    []string // host:port of each entry host of the zone, tried in turn.
	Tokens   []string // Bearer tokens: the first is sent, any is accepted; empty for none.
	History  io.Writer
	Log      logr.Logger
	Client   *http.Client

	mu        sync.Mutex
	hostIndex int // Counts up at each failure; the current host is Hosts[hostIndex%len(Hosts)].
	start     time.Time
}

// Serve runs until the context ends or the endpoint has left. It returns the errors of the listener.
func (s *Server) Serve(ctx context.Context) error {
	s.start = time.Now()
	if s.Client == nil {
		s.Client = &http.Client{Timeout: clientTimeout}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error {
		if err := server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve endpoint")
		}
		return nil
	})
	group.Go(func() error {
		defer cancel()
		defer server.Close()
		s.tick(ctx, group)
		return nil
	})
	return group.Wait()
}

// tick calls Tick of the endpoint periodically until the context ends or the endpoint has left.
func (s *Server) tick(ctx context.Context, group *errgroup.Group) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		actions := s.Endpoint.Tick(s.now())
		left := s.Endpoint.Left()
		s.mu.Unlock()
		for _, a := range actions {
			s.perform(ctx, group, a)
		}
		if left {
			return
		}
	}
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

func (s *Server) perform(ctx context.Context, group *errgroup.Group, a Action) {
	if a.Event != nil {
		a.Event.Time += s.start.UnixNano()
		s.writeEvent(a.Event)
		return
	}
	group.Go(func() error {
		reply := s.report(ctx, a.Report)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Endpoint.HandleReply(s.now(), reply)
		return nil
	})
}

func (s *Server) writeEvent(v any) {
	if s.History == nil {
		return
	}
	if err := json.NewEncoder(s.History).Encode(v); err != nil {
		s.Log.Error(err, "history not written")
	}
}

// report sends one report to the current host. If that fails, later reports go to the next host.
func (s *Server) report(ctx context.Context, r *Report) ReportReply {
	reply := ReportReply{ID: r.ID}
	var path string
	var body any
	var into any
	switch {
	case r.Announcement != nil:
		path, body = endpoint.PathAnnounce, r.Announcement
	case r.Heartbeat != nil:
		path, body = endpoint.PathHeartbeat, r.Heartbeat
	case r.Leaving != nil:
		path, body = endpoint.PathLeaving, r.Leaving
	case r.Result != nil:
		path, body = endpoint.PathResult, r.Result
	}
	if r.Announcement != nil || r.Heartbeat != nil {
		into = &reply.HeartbeatReply
	} else {
		into = &reply.Ack
	}
	host, address := s.currentHost()
	if err := s.post(ctx, "http://"+address+path, body, into); err != nil {
		s.Log.V(1).Info("report failed", "path", path, "host", address, "cause", err.Error())
		s.nextHost(host)
		return ReportReply{ID: r.ID}
	}
	return reply
}

func (s *Server) currentHost() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostIndex, s.Hosts[s.hostIndex%len(s.Hosts)]
}

func (s *Server) nextHost(failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hostIndex == failed {
		s.hostIndex++
	}
}

func (s *Server) post(ctx context.Context, url string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "build report")
	}
	request.Header.Set("Content-Type", "application/json")
	if len(s.Tokens) > 0 {
		request.Header.Set("Authorization", "Bearer "+s.Tokens[0])
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return eris.Wrap(err, "send report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", response.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(into), "decode reply")
}

// Handler serves the calls of the protocol, and the paths that inject faults.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	ops := map[string]endpoint.Op{
		endpoint.PathReserve: endpoint.OpReserve, endpoint.PathStart: endpoint.OpStart,
		endpoint.PathStop: endpoint.OpStop, endpoint.PathCheckpoint: endpoint.OpCheckpoint,
		endpoint.PathThrottle: endpoint.OpThrottle, endpoint.PathStatus: endpoint.OpStatus,
	}
	for path, op := range ops {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { s.call(w, r, op) })
	}
	mux.HandleFunc("POST "+PathFaults, s.setFaults)
	mux.HandleFunc("POST "+PathLeave, func(http.ResponseWriter, *http.Request) { s.Leave() })
	mux.HandleFunc("POST "+PathVanish, func(http.ResponseWriter, *http.Request) {
		s.withLock(func() { s.Endpoint.Vanish(s.now()) })
	})
	mux.HandleFunc("POST "+PathRestart, s.restart)
	return s.authenticated(mux)
}

func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(s.Tokens) > 0 && !slices.Contains(s.Tokens, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Leave makes the endpoint give notice that it leaves. Serve returns once the endpoint has left.
func (s *Server) Leave() { s.withLock(s.Endpoint.Leave) }

func (s *Server) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.withLock(func() { s.Endpoint.SetFaults(f) })
}

func (s *Server) restart(w http.ResponseWriter, r *http.Request) {
	incarnation, err := io.ReadAll(io.LimitReader(r.Body, 64))
	if err != nil || len(incarnation) == 0 {
		http.Error(w, "the body must be the new incarnation", http.StatusBadRequest)
		return
	}
	s.withLock(func() { s.Endpoint.Restart(s.now(), string(incarnation)) })
}

// call passes one call to the endpoint. The reply to a refused call has status 409. A silent endpoint closes the
// connection without a reply.
func (s *Server) call(w http.ResponseWriter, r *http.Request, op endpoint.Op) {
	var c endpoint.Call
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Op = op
	s.mu.Lock()
	reply := s.Endpoint.Handle(s.now(), c)
	delay := s.Endpoint.ReplyDelay()
	s.mu.Unlock()
	if reply.Code == CodeSilent {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !reply.OK {
		w.WriteHeader(http.StatusConflict)
	}
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		s.Log.V(1).Info("reply not sent", "cause", err.Error())
	}
}
