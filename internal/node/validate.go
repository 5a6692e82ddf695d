package node

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Limits of a job request.
const (
	maxKeyBytes     = 128
	maxBodyBytes    = 256 << 10
	maxGang         = 4096
	maxAccelerators = 1024
	maxSeconds      = 30 * 24 * 3600
)

var classes = map[string]table.Class{"": table.Standard, "urgent": table.Urgent, "standard": table.Standard,
	"bulk": table.Bulk}

var adjacencies = map[string]table.Adjacency{"": table.SameZone, "zone": table.SameZone, "rack": table.SameRack,
	"worker": table.SameWorker}

// newJob validates a request and turns it into a job without an identifier. All findings are reported together.
func (n *Node) newJob(workspace string, r *api.JobRequest) (table.Job, *api.Error) {
	var findings []api.Finding
	add := func(field, format string, args ...any) {
		findings = append(findings, api.Finding{Field: field, Message: fmt.Sprintf(format, args...)})
	}
	class, ok := classes[r.Class]
	if !ok {
		add("class", "must be urgent, standard or bulk")
	}
	adjacency, ok := adjacencies[r.Adjacency]
	if !ok {
		add("adjacency", "must be zone, rack or worker")
	}
	checkRange(add, "gang", r.Gang, maxGang)
	checkRange(add, "accelerators", r.Accelerators, maxAccelerators)
	checkSeconds(add, "deadline_seconds", r.DeadlineSeconds)
	checkSeconds(add, "declared_seconds", r.DeclaredSeconds)
	if len(r.IdempotencyKey) > maxKeyBytes {
		add("idempotency_key", "has more than %d bytes", maxKeyBytes)
	}
	if r.NoRepeat && r.IdempotencyKey == "" {
		add("idempotency_key", "is needed with no_repeat")
	}
	if len(r.Body) > maxBodyBytes {
		add("body", "has more than %d bytes", maxBodyBytes)
	}
	if r.Zone != "" && !n.hasZone(r.Zone) {
		add("zone", "is unknown; the zones are %s", strings.Join(n.zones, ", "))
	}
	if len(findings) > 0 {
		return table.Job{}, &api.Error{Status: http.StatusUnprocessableEntity, Code: api.CodeInvalid,
			Message: "the request has findings", NotRun: notRun(r.IdempotencyKey == ""), Findings: findings}
	}
	return table.Job{
		Workspace:         workspace,
		Class:             class,
		Shape:             table.Shape{Gang: max(r.Gang, 1), Accelerators: max(r.Accelerators, 1), Adjacency: adjacency},
		NoRepeat:          r.NoRepeat,
		Key:               r.IdempotencyKey,
		Body:              r.Body,
		DeadlineMillis:    millis(r.DeadlineSeconds),
		DeclaredRunMillis: millis(r.DeclaredSeconds),
		Zone:              r.Zone,
	}, nil
}

func checkRange(add func(string, string, ...any), field string, value, limit int) {
	if value < 0 || value > limit {
		add(field, "must be from 1 to %d", limit)
	}
}

func checkSeconds(add func(string, string, ...any), field string, value float64) {
	if !(value >= 0 && value <= maxSeconds) {
		add(field, "must be from 0 to %d", maxSeconds)
	}
}

func millis(seconds float64) int64 { return int64(seconds * float64(time.Second/time.Millisecond)) }

func (n *Node) hasZone(zone string) bool {
	for _, z := range n.zones {
		if z == zone {
			return true
		}
	}
	return false
}

// notRun returns the statement of an error on whether the job ran, for a request that started nothing itself. Nothing
// ran for certain if the request has no idempotency key; otherwise an earlier request with the key could have started
// the job, and the answer is that this is unknown.
func notRun(certain bool) api.NotRun {
	if certain {
		return api.NotRunTrue
	}
	return api.NotRunUnknown
}

// jobID returns a random identifier that starts with the zone to which the job is submitted first.
func (n *Node) jobID(zone string) string {
	const digits = 12
	random := n.settings.Random(1 << 62)
	return fmt.Sprintf("%s-%0*s", zone, digits, strconv.FormatInt(random, 36))
}

// zoneOf returns the zone in a job identifier, or "" if the identifier names no zone of the deployment.
func (n *Node) zoneOf(job string) string {
	i := strings.LastIndexByte(job, '-')
	if i < 0 || !n.hasZone(job[:i]) {
		return ""
	}
	return job[:i]
}

// digestOf returns a digest of a job request, by which the use of an idempotency key for another request is detected.
func digestOf(r *api.JobRequest) string {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(eris.Wrap(err, "encode a job request"))
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

func unavailable(what string) *api.Error {
	return &api.Error{Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, NotRun: api.NotRunUnknown,
		Message: "no leader of " + what + " answered in time", RetryAfterSeconds: 1}
}

func notFound(what string) *api.Error {
	return &api.Error{Status: http.StatusNotFound, Code: api.CodeNotFound, Message: what + " does not exist"}
}
