package corehost

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

var _ = Describe("a host that is elected", func() {
	// Guards against a failed job of which no log tells the end: the leader that proposed it ended before it was committed.
	It("logs the ends that an earlier leader has proposed and that are committed in its term", func() {
		g := newHostGroup()
		old := g.leader()
		worker := domain.WorkerIncarnation{ID: "i-1", BornMS: 5}
		task := domain.TaskID{Job: "5c0e7a21d94b36f8"}
		propose(old,
			(&domain.Command{Register: &domain.Worker{Incarnation: worker, Pool: "p", Address: "127.0.0.9:1", Zone: "z", Capacity: domain.Resources{Accelerators: 8}}}).Encode(),
			(&domain.Command{AtMS: 1000, Submit: &domain.JobSpec{ID: task.Job, Queue: "q", Pool: "p", MaxAttempts: 1, Steps: []domain.Step{{Count: 1}}}}).Encode(),
			(&domain.Command{AtMS: 1100, Start: &domain.StartAttempts{Assignments: []domain.Assignment{{Task: task, Worker: worker}}}}).Encode())
		for _, x := range g.running {
			Eventually(func() bool {
				x.host.mu.Lock()
				defer x.host.mu.Unlock()
				j := x.host.stateMachine.Job(task.Job)
				return j != nil && j.Task(task).Assigned()
			}, "5s", "20ms").Should(BeTrue())
		}
		events := make(chan string, 10000)
		for _, x := range g.running {
			x.host.mu.Lock()
			x.host.settings.Dispatch.Log = func(event string, _ ...any) { events <- event }
			x.host.mu.Unlock()
		}
		old.mu.Lock()
		st := old.replica.Status()
		old.mu.Unlock()
		g.stop(old.settings.Address)

		By("delivering an end to the others that the old leader did not live to commit")
		end := &domain.Command{AtMS: 1500, End: &domain.EndAttempts{Worker: worker, OncePerRun: true, WithinRuns: true,
			Ends: []domain.AttemptEnd{{Task: task, Attempt: 1, Outcome: domain.OutcomeFailed}}}}
		for _, a := range g.others(old) {
			Expect(deliverFrom(replica.Member{Host: old.settings.Address, Incarnation: replica.FoundingIncarnation, Disk: true}, g.running[a].host, replica.Message{
				Kind: replica.MsgAppend, Term: st.Term, Index: st.LastIndex, LogTerm: st.Term, Commit: st.LastIndex,
				Entries: []replica.Entry{{Index: st.LastIndex + 1, Term: st.Term, Kind: replica.EntryCommand, Data: end.Encode()}},
			})).To(Succeed())
		}
		Expect(g.leader().settings.Address).NotTo(Equal(old.settings.Address))
		var seen []string
		Eventually(func() []string {
			for len(events) > 0 {
				if e := <-events; e == "attempt_ended" || e == "job_ended" {
					seen = append(seen, e)
				}
			}
			return seen
		}, "5s", "20ms").Should(Equal([]string{"attempt_ended", "job_ended"}))
	})
})
