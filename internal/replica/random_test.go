package replica_test

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

func messageSize(m replica.Message) int {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// layouts are the groups that deployments have.
var layouts = []struct {
	name    string
	desired []replica.Member
}{
	{"three disks", []replica.Member{member("a", true), member("b", true), member("c", true)}},
	{"two disks", []replica.Member{member("a", true), member("b", true), member("c", false)}},
	{"a witness", []replica.Member{member("a", true), member("b", true), {Host: "w", Disk: true, Witness: true}}},
	{"a witness and one disk", []replica.Member{member("a", true), member("b", false), {Host: "w", Disk: true, Witness: true}}},
	{"five", []replica.Member{
		member("a", true), member("b", true), member("c", true), member("d", false), member("e", false),
	}},
}

// injectFault injects or ends one random fault, starts a leadership transfer or rewrites the records of a host, often
// of the leader. With keepQuorum, a voter loses its state only while the membership is complete, because a group that
// loses the state of a majority of its voters must stop.
func injectFault(c *cluster, keepQuorum bool) {
	p := c.hosts[c.random.Intn(len(c.hosts))]
	if l := c.leader(); l != nil && c.random.Intn(2) == 0 {
		p = l
	}
	q := c.hosts[c.random.Intn(len(c.hosts))]
	mayLoseState := c.membershipComplete() || (!keepQuorum && c.random.Intn(8) == 0)
	d := time.Duration(c.random.Int63n(int64(4 * time.Second)))
	switch c.random.Intn(14) {
	case 0:
		if p.disk != nil || mayLoseState {
			c.crash(p, d)
		}
	case 1:
		if mayLoseState {
			c.wipe(p, d)
		}
	case 2:
		for _, x := range c.hosts {
			if x.disk != nil {
				c.crash(x, d/2)
			}
		}
	case 3, 4:
		c.cutUntil[link{p.self.Host, q.self.Host}] = c.now + d
	case 5:
		c.cutUntil[link{p.self.Host, q.self.Host}] = c.now + d
		c.cutUntil[link{q.self.Host, p.self.Host}] = c.now + d
	case 6:
		for _, x := range c.hosts {
			c.cutUntil[link{p.self.Host, x.self.Host}] = c.now + d
			c.cutUntil[link{x.self.Host, p.self.Host}] = c.now + d
		}
	case 7:
		p.frozenUntil = c.now + d
	case 8:
		if p.core != nil {
			p.core.TransferLeadership(c.now+p.offset, "")
			c.handleOutput(p)
		}
	case 9:
		c.lossRate, c.duplicateRate = c.random.Float64()*0.3, c.random.Float64()*0.4
	case 10:
		c.lossRate, c.duplicateRate = 0, 0
	case 11:
		c.delay = time.Duration(c.random.Int63n(int64(400*time.Millisecond))) + shortDelay
	case 12:
		c.delay = shortDelay
	case 13:
		if p.core != nil && p.disk != nil {
			c.queueWrite(p, pendingWrite{out: replica.Output{Records: []replica.Record{p.core.FullRecord()}}, replace: true})
		}
	}
}

// runWithFaults runs a cluster with one observer for a number of rounds, with one random fault per round. It stops
// early if a safety property is violated.
func runWithFaults(seed int64, desired []replica.Member, keepQuorum bool, rounds int) *cluster {
	c := newCluster(seed, desired, "o")
	for i := range rounds {
		c.run(time.Duration(c.random.Int63n(int64(600 * time.Millisecond))))
		injectFault(c, keepQuorum)
		if c.random.Intn(3) == 0 {
			for range c.random.Intn(20) {
				c.propose(fmt.Sprintf("%d", i))
			}
		}
		if len(c.violations) > 0 {
			break
		}
	}
	return c
}

var _ = Describe("a group under faults", func() {
	const runs, rounds = 12, 250
	for _, layout := range layouts {
		name, desired := layout.name, layout.desired
		It("stays safe and recovers with "+name, func() {
			for seed := range int64(runs) {
				c := runWithFaults(seed, desired, true, rounds)
				Expect(c.violations).To(BeEmpty(), "seed %d", seed)
				c.heal()
				Expect(c.runUntil(60*time.Second, c.converged)).To(BeTrue(), "seed %d does not settle", seed)
				Expect(c.propose("last")).To(BeTrue(), "seed %d", seed)
				c.run(time.Second)
				Expect(c.converged()).To(BeTrue(), "seed %d", seed)
				Expect(c.violations).To(BeEmpty(), "seed %d", seed)
			}
		})
		It("stays safe when any voter may lose its disk with "+name, func() {
			for seed := range int64(runs) {
				c := runWithFaults(1000+seed, desired, false, rounds)
				Expect(c.violations).To(BeEmpty(), "seed %d", 1000+seed)
			}
		})
	}
})
