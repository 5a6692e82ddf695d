package demo

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/contract"
	h "github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/process"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

func ms(n int64) int64 { return n * int64(time.Millisecond) }

// job returns the events of one job that runs in a zone.
func job(name, zone string, at int64, gang int) []h.Event {
	events := []h.Event{{Time: ms(at), Kind: h.Submitted, Call: name}, {Time: ms(at + 1), Kind: h.Accepted, Call: name, Job: name}}
	for m := range gang {
		events = append(events, h.Event{Time: ms(at + 10 + int64(m)), Kind: h.Started, Job: name, Attempt: name + "/1", Member: m, GangSize: gang, Zone: zone})
	}
	return append(events, h.Event{Time: ms(at + 90), Kind: h.AnswerCommitted, Job: name, Attempt: name + "/1"},
		h.Event{Time: ms(at + 99), Kind: h.AnswerDelivered, Job: name, Host: "a1"}, h.Event{Time: ms(at + 100), Kind: h.AnswerDelivered, Job: name, Call: name})
}

var _ = Describe("Measures", func() {
	// Guards against a report that leaves out what the histories show.
	It("are computed from the histories", func() {
		lost := job("lost", "a", 0, 1)[:2]
		twice := append(job("twice", "a", 0, 1), h.Event{Time: ms(95), Kind: h.AnswerCommitted, Job: "twice", Attempt: "twice/2"})
		m := measure(h.Merge(job("one", "a", 0, 1), job("gang", "a", 0, 3), lost, twice), "b")
		Expect([]int{m.accepted, m.answered, m.lost, m.doubled, m.started}).To(Equal([]int{4, 2, 1, 1, 3}))
		Expect(m.startP50).To(Equal(10 * time.Millisecond))
		Expect(m.startP99).To(Equal(12 * time.Millisecond))
	})

	It("take the last start between take-out and return, in that zone only", func() {
		events := h.Merge(job("before", "b", 0, 1), job("late", "b", 1990, 1), job("other", "a", 2500, 1), job("back", "b", 9000, 1),
			[]h.Event{{Time: ms(1000), Kind: h.ZoneStateAnswered, Zone: "b", Out: true}, {Time: ms(8000), Kind: h.ServiceState, Zone: "b"}})
		Expect(measure(events, "b").lastStart).To(Equal(1000 * time.Millisecond))
	})

	It("count a change as in force once the last zone has adopted it", func() {
		events := []h.Event{{Time: ms(0), Kind: h.CommandSent, Call: "c"}, {Time: ms(5), Kind: h.CommandAnswered, Call: "c", Revision: 2},
			{Time: ms(10), Kind: h.RevisionAdopted, Zone: "a", Revision: 2}, {Time: ms(11), Kind: h.RevisionAdopted, Zone: "b", Revision: 1}}
		Expect(measure(events, "b").inForceKnown).To(BeFalse())
		m := measure(append(events, h.Event{Time: ms(700), Kind: h.RevisionAdopted, Zone: "b", Revision: 3}), "b")
		Expect(m.inForce).To(Equal(700 * time.Millisecond))
	})

	DescribeTable("a run that broke a requirement fails", func(change func(*measurements, *loadCounts), violations ...h.Violation) {
		m, c := measurements{accepted: 1, answered: 1, started: 1, inForceKnown: true}, loadCounts{}
		Expect(m.verdict(c, nil)).To(Succeed())
		change(&m, &c)
		Expect(m.verdict(c, violations)).NotTo(Succeed())
	},
		Entry("lost", func(m *measurements, _ *loadCounts) { m.lost = 1 }),
		Entry("doubled", func(m *measurements, _ *loadCounts) { m.doubled = 1 }),
		Entry("crossed", func(_ *measurements, c *loadCounts) { c.wrongAnswers = 1 }),
		Entry("late start", func(m *measurements, _ *loadCounts) { m.lastStart = 3001 * time.Millisecond }),
		Entry("late change", func(m *measurements, _ *loadCounts) { m.inForce = 6001 * time.Millisecond }),
		Entry("change not in force", func(m *measurements, _ *loadCounts) { m.inForceKnown = false }),
		Entry("no start recorded", func(m *measurements, _ *loadCounts) { m.started = 0 }),
		Entry("nothing done", func(m *measurements, _ *loadCounts) { m.accepted = 0 }),
		Entry("violation", func(*measurements, *loadCounts) {}, h.Violation{Rule: h.RuleGang}),
	)
})

var _ = Describe("Load", func() {
	It("counts an answer to another request as a wrong answer", func() {
		l := &load{}
		addResult := func(echo, name string) {
			body, _ := json.Marshal(standin.Answer{Echo: echo, Job: name})
			out, _ := json.Marshal(api.Job{ID: "j", Answer: &api.Answer{Body: body}})
			l.addResult(jobPlan{echo: "e"}, process.Output{Stdout: out})
		}
		addResult("e", "j")
		addResult("f", "j")
		addResult("e", "k")
		l.addResult(jobPlan{}, process.Output{Code: 5})
		l.addResult(jobPlan{}, process.Output{Code: 1})
		Expect([]int{l.answered, l.wrongAnswers, l.refused, l.failed}).To(Equal([]int{1, 2, 1, 1}))
	})

	It("plans the same mixed load each time, with contracts that are valid", func() {
		Expect(planLoad()).To(Equal(planLoad()))
		Expect(planLoad()).To(HaveLen(smallJobs + gangJobs))
		d, err := newDeployment(GinkgoT().TempDir(), "bin")
		Expect(err).NotTo(HaveOccurred())
		for _, w := range workspaces() {
			c, findings := contract.Parse(w.name, []byte(process.Tail(d.file(w.name+".yaml"), 1<<20)))
			Expect(findings).To(BeEmpty())
			Expect(c.Guarantees).To(HaveLen(zoneCount))
		}
	})
})
