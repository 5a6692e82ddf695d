package system

import (
	"fmt"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// expire ends queued jobs whose deadline has passed before any attempt may have run.
func (p *Policy) expire(now time.Duration) {
	for _, j := range p.tables.Expired(now) {
		if p.tables.Attempt(j.Attempt) != nil {
			continue
		}
		reason := fmt.Sprintf("deadline of %d ms passed while queued", j.DeadlineMillis)
		p.plan.JobEnds = append(p.plan.JobEnds, JobEnd{Job: j.ID, Outcome: table.JobExpired, Reason: reason})
		p.plannedJobs[j.ID] = true
	}
}

// fitsEmpty tells whether a shape fits the zone when nothing runs there. Workers that are lost, leaving or quarantined
// count, because they may return.
func (p *Policy) fitsEmpty(s table.Shape) bool {
	if fits, ok := p.fitsEmptyZone[s]; ok {
		return fits
	}
	var bins []packing.Bin
	for i, r := range p.tables.Index().Racks() {
		for _, w := range r.Workers() {
			bins = append(bins, packing.Bin{Rack: i, Free: w.Accelerators, Slots: w.Slots})
		}
	}
	p.fitsEmptyZone[s] = packing.Place(bins, s) != nil
	return p.fitsEmptyZone[s]
}
