package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// endpointFlags holds the flags of the command "stand-in endpoint".
type endpointFlags struct {
	announcement endpoint.Announcement
	listen       string
	hosts        []string
	faults       []string
	count        int
	leaveWithin  time.Duration
	verbose      bool
}

func (a *app) endpointCommand() {
	f := &endpointFlags{}
	c := a.kingpin.Command("stand-in", "Stand-ins for outside systems.").
		Command("endpoint", "Run a stand-in endpoint with switches for faults. An interrupt makes it leave with notice; a second one ends it.")
	c.Flag("listen", "IP address and port of the first worker; the others use the following ports. Port 0 draws each.").
		Default("127.0.0.1:0").StringVar(&f.listen)
	c.Flag("worker", "Name of the worker; with --count, the beginning of the names.").Required().StringVar(&f.announcement.Worker)
	c.Flag("count", "Workers in this process.").Default("1").IntVar(&f.count)
	c.Flag("zone", "Availability zone.").Required().StringVar(&f.announcement.Zone)
	c.Flag("rack", "Rack.").Default("rack1").StringVar(&f.announcement.Rack)
	c.Flag("accelerators", "Accelerators of each worker.").Default("8").IntVar(&f.announcement.Accelerators)
	c.Flag("slots", "Tasks at once on each worker.").Default("8").IntVar(&f.announcement.Slots)
	c.Flag("cores", "Cores of each worker.").Default("30").IntVar(&f.announcement.Cores)
	c.Flag("memory-mb", "Memory of each worker, in MB.").Default("65536").IntVar(&f.announcement.MemoryMB)
	c.Flag("connections", "Connections of each worker.").Default("64").IntVar(&f.announcement.Connections)
	c.Flag("host", "host:port of an entry host of the zone; repeat it for all of them, which are tried in turn.").Required().StringsVar(&f.hosts)
	c.Flag("fault", "Fault switch: slow=MS, late=MS, fail-all, drop-results, cross-answers, truncate-answers, double-results, freeze, "+
		"ignore-checkpoint, accepts-while-leaving.").StringsVar(&f.faults)
	c.Flag("leave-within", "Time for running tasks after the first interrupt.").Default("30s").DurationVar(&f.leaveWithin)
	c.Flag("verbose", "Log reports that fail.").BoolVar(&f.verbose)
	a.handle(c, func(ctx context.Context) error { return a.runEndpoints(ctx, f) })
}

func (a *app) checkEndpoint(f *endpointFlags) (standin.Faults, netip.AddrPort, []string, error) {
	var findings []api.Finding
	addFinding := func(field, message string) { findings = append(findings, api.Finding{Field: field, Message: message}) }
	faults, err := standin.ParseFaults(f.faults)
	if err != nil {
		addFinding("--fault", err.Error())
	}
	address, err := netip.ParseAddrPort(f.listen)
	if err != nil {
		addFinding("--listen", fmt.Sprintf("%q is not an IP address with a port", f.listen))
	}
	if f.count < 1 || int(address.Port())+f.count > 1<<16 {
		addFinding("--count", "must be at least 1, and the last port at most 65535")
	}
	if f.announcement.Accelerators < 0 || f.announcement.Slots < 1 {
		addFinding("--accelerators, --slots", "must not be negative, and there must be a slot")
	}
	for _, h := range f.hosts {
		if _, err := netip.ParseAddrPort(h); err != nil {
			addFinding("--host", fmt.Sprintf("%q is not an IP address with a port", h))
		}
	}
	tokens, problem := a.endpointTokens()
	if problem != "" {
		addFinding("--token-file", problem)
	}
	if len(findings) > 0 {
		return faults, address, nil, &inputError{findings}
	}
	return faults, address, tokens, nil
}

// endpointTokens returns all tokens of the token file, or a description of the problem. An endpoint sends the first token
// in its reports, and accepts any of them in calls.
func (a *app) endpointTokens() ([]string, string) {
	first, problem := a.token()
	if problem != "" || a.settings.tokenFile == "" {
		return []string{first}, problem
	}
	data, err := os.ReadFile(a.settings.tokenFile)
	if err != nil {
		return nil, err.Error()
	}
	return parseTokens(data), ""
}

func (a *app) runEndpoints(ctx context.Context, f *endpointFlags) error {
	faults, address, tokens, err := a.checkEndpoint(f)
	if err != nil {
		return err
	}
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for i := range f.count {
		workerAddress := address
		if address.Port() != 0 {
			workerAddress = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		}
		l, err := net.Listen("tcp", workerAddress.String())
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		listeners = append(listeners, l)
	}
	return a.serveEndpoints(ctx, f, faults, tokens, listeners)
}

func (a *app) serveEndpoints(ctx context.Context, f *endpointFlags, faults standin.Faults, tokens []string, listeners []net.Listener) error {
	verbosity := 0
	if f.verbose {
		verbosity = 1
	}
	log := funcr.New(func(_, args string) { fmt.Fprintln(a.Err, args) }, funcr.Options{Verbosity: verbosity})
	// The first interrupt makes the endpoints leave. They end once they have left, or when the time of --leave-within is
	// over.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	checkpoints := standin.NewCheckpoints()
	var historyOut io.Writer
	if a.recorder.file != nil {
		historyOut = &syncWriter{out: a.recorder.file}
	}
	var servers []*standin.Server
	for i, l := range listeners {
		announcement := f.announcement
		announcement.Address, announcement.Incarnation = l.Addr().String(), rand.Text()[:12]
		if f.count > 1 {
			announcement.Worker = fmt.Sprintf("%s-%d", f.announcement.Worker, i+1)
		}
		s := &standin.Server{Listener: l, Hosts: f.hosts, Tokens: tokens, History: historyOut, Log: log,
			Endpoint: standin.New(standin.Options{Announcement: announcement, Faults: faults, Checkpoints: checkpoints})}
		servers = append(servers, s)
		group.Go(func() error { return s.Serve(serving) })
		fmt.Fprintf(a.Out, "worker %s serves %s\n", announcement.Worker, announcement.Address)
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return
		}
		for _, s := range servers {
			s.Leave()
		}
		select {
		case <-time.After(f.leaveWithin):
			stop()
		case <-serving.Done():
		}
	}()
	return group.Wait()
}

// syncWriter serializes the writes of several endpoints to one writer.
type syncWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *syncWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}
