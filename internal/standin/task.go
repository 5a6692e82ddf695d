package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
)

// DefaultRunTime is the run time of a task whose request names none.
const DefaultRunTime = 20 * time.Millisecond

// Request is the body of a job as the stand-in endpoint reads it. A body that is not of this form runs as the zero
// Request.
type Request struct {
	RunMillis   int64  `json:"run_ms,omitempty"`
	AnswerBytes int    `json:"answer_bytes,omitempty"` // Padding of the answer.
	Fail        bool   `json:"fail,omitempty"`
	Echo        string `json:"echo,omitempty"` // Text that the answer repeats.
}

// Answer is the body of an answer. It names the job and the request so that a crossed answer can be detected.
type Answer struct {
	Job     string `json:"job"`
	Attempt string `json:"attempt"`
	Echo    string `json:"echo,omitempty"`
	Request string `json:"request_sha256"` // Hex digest of the request body.
	Padding string `json:"padding,omitempty"`
}

// Digest returns the hex SHA-256 digest of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func parseRequest(body []byte) Request {
	var r Request
	if json.Unmarshal(body, &r) != nil {
		return Request{}
	}
	return r
}

func (r Request) runTime() time.Duration {
	if r.RunMillis <= 0 {
		return DefaultRunTime
	}
	return time.Duration(r.RunMillis) * time.Millisecond
}

// answer builds the answer of a job. Echo and padding are shortened so that the answer stays within MaxAnswerBytes.
func (r Request) answer(job, attempt string, body []byte) []byte {
	const envelope = 1 << 10 // Room for the answer without echo and padding, in bytes.
	a := Answer{Job: job, Attempt: attempt, Request: Digest(body)}
	// JSON escapes a byte as at most six bytes, so the echo takes at most half of the room.
	a.Echo = r.Echo[:min(len(r.Echo), (endpoint.MaxAnswerBytes-envelope)/12)]
	room := endpoint.MaxAnswerBytes - envelope - 6*len(a.Echo)
	a.Padding = strings.Repeat("x", max(0, min(r.AnswerBytes, room)))
	raw, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return raw
}

// task is one member of an attempt while the endpoint holds capacity for it.
type task struct {
	attempt, job     string
	member, gangSize int
	accelerators     int
	epoch            uint64
	phase            endpoint.TaskPhase
	everRan          bool
	reservedAt       time.Duration
	leaseUntil       time.Duration

	body    []byte
	request Request

	// remaining is the run time that was left at the time since, at normal speed. share is the present speed as a share of
	// the normal one.
	remaining time.Duration
	since     time.Duration
	share     float64

	checkpointAt      time.Duration // When the checkpoint is written; 0 for none.
	graceEnd          time.Duration // End of the grace after the checkpoint call.
	checkpointWritten bool          // The task makes no progress any more.
}

// doneAt returns when the task completes at its present speed, and false if it never does.
func (t *task) doneAt() (time.Duration, bool) {
	if t.share <= 0 {
		return 0, false
	}
	return t.since + time.Duration(float64(t.remaining)/t.share), true
}

// updateRemaining subtracts the work done until now from the remaining run time.
func (t *task) updateRemaining(now time.Duration) {
	t.remaining = max(0, t.remaining-time.Duration(float64(now-t.since)*t.share))
	t.since = now
}

// Checkpoints is a store of checkpoints. The checkpoint of a task is its remaining run time. Endpoints that share a
// store can resume each other's tasks. It is safe for concurrent use.
type Checkpoints struct {
	mu        sync.Mutex
	remaining map[taskKey]time.Duration
}

type taskKey struct {
	attempt string
	member  int
}

// NewCheckpoints returns an empty store.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{remaining: map[taskKey]time.Duration{}}
}

func (c *Checkpoints) save(attempt string, member int, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining[taskKey{attempt, member}] = remaining
}

func (c *Checkpoints) load(attempt string, member int) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining, ok := c.remaining[taskKey{attempt, member}]
	return remaining, ok
}
