package timeline_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/timeline"
)

const coreLog = `noise from a collector
  1.9 core-1 time=10:00:01.900 event=job_submitted host=core-1 request=r1 job=j1 verdict=accepted queue=q
  2.0 core-1 time=10:00:02.000 event=attempt_begun host=core-1 job=j1 task=j1.0.0.0 attempt=1 worker=i-1
  2.1 core-1 time=10:00:02.100 event=attempt_begun host=core-1 job=j2 task=j2.0.0.0 attempt=1 worker=i-2
  3.0 core-1 time=10:00:03.000 event=worker_call_unanswered host=core-1 kind=hold worker=i-2 cause="timed out"
  4.0 core-1 time=10:00:04.000 event=leases_over host=core-1 worker=i-1 attempts=1 silent_ms=9000
  4.1 core-1 time=10:00:04.100 event=attempt_ended host=core-1 job=j1 task=j1.0.0.0 attempt=1 worker=i-1 outcome=lost reason=""
  4.2 core-1 time=10:00:04.200 event=worker_call_unanswered host=core-1 kind=hold worker=i-1 cause="timed out"
  4.3 core-1 time=10:00:04.300 event=attempt_reclaimed host=core-1 job=j2 task=j2.0.0.0 for_job=j1
  4.4 core-1 time=10:00:04.400 event=job_ended host=core-1 job=j1 state=completed
  4.5 core-1 time=10:00:04.500 event=leadership_ended host=core-1 term=1
`

const entryLog = `time=10:00:01.950 event=request host=edge-1 request=r1 kind=submit verdict=accepted ms=12
time=10:00:01.000 event=request_not_passed_on host=edge-1 request=r1 host=10.0.0.4 cause="connection \"refused\""
time=10:00:03.500 event=leadership_began host=core-2 term=2
time=10:00:01.960 event=request host=edge-1 request=r2 kind=submit verdict=accepted ms=12
`

func read(texts ...string) []timeline.Entry {
	var out []timeline.Entry
	for _, t := range texts {
		entries, err := timeline.Read(strings.NewReader(t))
		Expect(err).NotTo(HaveOccurred())
		out = append(out, entries...)
	}
	return out
}

func events(entries []timeline.Entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Event)
	}
	return out
}

var _ = Describe("the timeline of a job", func() {
	It("has the events of all hosts that concern the job, ordered by time", func() {
		Expect(events(timeline.ForJob(read(coreLog, entryLog), "j1"))).To(Equal([]string{
			"request_not_passed_on", "job_submitted", "request", "attempt_begun", "leadership_began", "leases_over", "attempt_ended",
			"attempt_reclaimed", "job_ended",
		}))
	})

	It("has the events of a worker as long as an attempt is there, also if the end of another one is logged twice", func() {
		// Guards against a count of attempts that each line of the same end lowers.
		const log = `time=10:00:01.000 event=attempt_begun host=core-1 job=j1 task=j1.0.0.0 attempt=1 worker=i-1
time=10:00:01.000 event=attempt_begun host=core-1 job=j1 task=j1.0.0.1 attempt=1 worker=i-1
time=10:00:02.000 event=attempt_ended host=core-1 job=j1 task=j1.0.0.0 attempt=1 worker=i-1 outcome=failed
time=10:00:02.100 event=attempt_ended host=core-1 job=j1 task=j1.0.0.0 attempt=1 worker=i-1 outcome=failed
time=10:00:03.000 event=worker_leaving host=core-1 worker=i-1
time=10:00:04.000 event=attempt_lost host=core-1 job=j1 task=j1.0.0.1 attempt=1 worker=i-1 cause=worker_gone
time=10:00:05.000 event=worker_registered host=core-1 worker=i-1
`
		Expect(events(timeline.ForJob(read(log), "j1"))).To(Equal([]string{
			"attempt_begun", "attempt_begun", "attempt_ended", "attempt_ended", "worker_leaving", "attempt_lost",
		}))
	})

	It("is empty for a job that is named in no line", func() {
		Expect(timeline.ForJob(read(coreLog, entryLog), "j9")).To(BeEmpty())
	})

	It("parses quoted values and keeps a second field named host", func() {
		e, ok := timeline.Parse(`time=10:00:01.000 event=request_not_passed_on host=edge-1 request=r1 host=10.0.0.4 cause="a \"b\" c"`)
		Expect(ok).To(BeTrue())
		Expect(e.Host).To(Equal("edge-1"))
		Expect(e.Fields).To(Equal(map[string]string{"request": "r1", "host": "10.0.0.4", "cause": `a "b" c`}))
		Expect(e.Detail()).To(Equal(`request=r1 host=10.0.0.4 cause="a \"b\" c"`))
	})

	DescribeTable("skips lines that are not events", func(line string) {
		_, ok := timeline.Parse(line)
		Expect(ok).To(BeFalse())
	},
		Entry("text", "panic: something"),
		Entry("empty", ""),
		Entry("without an event", "time=10:00:01.000 host=core-1"),
		Entry("truncated inside a quoted value", `time=10:00:01.000 event=x cause="a`),
		Entry("a word without a value", "time=10:00:01.000 event=x word"),
	)
})
