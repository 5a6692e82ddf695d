package replica_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

const (
	clusterStep = 5 * time.Millisecond
	tickPeriod  = 25 * time.Millisecond
	shortDelay  = 10 * time.Millisecond
	forever     = 1000 * time.Hour
)

// delivery is a message on the network, with the time of its arrival.
type delivery struct {
	at      time.Duration
	message replica.Message
}

// pendingWrite is a write that is not yet synced, with the time of its sync and the messages that wait for it.
type pendingWrite struct {
	at      time.Duration
	out     replica.Output
	replace bool // The records replace the whole content of the disk.
}

// simHost is a simulated host: a disk (nil for a host without one), a replica (nil while the host is down) and a state
// machine that hashes the entries.
type simHost struct {
	self        replica.Member
	core        *replica.Replica
	disk        *replica.Restored
	offset      time.Duration // How far the host's monotonic clock is ahead of the simulated clock.
	nextTickAt  time.Duration
	frozenUntil time.Duration // The host runs nothing until this time.
	down        time.Duration // After a crash, the host starts again at this time.
	inbox       []replica.Message
	writes      []pendingWrite
	index       uint64         // Last entry that the state machine applied.
	digest      uint64         // State of the state machine: a hash over all entries applied.
	config      replica.Config // Newest committed configuration.
}

// link is the network from one host to another, in one direction.
type link struct{ from, to string }

// cluster runs several replicas on one simulated clock and checks the safety properties after each event.
type cluster struct {
	random        *rand.Rand
	now           time.Duration
	options       replica.Options
	hosts         []*simHost
	network       []delivery
	cutUntil      map[link]time.Duration // Messages that arrive on the link before this time are lost.
	lossRate      float64
	duplicateRate float64
	delay         time.Duration             // Longest delay of most messages, see latency.
	digests       map[uint64]uint64         // Digest of the state after each committed entry.
	lastApplied   uint64                    // Last entry that any replica applied.
	leaders       map[uint64]replica.Member // Leader that was seen in each term.
	traffic       map[string]int            // Bytes sent and received, by host.
	violations    []string
}

func member(host string, disk bool) replica.Member { return replica.Member{Host: host, Disk: disk} }

// newCluster starts the desired hosts, of which those with a disk are founding members, and hosts without a disk that
// stay observers.
func newCluster(seed int64, desired []replica.Member, observers ...string) *cluster {
	return newClusterWith(seed, replica.DefaultTiming, desired, observers...)
}

func newClusterWith(seed int64, t replica.Timing, desired []replica.Member, observers ...string) *cluster {
	c := &cluster{
		random:   rand.New(rand.NewSource(seed)),
		cutUntil: map[link]time.Duration{},
		delay:    shortDelay,
		digests:  map[uint64]uint64{},
		leaders:  map[uint64]replica.Member{},
		traffic:  map[string]int{},
	}
	c.options = replica.Options{
		Group:           "cell/test",
		DesiredVoters:   desired,
		Timing:          t,
		SnapshotEntries: 300,
		Random:          c.random.Int63n,
	}
	members := slices.Clone(desired)
	for _, d := range desired {
		c.options.Contacts = append(c.options.Contacts, d.Host)
		if d.Disk {
			d.Incarnation = replica.FoundingIncarnation
			c.options.Founding.Voters = append(c.options.Founding.Voters, d)
		}
	}
	for _, host := range observers {
		members = append(members, member(host, false))
	}
	for _, m := range members {
		p := &simHost{self: m}
		if m.Disk {
			p.self.Incarnation = replica.FoundingIncarnation
			p.disk = &replica.Restored{}
		}
		c.hosts = append(c.hosts, p)
		c.start(p)
	}
	return c
}

func (c *cluster) host(name string) *simHost {
	for _, p := range c.hosts {
		if p.self.Host == name {
			return p
		}
	}
	return nil
}

// start starts a host with the content of its disk. A host without a disk draws a new incarnation.
func (c *cluster) start(p *simHost) {
	if p.core != nil {
		return
	}
	if p.disk == nil {
		p.self.Incarnation = c.random.Uint64()
	}
	o := c.options
	o.Self = p.self
	p.offset = time.Duration(c.random.Int63n(int64(time.Hour)))
	p.index, p.digest, p.config = 0, 0, replica.Config{}
	var restored *replica.Restored
	if p.disk != nil {
		x := *p.disk
		restored = &x
	}
	p.core = replica.New(o, restored, c.now+p.offset)
	c.handleOutput(p)
}

// crash stops a host, which loses what is not synced. A prefix of the unsynced writes may have reached the disk.
func (c *cluster) crash(p *simHost, down time.Duration) {
	for _, w := range p.writes[:c.random.Intn(len(p.writes)+1)] {
		p.store(w)
	}
	p.core, p.writes, p.inbox, p.frozenUntil = nil, nil, nil, 0
	p.down = c.now + down
}

// wipe crashes a host and replaces its disk by an empty one. The host gets a new incarnation.
func (c *cluster) wipe(p *simHost, down time.Duration) {
	c.crash(p, down)
	if p.disk != nil {
		p.disk = &replica.Restored{}
		p.self.Incarnation = c.random.Uint64()
	}
}

// store applies the records of a write to the disk.
func (p *simHost) store(w pendingWrite) {
	if w.replace {
		p.disk = &replica.Restored{}
	}
	for _, rec := range w.out.Records {
		p.disk.Apply(rec)
	}
}

// queueWrite queues a write after the pending ones. It is synced after a random time of less than 20 ms, but not before
// the one ahead of it.
func (c *cluster) queueWrite(p *simHost, w pendingWrite) {
	w.at = c.now + time.Duration(c.random.Int63n(int64(20*time.Millisecond)))
	if n := len(p.writes); n > 0 {
		w.at = max(w.at, p.writes[n-1].at)
	}
	p.writes = append(p.writes, w)
}

// handleOutput takes the output of a replica and handles it. On a host without a disk, records count as synced at once,
// and output is taken again until it has no records.
func (c *cluster) handleOutput(p *simHost) {
	for p.core != nil {
		out := p.core.Take()
		c.apply(p, out)
		switch {
		case out.Mark == 0:
			c.transmit(out.Messages)
		case p.disk == nil:
			p.core.Synced(out.Mark)
			c.transmit(out.Messages)
			continue
		default:
			c.queueWrite(p, pendingWrite{out: out})
		}
		break
	}
	c.checkLeaders(p)
}

// apply runs the state machine and compares its digest with that of all other replicas at the same index.
func (c *cluster) apply(p *simHost, out replica.Output) {
	if s := out.Snapshot; s != nil {
		if s.Index < p.index {
			c.violation("%s loads a snapshot at %d after %d", p.self.Host, s.Index, p.index)
		}
		p.index, p.digest, p.config = s.Index, binary.LittleEndian.Uint64(s.Data), s.Config
		c.checkDigest(p)
	}
	for _, e := range out.Committed {
		if e.Index != p.index+1 {
			c.violation("%s applies %d after %d", p.self.Host, e.Index, p.index)
		}
		h := fnv.New64a()
		fmt.Fprintf(h, "%d %d %d %x", p.digest, e.Term, e.Kind, e.Data)
		p.index, p.digest = e.Index, h.Sum64()
		if e.Kind == replica.EntryConfig {
			p.config = replica.Config{}
			if err := cbor.Unmarshal(e.Data, &p.config); err != nil {
				c.violation("%s: %v", p.self.Host, err)
			}
		}
		c.checkDigest(p)
	}
	if p.core.NeedsSnapshot() {
		p.core.Compact(p.index, binary.LittleEndian.AppendUint64(nil, p.digest))
	}
}

// checkDigest checks that all replicas have the same state after the same index.
func (c *cluster) checkDigest(p *simHost) {
	known, ok := c.digests[p.index]
	if ok && known != p.digest {
		c.violation("%s applies another entry at %d", p.self.Host, p.index)
	}
	c.digests[p.index] = p.digest
	c.lastApplied = max(c.lastApplied, p.index)
}

// checkLeaders checks that a term has only one leader, that at most one replica reports to lead at this time of the
// simulated clock, and that its log holds all committed entries.
func (c *cluster) checkLeaders(p *simHost) {
	if p.core == nil {
		return
	}
	s := p.core.Status()
	if s.Role == replica.Leader {
		if other, ok := c.leaders[s.Term]; ok && other != p.self {
			c.violation("term %d has leaders %v and %v", s.Term, other, p.self)
		}
		c.leaders[s.Term] = p.self
	}
	leading := c.leading()
	if len(leading) > 1 {
		c.violation("%s and %s lead at once", leading[0].self.Host, leading[1].self.Host)
	}
	if len(leading) == 1 && leading[0].core.Status().LastIndex < c.lastApplied {
		c.violation("%s leads without committed entry %d", leading[0].self.Host, c.lastApplied)
	}
}

// leading returns the hosts whose replica reports to lead, frozen ones included.
func (c *cluster) leading() []*simHost {
	var out []*simHost
	for _, p := range c.hosts {
		if p.core != nil && p.core.LeadsUnderLease(c.now+p.offset) {
			out = append(out, p)
		}
	}
	return out
}

// leader returns the host that leads, nil if there is none.
func (c *cluster) leader() *simHost {
	if l := c.leading(); len(l) > 0 {
		return l[0]
	}
	return nil
}

// violation records the violation of a safety property.
func (c *cluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %v: ", c.now)+fmt.Sprintf(format, args...))
}

// transmit puts messages on the network, which loses, delays, duplicates and reorders them.
func (c *cluster) transmit(messages []replica.Message) {
	for _, m := range messages {
		c.traffic[m.From.Host] += messageSize(m)
		c.traffic[m.To] += messageSize(m)
		copies := 1
		if c.random.Float64() < c.duplicateRate {
			copies = 2
		}
		for range copies {
			if c.random.Float64() >= c.lossRate {
				c.network = append(c.network, delivery{at: c.now + c.latency(), message: m})
			}
		}
	}
}

// latency returns a random delay, up to about c.delay for most messages. While messages may be duplicated, a few take
// up to 6 s.
func (c *cluster) latency() time.Duration {
	if c.random.Float64() < c.duplicateRate/4 {
		return time.Duration(c.random.Int63n(int64(6 * time.Second)))
	}
	return time.Duration(c.random.Int63n(int64(c.delay))) + time.Millisecond/2
}

// run advances the simulated clock.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += clusterStep
		c.deliver()
		for _, p := range c.hosts {
			if p.down <= c.now {
				c.start(p)
			}
			c.runHost(p)
		}
	}
}

// runUntil runs the cluster until a condition holds, for d at most. It returns whether the condition holds.
func (c *cluster) runUntil(d time.Duration, condition func() bool) bool {
	for end := c.now + d; c.now < end; {
		if condition() {
			return true
		}
		c.run(clusterStep)
	}
	return condition()
}

func (c *cluster) deliver() {
	due := func(d delivery) bool { return d.at <= c.now }
	for _, d := range c.network {
		if due(d) && c.cutUntil[link{d.message.From.Host, d.message.To}] <= c.now {
			if p := c.host(d.message.To); p.core != nil {
				p.inbox = append(p.inbox, d.message)
			}
		}
	}
	c.network = slices.DeleteFunc(c.network, due)
}

func (c *cluster) runHost(p *simHost) {
	if p.core == nil || p.frozenUntil > c.now {
		return
	}
	for len(p.writes) > 0 && p.writes[0].at <= c.now {
		w := p.writes[0]
		p.writes = p.writes[1:]
		p.store(w)
		p.core.Synced(w.out.Mark)
		c.transmit(w.out.Messages)
		c.handleOutput(p)
	}
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		p.core.Step(c.now+p.offset, m)
		c.handleOutput(p)
	}
	if c.now >= p.nextTickAt {
		p.nextTickAt = c.now + tickPeriod
		p.core.Tick(c.now + p.offset)
		c.handleOutput(p)
	}
}

// propose proposes a command on every host that runs. It returns whether a leader accepted it.
func (c *cluster) propose(data string) bool {
	taken := false
	for _, p := range c.hosts {
		if p.core == nil || p.frozenUntil > c.now {
			continue
		}
		_, _, ok := p.core.Propose(c.now+p.offset, []byte(data))
		taken = taken || ok
		c.handleOutput(p)
	}
	return taken
}

// heal ends all faults; hosts that are down start again.
func (c *cluster) heal() {
	c.cutUntil = map[link]time.Duration{}
	c.lossRate, c.duplicateRate, c.delay = 0, 0, shortDelay
	for _, p := range c.hosts {
		p.frozenUntil, p.down = 0, 0
	}
}

// membershipComplete reports whether there is a leader, and its committed configuration is the newest one and consists
// of the current incarnations of all desired hosts.
func (c *cluster) membershipComplete() bool {
	l := c.leader()
	if l == nil || len(l.config.Voters) != len(c.options.DesiredVoters) {
		return false
	}
	for _, v := range l.config.Voters {
		if p := c.host(v.Host); p.core == nil || p.self.Incarnation != v.Incarnation {
			return false
		}
	}
	return slices.Equal(l.config.Voters, l.core.Status().Config.Voters)
}

// converged reports whether the membership is complete and all hosts have applied the whole log of the leader.
func (c *cluster) converged() bool {
	if !c.membershipComplete() {
		return false
	}
	last := c.leader().core.Status().LastIndex
	for _, p := range c.hosts {
		if p.core == nil || p.index != last {
			return false
		}
	}
	return true
}
