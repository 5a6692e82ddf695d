package history

import (
	"fmt"
)

// scopedKey is an idempotency key in its workspace.
type scopedKey struct{ workspace, key string }

// submission is what the history contains about one call that submitted a job.
type submission struct {
	call      string
	at        int64
	workspace string
	key       string
	noRepeat  bool
	job       string // Job of the acceptance, empty without one.
	refusedAt int64
	refused   bool
	notRun    string
	refusal   Event
	delivered bool
}

// mayHaveKey tells whether the call may have carried a key. The workspace of a call that was only refused may not be known.
func (s *submission) mayHaveKey(k scopedKey) bool {
	unknown := s.workspace == "" || k.workspace == ""
	return s.key != "" && s.key == k.key && (unknown || s.workspace == k.workspace)
}

// submissions returns the calls that submitted jobs, in the order in which they were sent and by Call.
func submissions(events []Event) ([]*submission, map[string]*submission) {
	var list []*submission
	byCall := map[string]*submission{}
	for _, e := range events {
		if e.Kind == Submitted && byCall[e.Call] == nil {
			s := &submission{call: e.Call, at: e.Time, workspace: e.Workspace, key: e.Key, noRepeat: e.NoRepeat}
			list = append(list, s)
			byCall[e.Call] = s
		}
		s := byCall[e.Call]
		if s == nil {
			continue
		}
		switch e.Kind {
		case Accepted:
			s.job = e.Job
			if s.workspace == "" {
				s.workspace = e.Workspace // A caller learns its workspace from the answer.
			}
		case Refused:
			s.refused, s.refusedAt, s.notRun, s.refusal = true, e.Time, e.NotRun, e
		case AnswerDelivered:
			s.delivered = true
		}
	}
	return list, byCall
}

// jobKeys returns the key of each job that has one, and which jobs must not be repeated.
func jobKeys(events []Event) (map[string]scopedKey, map[string]bool) {
	keys := map[string]scopedKey{}
	noRepeat := map[string]bool{}
	_, byCall := submissions(events)
	note := func(job string, k scopedKey, once bool) {
		if k.key != "" && k.workspace != "" {
			keys[job] = k
		}
		if once {
			noRepeat[job] = true
		}
	}
	for _, e := range events {
		switch s := byCall[e.Call]; {
		case e.Kind == Committed:
			note(e.Job, scopedKey{e.Workspace, e.Key}, e.NoRepeat)
		case e.Kind == Claimed:
			note(e.Job, scopedKey{e.Workspace, e.Key}, true)
		case e.Kind == Accepted && s != nil:
			note(e.Job, scopedKey{s.workspace, s.key}, s.noRepeat)
		}
	}
	return keys, noRepeat
}

// CheckNoRepeat checks that at most one attempt starts for each job, and for each key, that must not be repeated. The
// members of one attempt count once.
func CheckNoRepeat(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleNoRepeat}
	keys, noRepeat := jobKeys(events)
	started := map[string]string{}
	for _, e := range events {
		if e.Kind != Started || !noRepeat[e.Job] {
			continue
		}
		subject := "job " + e.Job
		if k, ok := keys[e.Job]; ok {
			subject = fmt.Sprintf("key %s of workspace %s", k.key, k.workspace)
		}
		if earlier, ok := started[subject]; ok && earlier != e.Attempt {
			f.add(e.Time, "%s started as attempt %s and again as attempt %s", subject, earlier, e.Attempt)
			continue
		}
		started[subject] = e.Attempt
	}
	return f.list
}

// CheckNotRun checks each refusal that says that the job has not run. No attempt may start, at any time, for the refused
// call or for an earlier call with its key. A job that may come from a later call with the key is no violation.
func CheckNotRun(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleNotRun}
	calls, _ := submissions(events)
	keys, _ := jobKeys(events)
	starts, committed := map[string]int64{}, map[string]int64{}
	for _, e := range events {
		if _, known := starts[e.Job]; e.Kind == Started && e.Job != "" && !known {
			starts[e.Job] = e.Time
		}
		if _, known := committed[e.Job]; e.Kind == Committed && !known {
			committed[e.Job] = e.Time
		}
	}
	for _, s := range calls {
		if !s.refused || s.notRun != "true" {
			continue
		}
		for _, job := range sortedKeys(starts) {
			named := s.refusal.Job == job || s.job == job
			sameKey := s.mayHaveKey(keys[job])
			if named || (sameKey && !mayComeFromLaterCall(job, s, calls, committed)) {
				f.add(s.refusedAt, "call %s was refused as not run, and its job %s started", s.call, job)
			}
		}
	}
	return f.list
}

// mayComeFromLaterCall tells whether a job may come from a call with the same key that was sent after the refused one, and
// from no earlier one.
func mayComeFromLaterCall(job string, refused *submission, calls []*submission, committed map[string]int64) bool {
	at, known := committed[job]
	later := false
	for _, c := range calls {
		if c == refused || !c.mayHaveKey(scopedKey{refused.workspace, refused.key}) {
			continue
		}
		if c.at < refused.at && c.job == job {
			return false
		}
		if c.at >= refused.at && !(c.refused && c.notRun == "true") && (!known || at >= c.at) {
			later = true
		}
	}
	return later
}

// CheckAnswers checks that each job has at most one committed answer, that the endpoint sent this answer, and that
// callers receive it complete and for their own job only.
func CheckAnswers(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleAnswers}
	_, byCall := submissions(events)
	sentDigest := map[string]string{} // Digest of the answer that the endpoint sent, by attempt.
	attemptJob := map[string]string{} // Job by attempt.
	workspace := map[string]string{}  // Workspace by job.
	answered := map[string]Event{}
	for _, e := range events {
		switch e.Kind {
		case Placed, Started:
			attemptJob[e.Attempt] = e.Job
		case Committed:
			workspace[e.Job] = e.Workspace
		case Stopped:
			if e.Digest != "" && e.Member == 0 {
				sentDigest[e.Attempt] = e.Digest
			}
		case AnswerCommitted:
			f.checkAnswered(e, answered, attemptJob, sentDigest)
		case AnswerDelivered:
			f.checkDelivered(e, answered, workspace, byCall[e.Call])
		}
	}
	return f.list
}

// checkAnswered checks one committed answer. Several replicas may record the same one.
func (f *ruleViolations) checkAnswered(e Event, answered map[string]Event, attemptJob, sentDigest map[string]string) {
	first, again := answered[e.Job]
	if again && (first.Attempt != e.Attempt || first.Outcome != e.Outcome || first.Digest != e.Digest) {
		f.add(e.Time, "job %s has a second answer, of attempt %s after attempt %s", e.Job, e.Attempt, first.Attempt)
		return
	}
	answered[e.Job] = e
	if job, known := attemptJob[e.Attempt]; known && e.Attempt != "" && job != e.Job {
		f.add(e.Time, "the answer of job %s is of attempt %s, which belongs to job %s", e.Job, e.Attempt, job)
	}
	if digest, known := sentDigest[e.Attempt]; known && e.Outcome == "succeeded" && digest != e.Digest {
		f.add(e.Time, "the committed answer of job %s is not the one its endpoint produced", e.Job)
	}
}

func (f *ruleViolations) checkDelivered(e Event, answered map[string]Event, workspace map[string]string, call *submission) {
	a, known := answered[e.Job]
	switch {
	case !known:
		f.add(e.Time, "call %s got an answer of job %s before one was committed", e.Call, e.Job)
	case a.Digest != e.Digest || a.Outcome != e.Outcome:
		f.add(e.Time, "call %s got another answer of job %s than was committed", e.Call, e.Job)
	}
	if w := workspace[e.Job]; w != "" && e.Workspace != "" && w != e.Workspace {
		f.add(e.Time, "workspace %s got the answer of job %s, which belongs to %s", e.Workspace, e.Job, w)
	}
	if call != nil && call.job != "" && call.job != e.Job {
		f.add(e.Time, "call %s was accepted as job %s and got the answer of job %s", e.Call, call.job, e.Job)
	}
}

// CheckNothingLost checks that every accepted job is answered by the end of the history, and, in a history without
// faults, that every call got an acceptance, a refusal or an answer. The history must end after all jobs have ended.
func CheckNothingLost(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleNothingLost}
	calls, _ := submissions(events)
	answered := map[string]bool{}
	faulty := false
	for _, e := range events {
		answered[e.Job] = answered[e.Job] || e.Kind == AnswerCommitted
		faulty = faulty || e.Kind == Fault
	}
	end := endTime(events)
	reported := map[string]bool{}
	for _, s := range calls {
		if s.job != "" && !answered[s.job] && !reported[s.job] {
			reported[s.job] = true
			f.add(end, "job %s was accepted and has no answer", s.job)
		}
		if !faulty && s.job == "" && !s.refused && !s.delivered {
			f.add(end, "call %s was interrupted", s.call)
		}
	}
	return f.list
}
