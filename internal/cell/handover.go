package cell

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

const (
	maxHandOversInFlight = 64
	handOverScanInterval = 250 * time.Millisecond
	handOverResendDelay  = time.Second
	// handBackDelay is the time during which a job is not handed over again to the zone it was last handed to. That
	// zone's reply to the earlier hand-over may arrive this much later and would be taken for a reply to the new one.
	handBackDelay = time.Minute
)

// handOverState is a hand-over whose acceptance or refusal by the other zone is not yet committed here.
type handOverState struct {
	zone          string
	applied       bool // The hand-over is committed here, so that the job may be sent.
	replyProposed bool // The reply of the other zone is proposed.
}

// proposeHandOvers proposes to hand queued jobs over while the zone is out of service.
func (d *dispatcher) proposeHandOvers(now time.Duration) {
	if !d.tables.Service.Out || now < d.nextHandOverScan || len(d.handOvers) >= maxHandOversInFlight {
		return
	}
	d.nextHandOverScan = now + handOverScanInterval
	for _, name := range d.tables.QueuedWorkspaces() {
		for class := range table.ClassCount {
			for _, j := range d.tables.Queued(name, class) {
				if len(d.handOvers) >= maxHandOversInFlight {
					return
				}
				d.proposeHandOver(now, j)
			}
		}
	}
}

func (d *dispatcher) proposeHandOver(now time.Duration, j *table.Job) {
	if d.handOvers[j.ID] != nil || d.planned[j.ID] || j.Zone == d.cell.options.Zone || (j.NoRepeat && j.MayHaveRun) {
		return
	}
	zone := d.chooseZone(now, j)
	if zone == "" {
		return
	}
	d.handOvers[j.ID] = &handOverState{zone: zone}
	d.handOverCounts[zone]++
	d.cell.propose(Command{UpdateHandOver: &UpdateHandOver{Job: j.ID, Zone: zone}})
}

// chooseZone returns, of the zones that can take the job, the one with the fewest jobs handed over to it in this epoch
// relative to its accelerators.
func (d *dispatcher) chooseZone(now time.Duration, j *table.Job) string {
	var best *ZoneView
	for i := range d.cell.otherZones {
		z := &d.cell.otherZones[i]
		if !d.zoneCanTake(now, z, j) {
			continue
		}
		if best == nil || d.handOverCounts[z.Zone]*best.Accelerators < d.handOverCounts[best.Zone]*z.Accelerators {
			best = z
		}
	}
	if best == nil {
		return ""
	}
	return best.Zone
}

func (d *dispatcher) zoneCanTake(now time.Duration, z *ZoneView, j *table.Job) bool {
	if z.Zone == d.cell.options.Zone || z.Out || !z.Reachable || (j.Zone != "" && j.Zone != z.Zone) {
		return false
	}
	if slices.Contains(d.refusedBy[j.ID], z.Zone) || (j.HandedTo == z.Zone && now < j.AppliedAt+handBackDelay) {
		return false
	}
	limit := z.Accelerators
	if j.Shape.Adjacency != table.SameZone {
		limit = z.LargestGang
	}
	return j.Shape.Total() <= limit
}

// handOverApplied handles an applied UpdateHandOver.
func (d *dispatcher) handOverApplied(now time.Duration, c *UpdateHandOver) {
	j := d.tables.Job(c.Job)
	if j == nil || j.State != table.JobHandedOver || j.HandOverCommitted {
		delete(d.handOvers, c.Job)
	}
	if j == nil {
		return
	}
	switch {
	case c.Accepted:
		delete(d.refusedBy, c.Job)
		d.answerGets(c.Job)
	case c.Refused:
		d.refusedBy[c.Job] = append(d.refusedBy[c.Job], c.Zone)
		d.watchDeadline(j)
		d.planSoon(now)
	case j.State == table.JobHandedOver && !j.HandOverCommitted:
		d.startHandOver(now, j)
	}
}

// startHandOver begins to send a job to the other zone, which goes on until that zone's reply is known.
func (d *dispatcher) startHandOver(now time.Duration, j *table.Job) {
	h := d.handOvers[j.ID]
	if h == nil || h.zone != j.HandedTo {
		h = &handOverState{zone: j.HandedTo}
		d.handOvers[j.ID] = h
	}
	if !h.applied {
		h.applied = true
		d.sendHandOver(now, j.ID, h)
	}
}

func (d *dispatcher) sendHandOver(now time.Duration, id string, h *handOverState) {
	j := d.tables.Job(id)
	if j == nil || d.handOvers[id] != h || h.replyProposed {
		return
	}
	if d.reachable(h.zone) {
		d.cell.output.HandOvers = append(d.cell.output.HandOvers, HandOver{Zone: h.zone, Job: *j})
	}
	d.timers.add(now+handOverResendDelay, func(now time.Duration) { d.sendHandOver(now, id, h) })
}

// reachable reports whether jobs may be sent to a zone. A zone of which a new leader has no ZoneView yet counts as
// reachable.
func (d *dispatcher) reachable(zone string) bool {
	for i := range d.cell.otherZones {
		if d.cell.otherZones[i].Zone == zone {
			return d.cell.otherZones[i].Reachable
		}
	}
	return true
}

// handOverReplied handles the other zone's reply. Unless it accepts or refuses the job, the job is sent again.
func (d *dispatcher) handOverReplied(job, zone string, accepted, refused bool) {
	h := d.handOvers[job]
	if h == nil || h.zone != zone || !h.applied || h.replyProposed || accepted == refused {
		return
	}
	h.replyProposed = true
	d.cell.propose(Command{UpdateHandOver: &UpdateHandOver{Job: job, Zone: zone, Accepted: accepted, Refused: refused}})
}
