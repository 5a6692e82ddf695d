package history

import (
	"time"
)

// memberRun is the run of one member of an attempt.
type memberRun struct {
	started, stopped int64
	ended            bool
	outcome          string
}

// gangRun is the run of one attempt that has several members.
type gangRun struct {
	attempt    string
	size       int
	firstStart int64
	members    map[int]*memberRun
}

func gangRuns(events []Event) map[string]*gangRun {
	runs := map[string]*gangRun{}
	for _, e := range events {
		if e.Kind == Started && e.GangSize > 1 {
			r := runs[e.Attempt]
			if r == nil {
				r = &gangRun{attempt: e.Attempt, size: e.GangSize, firstStart: e.Time, members: map[int]*memberRun{}}
				runs[e.Attempt] = r
			}
			if r.members[e.Member] == nil {
				r.members[e.Member] = &memberRun{started: e.Time}
			}
		}
		if r := runs[e.Attempt]; e.Kind == Stopped && r != nil && r.members[e.Member] != nil {
			m := r.members[e.Member]
			m.ended, m.stopped, m.outcome = true, e.Time, e.Outcome
		}
	}
	return runs
}

// startedInTime tells whether all members passed their gates within GangWindow.
func (r *gangRun) startedInTime() bool {
	in := 0
	for _, m := range r.members {
		if m.started-r.firstStart <= int64(GangWindow) {
			in++
		}
	}
	return in == r.size
}

// lost returns the earliest end of a member that did not succeed, and whether there is one.
func (r *gangRun) lost() (int64, bool) {
	var at int64
	found := false
	for _, m := range r.members {
		if m.ended && m.outcome != "succeeded" && (!found || m.stopped < at) {
			at, found = m.stopped, true
		}
	}
	return at, found
}

// CheckGangs checks that all members of a gang pass their gates within GangWindow, or none does. If a gang stays
// incomplete, or loses a member later, all its members must be stopped within the sum of lease, SilenceMargin and
// LeaderLoss.
func CheckGangs(events []Event, bounds Bounds) []Violation {
	f := ruleViolations{rule: RuleGang}
	end := endTime(events)
	runs := gangRuns(events)
	for _, name := range sortedKeys(runs) {
		r := runs[name]
		if !r.startedInTime() && end-r.firstStart > int64(GangWindow) {
			f.checkStopped(r, r.firstStart, end, bounds, "incomplete")
		} else if at, lost := r.lost(); lost {
			f.checkStopped(r, at, end, bounds, "lost a member")
		}
	}
	return f.list
}

func (f *ruleViolations) checkStopped(r *gangRun, from, end int64, bounds Bounds, why string) {
	limit := from + int64(bounds.gangStopLimit())
	for _, n := range sortedKeys(r.members) {
		m := r.members[n]
		if (m.ended && m.stopped > limit) || (!m.ended && end > limit) {
			f.add(limit, "attempt %s (%d of %d members started) %s at %v, member %d ran on after %v", r.attempt,
				len(r.members), r.size, why, time.Duration(from), n, bounds.gangStopLimit())
		}
	}
}

// CheckTakeOut checks that no task starts in a zone later than StartAfterOut after the answer that it is out, until the
// zone is in again.
func CheckTakeOut(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleTakeOut}
	type outState struct {
		out      bool
		at       int64
		revision uint64
	}
	zones := map[string]outState{}
	for _, e := range events {
		w := zones[e.Zone]
		switch {
		case e.Kind == ZoneStateAnswered && e.Out && e.Revision < w.revision:
			// A late answer to a command that was followed by a newer one.
		case e.Kind == ZoneStateAnswered && e.Out && !w.out:
			zones[e.Zone] = outState{true, e.Time, e.Revision}
		case e.Kind == ZoneStateAnswered && e.Out:
			w.revision = e.Revision
			zones[e.Zone] = w
		case (e.Kind == ServiceState || e.Kind == ZoneStateAnswered) && !e.Out && (e.Revision > w.revision || e.Revision == 0):
			zones[e.Zone] = outState{revision: e.Revision}
		case e.Kind == Started && w.out && e.Time-w.at > int64(StartAfterOut):
			f.add(e.Time, "attempt %s started in zone %s %v after the answer out", e.Attempt, e.Zone,
				time.Duration(e.Time-w.at))
		}
	}
	return f.list
}

// CheckLeaving checks that a leaving endpoint gets no work later than WorkAfterLeaving after its notice. The Host of the
// events of an endpoint includes its incarnation.
func CheckLeaving(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleLeaving}
	type incarnation struct{ worker, host string }
	noticeTime := map[incarnation]int64{}
	for _, e := range events {
		i := incarnation{e.Worker, e.Host}
		at, leaving := noticeTime[i]
		switch {
		case e.Kind == LeavingSent && !leaving:
			noticeTime[i] = e.Time
		case (e.Kind == Reserved || e.Kind == Started) && leaving && e.Time-at > int64(WorkAfterLeaving):
			f.add(e.Time, "attempt %s was %s on worker %s %v after its notice", e.Attempt, e.Kind, e.Worker,
				time.Duration(e.Time-at))
		}
	}
	return f.list
}

// CheckReclaim checks that all members of a job that is marked as guaranteed run within the sum of grace, lease and
// ReclaimMargin after its acceptance.
func CheckReclaim(events []Event, bounds Bounds) []Violation {
	f := ruleViolations{rule: RuleReclaim}
	guaranteed := map[string]bool{}
	accepted := map[string]int64{}
	members := map[string]map[int]bool{} // By attempt.
	running := map[string]int64{}
	for _, e := range events {
		switch {
		case e.Kind == Submitted && e.Message == MarkGuaranteed:
			guaranteed[e.Call] = true
		case e.Kind == Accepted && guaranteed[e.Call]:
			if _, known := accepted[e.Job]; !known {
				accepted[e.Job] = e.Time
			}
		case e.Kind == Started:
			if members[e.Attempt] == nil {
				members[e.Attempt] = map[int]bool{}
			}
			members[e.Attempt][e.Member] = true
			if _, known := running[e.Job]; !known && len(members[e.Attempt]) >= e.GangSize {
				running[e.Job] = e.Time
			}
		}
	}
	end := endTime(events)
	for _, job := range sortedKeys(accepted) {
		limit := accepted[job] + int64(bounds.reclaimLimit())
		at, ran := running[job]
		if (ran && at > limit) || (!ran && end > limit) {
			f.add(limit, "guaranteed job %s did not run within %v", job, bounds.reclaimLimit())
		}
	}
	return f.list
}
