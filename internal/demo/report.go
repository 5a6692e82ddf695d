package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/history"
)

// measurements holds what is computed from the histories of a run.
type measurements struct {
	accepted, answered, lost, doubled int
	started                           int // Accepted jobs with an attempt of which all members ran.
	startP50, startP99                time.Duration
	lastStart                         time.Duration // Time from the answer "out" to the last start in the zone; 0 if none.
	inForce                           time.Duration // Time from sending the last contract change until every zone has adopted it.
	inForceKnown                      bool          // The histories show that every zone has adopted it.
}

// measure computes the measurements from a merged history. Zone is the zone that was taken out.
func measure(events []history.Event, zone string) measurements {
	m := measurements{}
	m.answers(events)
	m.starts(events)
	m.lastStartAfterOut(events, zone)
	m.contractChange(events)
	return m
}

// answers counts the accepted jobs by their answers. A job is doubled if it has two different answers, or if one call got
// two.
func (m *measurements) answers(events []history.Event) {
	type answer struct{ attempt, outcome, digest string }
	accepted := map[string]bool{}
	answers := map[string]map[answer]bool{}
	deliveries := map[string]int{}
	doubled := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case history.Accepted:
			accepted[e.Job] = true
		case history.AnswerCommitted:
			if answers[e.Job] == nil {
				answers[e.Job] = map[answer]bool{}
			}
			answers[e.Job][answer{e.Attempt, e.Outcome, e.Digest}] = true
		case history.AnswerDelivered:
			if e.Call == "" {
				continue // Recorded by a host, which does not know the caller's identifier of the call.
			}
			deliveries[e.Call]++
			doubled[e.Job] = doubled[e.Job] || deliveries[e.Call] > 1
		}
	}
	m.accepted = len(accepted)
	for job := range accepted {
		switch {
		case len(answers[job]) == 0:
			m.lost++
		case len(answers[job]) > 1 || doubled[job]:
			m.doubled++
		default:
			m.answered++
		}
	}
}

// starts measures the start latency: the time from sending a submission until all members of an attempt run. The first
// such attempt of a job counts.
func (m *measurements) starts(events []history.Event) {
	sent := map[string]int64{}
	submitted := map[string]int64{}
	members := map[string]map[int]bool{}
	var latencies []time.Duration
	running := map[string]int64{}
	for _, e := range events {
		switch e.Kind {
		case history.Submitted:
			sent[e.Call] = e.Time
		case history.Accepted:
			if _, known := submitted[e.Job]; !known {
				submitted[e.Job] = sent[e.Call]
			}
		case history.Started:
			if members[e.Attempt] == nil {
				members[e.Attempt] = map[int]bool{}
			}
			members[e.Attempt][e.Member] = true
			if _, known := running[e.Job]; !known && len(members[e.Attempt]) >= max(1, e.GangSize) {
				running[e.Job] = e.Time
			}
		}
	}
	for job, at := range submitted {
		if start, ran := running[job]; ran {
			latencies = append(latencies, time.Duration(start-at))
		}
	}
	slices.Sort(latencies)
	m.started = len(latencies)
	m.startP50, m.startP99 = quantile(latencies, 0.5), quantile(latencies, 0.99)
}

// quantile returns the smallest value that at least the given share of the sorted values does not exceed.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(share*float64(len(sorted))+0.999999) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}

// lastStartAfterOut measures the time from the answer that the zone is out to the last start in it before its return.
func (m *measurements) lastStartAfterOut(events []history.Event, zone string) {
	var outAt int64
	out := false
	for _, e := range events {
		switch {
		case e.Zone != zone:
		case e.Kind == history.ZoneStateAnswered && e.Out && !out:
			outAt, out = e.Time, true
		case e.Kind == history.ServiceState && !e.Out:
			out = false
		case e.Kind == history.Started && out:
			m.lastStart = time.Duration(e.Time - outAt)
		}
	}
}

// contractChange measures the time from sending the last change of a contract until every zone has adopted it. Zones are
// those that adopted any revision in the history.
func (m *measurements) contractChange(events []history.Event) {
	var sentAt int64
	var revision uint64
	sent := map[string]int64{}
	for _, e := range events {
		if e.Kind == history.CommandSent {
			sent[e.Call] = e.Time
		}
		if e.Kind == history.CommandAnswered && e.Zone == "" && e.Code == "" {
			sentAt, revision = sent[e.Call], e.Revision
		}
	}
	zones := map[string]int64{}
	for _, e := range events {
		if e.Kind != history.RevisionAdopted {
			continue
		}
		if _, known := zones[e.Zone]; !known {
			zones[e.Zone] = 0
		}
		if e.Revision >= revision && zones[e.Zone] == 0 {
			zones[e.Zone] = e.Time
		}
	}
	m.inForceKnown = revision > 0 && len(zones) > 0
	for _, at := range zones {
		m.inForceKnown = m.inForceKnown && at > 0
		m.inForce = max(m.inForce, time.Duration(at-sentAt))
	}
}

// print writes the table of results.
func (m measurements) print(out io.Writer, c loadCounts, violations []history.Violation) error {
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
	last := "none"
	if m.lastStart > 0 {
		last = seconds(m.lastStart)
	}
	inForce := "not everywhere"
	if m.inForceKnown {
		inForce = seconds(m.inForce)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range [][2]string{
		{"jobs accepted", fmt.Sprint(m.accepted)},
		{"answered once", fmt.Sprint(m.answered)},
		{"lost", fmt.Sprint(m.lost)},
		{"doubled", fmt.Sprint(m.doubled)},
		{"answers to another request", fmt.Sprint(c.wrongAnswers)},
		{"ended without success", fmt.Sprint(c.failed)},
		{"submissions refused", fmt.Sprint(c.refused)},
		{"start latency p50 / p99", seconds(m.startP50) + " / " + seconds(m.startP99)},
		{"last start after take-out", last},
		{"contract change in force everywhere", inForce},
		{"violations", fmt.Sprint(len(violations))},
	} {
		fmt.Fprintf(w, "%s\t%s\n", r[0], r[1])
	}
	return w.Flush()
}
