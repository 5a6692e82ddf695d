package standin

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// resultsInFlight bounds the results that are sent and not yet acknowledged.
const resultsInFlight = 8

// Action is one thing that the caller of Tick has to do: send a report or record an event. Exactly one field is set.
type Action struct {
	Report *Report
	// Time of the event is that of the call of Handle, Tick or HandleReply, and Host is "<worker>/<incarnation>".
	Event *history.Event
}

// Report is a message to any host of the endpoint's zone. Exactly one field besides ID is set.
type Report struct {
	ID           uint64
	Announcement *endpoint.Announcement
	Heartbeat    *endpoint.Heartbeat
	Leaving      *endpoint.Leaving
	Result       *endpoint.Result
}

// ReportReply is the reply to the Report with the same ID. Both fields are nil if the report failed.
type ReportReply struct {
	ID             uint64
	HeartbeatReply *endpoint.HeartbeatReply
	Ack            *endpoint.Ack
}

// reports is the part of an Endpoint that sends reports to hosts.
type reports struct {
	nextID         uint64
	sentReport     map[uint64]*sentReport // By report ID.
	results        []*result
	heartbeatDue   time.Duration
	leavingDue     time.Duration
	previousAnswer []byte             // The newest answer so far, for CrossAnswers.
	usage          map[string]float64 // Shares of normal speed for the next heartbeat, by attempt.
}

// sentReport is a report that has no reply yet.
type sentReport struct {
	at             time.Duration
	isHeartbeat    bool
	isAnnouncement bool
	leaving        bool
	listedAttempts []string // Attempts that a heartbeat lists; its reply renews their leases.
	result         *result
}

// result is a result that is not acknowledged yet.
type result struct {
	endpoint.Result
	due            time.Duration // Earliest time of the next send.
	inFlight       bool
	sends          int    // How often the result was sent.
	previousAnswer []byte // The answer of another task, sent in place of this one with CrossAnswers.
	acked          bool   // Acknowledged, and to be sent once more because of DoubleResults.
}

// Tick applies the deadlines that have been reached and returns what is to be done.
func (e *Endpoint) Tick(now time.Duration) []Action {
	e.expire(now)
	var actions []Action
	if !e.Silent() {
		e.expireReports(now)
		actions = e.dueReports(now)
	}
	for i := range e.events {
		actions = append(actions, Action{Event: &e.events[i]})
	}
	e.events = nil
	return actions
}

// HandleReply takes the reply to a report. A reply to a report that was given up is ignored.
func (e *Endpoint) HandleReply(now time.Duration, r ReportReply) {
	e.expire(now)
	s := e.sentReport[r.ID]
	if s == nil || e.Silent() {
		return
	}
	delete(e.sentReport, r.ID)
	switch {
	case s.result != nil:
		e.resultReplied(now, s.result, r.Ack)
	case s.leaving:
		e.leavingAcked = r.Ack != nil && r.Ack.Accepted
		e.leavingDue = now + RetryPeriod
	default:
		e.heartbeatReplied(now, s, r.HeartbeatReply)
	}
}

// heartbeatReplied renews leases from the time the heartbeat was sent. A reply of an older leader renews nothing.
func (e *Endpoint) heartbeatReplied(now time.Duration, s *sentReport, b *endpoint.HeartbeatReply) {
	if b == nil || b.Epoch < e.epoch {
		e.heartbeatDue = now + RetryPeriod
		return
	}
	e.epoch = b.Epoch
	e.known = b.Known
	if !b.Known {
		e.heartbeatDue = now
		if s.isAnnouncement {
			e.heartbeatDue = now + RetryPeriod
		}
		return
	}
	if b.LeaseMillis > 0 {
		e.lease = time.Duration(b.LeaseMillis) * time.Millisecond
	}
	if b.PeriodMillis > 0 {
		e.period = time.Duration(b.PeriodMillis) * time.Millisecond
	}
	e.heartbeatDue = s.at + e.period
	if s.isAnnouncement {
		e.heartbeatDue = now
	}
	for _, a := range b.StopAttempts {
		e.stop(now, a)
	}
	for _, a := range s.listedAttempts {
		e.renew(a, s.at+e.lease)
	}
}

func (e *Endpoint) renew(attempt string, until time.Duration) {
	for _, t := range e.members(attempt) {
		if t.phase != endpoint.PhaseReserved {
			t.leaseUntil = max(t.leaseUntil, until)
		}
	}
}

func (e *Endpoint) resultReplied(now time.Duration, r *result, ack *endpoint.Ack) {
	r.inFlight = false
	if ack == nil || (!ack.Accepted && ack.Retry) {
		r.due = now + RetryPeriod
		return
	}
	if e.faults.DoubleResults && !r.acked {
		r.acked, r.due = true, now+RetryPeriod
		return
	}
	e.results = slices.DeleteFunc(e.results, func(x *result) bool { return x == r })
}

// dueReports returns the reports to send now, and counts them as sent.
func (e *Endpoint) dueReports(now time.Duration) []Action {
	var actions []Action
	send := func(s *sentReport, r Report) {
		e.nextID++
		s.at, r.ID = now, e.nextID
		e.sentReport[r.ID] = s
		actions = append(actions, Action{Report: &r})
	}
	if now >= e.heartbeatDue {
		e.heartbeatDue = now + ReportTimeout + RetryPeriod
		if e.known {
			h := e.heartbeat()
			send(&sentReport{isHeartbeat: true, listedAttempts: attemptsOf(h)}, Report{Heartbeat: h})
		} else {
			a := e.announcement
			a.Leaving = e.leaving
			send(&sentReport{isAnnouncement: true}, Report{Announcement: &a})
		}
	}
	if e.leaving && !e.leavingAcked && now >= e.leavingDue {
		e.leavingDue = now + RetryPeriod // The notice may be repeated, and new work may be assigned until it arrives.
		e.recordLeaving(now)
		send(&sentReport{leaving: true}, Report{Leaving: &endpoint.Leaving{Worker: e.announcement.Worker, Incarnation: e.announcement.Incarnation}})
	}
	for _, r := range e.dueResults(now) {
		body := e.resultToSend(r)
		r.inFlight = true
		r.sends++
		send(&sentReport{result: r}, Report{Result: &body})
	}
	return actions
}

func (e *Endpoint) recordLeaving(now time.Duration) {
	if !e.leavingRecorded {
		e.leavingRecorded = true
		e.record(now, history.Event{Kind: history.LeavingSent})
	}
}

func (e *Endpoint) heartbeat() *endpoint.Heartbeat {
	h := &endpoint.Heartbeat{Worker: e.announcement.Worker, Incarnation: e.announcement.Incarnation}
	usage := map[string]float64{}
	list := func(attempt string, phase endpoint.TaskPhase) {
		if !slices.ContainsFunc(h.Attempts, func(a endpoint.AttemptStatus) bool { return a.Attempt == attempt }) {
			h.Attempts = append(h.Attempts, endpoint.AttemptStatus{Attempt: attempt, Phase: phase, Usage: e.usage[attempt]})
		}
	}
	for _, t := range e.tasks {
		list(t.attempt, e.phase(t.attempt))
		if t.phase == endpoint.PhaseRunning {
			usage[t.attempt] = t.share
		}
	}
	for _, r := range e.results {
		if !r.acked {
			list(r.Attempt, endpoint.PhaseEnded)
		}
	}
	e.usage = usage // The next heartbeat reports it.
	return h
}

func attemptsOf(h *endpoint.Heartbeat) []string {
	var names []string
	for _, a := range h.Attempts {
		names = append(names, a.Attempt)
	}
	return names
}

func (e *Endpoint) dueResults(now time.Duration) []*result {
	if e.faults.DropResults {
		return nil
	}
	var due []*result
	inFlight := 0
	for _, r := range e.results {
		if r.inFlight {
			inFlight++
		} else if now >= r.due {
			due = append(due, r)
		}
	}
	return due[:max(0, min(len(due), resultsInFlight-inFlight))]
}

// resultToSend returns a result as it is sent next. A fault switch changes the body of the first send only, and not
// its length and digest: a host that checks them refuses the result, and gets the true answer with the resend.
func (e *Endpoint) resultToSend(r *result) endpoint.Result {
	v := r.Result
	if r.sends > 0 || len(v.Body) == 0 {
		return v
	}
	if e.faults.CrossAnswers {
		v.Body = r.previousAnswer
	}
	if e.faults.TruncateAnswers {
		v.Body = v.Body[:len(v.Body)/2]
	}
	return v
}

func (e *Endpoint) expireReports(now time.Duration) {
	for id, s := range e.sentReport {
		if now-s.at < ReportTimeout {
			continue
		}
		delete(e.sentReport, id)
		if s.result != nil {
			s.result.inFlight, s.result.due = false, now
		}
	}
}

// expire applies the deadlines that have been reached: of reservations, closed gates, leases, checkpoints and work.
func (e *Endpoint) expire(now time.Duration) {
	for _, t := range slices.Clone(e.tasks) {
		switch t.phase {
		case endpoint.PhaseReserved:
			if now-t.reservedAt >= Reservation {
				e.remove(t)
			}
		case endpoint.PhaseReady:
			if now-t.reservedAt >= Reservation {
				e.finish(now, t, endpoint.OutcomeNeverRan, "gate not opened in time", nil)
			}
		case endpoint.PhaseRunning:
			e.expireRunning(now, t)
		}
	}
}

// expireRunning applies the earliest deadline of a running task.
func (e *Endpoint) expireRunning(now time.Duration, t *task) {
	done, ends := t.doneAt()
	if ends && done <= now && done < t.leaseUntil && (t.checkpointAt == 0 || done <= t.checkpointAt) {
		e.complete(now, t)
		return
	}
	if t.checkpointAt != 0 && !t.checkpointWritten && t.checkpointAt <= now && t.checkpointAt < t.leaseUntil {
		t.updateRemaining(t.checkpointAt)
		t.checkpointWritten, t.share = true, 0
		e.checkpoints.save(t.attempt, t.member, t.remaining)
	}
	switch {
	case t.checkpointWritten && t.graceEnd <= now && t.graceEnd < t.leaseUntil:
		e.finish(now, t, endpoint.OutcomeStopped, CheckpointMessage, nil)
	case t.leaseUntil <= now:
		e.finish(now, t, endpoint.OutcomeStopped, "lease ended", nil)
	}
}

func (e *Endpoint) complete(now time.Duration, t *task) {
	if e.faults.FailAll || t.request.Fail {
		e.finish(now, t, endpoint.OutcomeFailed, "the task failed", nil)
		return
	}
	var body []byte
	if t.member == 0 {
		body = t.request.answer(t.job, t.attempt, t.body)
	}
	e.finish(now, t, endpoint.OutcomeSucceeded, "", body)
}

// finish ends a task and queues its result. A task that was only reserved has no result.
func (e *Endpoint) finish(now time.Duration, t *task, o endpoint.Outcome, message string, body []byte) {
	e.remove(t)
	if t.phase == endpoint.PhaseReserved {
		return
	}
	if !t.everRan {
		o = endpoint.OutcomeNeverRan
	}
	e.attemptRecordOf(t.attempt).blocked = true
	v := endpoint.Result{Worker: e.announcement.Worker, Incarnation: e.announcement.Incarnation, Attempt: t.attempt, Epoch: t.epoch,
		Member: t.member, Outcome: o, Message: message, Body: body, Length: len(body)}
	if len(body) > 0 {
		v.SHA256 = Digest(body)
	}
	e.recordStop(now, t, o, v.SHA256)
	late := time.Duration(e.faults.LateMillis) * time.Millisecond
	r := &result{Result: v, due: now + late, previousAnswer: e.previousAnswer}
	if e.previousAnswer == nil {
		r.previousAnswer = Request{}.answer("another job", "another attempt", nil)
	}
	e.results = append(e.results, r)
	if len(body) > 0 {
		e.previousAnswer = body
	}
}

func (e *Endpoint) remove(t *task) {
	e.tasks = slices.DeleteFunc(e.tasks, func(x *task) bool { return x == t })
}
