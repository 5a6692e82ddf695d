package test

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/history"
)

// isVoter returns a function that reads a metric of a host: 1 if the host is a voter of the cell of its zone, else 0.
func (c *cluster) isVoter(id string) func() (float64, error) {
	name := fmt.Sprintf("mustardwalk_core_group_votes{group=%q}", "cell/"+c.host(id).zone)
	return func() (float64, error) { return c.metric(id, name) }
}

var _ = Describe("Killed hosts", func() {
	// Guards against a host that acknowledges entries before they are synced, or that does not restore its state.
	It("lose no accepted job, whether one leader or all hosts at once are killed", func(ctx SpecContext) {
		c := newCluster(sevenHosts())
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		op := c.operator()
		l := c.startLoad(&load{name: "kill", workspace: "court", request: mixedJob}, 8)
		l.awaitAnswered(40)
		leader := c.leader(ctx, op, "a", "")
		c.kill(leader)
		c.leader(ctx, op, "a", leader)
		l.awaitAnswered(40)
		c.start(leader)
		c.awaitReady(leader)
		l.awaitAnswered(20)

		c.fault(history.Event{Message: history.FaultDisconnect})
		for _, h := range c.hosts {
			c.kill(h.id)
		}
		began := time.Now()
		for _, h := range c.hosts {
			c.start(h.id)
		}
		c.awaitReady()
		AddReportEntry("all hosts ready after a restart of all", time.Since(began).Round(time.Millisecond).String())
		c.fault(history.Event{Message: history.FaultConnect})
		l.awaitAnswered(40)
		l.finish()
		expectOneAnswerEach(c.stopAndCheck())
	}, SpecTimeout(2*time.Minute))
})

var _ = Describe("Lost data folders", func() {
	// Guards against a wiped host that votes as if it still had its entries: the loss of a second data folder would then lose
	// committed entries.
	It("of one host and, once it is a voter again, of a second host lose no accepted job", func(ctx SpecContext) {
		c := newCluster(sevenHosts())
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		l := c.startLoad(&load{name: "wipe", workspace: "court", request: mixedJob}, 8)
		for _, id := range []string{"a1", "a2"} {
			l.awaitAnswered(30)
			c.kill(id)
			Expect(os.RemoveAll(c.dataFolder(id))).To(Succeed())
			began := time.Now()
			c.start(id)
			Eventually(c.isVoter(id)).Should(BeEquivalentTo(1), "host %s is a voter again", id)
			AddReportEntry("host "+id+" is a voter again", time.Since(began).Round(time.Millisecond).String())
		}
		c.awaitReady("a1", "a2")
		l.awaitAnswered(30)
		l.finish()
		expectOneAnswerEach(c.stopAndCheck())
	}, SpecTimeout(2*time.Minute))
})
