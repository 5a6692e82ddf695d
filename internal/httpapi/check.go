package httpapi

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
)

// Bounds of a job, from the documentation of api.JobRequest.
const (
	maxKeyBytes        = 128
	maxJobBytes        = 256 << 10
	maxDurationSeconds = 366 * 24 * 3600
	maxCount           = 1 << 16
)

var (
	classes     = []string{"", "urgent", "standard", "bulk"}
	adjacencies = []string{"", "zone", "rack", "worker"}
)

// checkJob checks the values of a job that can be checked without the state of the scheduler.
func checkJob(j *api.JobRequest) []api.Finding {
	var c checks
	c.addIf(len(j.IdempotencyKey) > maxKeyBytes, "idempotency_key", "must be at most 128 bytes")
	c.addIf(j.NoRepeat && j.IdempotencyKey == "", "no_repeat", "needs an idempotency_key")
	c.addIf(!slices.Contains(classes, j.Class), "class", "must be urgent, standard or bulk")
	c.addIf(!slices.Contains(adjacencies, j.Adjacency), "adjacency", "must be zone, rack or worker")
	c.addIf(j.Gang < 0 || j.Gang > maxCount, "gang", "must be 1 or more")
	c.addIf(j.Accelerators < 0 || j.Accelerators > maxCount, "accelerators", "must be 1 or more")
	c.addIf(j.Zone != "" && !isVisibleASCII(j.Zone, maxNameBytes), "zone", "is not a name of a zone")
	c.addIf(!validSeconds(j.DeadlineSeconds), "deadline_seconds", "must be 0 or more and at most a year")
	c.addIf(!validSeconds(j.DeclaredSeconds), "declared_seconds", "must be 0 or more and at most a year")
	c.addIf(len(j.Body) > maxJobBytes, "body", "must be at most 256 KiB")
	return c.findings
}

func validSeconds(v float64) bool { return !math.IsNaN(v) && v >= 0 && v <= maxDurationSeconds }

// checks collects findings.
type checks struct{ findings []api.Finding }

func (c *checks) addIf(wrong bool, field, message string) {
	if wrong {
		c.findings = append(c.findings, api.Finding{Field: field, Message: message})
	}
}

func (c *checks) checkName(field, value string) {
	c.addIf(!isVisibleASCII(value, maxNameBytes), field, "must be 1 to 128 visible ASCII characters")
}

func checkAnnouncement(n *endpoint.Announcement) []api.Finding {
	var c checks
	c.checkName("worker", n.Worker)
	c.checkName("incarnation", n.Incarnation)
	c.checkName("zone", n.Zone)
	c.addIf(n.Rack != "" && !isVisibleASCII(n.Rack, maxNameBytes), "rack", "must be at most 128 visible ASCII characters")
	c.addIf(!isVisibleASCII(n.Address, maxNameBytes) || !strings.Contains(n.Address, ":") || strings.ContainsAny(n.Address, "/?#@"),
		"address", "must be host:port")
	sizes := []struct {
		field string
		value int
	}{{"accelerators", n.Accelerators}, {"slots", n.Slots}, {"cores", n.Cores}, {"memory_mb", n.MemoryMB}, {"connections", n.Connections}}
	for _, s := range sizes {
		c.addIf(s.value < 0, s.field, "must not be negative")
	}
	return c.findings
}

func checkHeartbeat(h *endpoint.Heartbeat) []api.Finding {
	var c checks
	c.checkName("worker", h.Worker)
	c.checkName("incarnation", h.Incarnation)
	for i, held := range h.Attempts {
		c.checkName(fmt.Sprintf("held[%d].attempt", i), held.Attempt)
	}
	return c.findings
}

func checkLeaving(l *endpoint.Leaving) []api.Finding {
	var c checks
	c.checkName("worker", l.Worker)
	c.checkName("incarnation", l.Incarnation)
	return c.findings
}

// checkResult does not check the length and the digest of the answer. The cell does, and asks the endpoint again for a
// damaged answer.
func checkResult(r *endpoint.Result) []api.Finding {
	var c checks
	c.checkName("worker", r.Worker)
	c.checkName("incarnation", r.Incarnation)
	c.checkName("attempt", r.Attempt)
	c.addIf(r.Outcome == "", "outcome", "is missing")
	c.addIf(len(r.Body) > endpoint.MaxAnswerBytes, "body", "must be at most 256 KiB")
	return c.findings
}
