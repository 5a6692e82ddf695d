package main

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/daemon"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/wal"
)

// parts returns the constructors of the file store and of the node core for package daemon.
func parts() daemon.Parts {
	return daemon.Parts{OpenStore: openStore, NewCore: newCore}
}

func openStore(folder string) (daemon.Store, *daemon.StoredState, error) {
	log, state, err := wal.Open(folder)
	if err != nil {
		return nil, nil, err
	}
	return log, &daemon.StoredState{Incarnation: state.Incarnation, Groups: state.Groups}, nil
}

// core adds metrics to the node. Their values are computed for the time of the last input.
//
// It implements daemon.Core and daemon.MetricsReporter.
type core struct {
	*node.Node
	now time.Duration // Time of the last input.
}

func newCore(s node.Settings, restored map[replica.GroupID]*replica.Restored, now time.Duration) daemon.Core {
	return &core{Node: node.New(s, restored, now), now: now}
}

// Handle passes one input to the node.
func (c *core) Handle(now time.Duration, in node.Input) []node.Output {
	c.now = now
	return c.Node.Handle(now, in)
}

// MetricValues returns the values of the node's metrics.
func (c *core) MetricValues() []daemon.MetricValue {
	m := c.Metrics(c.now)
	out := []daemon.MetricValue{
		{Name: "entries_applied_total", Value: float64(m.Applied), Counter: true},
		{Name: "snapshots_total", Value: float64(m.Snapshots), Counter: true},
		{Name: "peer_messages_sent_total", Value: float64(m.MessagesSent), Counter: true},
		{Name: "peer_messages_received_total", Value: float64(m.MessagesReceived), Counter: true},
		{Name: "peer_messages_refused_total", Value: float64(m.MessagesRefused), Counter: true},
		{Name: "peer_payload_sent_bytes_total", Value: float64(m.BytesSent), Counter: true},
		{Name: "peer_payload_received_bytes_total", Value: float64(m.BytesReceived), Counter: true},
		{Name: "request_retries_total", Value: float64(m.Retries), Counter: true},
		{Name: "requests_routed", Value: float64(m.Asks)},
		{Name: "requests_served", Value: float64(m.Serving)},
		{Name: "callers_open", Value: float64(m.Callers)},
		{Name: "messages_held", Value: float64(m.Held)},
		{Name: "deployment_revision", Value: float64(m.Revision)},
		{Name: "isolated", Value: boolMetricValue(m.Isolated)},
	}
	for _, g := range m.Groups {
		out = append(out, groupMetricValues(g)...)
	}
	return out
}

func groupMetricValues(g node.GroupMetrics) []daemon.MetricValue {
	return []daemon.MetricValue{
		{Name: "group_leads", Group: g.Group, Value: boolMetricValue(g.Leads)},
		{Name: "group_votes", Group: g.Group, Value: boolMetricValue(g.Votes)},
		{Name: "group_term", Group: g.Group, Value: float64(g.Term)},
		{Name: "group_commit_index", Group: g.Group, Value: float64(g.Commit)},
		{Name: "group_applied_index", Group: g.Group, Value: float64(g.Applied)},
		{Name: "jobs", Group: g.Group, Value: float64(g.Jobs)},
		{Name: "attempts_live", Group: g.Group, Value: float64(g.Live)},
		{Name: "workers", Group: g.Group, Value: float64(g.Workers)},
	}
}

func boolMetricValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
