package capacity

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Roles of a host, by the groups that it leads and votes in.
const (
	roleDeploymentLeader = "deployment leader"
	roleCellLeader       = "cell leader"
	roleWitness          = "witness"    // Votes in the group of another zone's cell.
	roleFollower         = "follower"   // Votes only in the groups of its own cell and the deployment, and leads none.
	roleEntry            = "entry host" // Votes in no group.
)

// Quantities of one host over a window. Rates are per second.
const (
	cpuPercent   = "cpu_percent"
	rssMB        = "rss_mb"
	peakMB       = "peak_mb"
	peerSent     = "peer_sent_bytes"
	peerReceived = "peer_received_bytes"
	peerBodies   = "peer_sent_bodies"
	peerRequests = "peer_requests"
	reportBytes  = "report_bytes" // Reports of endpoints and the replies to them.
	reportBodies = "report_bodies"
	reports      = "reports"
	connections  = "report_connections"
	metricBytes  = "metric_peer_bytes" // The daemon's own mustardwalk_peer_bytes_total, to compare with peer_sent_bodies.
	calls        = "endpoint_calls"
	syncs        = "syncs"
	entries      = "entries_applied"
	totalBytes   = "total_bytes" // Peer connections and reports, both directions.
)

// hostRow holds what was measured of one host in one window.
type hostRow struct {
	Scenario string
	Size     float64
	Host     string
	Role     string
	Seconds  float64
	Values   map[string]float64
	Messages map[string]float64 // Messages sent to other hosts a second, by kind.
	Payload  map[string]float64 // Bytes of these messages a second, by kind.
}

// reading holds the counters of a host and of its relays at one time.
type reading struct {
	at      time.Time
	use     usage
	metrics samples
	to      map[string]traffic // Of its connections to other hosts, by their identifiers.
	reports traffic            // Of the connections of endpoints to it.
}

// read returns the counters of a host now.
func (h *host) read(ctx context.Context) (reading, error) {
	var r reading
	var err error
	if r.metrics, err = scrape(ctx, h.serve); err != nil {
		return r, err
	}
	if r.use, err = h.process.usage(); err != nil {
		return r, err
	}
	r.at, r.reports, r.to = time.Now(), h.endpointRelay.snapshot(), map[string]traffic{}
	for id, p := range h.peerRelays {
		r.to[id] = p.snapshot()
	}
	return r, nil
}

func (d *deployment) readAll(ctx context.Context) (map[string]reading, error) {
	out := map[string]reading{}
	for _, h := range d.hosts {
		r, err := h.read(ctx)
		if err != nil {
			return nil, eris.Wrap(err, h.id)
		}
		out[h.id] = r
	}
	return out, nil
}

// measureWindow measures all hosts while the work runs (nil for none), for at least the given time.
func (d *deployment) measureWindow(ctx context.Context, scenario string, size float64, length time.Duration, work func() error) ([]hostRow, error) {
	before, err := d.readAll(ctx)
	if err != nil {
		return nil, err
	}
	elapsed := time.After(length)
	if work != nil {
		if err := work(); err != nil {
			return nil, err
		}
	}
	select {
	case <-elapsed:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "interrupted")
	}
	after, err := d.readAll(ctx)
	if err != nil {
		return nil, err
	}
	var rows []hostRow
	for _, h := range d.hosts {
		row := d.row(h, before, after)
		row.Scenario, row.Size = scenario, size
		rows = append(rows, row)
	}
	return rows, nil
}

// row returns the rates of a host between two readings. The relays of the other hosts are read too, because a host also
// sends replies on the connections that others opened to it.
func (d *deployment) row(h *host, before, after map[string]reading) hostRow {
	a, b := before[h.id], after[h.id]
	seconds := b.at.Sub(a.at).Seconds()
	sent := newTraffic()
	received := 0
	for _, to := range d.hosts {
		if to == h {
			continue
		}
		sent.merge(b.to[to.id].since(a.to[to.id]))
		back := after[to.id].to[h.id].since(before[to.id].to[h.id])
		sent.Up += back.Down // The replies to the requests of the other host.
		received += back.Up
	}
	received += sent.Down
	reported := b.reports.since(a.reports)
	counter := func(name string, pairs ...string) float64 {
		return (b.metrics.sum(name, pairs...) - a.metrics.sum(name, pairs...)) / seconds
	}
	rate := func(n int) float64 { return float64(n) / seconds }
	row := hostRow{Host: h.id, Role: roleOf(h, b.metrics), Seconds: seconds, Messages: map[string]float64{}, Payload: map[string]float64{}}
	row.Values = map[string]float64{
		cpuPercent: 100 * (b.use.CPUSeconds - a.use.CPUSeconds) / seconds, rssMB: b.use.RSS / 1e6, peakMB: b.use.Peak / 1e6,
		peerSent: rate(sent.Up), peerReceived: rate(received), peerBodies: rate(sent.Bodies), peerRequests: rate(sent.Requests),
		reportBytes: rate(reported.Up + reported.Down), reportBodies: rate(reported.Bodies), reports: rate(reported.Requests),
		connections: rate(reported.Connections), metricBytes: counter("mustardwalk_peer_bytes_total"),
		calls: counter("mustardwalk_endpoint_calls_total"), syncs: counter("mustardwalk_store_writes_total"),
		entries:    counter("mustardwalk_core_entries_applied_total"),
		totalBytes: rate(sent.Up + received + reported.Up + reported.Down),
	}
	for k, n := range sent.Messages {
		row.Messages[k], row.Payload[k] = rate(n), rate(sent.Payload[k])
	}
	return row
}

// roleOf derives the role of a host from its metrics.
func roleOf(h *host, m samples) string {
	own := "cell/" + h.zone
	const leads, votes = "mustardwalk_core_group_leads", "mustardwalk_core_group_votes"
	all := m.sum(votes)
	switch {
	case m.sum(leads, "group", "deployment") > 0:
		return roleDeploymentLeader
	case m.sum(leads) > 0:
		return roleCellLeader
	case all > m.sum(votes, "group", own)+m.sum(votes, "group", "deployment"):
		return roleWitness
	case all > 0:
		return roleFollower
	}
	return roleEntry
}

// byRole returns the means of a quantity over the hosts of each role.
func byRole(rows []hostRow, quantity func(hostRow) float64) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, r := range rows {
		sum[r.Role] += quantity(r)
		n[r.Role]++
	}
	for role := range sum {
		sum[role] /= n[role]
	}
	return sum
}

// mean returns the mean of a quantity over all hosts.
func mean(rows []hostRow, quantity func(hostRow) float64) float64 {
	sum := 0.0
	for _, r := range rows {
		sum += quantity(r) / float64(len(rows))
	}
	return sum
}

// value returns a function that returns the named quantity of a row.
func value(name string) func(hostRow) float64 {
	return func(r hostRow) float64 { return r.Values[name] }
}

// kindsOf returns all kinds of messages that were sent, in order.
func kindsOf(rows []hostRow) []string {
	all := map[string]bool{}
	for _, r := range rows {
		for k, n := range r.Messages {
			if n > 0 {
				all[k] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(all))
}
