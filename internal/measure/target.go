package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// TargetWorkload returns a workload of the size expected in two years: 2,000 workers with 4,300 accelerators, 510
// workspaces and 1,100 jobs a day, in the given number of zones. With one zone, a single scheduler handles all of it. The
// backlog is a number of further jobs that arrive at the start, so that the queue is long throughout.
func TargetWorkload(seed uint64, length time.Duration, zones, backlog int) Workload {
	r := rand.New(rand.NewPCG(seed, 2))
	w := Workload{Seed: seed, Length: length, CostOnly: true}
	for i := range zones {
		z := newZone(r, fmt.Sprintf("zone-%d", i+1), 2000/zones, 2, 8)
		for n := range z.Workers {
			// 150 of 2,000 workers have four accelerators.
			if n%40 < 3 {
				z.Workers[n].Accelerators = 4
			}
		}
		w.Zones = append(w.Zones, z)
	}
	const workspaces = 510
	for i := range workspaces {
		w.Workspaces = append(w.Workspaces, targetWorkspace(i, zones))
	}
	g := &generator{r: r, length: length, accelerators: 4300}
	arrivingJobs := int(1100 * length.Hours() / 24)
	for i := range arrivingJobs + backlog {
		at := time.Duration(0)
		if i >= backlog {
			at = time.Duration(r.Float64() * float64(length))
		}
		g.add(targetTask(r, g, at, i%workspaces))
	}
	w.Tasks = g.finish()
	return w
}

// targetWorkspace returns a workspace with one guarantee. With one zone, that is four single accelerators, and for every
// tenth workspace a gang of eight on one rack. With several zones, the guarantee holds in each of them: one single
// accelerator, or the gang for every tenth workspace whose number is a multiple of the number of zones.
func targetWorkspace(i, zones int) table.Workspace {
	ws := table.Workspace{Name: fmt.Sprintf("ws-%03d", i), SurplusShare: 1 + i%4, GraceMillis: 5000}
	switch {
	case i%zones != 0 && zones > 1 && i%10 == 0:
		ws.Guarantees = []table.Guarantee{{Gangs: 1, Shape: table.Shape{Gang: 1, Accelerators: 1}}}
	case i%10 == 0:
		ws.Guarantees = []table.Guarantee{{Gangs: 1, Shape: table.Shape{Gang: 8, Accelerators: 1, Adjacency: table.SameRack}}}
	case zones == 1:
		ws.Guarantees = []table.Guarantee{{Gangs: 4, Shape: table.Shape{Gang: 1, Accelerators: 1}}}
	default:
		ws.Guarantees = []table.Guarantee{{Gangs: 1, Shape: table.Shape{Gang: 1, Accelerators: 1}}}
	}
	return ws
}

// targetTask draws a task: 20% are screenings, 50% gangs of 4 to 12 on one rack, 5% gangs of 32 to 128 anywhere in the
// zone, and the rest reviews.
func targetTask(r *rand.Rand, g *generator, at time.Duration, workspace int) Task {
	t := Task{Kind: Review, Workspace: fmt.Sprintf("ws-%03d", workspace), Class: table.Bulk, Arrives: at,
		Shape: table.Shape{Gang: 1, Accelerators: 1 + r.IntN(2)}, DeclaredRunTime: g.logUniform(1800, 14400)}
	switch n := r.IntN(100); {
	case n < 20:
		t.Kind, t.Class, t.Shape.Accelerators, t.DeclaredRunTime = Screening, table.Urgent, 1, g.logUniform(2, 60)
	case n < 70:
		t.Kind, t.Class = Gang, table.Standard
		t.Shape = table.Shape{Gang: []int{4, 8, 8, 12}[r.IntN(4)], Accelerators: 1, Adjacency: table.SameRack}
	case n < 75:
		t.Kind, t.Class = Gang, table.Standard
		t.Shape = table.Shape{Gang: []int{32, 64, 128}[r.IntN(3)], Accelerators: 1, Adjacency: table.SameZone}
	}
	return t
}

func sortTasks(tasks []Task) {
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.Arrives, b.Arrives) })
}
