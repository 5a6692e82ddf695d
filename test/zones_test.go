package test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// setZone takes a zone out or brings it in, waits until the zone has confirmed, and records the command. It returns
// the time of the answer.
func (c *cluster) setZone(ctx SpecContext, client *api.Client, zone string, out bool) time.Time {
	GinkgoHelper()
	m := api.Command{ID: api.NewCommandID()}
	event := history.Event{Call: m.ID, CommandID: m.ID, Zone: zone, Out: out}
	c.recordSent(event)
	send, state := client.ZoneIn, api.ZoneIn
	if out {
		send, state = client.ZoneOut, api.ZoneOut
	}
	z, err := send(ctx, zone, m)
	Expect(err).NotTo(HaveOccurred())
	if z.State == state {
		c.recordDone(event, z.Revision, nil)
	}
	if z.State != state {
		Eventually(func() (string, error) {
			next, err := c.zone(ctx, client, zone)
			if err != nil {
				return "", err
			}
			z = next
			return z.State, nil
		}).Should(Equal(state))
	}
	at := time.Now()
	c.journal.record(history.Event{Kind: history.ZoneStateAnswered, Zone: zone, Out: out, Revision: z.Revision})
	return at
}

var _ = Describe("A frozen leader", func() {
	// Guards against a leader that acts on an expired lease: its first step after it thaws must not start a task.
	It("starts no task in a zone that was taken out in the meantime", func(ctx SpecContext) {
		const lease = 2 * time.Second
		c := newCluster(sevenHosts(), "--lease", lease.String(), "--heartbeat", "500ms")
		c.bounds.TaskLease = lease
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		op := c.operator("b1", "c1")
		// More work than the zone can run at once, so that the frozen leader has jobs to start.
		l := c.startLoad(&load{name: "freeze", workspace: "court", request: func(n int) (api.JobRequest, standin.Request) {
			return api.JobRequest{Zone: "a", Accelerators: 4}, standin.Request{RunMillis: 300}
		}}, 24)
		l.awaitAnswered(8)
		leader := c.leader(ctx, op, "a", "")
		p := c.running[leader]
		frozen := time.Now()
		c.fault(history.Event{Host: leader, Message: history.FaultFreeze})
		Expect(p.Signal(syscall.SIGSTOP)).To(Succeed())
		DeferCleanup(func() { _ = p.Signal(syscall.SIGCONT) }) // Fails only if the process has ended.
		out := c.setZone(ctx, op, "a", true)
		AddReportEntry("answer out after the freeze of the leader", out.Sub(frozen).Round(time.Millisecond).String())
		longest := lease + history.SilenceMargin // Also longer than the leader lease and than a reservation.
		Eventually(func() bool {
			return time.Since(frozen) > longest+time.Second && time.Since(out) > history.StartAfterOut
		}).Should(BeTrue())
		Expect(p.Signal(syscall.SIGCONT)).To(Succeed())
		thawed := time.Now()
		c.fault(history.Event{Host: leader, Message: history.FaultThaw})
		c.awaitReady(leader)
		// Long enough for any start that the thawed leader could still cause.
		Eventually(func() bool { return time.Since(thawed) > 2*time.Second+standin.Reservation }).Should(BeTrue())
		c.setZone(ctx, op, "a", false)
		l.awaitAnswered(8)
		l.finish()
		events := c.stopAndCheck()
		expectOneAnswerEach(events)
		// The zone is in from the commit of the command on: tasks may start before the operator has the answer.
		in := int64(0)
		for _, e := range events {
			if e.Kind == history.ServiceState && e.Zone == "a" && !e.Out && e.Time > out.UnixNano() && (in == 0 || e.Time < in) {
				in = e.Time
			}
		}
		Expect(in).NotTo(BeZero(), "no host recorded that the zone came back in")
		after := 0
		for _, e := range events {
			if e.Kind == history.Started && e.Zone == "a" && e.Time > out.UnixNano() && e.Time < in {
				after++
				Expect(time.Duration(e.Time-out.UnixNano())).To(BeNumerically("<=", history.StartAfterOut), "attempt %s", e.Attempt)
			}
		}
		AddReportEntry("starts between the answer out and the commit of in", fmt.Sprint(after))
	}, SpecTimeout(90*time.Second))
})

var _ = Describe("Cuts between zones", func() {
	// Guards against an idempotency key that is claimed on both sides of a cut.
	It("in one and in both directions never repeat a request that must run once", func(ctx SpecContext) {
		hosts := sevenHosts()
		c := newCluster(hosts)
		c.relays = newRelays(hosts)
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		for _, cut := range []struct {
			name string
			set  func(bool)
		}{
			{"one way", func(on bool) { c.relays.cut("c", "", on) }},
			{"two ways", func(on bool) { c.relays.cut("c", "", on); c.relays.cut("", "c", on) }},
		} {
			l := c.startLoad(&load{name: "cut " + cut.name, workspace: "court", request: mixedJob}, 4)
			l.awaitAnswered(10)
			c.fault(history.Event{Zone: "c", Message: history.FaultDisconnect})
			cut.set(true)
			c.retryThroughAnotherZone(ctx, cut.name, 6)
			l.awaitAnswered(10)
			cut.set(false)
			c.awaitReconnected(ctx)
			c.fault(history.Event{Zone: "c", Message: history.FaultConnect})
			l.awaitAnswered(10)
			l.finish()
		}
		expectOneAnswerEach(c.stopAndCheck())
	}, SpecTimeout(2*time.Minute))
})

// retryThroughAnotherZone sends requests that must not be repeated to the cut zone, without waiting for their end, and
// sends them again through hosts of other zones. A request that both sides accepted must be one job.
func (c *cluster) retryThroughAnotherZone(ctx SpecContext, name string, requests int) {
	GinkgoHelper()
	inside, outside := c.client(callerToken("court"), c.servers(0, "c1", "c2"), nil), c.client(callerToken("court"), c.servers(0, "a1", "a2", "b1"), nil)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			defer GinkgoRecover()
			key := fmt.Sprintf("once %s %d", name, i)
			body, err := json.Marshal(standin.Request{RunMillis: 50, Echo: key})
			Expect(err).NotTo(HaveOccurred())
			r := api.JobRequest{IdempotencyKey: key, NoRepeat: true, Body: body}
			first, stop := context.WithTimeout(ctx, time.Second)
			before, _ := c.submit(first, inside, key+" inside", "court", r, 0)
			stop()
			var job *api.Job
			tries := 0
			Eventually(func() error {
				tries++
				job, err = c.submit(ctx, outside, fmt.Sprintf("%s outside %d", key, tries), "court", r, 2*time.Second)
				return err
			}).Should(Succeed(), "the retry of %s", key)
			if before != nil {
				Expect(job.ID).To(Equal(before.ID))
			}
			if job.Answer != nil && job.Answer.Outcome != "unknown" {
				var a standin.Answer
				Expect(json.Unmarshal(job.Answer.Body, &a)).To(Succeed())
				Expect(a.Echo).To(Equal(key))
			}
		})
	}
	group.Wait()
}

// awaitReconnected waits until a host of each zone reports that it is connected to all hosts.
func (c *cluster) awaitReconnected(ctx SpecContext) {
	GinkgoHelper()
	for _, id := range []string{"a1", "b1", "c1"} {
		op := c.operator(id)
		Eventually(func() error {
			l, err := op.Hosts(ctx)
			if err != nil {
				return err
			}
			for _, h := range l.Hosts {
				if !h.Connected {
					return fmt.Errorf("host %s is not connected to %s", h.ID, id)
				}
			}
			return nil
		}).Should(Succeed())
	}
}
