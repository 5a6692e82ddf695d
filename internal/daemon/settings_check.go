package daemon

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// peers checks the list of hosts and finds this host in it.
func (c *settingsChecker) peers() {
	self := node.Peer{ID: c.name(flagHost), Zone: c.name(flagZone), Region: c.name(flagRegion)}
	byID := map[string]node.Peer{}
	byAddress := map[string]string{}
	for i, text := range c.raw.values[flagPeer].list {
		p, problems := parsePeer(text)
		for _, m := range problems {
			c.addFinding(flagPeer, "value %d: %s", i+1, m)
		}
		if len(problems) > 0 {
			continue
		}
		if _, twice := byID[p.ID]; twice {
			c.addFinding(flagPeer, "value %d: the id %s is used twice", i+1, p.ID)
		}
		if other, twice := byAddress[p.Address]; twice {
			c.addFinding(flagPeer, "value %d: the address %s is used by %s already", i+1, p.Address, other)
		}
		byID[p.ID], byAddress[p.Address] = p, p.ID
		c.settings.Peers = append(c.settings.Peers, p)
	}
	if len(c.raw.values[flagPeer].list) == 0 {
		c.addFinding(flagPeer, "is missing: list all hosts of the deployment, this one included")
		return
	}
	c.self(self, byID)
	c.disks()
	c.regions()
}

// self finds this host in the list of peers and compares its zone and region with --zone and --region.
func (c *settingsChecker) self(want node.Peer, byID map[string]node.Peer) {
	self, found := byID[want.ID]
	if !found {
		if want.ID != "" {
			c.addFinding(flagPeer, "this host, %s, is not among the peers", want.ID)
		}
		return
	}
	c.settings.Self = self
	if want.Zone != "" && self.Zone != want.Zone {
		c.addFinding(flagZone, "%s differs from the zone %s of this host among the peers", want.Zone, self.Zone)
	}
	if want.Region != "" && self.Region != want.Region {
		c.addFinding(flagRegion, "%s differs from the region %s of this host among the peers", want.Region, self.Region)
	}
}

// disks checks that each zone has a host with a disk, which can keep the zone's log durably.
func (c *settingsChecker) disks() {
	disks := map[string]int{}
	var zones []string
	for _, p := range c.settings.Peers {
		if _, seen := disks[p.Zone]; !seen {
			zones = append(zones, p.Zone)
		}
		disks[p.Zone] += 0
		if p.Disk {
			disks[p.Zone]++
		}
	}
	for _, z := range zones {
		if disks[z] == 0 {
			c.addFinding(flagPeer, "zone %s has no host with a disk", z)
		}
	}
}

// regions checks that all hosts of a zone are in the same region.
func (c *settingsChecker) regions() {
	regions := map[string]string{}
	for _, p := range c.settings.Peers {
		other, seen := regions[p.Zone]
		if seen && other != p.Region {
			c.addFinding(flagPeer, "zone %s lies in the regions %s and %s", p.Zone, other, p.Region)
		}
		regions[p.Zone] = p.Region
	}
}

// parsePeer parses "id=a1,zone=z1,region=r1,address=127.0.0.1:7001,disk=true". Disk may be absent.
func parsePeer(text string) (p node.Peer, problems []string) {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seen[key] {
			problems = append(problems, key+" is given twice")
		}
		seen[key] = true
		if m := setPeer(&p, key, value); m != "" {
			problems = append(problems, m)
		}
	}
	for _, key := range []string{"id", "zone", "region", "address"} {
		if !seen[key] {
			problems = append(problems, key+" is missing")
		}
	}
	return p, problems
}

// setPeer sets one field of a peer. It returns the problem with the value, or "".
func setPeer(p *node.Peer, key, value string) string {
	names := map[string]*string{"id": &p.ID, "zone": &p.Zone, "region": &p.Region}
	if target, known := names[key]; known {
		*target = value
		if !isName(value) {
			return fmt.Sprintf("%s: %q is not a name", key, value)
		}
		return ""
	}
	switch key {
	case "address":
		p.Address = value
		a, err := netip.ParseAddrPort(value)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			return fmt.Sprintf("address: %q is not an IP address with a port", value)
		}
	case "disk":
		disk, err := strconv.ParseBool(value)
		p.Disk = disk
		if err != nil {
			return fmt.Sprintf("disk: %q is not true or false", value)
		}
	default:
		return fmt.Sprintf("unknown key %q", key)
	}
	return ""
}

// dataFolder checks that a data folder is given if, and only if, the list of peers says that this host has a disk.
func (c *settingsChecker) dataFolder() {
	c.settings.DataFolder = c.raw.text(flagDataFolder)
	if c.settings.Self.ID != "" && c.settings.Self.Disk && c.settings.DataFolder == "" {
		c.addFinding(flagDataFolder, "is missing: this host has disk=true among the peers")
	}
	if c.settings.Self.ID != "" && !c.settings.Self.Disk && c.settings.DataFolder != "" {
		c.addFinding(flagDataFolder, "is given, but this host has no disk=true among the peers")
	}
	c.folder()
}

// folder checks that the data folder, if it exists already, is a folder.
func (c *settingsChecker) folder() {
	info, err := os.Stat(c.settings.DataFolder)
	if err == nil && !info.IsDir() {
		c.addFinding(flagDataFolder, "%s is not a folder", c.settings.DataFolder)
	}
}

// listeners reads the listen addresses. The one for peers must match the address of this host in the list of peers.
func (c *settingsChecker) listeners() {
	c.settings.CallerListen = c.listen(flagCallerListen)
	c.settings.OperatorListen = c.listen(flagOperatorListen)
	c.settings.EndpointListen = c.listen(flagEndpointListen)
	c.settings.PeerListen = c.settings.Self.Address
	if c.raw.text(flagPeerListen) == "" {
		return
	}
	c.settings.PeerListen = c.listen(flagPeerListen)
	listen, err := netip.ParseAddrPort(c.settings.PeerListen)
	self, missing := netip.ParseAddrPort(c.settings.Self.Address)
	if err != nil || missing != nil {
		return
	}
	sameIP := listen.Addr() == self.Addr() || listen.Addr().IsUnspecified()
	if listen.Port() != self.Port() || !sameIP {
		c.addFinding(flagPeerListen, "%s does not match the address %s of this host among the peers", listen, self)
	}
}

// listen reads a listen address, which must be an IP address with a port.
func (c *settingsChecker) listen(flag string) string {
	v := c.raw.text(flag)
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.addFinding(flag, "%q is not an IP address with a port", v)
	}
	return v
}

// exposure checks that listeners without TLS are reachable from this machine only, and that hosts authenticate each
// other beyond it, unless --insecure is given.
func (c *settingsChecker) exposure() {
	insecure := c.raw.values[flagInsecure].enabled
	if insecure && c.settings.TLS.Enabled() {
		c.addFinding(flagInsecure, "contradicts --%s", flagTLSCert)
	}
	if insecure {
		return
	}
	for _, l := range []struct{ flag, address string }{{flagPeerListen, c.settings.PeerListen}, {flagCallerListen, c.settings.CallerListen},
		{flagOperatorListen, c.settings.OperatorListen}, {flagEndpointListen, c.settings.EndpointListen}} {
		if !c.settings.TLS.Enabled() && !loopback(l.address) {
			c.addFinding(l.flag, "%s is not a loopback address: give TLS files, or --%s", l.address, flagInsecure)
		}
	}
	if !loopback(c.settings.PeerListen) && c.settings.TLS.CA == "" && len(c.settings.PeerTokens) == 0 {
		c.addFinding(flagPeerListen, "hosts are not authenticated: give --%s, --%s or --%s", flagTLSCA, flagPeerTokens, flagInsecure)
	}
}

// loopback reports whether an address is a loopback address. It is true for addresses that cannot be parsed, because
// these have a finding of their own.
func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err != nil || a.Addr().IsLoopback()
}

// tokenFiles reads the files with tokens.
func (c *settingsChecker) tokenFiles() {
	c.settings.OperatorTokens = c.tokenFile(flagOperatorTokens, true)
	c.settings.EndpointTokens = c.tokenFile(flagEndpointTokens, true)
	c.settings.PeerTokens = c.tokenFile(flagPeerTokens, false)
}

// tokenFile reads one file. It adds a finding if a needed file is not given, or if the file cannot be read or holds no
// token.
func (c *settingsChecker) tokenFile(flag string, needed bool) tokens {
	path := c.raw.text(flag)
	if path == "" {
		if needed {
			c.addFinding(flag, "is missing")
		}
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		c.addFinding(flag, "cannot be read: %v", err)
		return nil
	}
	if info, err := os.Stat(path); err == nil && info.Mode().Perm()&0o004 != 0 {
		c.addWarning(flag, "%s is readable by every user of this machine", path)
	}
	t := parseTokens(data)
	if len(t) == 0 {
		c.addFinding(flag, "%s holds no token", path)
	}
	return t
}

// timing reads the durations and checks that they fit each other.
func (c *settingsChecker) timing() {
	for _, d := range []struct {
		flag   string
		target *time.Duration
	}{
		{flagLease, &c.settings.Cell.Lease}, {flagHeartbeat, &c.settings.Cell.Heartbeat}, {flagLeaseMargin, &c.settings.Cell.LeaseMargin},
		{flagCallTimeout, &c.settings.Cell.CallTimeout}, {flagGrace, &c.settings.Cell.Grace}, {flagRetention, &c.settings.Cell.Retention},
		{flagScheduleEvery, &c.settings.Cell.ScheduleEvery}, {flagIsolationLimit, &c.settings.Cell.IsolationLimit},
		{flagReplicaHeartbeat, &c.settings.Replica.Heartbeat}, {flagLeaderLease, &c.settings.Replica.Lease},
		{flagElectionMin, &c.settings.Replica.ElectionMin}, {flagElectionMax, &c.settings.Replica.ElectionMax}, {flagReadTimeout, &c.settings.ReadTimeout},
	} {
		*d.target = c.duration(d.flag)
	}
	c.settings.Cell.Reservation = endpoint.ReservationMillis * time.Millisecond
	cellTiming, replicaTiming := c.settings.Cell, c.settings.Replica
	c.atLeast(flagLease, cellTiming.Lease, 2, flagHeartbeat, cellTiming.Heartbeat)
	c.atLeast(flagLeaderLease, replicaTiming.Lease, 2, flagReplicaHeartbeat, replicaTiming.Heartbeat)
	if c.allValid(replicaTiming.Lease, replicaTiming.ElectionMin) && replicaTiming.Lease >= replicaTiming.ElectionMin {
		c.addFinding(flagLeaderLease, "%v must be shorter than --%s, %v: an old leader's lease must end before an election", replicaTiming.Lease, flagElectionMin, replicaTiming.ElectionMin)
	}
	if c.allValid(replicaTiming.ElectionMin, replicaTiming.ElectionMax) && replicaTiming.ElectionMax <= replicaTiming.ElectionMin {
		c.addFinding(flagElectionMax, "%v must be longer than --%s, %v", replicaTiming.ElectionMax, flagElectionMin, replicaTiming.ElectionMin)
	}
	if c.allValid(cellTiming.CallTimeout) && cellTiming.CallTimeout >= cellTiming.Reservation {
		c.addFinding(flagCallTimeout, "%v must be shorter than the validity of reservations, %v", cellTiming.CallTimeout, cellTiming.Reservation)
	}
}

// allValid reports whether all durations were read without a finding. A duration with a finding is 0.
func (c *settingsChecker) allValid(ds ...time.Duration) bool {
	for _, d := range ds {
		if d <= 0 {
			return false
		}
	}
	return true
}

// atLeast checks that a duration is at least the given multiple of another one.
func (c *settingsChecker) atLeast(flag string, d time.Duration, times int, otherFlag string, other time.Duration) {
	if c.allValid(d, other) && d < time.Duration(times)*other {
		c.addFinding(flag, "%v must be at least %d times --%s, %v", d, times, otherFlag, other)
	}
}

// duration reads a duration. If the value is not a positive duration, it adds a finding and returns 0.
func (c *settingsChecker) duration(flag string) time.Duration {
	d, err := time.ParseDuration(c.raw.text(flag))
	if err != nil || d <= 0 {
		c.addFinding(flag, "%q is not a positive duration such as 1s or 250ms", c.raw.text(flag))
		return 0
	}
	return d
}

// Bounds of the settings that are limits.
const (
	minBodyBytes       = 4 << 10
	maxBodyBytes       = 64 << 20
	minConnections     = 16
	maxConnections     = 1 << 16
	minSnapshotEntries = 16
	maxSnapshotEntries = 1 << 24
)

func (c *settingsChecker) limits() {
	c.settings.MaxBodyBytes = int64(c.number(flagMaxBody, minBodyBytes, maxBodyBytes))
	c.settings.MaxConnections = c.number(flagMaxConnections, minConnections, maxConnections)
	c.settings.SnapshotEntries = c.number(flagSnapshotEntries, minSnapshotEntries, maxSnapshotEntries)
	c.settings.HistoryFile = c.raw.text(flagHistory)
}

func (c *settingsChecker) number(flag string, low, high int) int {
	n, err := strconv.Atoi(c.raw.text(flag))
	if err != nil || n < low || n > high {
		c.addFinding(flag, "%q is not a number from %d to %d", c.raw.text(flag), low, high)
	}
	return n
}
