package domain_test

import (
	"math"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// unreadable is not valid UTF-8.
const unreadable = "i-\xff\xfe01"

var _ = Describe("the encoding of commands and snapshots", func() {
	// Guards against an entry of the log that is stored and then ends every host that reads it.
	DescribeTable("decodes what was encoded, and restores a snapshot of it", func(c domain.Command, valid bool) {
		data := c.Encode()
		decoded, err := domain.DecodeCommand(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(*decoded).To(Equal(c))
		if valid {
			Expect(domain.CheckCommand(data)).To(Succeed())
		} else {
			Expect(domain.CheckCommand(data)).To(MatchError(ContainSubstring("UTF-8")))
		}
		m := domain.New()
		m.Apply(decoded)
		Expect(domain.New().Restore(m.Snapshot())).To(Succeed())
	},
		Entry("a worker with an unreadable identifier", domain.Command{Register: worker(unreadable, 5, "10.0.0.1:80")}, false),
		Entry("an unreadable zone", domain.Command{Zone: &domain.SetZone{Zone: unreadable, Out: true}}, false),
		Entry("a job with an unreadable identifier", domain.Command{Submit: &domain.JobSpec{ID: unreadable, Steps: single}}, false),
		Entry("the cancel of a job with an unreadable identifier", domain.Command{Cancel: &domain.CancelJob{Job: unreadable}}, false),
		Entry("a wave of more machines than the decoder's default limit",
			domain.Command{Wave: &domain.Wave{Number: 1, MaxDown: 1, Machines: strings.Split(strings.Repeat("m,", 200_000)+"m", ",")}}, true),
		Entry("a worker with more labels than the decoder's default limit",
			domain.Command{Register: &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: "i-1"}, Labels: strings.Split(strings.Repeat("a,", 200_000)+"a", ",")}}, true),
	)

	// Guards against an entry of the log that can be decoded and ends every host that applies it.
	DescribeTable("refuses a job that cannot be executed, also in the log", func(steps []domain.Step, repeat int) {
		data := (&domain.Command{Submit: &domain.JobSpec{ID: "j", Steps: steps, RepeatCount: repeat}}).Encode()
		Expect(domain.CheckCommand(data)).NotTo(Succeed())
		_, err := domain.DecodeCommand(data)
		Expect(err).To(HaveOccurred())
	},
		Entry("without steps", nil, 0),
		Entry("with a negative number of tasks", []domain.Step{{Count: -1}}, 0),
		Entry("with more tasks than memory can hold", []domain.Step{{Count: math.MaxInt}}, 0),
		Entry("with more tasks in all than the log may hold", []domain.Step{{Count: 1 << 24}, {Count: 1}}, 0),
		Entry("with a negative number of occurrences", []domain.Step{{Count: 1}}, -1),
		Entry("with a step that depends on itself", []domain.Step{{Count: 1, DependsOn: []int{0}}}, 0),
		Entry("with a step that depends on none of its job", []domain.Step{{Count: 1, DependsOn: []int{7}}}, 0),
		Entry("with a step that depends on a negative one", []domain.Step{{Count: 1}, {Count: 1, DependsOn: []int{-1}}}, 0),
	)

	// Guards against limits of submissions that decide which entries of the log a host executes: hosts of two versions with
	// different limits would hold different states.
	DescribeTable("refuses a job beyond the limits, but executes one in the log", func(steps []domain.Step, repeat int) {
		data := (&domain.Command{Submit: &domain.JobSpec{ID: "j", Steps: steps, RepeatCount: repeat}}).Encode()
		Expect(domain.CheckCommand(data)).NotTo(Succeed())
		c, err := domain.DecodeCommand(data)
		Expect(err).NotTo(HaveOccurred())
		m := domain.New()
		Expect(m.Apply(c)).To(Equal(domain.Applied))
		Expect(m.Job("j")).NotTo(BeNil())
	},
		Entry("with too many tasks in a step", []domain.Step{{Count: 20001}}, 0),
		Entry("with too many tasks in all", []domain.Step{{Count: 20000}, {Count: 1}}, 0),
		Entry("with too many steps", slices.Repeat([]domain.Step{{Count: 1}}, 257), 0),
		Entry("with too many occurrences", []domain.Step{{Count: 1}}, 100001),
	)

	DescribeTable("refuses an entry without a change that it knows", func(data []byte) {
		Expect(domain.CheckCommand(data)).NotTo(Succeed())
		_, err := domain.DecodeCommand(data)
		Expect(err).To(HaveOccurred())
	},
		Entry("null", []byte{0xf6}),
		Entry("no value", []byte{0xa0}),
		Entry("a time alone", (&domain.Command{AtMS: 5}).Encode()),
		Entry("a change of a later version", []byte{0xa2, 1, 5, 0x18, 99, 0xa0}),
		Entry("a worker without an identifier", (&domain.Command{Register: &domain.Worker{Address: "10.0.0.1:80"}}).Encode()),
	)

	It("gives a name to each decoded state, outcome and stage", func() {
		for value := 9; value < 256; value++ {
			Expect(domain.JobState(value).String()).To(Equal("invalid"))
			Expect(domain.Outcome(value).String()).To(Equal("invalid"))
			Expect(domain.UpkeepStage(value).String()).To(Equal("invalid"))
		}
		Expect(domain.JobCompleted.String()).To(Equal("completed"))
	})

	It("applies commands that name no task of a job as ones that change nothing", func() {
		m := domain.New()
		m.Apply(&domain.Command{Submit: &domain.JobSpec{ID: "j", Steps: single}})
		m.Apply(&domain.Command{Register: worker("i-1", 5, "10.0.0.1:80")})
		on := m.Worker("i-1").Incarnation
		for _, id := range []domain.TaskID{{Job: "j", Occurrence: -1}, {Job: "j", Step: -1}, {Job: "j", Index: -1}, {Job: "j", Index: 9}, {Job: "k"}} {
			Expect(m.Apply(&domain.Command{Start: &domain.StartAttempts{Assignments: []domain.Assignment{{Task: id, Worker: on}}}})).To(Equal(domain.NotChanged))
			m.Apply(&domain.Command{End: &domain.EndAttempts{Worker: on, Ends: []domain.AttemptEnd{{Task: id, Attempt: 1, Outcome: domain.OutcomeDone}}}})
		}
		Expect(m.Job("j").State).To(Equal(domain.JobPending))
	})
})
