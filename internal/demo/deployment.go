package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/process"
)

// host is one host of the demo. Every host accepts calls of clients (an entry host).
type host struct {
	id, zone string
	disk     bool
	peer     string // host:port for the other hosts.
	serve    string // host:port for callers, operators and endpoints.
}

// hosts returns the hosts, in three zones with 3, 2 and 2 hosts.
func hosts() []host {
	return []host{
		{id: "a1", zone: "a", disk: true}, {id: "a2", zone: "a", disk: true}, {id: "a3", zone: "a"},
		{id: "b1", zone: "b", disk: true}, {id: "b2", zone: "b"},
		{id: "c1", zone: "c", disk: true}, {id: "c2", zone: "c"},
	}
}

const (
	racksPerZone          = 2
	workersPerRack        = 2
	acceleratorsPerWorker = 8
	zoneCount             = 3
)

// workers is the number of workers of the demo.
const workers = zoneCount * racksPerZone * workersPerRack

// workspace is one workspace of the demo.
type workspace struct {
	name  string
	class string
	gang  bool // Its jobs are gangs, and so is its guarantee.
}

func workspaces() []workspace {
	return []workspace{{name: "court-search", class: "urgent"}, {name: "repair-planning", class: "standard", gang: true}}
}

// deployment holds the addresses and the folder of one run.
type deployment struct {
	folder string // Holds all files of the run.
	bin    string // Folder of the programs.
	hosts  []host
}

// newDeployment chooses free loopback ports and writes tokens and contracts into the folder.
func newDeployment(folder, bin string) (*deployment, error) {
	d := &deployment{folder: folder, bin: bin, hosts: hosts()}
	ports, err := process.FreePorts(2 * len(d.hosts))
	if err != nil {
		return nil, err
	}
	for i := range d.hosts {
		d.hosts[i].peer, d.hosts[i].serve = ports[2*i], ports[2*i+1]
	}
	for _, name := range []string{"operator", "endpoint", "peer"} {
		if err := d.write(name+".token", "demo-"+name+"-token\n"); err != nil {
			return nil, err
		}
	}
	for _, w := range workspaces() {
		if err := d.write(w.name+".token", callerToken(w)+"\n"); err != nil {
			return nil, err
		}
		if err := d.writeContract(w, 2); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func callerToken(w workspace) string { return "demo-caller-" + w.name }

func (d *deployment) file(name string) string { return filepath.Join(d.folder, name) }

func (d *deployment) write(name, content string) error {
	return eris.Wrap(os.WriteFile(d.file(name), []byte(content), 0o600), "write demo file")
}

// writeContract writes the contract of a workspace with a share of the free capacity (surplus).
func (d *deployment) writeContract(w workspace, share int) error {
	shape := "gangs: 4, gang: 1, accelerators: 1, adjacency: zone"
	if w.gang {
		shape = "gangs: 1, gang: 2, accelerators: 4, adjacency: rack"
	}
	sum := sha256.Sum256([]byte(callerToken(w)))
	var b strings.Builder
	fmt.Fprintf(&b, "workspace: %s\nsurplus_share: %d\nhighest_class: %s\ngrace_seconds: 2\nguarantees:\n", w.name, share, w.class)
	for _, zone := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "  - {zone: %s, %s}\n", zone, shape)
	}
	fmt.Fprintf(&b, "tokens_sha256:\n  - %s\n", hex.EncodeToString(sum[:]))
	return d.write(w.name+".yaml", b.String())
}

func (d *deployment) dataFolder(h host) string { return d.file("data-" + h.id) }

// hostArgs returns the command line of mustardwalkd run for a host.
func (d *deployment) hostArgs(h host) []string {
	args := []string{"run", "--host", h.id, "--zone", h.zone, "--region", "demo",
		"--peer-listen", h.peer, "--caller-listen", h.serve, "--operator-listen", h.serve, "--endpoint-listen", h.serve,
		"--operator-token-file", d.file("operator.token"), "--endpoint-token-file", d.file("endpoint.token"),
		"--peer-token-file", d.file("peer.token"), "--history-file", d.file("host-" + h.id + ".history")}
	if h.disk {
		args = append(args, "--data-folder", d.dataFolder(h))
	}
	for _, p := range d.hosts {
		args = append(args, "--peer", fmt.Sprintf("id=%s,zone=%s,region=demo,address=%s,disk=%t", p.id, p.zone, p.peer, p.disk))
	}
	return args
}

// endpointArgs returns the command line of the stand-in endpoints of one rack.
func (d *deployment) endpointArgs(zone string, rack int) []string {
	name := fmt.Sprintf("%s-r%d", zone, rack)
	args := []string{"--token-file", d.file("endpoint.token"), "--history-file", d.file("endpoint-" + name + ".history"),
		"stand-in", "endpoint", "--worker", name, "--zone", zone, "--rack", fmt.Sprintf("rack%d", rack), "--leave-within", "5s",
		"--count", strconv.Itoa(workersPerRack), "--accelerators", strconv.Itoa(acceleratorsPerWorker)}
	for _, h := range d.hosts {
		if h.zone == zone {
			args = append(args, "--host", h.serve)
		}
	}
	return args
}

// clientArgs returns the connection flags of mustardwalk. The list of servers is rotated by turn, to spread the load over
// the hosts.
func (d *deployment) clientArgs(token string, turn int) []string {
	args := []string{"--token-file", d.file(token + ".token"), "--history-file", d.file("client.history"), "--patience", "20s"}
	for i := range d.hosts {
		args = append(args, "--server", "http://"+d.hosts[(i+turn)%len(d.hosts)].serve)
	}
	return args
}

// histories lists the history files of the run.
func (d *deployment) histories() ([]string, error) {
	files, err := filepath.Glob(d.file("*.history"))
	return files, eris.Wrap(err, "list histories")
}
