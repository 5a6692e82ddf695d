package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// flushTimeout bounds the time for sending the last messages to the other hosts after a planned stop.
const flushTimeout = 500 * time.Millisecond

// endTimeout bounds the wait for all goroutines to end, after which the process exits regardless.
const endTimeout = 2 * time.Second

var errSecondSignal = errors.New("ended by a second signal")

// Main runs a command line and returns the exit code of the process. Signals delivers requests to stop: the first one
// begins a planned stop, the second one ends the process at once.
func Main(args []string, stderr io.Writer, parts Parts, signals <-chan os.Signal) int {
	c, done, err := parseCommandLine(args, stderr)
	if done && len(args) > 0 {
		return exitOK
	}
	if done { // No command: the usage is printed.
		return exitSettings
	}
	if err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitSettings
	}
	checks := checkRun
	if c.name == commandInitialize {
		checks = checkInitialize
	}
	s, findings := checks(c.raw)
	for _, f := range findings {
		fmt.Fprintln(stderr, f)
	}
	if hasErrors(findings) {
		return exitSettings
	}
	log := NewLog(stderr, s.LogLevel)
	if c.name == commandInitialize {
		err = initialize(s, parts, log)
	} else {
		err = Run(s, parts, log, signals)
	}
	if err != nil {
		log.Error(err, "stopped", "event", "exit")
		return exitFailed
	}
	return exitOK
}

// initialize prepares the data folder of a founding host by writing the founding incarnation. It refuses a folder that
// holds state: a host that has lost log entries which it acknowledged must not count as a founding member.
func initialize(s *Settings, parts Parts, log logr.Logger) error {
	store, state, err := parts.OpenStore(s.DataFolder)
	if err != nil {
		return eris.Wrap(err, "opening the data folder")
	}
	if state.Incarnation != 0 || len(state.Groups) > 0 {
		return errors.Join(eris.Errorf("%s holds state already", s.DataFolder), store.Close())
	}
	if err := store.WriteIdentity(replica.FoundingIncarnation); err != nil {
		return errors.Join(eris.Wrap(err, "writing the incarnation"), store.Close())
	}
	log.Info("data folder initialized", "event", "initialized", "data_folder", s.DataFolder)
	return store.Close()
}

// daemon is a running host.
type daemon struct {
	settings    *Settings
	log         logr.Logger
	start       time.Time
	incarnation uint64
	store       Store // Nil without a data folder.
	metrics     *metrics
	loop        *loop
	backend     *backend
	servers     *servers
	aborted     chan struct{} // Closed by a second signal.
}

// Run runs a host until it stops. It returns nil after a planned stop.
func Run(settings *Settings, parts Parts, log logr.Logger, signals <-chan os.Signal) error {
	d := &daemon{settings: settings, log: log, start: time.Now(), metrics: newMetrics(), aborted: make(chan struct{})}
	state, err := d.openStore(parts)
	if err != nil {
		return err
	}
	if err := d.runWithState(parts, state, signals); err != nil {
		return err
	}
	log.Info("stopped as planned", "event", "stopped")
	return nil
}

// runWithState builds the host from the state of its data folder and runs it.
func (d *daemon) runWithState(parts Parts, state *StoredState, signals <-chan os.Signal) error {
	events, err := newEventRecorder(d.settings.Self.ID, d.settings.HistoryFile, d.log)
	if err != nil {
		return err
	}
	defer func() { _ = events.close() }() // Nothing is buffered, so a failed close loses no line.
	core := parts.NewCore(d.nodeSettings(), state.Groups, 0)
	d.loop = newLoop(core, d.start, d.log, d.metrics)
	d.backend = &backend{loop: d.loop, waiters: newWaiters(), dump: d.dump}
	c, err := loadCerts(d.settings.TLS, d.log)
	if err != nil {
		return err
	}
	d.servers, err = listen(d.settings, c, d.api(), d.peerHandler(), d.log)
	if err != nil {
		return err
	}
	d.logStart()
	return d.run(c, events, signals)
}

// openStore opens the data folder, if there is one, and sets the incarnation of this host. A fresh data folder and a
// host without one get a new incarnation.
func (d *daemon) openStore(parts Parts) (*StoredState, error) {
	if d.settings.DataFolder == "" {
		d.incarnation = newIncarnation()
		return &StoredState{}, nil
	}
	store, state, err := parts.OpenStore(d.settings.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "opening the data folder")
	}
	d.store, d.incarnation = store, state.Incarnation
	if d.incarnation != 0 {
		return state, nil
	}
	d.log.Info("the data folder is empty: this host joins as a new member", "event", "fresh_folder", "data_folder", d.settings.DataFolder)
	d.incarnation = newIncarnation()
	if err := store.WriteIdentity(d.incarnation); err != nil {
		return nil, errors.Join(eris.Wrap(err, "writing the incarnation"), store.Close())
	}
	return state, nil
}

// newIncarnation returns a random number that is neither 0, which means none, nor the founding incarnation.
func newIncarnation() uint64 {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // Never fails, see crypto/rand.
		n := binary.LittleEndian.Uint64(b[:])
		if n > replica.FoundingIncarnation {
			return n
		}
	}
}

func (d *daemon) nodeSettings() node.Settings {
	return node.Settings{
		Self:            d.settings.Self,
		Peers:           d.settings.Peers,
		Incarnation:     d.incarnation,
		Replica:         d.settings.Replica,
		Cell:            d.settings.Cell,
		Random:          mathrand.Int64N,
		SnapshotEntries: d.settings.SnapshotEntries,
	}
}

func (d *daemon) api() *httpapi.API {
	return httpapi.New(httpapi.Options{
		Backend:        d.backend,
		Observer:       d.metrics,
		Metrics:        d.metrics.handler(),
		Log:            d.log,
		OperatorTokens: d.settings.OperatorTokens,
		EndpointTokens: d.settings.EndpointTokens,
		MaxBodyBytes:   d.settings.MaxBodyBytes,
		ReadTimeout:    d.settings.ReadTimeout,
	})
}

// logStart logs the identity of the host, and whether its connections are encrypted.
func (d *daemon) logStart() {
	d.log.Info("started", "event", "started", "host", d.settings.Self.ID, "zone", d.settings.Self.Zone, "region", d.settings.Self.Region,
		"peers", len(d.settings.Peers), "incarnation", d.incarnation, "data_folder", d.settings.DataFolder)
	if !d.settings.TLS.Enabled() {
		d.log.Info("connections are not encrypted: no TLS files are given", "event", "no_tls")
	}
}

// run starts all goroutines and waits for their end.
func (d *daemon) run(c *certs, events *eventRecorder, signals <-chan os.Signal) error {
	g, ctx := errgroup.WithContext(context.Background())
	d.buildOutputHandlers(ctx, g, c, events)
	d.servers.serve(ctx, g)
	g.Go(func() error { return d.watchSignals(ctx, signals) })
	g.Go(func() error {
		err := d.loop.run(ctx)
		if errors.Is(err, errHalted) {
			d.finishStop()
		}
		return err
	})
	err := d.wait(ctx, g)
	if errors.Is(err, errHalted) {
		return nil
	}
	return err
}

// wait waits until all goroutines have ended. It gives up after a second signal, and when a goroutine has not ended
// within endTimeout after the first one returned an error or errHalted: a write to a hung disk cannot be interrupted.
func (d *daemon) wait(ctx context.Context, g *errgroup.Group) error {
	done := make(chan error, 1)
	go func() { done <- g.Wait() }()
	select {
	case err := <-done:
		return err
	case <-d.aborted:
		return errSecondSignal
	case <-ctx.Done():
	}
	select {
	case err := <-done:
		return err
	case <-d.aborted:
		return errSecondSignal
	case <-time.After(endTimeout):
		return errors.Join(context.Cause(ctx), eris.New("not all goroutines ended in time"))
	}
}

// buildOutputHandlers creates the handlers of the core's outputs and starts the writer of the data folder.
func (d *daemon) buildOutputHandlers(ctx context.Context, g *errgroup.Group, c *certs, events *eventRecorder) {
	var peerCerts, endpointCerts *certs
	if d.settings.TLS.Enabled() {
		peerCerts = c
	}
	if d.settings.EndpointTLS {
		endpointCerts = c
	}
	connectPeer := func() *peerClient { return newPeerClient(peerCerts, d.settings.PeerTokens.first()) }
	endpointClient := newClient(newTransport(endpointCerts, maxCallsPerAddress), d.settings.EndpointTokens.first())
	d.loop.out = outputHandlers{
		peers:   newPeerSenders(ctx, g, d.settings.Self.ID, connectPeer, scheme(d.settings.TLS.Enabled()), d.log, d.metrics),
		calls:   newEndpointCaller(ctx, g, endpointClient, scheme(d.settings.EndpointTLS), d.loop.push, d.metrics),
		waiters: d.backend.waiters,
		history: events,
	}
	if d.store == nil {
		return
	}
	w := newWriter(d.store, d.loop.push, d.metrics)
	d.loop.out.writer = w
	g.Go(func() error {
		defer func() { _ = d.store.Close() }() // Everything acknowledged is synced already.
		return w.run(ctx)
	})
}

// peerHandler returns the handler for messages of the other hosts in the settings.
func (d *daemon) peerHandler() *peerAuthenticator {
	peerIPs := map[string]string{}
	for _, p := range d.settings.Peers {
		host, _, err := net.SplitHostPort(p.Address)
		if err == nil && p.ID != d.settings.Self.ID {
			peerIPs[p.ID] = host
		}
	}
	server := &peerServer{peerIPs: peerIPs, push: d.loop.push, metrics: d.metrics}
	return newPeerAuthenticator(server, d.settings.PeerTokens, d.settings.TLS.Enabled() && d.settings.TLS.CA != "")
}

// watchSignals turns the first signal into a planned stop. A second one ends the process at once.
func (d *daemon) watchSignals(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case s := <-signals:
		d.backend.stopping.Store(true)
		d.log.Info("planned stop begins", "event", "stopping", "signal", s.String())
		_ = d.loop.push(ctx, node.Stop{}) // Fails only if the process is ending already.
	}
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
		close(d.aborted)
		return errSecondSignal
	}
}

// finishStop completes a planned stop after the core has halted: it writes the last replies to open requests and sends
// the last messages to other hosts.
func (d *daemon) finishStop() {
	d.backend.stopping.Store(true)
	d.backend.waiters.close()
	d.servers.shutdown()
	d.loop.out.peers.flush(flushTimeout)
}

// shellDump is the part of the state dump that the process shell adds to the core's. It shows no tokens.
type shellDump struct {
	Settings      *Settings      `json:"settings"`
	Incarnation   uint64         `json:"incarnation"`
	UptimeSeconds float64        `json:"uptime_seconds"`
	Goroutines    int            `json:"goroutines"`
	Urgent        int            `json:"urgent_inputs"`
	Requests      int            `json:"request_inputs"`
	Waiting       int            `json:"requests_open"`
	Calls         int            `json:"endpoint_calls_open"`
	Writes        int            `json:"writes_waiting"`
	StoreBytes    int64          `json:"store_bytes"`
	Peers         map[string]int `json:"peer_queues"`
}

func (d *daemon) dump() any {
	out := shellDump{
		Settings:      d.settings,
		Incarnation:   d.incarnation,
		UptimeSeconds: time.Since(d.start).Seconds(),
		Goroutines:    runtime.NumGoroutine(),
		Urgent:        len(d.loop.urgent),
		Requests:      len(d.loop.requests),
		Waiting:       d.backend.waiters.len(),
		Calls:         d.loop.out.calls.len(),
		Peers:         d.loop.out.peers.queueLengths(),
	}
	if w := d.loop.out.writer; w != nil {
		out.Writes, out.StoreBytes = w.queue.len(), w.size.Load()
	}
	return out
}
