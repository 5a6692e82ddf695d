package system

import (
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// workersToAvoid returns the workers on which a job failed, so that it is tried on others. If the other usable workers
// cannot hold its shape even when empty, it returns none: the job would otherwise stay queued forever in a small zone.
func (p *Policy) workersToAvoid(j *table.Job) []string {
	if len(j.FailedWorkers) == 0 {
		return nil
	}
	if all := slices.Concat(j.FailedWorkers, j.AlsoFailedWorkers); p.fitsWithout(j.Shape, all) {
		return all
	}
	if p.fitsWithout(j.Shape, j.FailedWorkers) {
		return j.FailedWorkers
	}
	return nil
}

// fitsWithout tells whether the usable workers, other than the given ones, can hold a shape when they are empty.
func (p *Policy) fitsWithout(s table.Shape, without []string) bool {
	var bins []packing.Bin
	for i, r := range p.tables.Index().Racks() {
		for _, w := range r.Workers() {
			if w.Usable() && !slices.Contains(without, w.ID) {
				bins = append(bins, packing.Bin{Rack: i, Free: w.Accelerators, Slots: w.Slots})
			}
		}
	}
	return packing.Place(bins, s) != nil
}
