package service_test

import (
	"math"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// submitted returns the verdict on a job, and checks that only an accepted one leads to a command, which must be storable.
func submitted(id string, change func(*domain.JobSpec)) service.Verdict {
	m := domain.New()
	m.Apply(&domain.Command{Config: &domain.Config{Version: 1, Pools: []domain.Pool{{Name: "p"}},
		Queues: []domain.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", Public: true}}}})
	spec := &domain.JobSpec{Payload: "x", Steps: []domain.Step{{Count: 2, Task: domain.Resources{CPU: 500}}, {Count: 3, DependsOn: []int{0}}}}
	change(spec)
	a, c := service.Decide(m, service.Request{Kind: service.Submit, Host: "h", Path: "/q/" + id, Document: spec})
	Expect(c != nil).To(Equal(a.Verdict == service.Accepted))
	if c != nil {
		Expect(domain.CheckCommand(c.Encode())).To(Succeed())
		Expect(m.Apply(c)).To(Equal(domain.Applied))
	}
	return a.Verdict
}

const goodName = "5c0e7a21d94b36f8"

// Guards against jobs that are accepted and fill the memory, overflow sums or never end.
var _ = DescribeTable("a job is refused", func(change func(*domain.JobSpec)) {
	Expect(submitted(goodName, change)).To(Equal(service.Invalid))
},
	Entry("without steps", func(s *domain.JobSpec) { s.Steps = nil }),
	Entry("with 100,000 steps", func(s *domain.JobSpec) { s.Steps = make([]domain.Step, 100000) }),
	Entry("with a payload of 4,001 bytes", func(s *domain.JobSpec) { s.Payload = strings.Repeat("x", 4001) }),
	Entry("with a count of 0", func(s *domain.JobSpec) { s.Steps[0].Count = 0 }),
	Entry("with a negative count", func(s *domain.JobSpec) { s.Steps[0].Count = -1 }),
	Entry("with a count of 2^31", func(s *domain.JobSpec) { s.Steps[0].Count = 1 << 31 }),
	Entry("with counts whose sum overflows", func(s *domain.JobSpec) { s.Steps[0].Count, s.Steps[1].Count = math.MaxInt, math.MaxInt }),
	Entry("with too many tasks", func(s *domain.JobSpec) { s.Steps[0].Count = 19998 }),
	Entry("that depends on itself", func(s *domain.JobSpec) { s.Steps[1].DependsOn = []int{1} }),
	Entry("that depends on a later step", func(s *domain.JobSpec) { s.Steps[0].DependsOn = []int{1} }),
	Entry("that depends on a negative step", func(s *domain.JobSpec) { s.Steps[1].DependsOn = []int{-1} }),
	Entry("that depends on one step 100,000 times", func(s *domain.JobSpec) { s.Steps[1].DependsOn = make([]int, 100000) }),
	Entry("with negative resources", func(s *domain.JobSpec) { s.Steps[0].Task.MemoryMB = -1 }),
	Entry("with resources of 2^62", func(s *domain.JobSpec) { s.Steps[0].Task.Accelerators = 1 << 62 }),
	Entry("with a negative run time", func(s *domain.JobSpec) { s.Steps[0].EstimateMS = -1 }),
	Entry("with a run time of 2^63-1", func(s *domain.JobSpec) { s.Steps[0].EstimateMS = math.MaxInt64 }),
	Entry("with a negative latency target", func(s *domain.JobSpec) { s.Steps[0].LatencyTargetMS = -1 }),
	Entry("with a negative limit for a worker", func(s *domain.JobSpec) { s.Steps[0].PerWorkerLimit = -1 }),
	Entry("with a negative limit of disruption", func(s *domain.JobSpec) { s.Steps[0].MaxUnavailable = -1 }),
	Entry("with a negative number of occurrences", func(s *domain.JobSpec) { s.RepeatCount = -1 }),
	Entry("with 2^31 occurrences", func(s *domain.JobSpec) { s.RepeatCount = 1 << 31 }),
	Entry("with too many tasks in all occurrences", func(s *domain.JobSpec) { s.RepeatCount = 20001 }),
	Entry("with a negative interval", func(s *domain.JobSpec) { s.RepeatCount, s.IntervalMS = 2, -1 }),
	Entry("with an interval of 2^62", func(s *domain.JobSpec) { s.RepeatCount, s.IntervalMS = 2, 1<<62 }),
	Entry("with a negative start", func(s *domain.JobSpec) { s.RepeatCount, s.StartAtMS = 2, math.MinInt64 }),
	Entry("with a start of 2^63-1", func(s *domain.JobSpec) { s.RepeatCount, s.StartAtMS = 2, math.MaxInt64 }),
	Entry("with a label of a megabyte", func(s *domain.JobSpec) { s.Steps[0].Label = strings.Repeat("a", 1<<20) }),
)

var _ = DescribeTable("a job is accepted", func(change func(*domain.JobSpec)) {
	Expect(submitted(goodName, change)).To(Equal(service.Accepted))
},
	Entry("with a payload of 4,000 bytes", func(s *domain.JobSpec) { s.Payload = strings.Repeat("x", 4000) }),
	Entry("without a payload", func(s *domain.JobSpec) { s.Payload = "" }),
	Entry("with 20,000 tasks", func(s *domain.JobSpec) { s.Steps[0].Count = 19997 }),
	Entry("with 20,000 occurrences of 5 tasks that are due at once", func(s *domain.JobSpec) { s.RepeatCount = 20000 }),
	Entry("that asks for more than any worker has", func(s *domain.JobSpec) { s.Steps[0].Task.CPU = 1 << 40 }),
	Entry("whose steps depend on one step twice", func(s *domain.JobSpec) { s.Steps[1].DependsOn = []int{0, 0} }),
	Entry("whose occurrences are due in the past", func(s *domain.JobSpec) { s.RepeatCount, s.StartAtMS, s.IntervalMS = 3, 1, 1 }),
	Entry("with fields that have no meaning for it", func(s *domain.JobSpec) { s.StartAtMS, s.IntervalMS = 5, 6 }),
)

var _ = DescribeTable("the name of a job", func(id string, want service.Verdict) {
	Expect(submitted(id, func(*domain.JobSpec) {})).To(Equal(want))
},
	Entry("has 16 digits", goodName, service.Accepted),
	Entry("may have another form", "job_1", service.Accepted),
	Entry("has no slash", "a/b", service.Invalid),
	Entry("has no dot", "a.b", service.Invalid),
	Entry("has no control characters", "a\nb", service.Invalid),
	Entry("is not long", strings.Repeat("a", 65), service.Invalid),
)
