package test

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/process"
)

// host is one entry host.
type host struct {
	id, zone string
	disk     bool
	peer     string // host:port for the other hosts.
	serve    string // host:port for callers, operators and endpoints.
}

// sevenHosts returns the hosts of three zones with 3, 2 and 2 hosts, as in the smaller deployment in operation.
func sevenHosts() []host {
	return []host{
		{id: "a1", zone: "a", disk: true}, {id: "a2", zone: "a", disk: true}, {id: "a3", zone: "a"},
		{id: "b1", zone: "b", disk: true}, {id: "b2", zone: "b"},
		{id: "c1", zone: "c", disk: true}, {id: "c2", zone: "c"},
	}
}

// threeHosts returns the hosts of three zones with one host each.
func threeHosts() []host {
	return []host{{id: "a1", zone: "a", disk: true}, {id: "b1", zone: "b", disk: true}, {id: "c1", zone: "c", disk: true}}
}

const (
	workersPerZone        = 2
	acceleratorsPerWorker = 8
	endpointToken         = "test-endpoint-token"
	operatorToken         = "test-operator-token"
	peerToken             = "test-peer-token"
)

// cluster is a deployment of real processes. All are killed at the end of the test.
type cluster struct {
	dir       string
	hosts     []host
	flags     []string // Additional flags of every host.
	relays    *relays  // Nil without relays between zones.
	authority *authority
	bounds    history.Bounds
	daemons   process.Set
	endpoints process.Set
	running   map[string]*process.Process
	starts    map[string]int // Number of starts by host.
	journal   journal
}

// newCluster writes the files of a deployment. It starts no process.
func newCluster(hosts []host, flags ...string) *cluster {
	c := &cluster{dir: runFolder(), hosts: hosts, flags: flags, bounds: history.DefaultBounds,
		daemons: process.Set{StopTimeout: eventuallyTimeout}, endpoints: process.Set{StopTimeout: eventuallyTimeout},
		running: map[string]*process.Process{}, starts: map[string]int{}}
	ports, err := process.FreePorts(2 * len(hosts))
	Expect(err).NotTo(HaveOccurred())
	for i := range hosts {
		hosts[i].peer, hosts[i].serve = ports[2*i], ports[2*i+1]
	}
	for name, token := range map[string]string{"operator": operatorToken, "endpoint": endpointToken, "peer": peerToken} {
		c.write(name+".token", token+"\n")
	}
	DeferCleanup(func() {
		c.endpoints.KillAll()
		c.daemons.KillAll()
		if CurrentSpecReport().Failed() {
			c.showLogs()
		}
	})
	return c
}

// runFolder creates the folder of a run. After a failure it is kept if MUSTARDWALK_KEEP is set, so that the histories and
// logs can be read.
func runFolder() string {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "mustardwalk-test-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() && os.Getenv("MUSTARDWALK_KEEP") != "" {
			fmt.Fprintf(GinkgoWriter, "the run is kept in %s\n", dir)
			return
		}
		Expect(os.RemoveAll(dir)).To(Succeed())
	})
	return dir
}

func (c *cluster) file(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) write(name, content string) {
	GinkgoHelper()
	Expect(os.WriteFile(c.file(name), []byte(content), 0o600)).To(Succeed())
}

func (c *cluster) dataFolder(id string) string { return c.file("data-" + id) }
func (c *cluster) records(id string) string    { return filepath.Join(c.dataFolder(id), "records.wal") }
func (c *cluster) log(id string) string        { return c.file("host-" + id + ".log") }

func (c *cluster) host(id string) host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	Fail("no host " + id)
	return host{}
}

// runArgs returns the command line of a host. Each start has a history file of its own: a killed process may leave an
// incomplete last line, to which the next process would append its first one.
func (c *cluster) runArgs(h host) []string {
	c.starts[h.id]++
	args := []string{"run", "--host", h.id, "--zone", h.zone, "--region", "test",
		"--peer-listen", h.peer, "--caller-listen", h.serve, "--operator-listen", h.serve, "--endpoint-listen", h.serve,
		"--operator-token-file", c.file("operator.token"), "--endpoint-token-file", c.file("endpoint.token"),
		"--peer-token-file", c.file("peer.token"),
		"--history-file", c.file(fmt.Sprintf("host-%s-%d.history", h.id, c.starts[h.id]))}
	if h.disk {
		args = append(args, "--data-folder", c.dataFolder(h.id))
	}
	for _, p := range c.hosts {
		address := p.peer
		if c.relays != nil && p.zone != h.zone {
			address = c.relays.address(h, p)
		}
		args = append(args, "--peer", fmt.Sprintf("id=%s,zone=%s,region=test,address=%s,disk=%t", p.id, p.zone, address, p.disk))
	}
	if c.authority != nil {
		args = append(args, "--tls-cert-file", c.file("host.pem"), "--tls-key-file", c.file("host.key"), "--tls-ca-file", c.file("ca.pem"))
	}
	return append(args, c.flags...)
}

// initialize prepares the data folder of a founding host.
func (c *cluster) initialize(ctx SpecContext, h host) {
	GinkgoHelper()
	if !h.disk {
		return
	}
	o, err := process.RunCommand(ctx, program("mustardwalkd"), "initialize", "--data-folder", c.dataFolder(h.id))
	Expect(err).NotTo(HaveOccurred())
	Expect(o.Code).To(BeZero(), "%s", o.Stderr)
}

// start starts a host that logs to its log file.
func (c *cluster) start(id string) *process.Process {
	GinkgoHelper()
	p, err := c.daemons.Start("host "+id, c.log(id), program("mustardwalkd"), c.runArgs(c.host(id))...)
	Expect(err).NotTo(HaveOccurred())
	c.running[id] = p
	return p
}

// startTo starts a host whose log goes to a writer through a pipe.
func (c *cluster) startTo(id string, log io.Writer) *process.Process {
	GinkgoHelper()
	p, err := c.daemons.StartWithOutput("host "+id, log, program("mustardwalkd"), c.runArgs(c.host(id))...)
	Expect(err).NotTo(HaveOccurred())
	c.running[id] = p
	return p
}

// kill kills a host with SIGKILL and records the fault.
func (c *cluster) kill(id string) {
	c.fault(history.Event{Host: id, Message: "kill"})
	c.daemons.Forget(c.running[id])
	c.running[id].Kill()
}

// stop stops a host with SIGTERM, as in a planned stop, and waits for its end.
func (c *cluster) stop(id string) {
	GinkgoHelper()
	p := c.running[id]
	c.daemons.Forget(p)
	Expect(p.Signal(syscall.SIGTERM)).To(Succeed())
	c.awaitStopped(id)
}

// awaitStopped waits for the end of a planned stop.
func (c *cluster) awaitStopped(id string) {
	GinkgoHelper()
	p := c.running[id]
	Eventually(p.Ended(), 40*time.Second).Should(BeClosed(), "planned stop of host %s", id)
	Expect(p.Err()).NotTo(HaveOccurred(), "planned stop of host %s", id)
}

func (c *cluster) fault(e history.Event) {
	e.Kind = history.Fault
	c.journal.record(e)
}

// startAll starts all hosts and the stand-in endpoints, and waits until all workers are ready.
func (c *cluster) startAll(ctx SpecContext) {
	GinkgoHelper()
	for _, h := range c.hosts {
		c.initialize(ctx, h)
		c.start(h.id)
	}
	c.awaitReady()
	c.startEndpoints()
	c.awaitWorkers(ctx)
}

func (c *cluster) startEndpoints() {
	GinkgoHelper()
	for _, zone := range c.zones() {
		args := []string{"--token-file", c.file("endpoint.token"), "--history-file", c.file("endpoint-" + zone + ".history"),
			"stand-in", "endpoint", "--worker", zone, "--zone", zone, "--count", strconv.Itoa(workersPerZone),
			"--accelerators", strconv.Itoa(acceleratorsPerWorker), "--leave-within", "5s"}
		for _, h := range c.hosts {
			if h.zone == zone {
				args = append(args, "--host", h.serve)
			}
		}
		_, err := c.endpoints.Start("endpoints "+zone, c.file("endpoint-"+zone+".log"), program("mustardwalk"), args...)
		Expect(err).NotTo(HaveOccurred())
	}
}

func (c *cluster) zones() []string {
	var zones []string
	for _, h := range c.hosts {
		if len(zones) == 0 || zones[len(zones)-1] != h.zone {
			zones = append(zones, h.zone)
		}
	}
	return zones
}

func (c *cluster) awaitWorkers(ctx SpecContext) {
	GinkgoHelper()
	op := c.operator()
	Eventually(func() (int, error) {
		l, err := op.Workers(ctx)
		if err != nil {
			return 0, err
		}
		ready := 0
		for _, w := range l.Workers {
			if w.State == "ready" {
				ready++
			}
		}
		return ready, nil
	}).Should(Equal(workersPerZone * len(c.zones())))
}

// awaitReady waits until hosts, by default all, are ready.
func (c *cluster) awaitReady(ids ...string) {
	GinkgoHelper()
	for _, h := range c.hosts {
		if len(ids) > 0 && !slices.Contains(ids, h.id) {
			continue
		}
		Eventually(func() error { return c.ready(h) }).Should(Succeed(), "host %s is ready", h.id)
	}
}

func (c *cluster) ready(h host) error {
	if p := c.daemons.FindEnded(); p != nil {
		return StopTrying(fmt.Sprintf("%s has ended: %v", p.Name, p.Err()))
	}
	_, err := c.get(h, "/readyz")
	return err
}

// get reads a path that needs no token.
func (c *cluster) get(h host, path string) (string, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: c.tls()}}
	response, err := client.Get(c.url(h) + path)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return string(body), err
}

func (c *cluster) tls() *tls.Config {
	if c.authority == nil {
		return nil
	}
	return &tls.Config{RootCAs: c.authority.pool()}
}

func (c *cluster) url(h host) string {
	if c.authority != nil {
		return "https://" + h.serve
	}
	return "http://" + h.serve
}

// metric reads a metric of a host, such as `mustardwalk_core_group_votes{group="cell/a"}`.
func (c *cluster) metric(id, name string) (float64, error) {
	page, err := c.get(c.host(id), "/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(page, "\n") {
		if rest, found := strings.CutPrefix(line, name+" "); found {
			return strconv.ParseFloat(rest, 64)
		}
	}
	return 0, fmt.Errorf("host %s has no metric %s", id, name)
}

// servers returns the base URLs of hosts, by default all, in their order from the host with the index turn.
func (c *cluster) servers(turn int, ids ...string) []string {
	var out []string
	for i := range c.hosts {
		h := c.hosts[(i+turn)%len(c.hosts)]
		if len(ids) == 0 || slices.Contains(ids, h.id) {
			out = append(out, c.url(h))
		}
	}
	return out
}

func (c *cluster) client(token string, servers []string, transport http.RoundTripper) *api.Client {
	GinkgoHelper()
	client, err := api.NewClient(api.Options{Servers: servers, Token: token, TLS: c.tls(), Patience: 20 * time.Second, Transport: transport})
	Expect(err).NotTo(HaveOccurred())
	return client
}

// operator returns a client with the operator token that uses the given hosts, by default all.
func (c *cluster) operator(ids ...string) *api.Client {
	GinkgoHelper()
	return c.client(operatorToken, c.servers(0, ids...), nil)
}

func callerToken(workspace string) string { return "test-caller-" + workspace }

// contract returns a contract that guarantees gangs of one accelerator in each zone.
func contract(workspace string, share, gangs int) string {
	sum := sha256.Sum256([]byte(callerToken(workspace)))
	var b strings.Builder
	fmt.Fprintf(&b, "workspace: %s\nsurplus_share: %d\nhighest_class: urgent\ngrace_seconds: 2\nguarantees:\n", workspace, share)
	for _, zone := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "  - {zone: %s, gangs: %d, accelerators: 1}\n", zone, gangs)
	}
	fmt.Fprintf(&b, "tokens_sha256:\n  - %s\n", hex.EncodeToString(sum[:]))
	return b.String()
}

// apply applies a contract and records the command.
func (c *cluster) apply(ctx SpecContext, client *api.Client, workspace, yaml string, m api.Command) (*api.ContractResult, error) {
	m.ID = api.NewCommandID()
	event := history.Event{Workspace: workspace, CommandID: m.ID, Call: m.ID}
	if m.Expected != nil {
		event.ExpectedRevision = *m.Expected
	}
	c.recordSent(event)
	result, err := client.ApplyContract(ctx, workspace, []byte(yaml), m)
	var revision uint64
	if err == nil {
		revision = result.Revision
	}
	c.recordDone(event, revision, err)
	return result, err
}

func (c *cluster) recordSent(event history.Event) {
	event.Kind = history.CommandSent
	c.journal.record(event)
}

func (c *cluster) recordDone(event history.Event, revision uint64, err error) {
	event.Kind, event.ExpectedRevision, event.Revision = history.CommandAnswered, 0, revision
	var refused *api.Error
	if errors.As(err, &refused) {
		event.Code, event.NotRun, event.Revision = refused.Code, string(refused.NotRun), refused.Revision
	} else if err != nil {
		event.Code = api.CodeUnavailable
	}
	c.journal.record(event)
}

// applyFirst applies the first contract of a workspace once the capacity of all zones is known, and waits until it is in
// force in all zones.
func (c *cluster) applyFirst(ctx SpecContext, workspace string) {
	GinkgoHelper()
	op := c.operator()
	yaml := contract(workspace, 2, 2)
	Eventually(func() error {
		_, err := op.ApplyContract(ctx, workspace, []byte(yaml), api.Command{DryRun: true})
		return err
	}).Should(Succeed())
	result, err := c.apply(ctx, op, workspace, yaml, api.Command{})
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() error {
		r, err := op.Revisions(ctx)
		if err != nil {
			return err
		}
		for _, zone := range c.zones() {
			if r.Zones[zone] < result.Revision {
				return fmt.Errorf("revision %d is in force in zone %s", r.Zones[zone], zone)
			}
		}
		return nil
	}).Should(Succeed())
}

// zone returns the status of a zone.
func (c *cluster) zone(ctx SpecContext, client *api.Client, zone string) (*api.ZoneStatus, error) {
	l, err := client.Zones(ctx)
	if err != nil {
		return nil, err
	}
	for i := range l.Zones {
		if l.Zones[i].Zone == zone {
			return &l.Zones[i], nil
		}
	}
	return nil, fmt.Errorf("no zone %s", zone)
}

// leader waits until a zone has a leader other than the given one, and returns it.
func (c *cluster) leader(ctx SpecContext, client *api.Client, zone, other string) string {
	GinkgoHelper()
	var leader string
	Eventually(func() error {
		z, err := c.zone(ctx, client, zone)
		if err != nil {
			return err
		}
		if z.Leader == "" || z.Leader == other {
			return fmt.Errorf("the leader is %q", z.Leader)
		}
		leader = z.Leader
		return nil
	}).Should(Succeed(), "zone %s has a leader", zone)
	return leader
}

// showLogs prints the ends of the logs after a failure.
func (c *cluster) showLogs() {
	const shown = 2000
	for _, h := range c.hosts {
		fmt.Fprintf(GinkgoWriter, "--- end of the log of host %s\n%s\n", h.id, process.Tail(c.log(h.id), shown))
	}
}
