package measure_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/measure"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

var _ = Describe("Run", func() {
	factories := map[string]measure.SchedulerFactory{
		"policy":             func(t *table.Tables) system.Scheduler { return system.NewPolicy(t, system.Options{}) },
		"first fit":          func(t *table.Tables) system.Scheduler { return measure.NewFirstFit(t) },
		"quota and backfill": func(t *table.Tables) system.Scheduler { return measure.NewQuotaBackfill(t) },
	}
	figure := func(m *measure.Metrics, name string) float64 {
		for _, f := range measure.Figures() {
			if f.Name == name {
				return f.Value(m)
			}
		}
		Fail("no figure " + name)
		return 0
	}

	for name, make := range factories {
		It("is reproducible by seed, so that schedulers are compared on the same events: "+name, func() {
			a := measure.Run(measure.CurrentWorkload(7, 30*time.Minute, 0.9), make)
			b := measure.Run(measure.CurrentWorkload(7, 30*time.Minute, 0.9), make)
			for _, f := range measure.Figures() {
				if f.Unit != "us" && f.Unit != "/s" && f.Name != "core share of all zones" {
					Expect(f.Value(a)).To(Equal(f.Value(b)), f.Name)
				}
			}
			Expect(figure(a, "jobs succeeded")).To(BeNumerically(">", 1000))
			Expect(figure(a, "starts in the zone that is out")).To(BeZero())
		})
	}

	It("prints a column for each result", func() {
		m := measure.Run(measure.CurrentWorkload(1, 10*time.Minute, 0.5), factories["policy"])
		var out bytes.Buffer
		measure.Print(&out, []measure.Result{{Name: "a", Runs: []*measure.Metrics{m}}, {Name: "b", Runs: []*measure.Metrics{m}}})
		Expect(out.String()).To(HavePrefix("| figure, median (lowest to highest) | a | b |\n| --- | ---: | ---: |\n"))
	})
})
