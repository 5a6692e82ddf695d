package cli

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// recorder appends events to a history file. Each event is written with a single write call, so that several processes
// can share a file and no recorded event is lost if the process is killed. A recorder without a file records nothing.
type recorder struct {
	file *os.File
	err  error // Errors of all writes so far; close returns them.
}

func openRecorder(path string) (*recorder, error) {
	if path == "" {
		return &recorder{}, nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open the history file")
	}
	return &recorder{file: f}, nil
}

func (r *recorder) record(e history.Event) {
	if r.file == nil {
		return
	}
	e.Time = time.Now().UnixNano()
	line, err := json.Marshal(e)
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	r.err = errors.Join(r.err, err)
}

func (r *recorder) close() error {
	if r.file == nil {
		return nil
	}
	return errors.Join(r.err, r.file.Close())
}

// commandSent records a change before it is sent.
func (r *recorder) commandSent(callID string, command api.Command, e history.Event) {
	e.Kind, e.Call, e.CommandID = history.CommandSent, callID, command.ID
	if command.Expected != nil {
		e.ExpectedRevision = *command.Expected
	}
	r.record(e)
}

// commandDone records the reply to a change.
func (r *recorder) commandDone(callID string, command api.Command, e history.Event, revision uint64, err error) {
	e.Kind, e.Call, e.CommandID, e.Revision = history.CommandAnswered, callID, command.ID, revision
	var apiError *api.Error
	if errors.As(err, &apiError) {
		e.Code, e.NotRun, e.Revision = apiError.Code, string(apiError.NotRun), apiError.Revision
	} else if err != nil {
		e.Code = api.CodeUnavailable
	}
	r.record(e)
}

// delivered records that the caller received the answer of a job, if the job has one.
func (r *recorder) delivered(callID string, job *api.Job) {
	if job.Answer == nil {
		return
	}
	r.record(history.Event{Kind: history.AnswerDelivered, Job: job.ID, Call: callID, Workspace: job.Workspace,
		Outcome: job.Answer.Outcome, Digest: job.Answer.SHA256})
}

// refused records that a submission failed. If err is not an api.Error, it is recorded as unavailable, and as unknown
// whether the job has run.
func (r *recorder) refused(callID string, err error) {
	e := history.Event{Kind: history.Refused, Call: callID, Code: api.CodeUnavailable, NotRun: string(api.NotRunUnknown)}
	var refused *api.Error
	if errors.As(err, &refused) {
		e.Code, e.NotRun = refused.Code, string(refused.NotRun)
	}
	r.record(e)
}
