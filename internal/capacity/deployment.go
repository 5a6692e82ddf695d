package capacity

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/api"
)

const (
	readyLimit = 30 * time.Second
	readyPoll  = 20 * time.Millisecond
	// Task lease and heartbeat period of endpoints at the target size (docs/design.md section 4).
	lease     = 30 * time.Second
	heartbeat = 10 * time.Second
	// zonesPerRegion is that of the target size, six zones in three regions.
	zonesPerRegion        = 2
	acceleratorsPerWorker = 8
)

// host is one daemon of the deployment.
type host struct {
	id, zone, region string
	disk             bool
	peer, serve      string            // Addresses it listens on: for other hosts, and for all other connections.
	endpointRelay    *relay            // Relays the connections of endpoints to this host.
	peerRelays       map[string]*relay // Relays its connections to other hosts, by their identifiers.
	process          *process
}

// deployment holds the processes and relays of a running deployment.
type deployment struct {
	folder, bin string   // Folder of data and logs, and of the programs.
	flags       []string // Additional flags of the daemons.
	hosts       []*host
	standIns    []*process
	workerCount int                  // Of all stand-in processes started so far.
	balancers   map[string]*balancer // By zone.
	client      *api.Client
}

// zoneSizes returns the number of hosts of each zone: 3, 2 and 2 for 7 hosts, otherwise zones of three hosts.
func zoneSizes(count int) []int {
	if count == 7 {
		return []int{3, 2, 2}
	}
	zones := make([]int, count/3)
	for i := range zones {
		zones[i] = 3
	}
	return zones
}

// newHosts returns the hosts of a deployment, without their addresses.
func newHosts(count int) []*host {
	var out []*host
	for z, n := range zoneSizes(count) {
		zone := string(rune('a' + z))
		for i := 1; i <= n; i++ {
			// All hosts of a zone but the last one have a disk, as in the deployments that run now.
			out = append(out, &host{id: fmt.Sprintf("%s%d", zone, i), zone: zone, disk: i < n,
				region: fmt.Sprintf("r%d", z/zonesPerRegion+1), peerRelays: map[string]*relay{}})
		}
	}
	return out
}

// deploy starts the daemons with relays between them and waits until all are ready.
func deploy(ctx context.Context, bin string, count int, flags []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "mustardwalk-capacity-")
	if err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	d := &deployment{folder: folder, bin: bin, flags: flags, hosts: newHosts(count)}
	if err := d.start(ctx); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// start writes the tokens, starts all hosts and waits until they are ready.
func (d *deployment) start(ctx context.Context) error {
	for _, name := range []string{"operator", "endpoint", "peer"} {
		if err := os.WriteFile(d.file(name+".token"), []byte("capacity-"+name+"-token\n"), 0o600); err != nil {
			return eris.Wrap(err, "write token")
		}
	}
	if err := d.openRelays(); err != nil {
		return err
	}
	var servers []string
	for _, h := range d.hosts {
		servers = append(servers, "http://"+h.serve)
		if h.disk {
			if err := exec.CommandContext(ctx, d.bin+"/mustardwalkd", "initialize", "--data-folder", d.file("data-"+h.id)).Run(); err != nil {
				return eris.Wrap(err, "initialize")
			}
		}
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	var err error
	d.client, err = api.NewClient(api.Options{Servers: servers, Token: "capacity-operator-token", Patience: readyLimit})
	if err != nil {
		return eris.Wrap(err, "create client")
	}
	for _, h := range d.hosts {
		if _, err := h.untilReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// openRelays chooses free loopback ports for the hosts and opens the relays. There is one relay for each direction of
// each pair of hosts, and one for the endpoints of each host, so that the bytes of each host are known.
func (d *deployment) openRelays() error {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for _, h := range d.hosts {
		for _, address := range []*string{&h.peer, &h.serve} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return eris.Wrap(err, "find a free port")
			}
			listeners = append(listeners, l)
			*address = l.Addr().String()
		}
	}
	for _, h := range d.hosts {
		var err error
		if h.endpointRelay, err = newRelay(h.serve, classifyEndpoint); err != nil {
			return err
		}
		for _, to := range d.hosts {
			if to == h {
				continue
			}
			if h.peerRelays[to.id], err = newRelay(to.peer, classifyPeer); err != nil {
				return err
			}
		}
	}
	return d.openBalancers()
}

// openBalancers opens a balancer for each zone, which spreads the connections of endpoints over the zone's hosts.
func (d *deployment) openBalancers() error {
	d.balancers = map[string]*balancer{}
	for _, h := range d.hosts {
		b := d.balancers[h.zone]
		if b == nil {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return eris.Wrap(err, "open balancer")
			}
			b = &balancer{listener: l}
			d.balancers[h.zone] = b
		}
		b.relays = append(b.relays, h.endpointRelay)
	}
	for _, b := range d.balancers {
		go b.accept()
	}
	return nil
}

func (d *deployment) file(name string) string { return filepath.Join(d.folder, name) }

func (d *deployment) startHost(h *host) error {
	var err error
	h.process, err = startProcess(d.file("host-"+h.id+".log"), d.bin+"/mustardwalkd", d.hostArgs(h)...)
	return err
}

// hostArgs returns the command line of mustardwalkd run for a host: that of internal/demo with the lease and the
// heartbeat of the target size, without a history file, and with relays as the addresses of the other hosts.
func (d *deployment) hostArgs(h *host) []string {
	args := []string{"run", "--host", h.id, "--zone", h.zone, "--region", h.region,
		"--peer-listen", h.peer, "--caller-listen", h.serve, "--operator-listen", h.serve, "--endpoint-listen", h.serve,
		"--operator-token-file", d.file("operator.token"), "--endpoint-token-file", d.file("endpoint.token"),
		"--peer-token-file", d.file("peer.token"), "--lease", lease.String(), "--heartbeat", heartbeat.String()}
	args = append(args, d.flags...)
	if h.disk {
		args = append(args, "--data-folder", d.file("data-"+h.id))
	}
	for _, p := range d.hosts {
		address := p.peer
		if r := h.peerRelays[p.id]; r != nil {
			address = r.address()
		}
		args = append(args, "--peer", fmt.Sprintf("id=%s,zone=%s,region=%s,address=%s,disk=%t", p.id, p.zone, p.region, address, p.disk))
	}
	return args
}

// untilReady waits for /readyz and returns how long it took.
func (h *host) untilReady(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < readyLimit {
		select {
		case <-ctx.Done():
			return 0, eris.Wrap(ctx.Err(), "interrupted")
		case <-h.process.done:
			return 0, eris.Errorf("host %s has ended", h.id)
		case <-time.After(readyPoll):
		}
		response, err := http.Get("http://" + h.serve + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return time.Since(began), nil
		}
	}
	return 0, eris.Errorf("host %s is not ready within %v", h.id, readyLimit)
}

// addWorkers starts one more stand-in process in each zone, so that the deployment has the given number of workers. Their
// connections are spread over the hosts of the zone, as the platform's load balancer does.
func (d *deployment) addWorkers(total int) error {
	zones := slices.Sorted(maps.Keys(d.balancers))
	for i, zone := range zones {
		added := total - d.workerCount
		n := added / len(zones)
		if i < added%len(zones) {
			n++
		}
		name := fmt.Sprintf("%s-%d", zone, total)
		p, err := startProcess(d.file("workers-"+name+".log"), d.bin+"/mustardwalk", "--token-file", d.file("endpoint.token"),
			"stand-in", "endpoint", "--worker", name, "--zone", zone, "--rack", name, "--count", strconv.Itoa(n),
			"--accelerators", strconv.Itoa(acceleratorsPerWorker), "--host", d.balancers[zone].address())
		if err != nil {
			return err
		}
		d.standIns = append(d.standIns, p)
	}
	d.workerCount = total
	return nil
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, p := range d.standIns {
		p.kill()
	}
	for _, b := range d.balancers {
		_ = b.listener.Close()
	}
	for _, h := range d.hosts {
		if h.process != nil {
			h.process.kill()
		}
		if h.endpointRelay != nil {
			h.endpointRelay.close()
		}
		for _, r := range h.peerRelays {
			r.close()
		}
	}
	_ = os.RemoveAll(d.folder) // Files left behind in the folder for temporary files do no harm.
}
