package replica_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// answerAll answers, for each of the members, the newest append sent to it.
func (r *testReplica) answerAll(members ...replica.Member) {
	sent := r.sent
	for _, m := range members {
		for i := len(sent) - 1; i >= 0; i-- {
			if sent[i].Kind == replica.MsgAppend && sent[i].To == m.Host {
				r.step(reply(sent[i], replica.MsgAppendReply, m))
				break
			}
		}
	}
}

func (r *testReplica) voters() []replica.Member { return r.core.Status().Config.Voters }

var _ = Describe("the configuration", func() {
	It("takes effect when appended and rolls back when overwritten", func() {
		r := newTestReplica(memberA, threeVoters, firstEntry)
		r.step(appendFrom(memberB, 2, 1, 1, configEntry(2, 2, memberB, memberC)))
		Expect(r.core.Status().Role).To(Equal(replica.Observer))
		r.step(appendFrom(memberC, 3, 1, 1, replica.Entry{Index: 2, Term: 3}))
		Expect(r.core.Status().Role).To(Equal(replica.Follower))
		Expect(r.voters()).To(Equal(threeVoters))
	})

	It("changes one voter at a time", func() {
		observers := []replica.Member{{Host: "b", Incarnation: 5, Disk: true}, {Host: "c", Incarnation: 6, Disk: true}}
		r := newTestReplica(memberA, threeVoters[:1], firstEntry)
		r.now += 2 * time.Second
		r.core.Tick(r.now)
		unsynced := r.core.Take()
		r.core.Synced(unsynced.Mark)
		r.drain()
		follow := func() {
			for _, o := range observers {
				r.step(replica.Message{Kind: replica.MsgFollow, From: o, Term: 1, Index: 1})
			}
		}
		follow()
		r.tick(time.Second / 2)
		sent := r.sent
		for _, o := range observers {
			r.sent = sent
			r.answerAll(o)
		}
		r.tick(100 * time.Millisecond)
		Expect(r.voters()).To(HaveLen(2))
		r.tick(100 * time.Millisecond)
		Expect(r.voters()).To(HaveLen(2), "the first change is not committed")
		r.answerAll(observers[0])
		r.tick(100 * time.Millisecond)
		Expect(r.voters()).To(HaveLen(3))
	})

	It("does not change before an entry of the leader's term is committed", func() {
		c := replica.Member{Host: "c", Incarnation: 6, Disk: true}
		r := newLeader(memberA, threeVoters[:2], firstEntry)
		behind := reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB)
		behind.Index = 1
		for range 5 {
			r.step(behind)
			r.step(replica.Message{Kind: replica.MsgFollow, From: c, Index: 2, Term: 2})
			r.tick(100 * time.Millisecond)
			r.answerAll(c)
		}
		Expect(r.voters()).To(HaveLen(2))
		behind.Index = 2
		r.step(behind)
		r.tick(100 * time.Millisecond)
		Expect(r.voters()).To(HaveLen(3))
	})

	DescribeTable("adds voters without a disk only as a minority", func(voters []replica.Member, want int) {
		c := replica.Member{Host: "c", Incarnation: 6}
		r := newLeader(memberA, voters, firstEntry)
		for range 5 {
			r.step(replica.Message{Kind: replica.MsgFollow, From: c, Index: 2, Term: 2})
			r.tick(100 * time.Millisecond)
			r.answerAll(memberB, c)
		}
		Expect(r.voters()).To(HaveLen(want))
	},
		Entry("one of two", threeVoters[:1], 1),
		Entry("one of three", threeVoters[:2], 3),
	)

	DescribeTable("replaces an older incarnation only while that one is silent", func(alive bool) {
		b := replica.Member{Host: "b", Incarnation: 5, Disk: true}
		r := newLeader(memberA, threeVoters)
		r.answerAll(memberB, memberC)
		for range 30 {
			r.step(replica.Message{Kind: replica.MsgFollow, From: b})
			r.tick(50 * time.Millisecond)
			members := []replica.Member{memberC, b}
			if alive {
				members = append(members, memberB)
			}
			sent := r.sent
			for _, m := range members {
				r.sent = sent
				r.answerAll(m)
			}
		}
		if alive {
			Expect(r.voters()).To(ConsistOf(memberA, memberB, memberC))
		} else {
			Expect(r.voters()).To(ConsistOf(memberA, memberC, b))
		}
	},
		Entry("silent", false),
		Entry("alive", true),
	)
})

var _ = Describe("replication", func() {
	It("splits large appends and limits the unacknowledged messages", func() {
		r := newLeader(memberA, threeVoters)
		r.answerAll(memberB)
		for range 40 {
			r.core.Propose(r.now, make([]byte, 100<<10))
		}
		r.drain()
		sentToB := 0
		for _, m := range r.sent {
			size := 0
			for _, e := range m.Entries {
				size += len(e.Data)
			}
			Expect(size).To(BeNumerically("<=", 256<<10))
			if m.To == "b" {
				sentToB++
			}
		}
		Expect(sentToB).To(Equal(8))
	})

	It("sends a snapshot to a follower that lacks compacted entries, and sends it again if it is lost", func() {
		r := newLeader(memberA, threeVoters)
		r.answerAll(memberB)
		for range 600 {
			r.core.Propose(r.now, []byte("x"))
		}
		r.drain()
		r.answerAll(memberB)
		r.drain()
		r.core.Compact(r.core.Status().Commit, []byte("state"))
		Expect(r.tick(100*time.Millisecond)).NotTo(ContainElement(HaveField("Kind", replica.MsgSnapshot)),
			"a member that never answered gets no snapshot")
		r.answerAll(memberC)
		Expect(r.last(replica.MsgSnapshot).Snapshot.Data).To(Equal([]byte("state")))
		resends := 0
		for range 50 {
			r.tick(100 * time.Millisecond)
			if r.last(replica.MsgSnapshot).Kind != 0 {
				resends++
			}
			r.answerAll(memberB, memberC)
		}
		Expect(resends).To(Equal(1), "one resend in 5 s")
	})
})

var _ = Describe("a group", func() {
	startGroup := func(seed int64, desired []replica.Member, observers ...string) *cluster {
		c := newCluster(seed, desired, observers...)
		Expect(c.runUntil(10*time.Second, c.converged)).To(BeTrue())
		return c
	}

	It("elects a leader and commits after a second voter is lost right after the first was replaced", func() {
		for seed := range int64(60) {
			c := startGroup(seed, layouts[seed%3].desired)
			for i := range 100 {
				c.propose(fmt.Sprint(i))
			}
			lost := c.hosts[c.random.Intn(len(c.hosts))]
			c.wipe(lost, time.Second)
			Expect(c.runUntil(20*time.Second, c.membershipComplete)).To(BeTrue(), "seed %d", seed)
			if seed%2 == 0 {
				c.run(time.Second)
			}
			second := c.leader()
			committed := c.lastApplied
			c.crash(second, forever)
			Expect(c.runUntil(15*time.Second, func() bool { return c.leader() != nil })).To(BeTrue(), "seed %d", seed)
			Expect(c.leader().core.Status().Commit).To(BeNumerically(">", committed))
			Expect(c.violations).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("recovers its state from the disks when all hosts restart at once", func() {
		for seed := range int64(20) {
			c := startGroup(seed, layouts[1].desired)
			c.propose("x")
			c.run(time.Second)
			before := c.lastApplied
			for _, p := range c.hosts {
				c.crash(p, 0)
			}
			Expect(c.runUntil(15*time.Second, c.converged)).To(BeTrue(), "seed %d", seed)
			Expect(c.lastApplied).To(BeNumerically(">", before))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("has a new leader within 3 s after the leader is lost", func() {
		for seed := range int64(200) {
			c := startGroup(seed, layouts[seed%3].desired)
			c.run(time.Duration(seed) * 7 * time.Millisecond)
			lost := c.now
			c.crash(c.leader(), forever)
			Expect(c.runUntil(15*time.Second, func() bool { return c.leader() != nil })).To(BeTrue(), "seed %d", seed)
			Expect(c.now-lost).To(BeNumerically("<=", 3*time.Second), "seed %d", seed)
		}
	})

	It("transfers leadership from a witness to a local voter", func() {
		c := startGroup(3, layouts[2].desired)
		c.crash(c.host("a"), 4*time.Second)
		c.host("b").frozenUntil = c.now + 5*time.Second
		c.run(5 * time.Second)
		Expect(c.runUntil(10*time.Second, c.converged)).To(BeTrue())
		c.run(2 * time.Second)
		Expect(c.leader().self.Witness).To(BeFalse())
	})

	It("stays under the limit of idle traffic on a host that leads two groups", func() {
		// The limit is 6 KB/s per host at the target size, here sent and received together. The groups are a cell group
		// of three voters, and a deployment group of six voters and twelve observers with a longer heartbeat period.
		var deploymentVoters []replica.Member
		var deploymentObservers []string
		for i := range 18 {
			if i < 6 {
				deploymentVoters = append(deploymentVoters, member(fmt.Sprintf("host-%02d", i), true))
			} else {
				deploymentObservers = append(deploymentObservers, fmt.Sprintf("host-%02d", i))
			}
		}
		longHeartbeat := replica.DefaultTiming
		longHeartbeat.Heartbeat = 250 * time.Millisecond
		cell := idleTraffic(newCluster(1, layouts[0].desired))
		idleTraffic(newCluster(1, deploymentVoters, deploymentObservers...))
		deployment := idleTraffic(newClusterWith(1, longHeartbeat, deploymentVoters, deploymentObservers...))
		Expect(cell + deployment).To(BeNumerically("<", 6000))
	})
})

// idleTraffic returns the bytes per second that the leader of an idle group sends and receives, added up.
func idleTraffic(c *cluster) int {
	Expect(c.runUntil(10*time.Second, c.converged)).To(BeTrue())
	c.run(time.Second)
	c.traffic = map[string]int{}
	c.run(10 * time.Second)
	perSecond := c.traffic[c.leader().self.Host] / 10
	AddReportEntry(fmt.Sprintf("group of %d, heartbeat %v: %d B/s at the leader", len(c.hosts),
		c.options.Timing.Heartbeat, perSecond))
	return perSecond
}
