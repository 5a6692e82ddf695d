package domain_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Guards against jobs that run after their caller was told, when cancelling them, that they do not exist: the submission
// was delayed on the way.
var _ = Describe("the cancelling of a job that is not known", func() {
	spec := func(workspace string) domain.JobSpec {
		return domain.JobSpec{ID: "j", Queue: "q", Workspace: workspace, MaxAttempts: 1, Steps: single}
	}
	cancel := func(f *fixture, workspace string) {
		Expect(f.do(domain.Command{Cancel: &domain.CancelJob{Job: "j", Workspace: workspace}})).To(Equal(domain.NotFound))
	}
	restore := func(f *fixture) {
		restored := domain.New()
		Expect(restored.Restore(f.Snapshot())).To(Succeed())
		Expect(restored.JobBytes()).To(Equal(f.JobBytes()))
		f.StateMachine = restored
	}

	DescribeTable("cancels a submission that arrives later", func(cancelledBy, submittedBy string, want domain.JobState) {
		f := newFixture()
		cancel(f, cancelledBy)
		restore(f)
		f.submit(spec(submittedBy))
		restore(f)
		Expect(f.Job("j").State).To(Equal(want))
		if want == domain.JobCancelled {
			Expect(f.OpenJobs()).To(BeEmpty())
			Expect(f.start(id("j", 0))).To(Equal(domain.NotChanged))
		}
	},
		Entry("of the same workspace", "w1", "w1", domain.JobCancelled),
		Entry("of any workspace, if it was cancelled for any", "", "w1", domain.JobCancelled),
		Entry("but not of another workspace", "w2", "w1", domain.JobPending),
	)

	It("does not cancel a job of another workspace that has been submitted meanwhile", func() {
		f := newFixture()
		f.submit(spec("w1"))
		cancel(f, "w2")
		Expect(f.Job("j").State).To(Equal(domain.JobPending))
	})

	It("is kept as long as an ended job, and takes no room after that", func() {
		f := newFixture()
		cancel(f, "w1")
		first := f.at
		cancel(f, "w1")
		Expect(f.JobBytes()).To(BeNumerically(">", 0))
		f.do(domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: first + 1}})
		Expect(f.JobBytes()).To(BeNumerically(">", 0), "it counts from the last answer")
		f.do(domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: f.at}})
		Expect(f.JobBytes()).To(BeZero())
		f.submit(spec("w1"))
		Expect(f.Job("j").State).To(Equal(domain.JobPending))
	})
})
