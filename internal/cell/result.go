package cell

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// resultWait bounds how long a result waits for the commit of the attempt's end. Then the endpoint is asked to send it
// again.
const resultWait = 2 * time.Second

func ackOf(a endpoint.Ack) Response { return Response{Ack: &a} }

func retryAck(reason string) Response { return ackOf(endpoint.Ack{Retry: true, Reason: reason}) }

func refuseAck(reason string) Response { return ackOf(endpoint.Ack{Reason: reason}) }

// result handles the result of one member. It is acknowledged once the end of the attempt is committed.
func (d *dispatcher) result(now time.Duration, id uint64, q *endpoint.Result) {
	if !intact(q) {
		d.reply(id, retryAck("length or digest of the body is wrong"))
		return
	}
	a := d.tables.Attempt(q.Attempt)
	if a == nil {
		d.reply(id, d.lateResult(q))
		return
	}
	if why := mismatch(a, q); why != "" {
		d.reply(id, refuseAck(why))
		return
	}
	r := d.attempts[a.ID]
	m := &r.members[q.Member]
	for _, earlier := range m.waiters {
		d.reply(earlier, retryAck("sent again"))
	}
	m.waiters = append(m.waiters[:0], id)
	d.timers.add(now+resultWait, func(time.Duration) { d.reply(id, retryAck("the attempt has not ended")) })
	if m.result != nil || r.phase == phaseEnded {
		return
	}
	m.result = failTooLarge(q)
	if r.phase < phaseOpen || (r.phase == phaseOpen && m.result.Outcome != endpoint.OutcomeSucceeded) {
		d.abort(now, r, "a member on worker "+q.Worker+" ended during the start")
	}
	d.step(now, r)
}

// intact reports whether the body matches its length and digest.
func intact(q *endpoint.Result) bool {
	if q.Length != len(q.Body) {
		return false
	}
	if len(q.Body) == 0 && q.SHA256 == "" {
		return true
	}
	sum := sha256.Sum256(q.Body)
	return strings.EqualFold(q.SHA256, hex.EncodeToString(sum[:]))
}

// failTooLarge turns a result with a body above the limit into a failure, because sending it again would not help.
func failTooLarge(q *endpoint.Result) *endpoint.Result {
	if len(q.Body) <= endpoint.MaxAnswerBytes {
		return q
	}
	f := *q
	f.Outcome, f.Message = endpoint.OutcomeFailed,
		"the answer is larger than "+strconv.Itoa(endpoint.MaxAnswerBytes)+" bytes"
	f.Body, f.Length, f.SHA256 = nil, 0, ""
	return &f
}

// mismatch returns why a result does not belong to a live attempt, or "" if it does.
func mismatch(a *table.Attempt, q *endpoint.Result) string {
	switch {
	case q.Member < 0 || q.Member >= len(a.Members):
		return "no such member"
	case a.Members[q.Member].Worker != q.Worker || a.Members[q.Member].Incarnation != q.Incarnation:
		return "the member is on another endpoint"
	case a.Epoch != q.Epoch:
		return "the attempt has another epoch"
	}
	return ""
}

// lateResult returns the response to a result of an attempt that is not live. An attempt whose number is at most the
// job's number of attempts has ended, so its result is acknowledged; others are unknown.
func (d *dispatcher) lateResult(q *endpoint.Result) Response {
	slash := max(strings.LastIndexByte(q.Attempt, '/'), 0)
	n, err := strconv.Atoi(strings.TrimPrefix(q.Attempt[slash:], "/"))
	j := d.tables.Job(q.Attempt[:slash])
	if err != nil || j == nil || n < 1 || n > j.AttemptCount {
		return refuseAck("unknown attempt")
	}
	return ackOf(endpoint.Ack{Accepted: true})
}
