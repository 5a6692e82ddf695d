package daemon

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/history"
)

// eventRecorder writes events to the log and to the history file. Each line is written at once, without a buffer, so
// that a killed process loses none.
type eventRecorder struct {
	host   string
	log    logr.Logger
	file   *os.File // Nil without a history file.
	failed bool     // Set by the first failed write, so that only this one is logged.
}

func newEventRecorder(host, path string, log logr.Logger) (*eventRecorder, error) {
	h := &eventRecorder{host: host, log: log}
	if path == "" {
		return h, nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "opening the history file")
	}
	h.file = f
	return h, nil
}

// record writes an event, to which it adds the time at and the identifier of this host.
func (r *eventRecorder) record(e history.Event, at time.Time) {
	e.Time = at.UnixNano()
	e.Host = r.host
	r.log.Info("recorded", logFields(e)...)
	if r.file == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	if err != nil && !r.failed {
		r.failed = true
		r.log.Error(err, "history file is incomplete", "event", "history_failed")
	}
}

func (r *eventRecorder) close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// logFields returns the fields of an event that are set, as keys and values of a log line.
func logFields(e history.Event) []any {
	out := []any{"event", string(e.Kind)}
	text := func(key, value string) {
		if value != "" {
			out = append(out, key, value)
		}
	}
	number := func(key string, value uint64) {
		if value != 0 {
			out = append(out, key, value)
		}
	}
	text("call", e.Call)
	text("command", e.CommandID)
	text("workspace", e.Workspace)
	text("key", e.Key)
	text("job", e.Job)
	text("attempt", e.Attempt)
	text("worker", e.Worker)
	text("zone", e.Zone)
	text("group", e.Group)
	number("epoch", e.Epoch)
	number("revision", e.Revision)
	if e.Kind == history.ServiceState || e.Kind == history.ZoneStateAnswered {
		out = append(out, "out", e.Out)
	}
	if e.NoRepeat {
		out = append(out, "no_repeat", true)
	}
	if len(e.Members) > 0 {
		out = append(out, "members", len(e.Members))
	}
	text("outcome", e.Outcome)
	text("not_run", e.NotRun)
	text("code", e.Code)
	text("digest", e.Digest)
	text("message", e.Message)
	return out
}
