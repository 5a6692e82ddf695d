package domain_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

var _ = Describe("a job whose start is committed", func() {
	var m *domain.StateMachine
	var on domain.WorkerIncarnation
	task := domain.TaskID{Job: "j"}

	start := func(unconfirmed bool) {
		c := &domain.Command{Start: &domain.StartAttempts{Assignments: []domain.Assignment{{Task: task, Worker: on}}, Unconfirmed: unconfirmed}}
		Expect(m.Apply(c)).To(Equal(domain.Applied))
	}
	// counted returns the state and the number of waiting jobs, which must also be those of a host that restores a snapshot.
	counted := func() (domain.JobState, int) {
		restored := domain.New()
		Expect(restored.Restore(m.Snapshot())).To(Succeed())
		Expect(restored.Job("j").State).To(Equal(m.Job("j").State))
		Expect(restored.Waiting("q")).To(Equal(m.Waiting("q")))
		return m.Job("j").State, m.Waiting("q")
	}
	expect := func(s domain.JobState, waiting int) {
		state, n := counted()
		Expect(state).To(Equal(s))
		Expect(n).To(Equal(waiting))
	}

	BeforeEach(func() {
		m = domain.New()
		m.Apply(&domain.Command{Submit: &domain.JobSpec{ID: "j", Queue: "q", MaxAttempts: 3, Steps: []domain.Step{{Count: 2}}}})
		m.Apply(&domain.Command{Register: worker("i-1", 5, "10.0.0.1:80")})
		on = m.Worker("i-1").Incarnation
	})

	It("waits until a worker has confirmed an attempt", func() {
		start(true)
		expect(domain.JobPending, 1)
		Expect(m.Apply(&domain.Command{Begun: &domain.JobsBegun{Jobs: []domain.JobID{"k", "j"}}})).To(Equal(domain.Applied))
		expect(domain.JobRunning, 0)
		Expect(m.Apply(&domain.Command{Begun: &domain.JobsBegun{Jobs: []domain.JobID{"j"}}})).To(Equal(domain.NotChanged))
	})

	It("does not run again once it has ended", func() {
		start(true)
		m.Apply(&domain.Command{Cancel: &domain.CancelJob{Job: "j"}})
		Expect(m.Apply(&domain.Command{Begun: &domain.JobsBegun{Jobs: []domain.JobID{"j"}}})).To(Equal(domain.NotChanged))
		expect(domain.JobCancelled, 0)
	})

	It("runs at once in entries of earlier versions, and stays so", func() {
		start(false)
		expect(domain.JobRunning, 0)
		m.Apply(&domain.Command{End: &domain.EndAttempts{Worker: on, Ends: []domain.AttemptEnd{{Task: task, Attempt: 1, Outcome: domain.OutcomeAbsent}}}})
		expect(domain.JobRunning, 0)
	})

	DescribeTable("runs if the end of an attempt shows that it had begun", func(o domain.Outcome, s domain.JobState, waiting int) {
		start(true)
		m.Apply(&domain.Command{End: &domain.EndAttempts{Worker: on, Ends: []domain.AttemptEnd{{Task: task, Attempt: 1, Outcome: o}}}})
		expect(s, waiting)
	},
		Entry("done", domain.OutcomeDone, domain.JobRunning, 0),
		Entry("failed", domain.OutcomeFailed, domain.JobRunning, 0),
		Entry("stopped", domain.OutcomeStopped, domain.JobRunning, 0),
		Entry("lapsed", domain.OutcomeLeaseExpired, domain.JobRunning, 0),
		Entry("broken", domain.OutcomeGangBroken, domain.JobRunning, 0),
		Entry("alone", domain.OutcomeGangTimeout, domain.JobRunning, 0),
		Entry("absent", domain.OutcomeAbsent, domain.JobPending, 1),
		Entry("lost", domain.OutcomeLost, domain.JobPending, 1),
	)

	It("runs if a lost attempt is reported as done later", func() {
		start(true)
		end := func(o domain.Outcome) {
			m.Apply(&domain.Command{End: &domain.EndAttempts{Worker: on, Ends: []domain.AttemptEnd{{Task: task, Attempt: 1, Outcome: o}}}})
		}
		end(domain.OutcomeLost)
		end(domain.OutcomeDone)
		expect(domain.JobRunning, 0)
	})
})
