// Package timeline selects the log lines of several hosts that concern one job, and orders them by time.
//
// The lines are those of internal/eventlog: key=value pairs. Text before the pairs, such as the time and the host that
// a log collector adds, is ignored. A line concerns a job if it names the job, one of its tasks or a request for the
// job. Lines about a worker concern the job while an attempt of the job is on that worker. Changes of leadership and
// some other events of the whole domain concern it while it is open.
package timeline

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a line; no event is longer.
const maxLineBytes = 1 << 20

// Entry is one event of a log.
type Entry struct {
	Time   string            `json:"time"` // Time of day in UTC; the clocks of hosts may differ.
	Host   string            `json:"host"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	keys   []string          // Keys of Fields in the order of the line.
	index  int               // Position in the input; orders events of the same time.
}

// Detail returns Fields as key=value pairs in the order of the line. Time, Host and Event are not among them.
func (e *Entry) Detail() string {
	var out []string
	for _, k := range e.keys {
		v := e.Fields[k]
		if strings.ContainsFunc(v, unicode.IsSpace) || v == "" {
			v = strconv.Quote(v)
		}
		out = append(out, k+"="+v)
	}
	return strings.Join(out, " ")
}

// Parse parses a line. It returns false if the line is not an event.
func Parse(line string) (Entry, bool) {
	start := strings.Index(line, "time=")
	if start < 0 {
		return Entry{}, false
	}
	e := Entry{Fields: map[string]string{}}
	for rest := strings.TrimSpace(line[start:]); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, value, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.ContainsFunc(key, unicode.IsSpace) {
			return Entry{}, false
		}
		if strings.HasPrefix(value, `"`) {
			quoted, err := strconv.QuotedPrefix(value)
			if err != nil {
				return Entry{}, false
			}
			text, err := strconv.Unquote(quoted)
			if err != nil {
				return Entry{}, false
			}
			rest = value[len(quoted):]
			e.set(key, text)
			continue
		}
		value, rest, _ = strings.Cut(value, " ")
		e.set(key, value)
	}
	return e, e.Event != ""
}

func (e *Entry) set(key, value string) {
	switch key {
	case "time":
		e.Time = value
	case "host":
		if e.Host == "" {
			e.Host = value
			return
		}
		e.Fields[key], e.keys = value, append(e.keys, key)
	case "event":
		e.Event = value
	default:
		e.Fields[key], e.keys = value, append(e.keys, key)
	}
}

// Read reads all events of a log and skips lines that are not events.
func Read(r io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	var out []Entry
	for scanner.Scan() {
		if e, ok := Parse(scanner.Text()); ok {
			out = append(out, e)
		}
	}
	return out, eris.Wrap(scanner.Err(), "reading a log")
}

// ForJob returns the events that concern a job, ordered by time.
func ForJob(entries []Entry, job string) []Entry {
	entries = slices.Clone(entries)
	for i := range entries {
		entries[i].index = i
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.index, b.index)) })
	f := jobTracker{job: job, requests: requestsOf(entries, job), attemptsOn: map[string]map[attempt]bool{}}
	var out []Entry
	for _, e := range entries {
		if f.concerns(e) {
			out = append(out, e)
		}
	}
	return out
}

// requestsOf returns the identifiers of the requests for a job: those with a line that names the job or whose path ends
// with its name.
func requestsOf(entries []Entry, job string) map[string]bool {
	out := map[string]bool{}
	for _, e := range entries {
		if r := e.Fields["request"]; r != "" && (e.Fields["job"] == job || strings.HasSuffix(e.Fields["path"], job)) {
			out[r] = true
		}
	}
	return out
}

// attempt identifies an attempt in a log.
type attempt struct{ task, number string }

// jobTracker decides which events concern a job. It tracks the state of the job while it goes through the events in
// order.
type jobTracker struct {
	job        string
	requests   map[string]bool
	attemptsOn map[string]map[attempt]bool // The job's attempts by worker. A log may name the end of one several times.
	jobOpen    bool
}

func (f *jobTracker) concerns(e Entry) bool {
	direct := e.Fields["job"] == f.job || strings.HasPrefix(e.Fields["task"], f.job+".") || e.Fields["for_job"] == f.job ||
		f.requests[e.Fields["request"]]
	if direct {
		f.track(e)
		return true
	}
	if worker := e.Fields["worker"]; worker != "" {
		return len(f.attemptsOn[worker]) > 0 && workerEvents[e.Event]
	}
	return f.jobOpen && openJobEvents[e.Event]
}

func (f *jobTracker) track(e Entry) {
	switch e.Event {
	case "job_submitted":
		f.jobOpen = true
	case "job_ended":
		f.jobOpen = false
	case "attempt_begun":
		worker := e.Fields["worker"]
		if f.attemptsOn[worker] == nil {
			f.attemptsOn[worker] = map[attempt]bool{}
		}
		f.attemptsOn[worker][attempt{e.Fields["task"], e.Fields["attempt"]}] = true
	case "attempt_ended", "attempt_lost":
		delete(f.attemptsOn[e.Fields["worker"]], attempt{e.Fields["task"], e.Fields["attempt"]})
	}
}

// Events about a worker, which concern each job with an attempt on that worker, and events that concern all open jobs.
var (
	workerEvents = map[string]bool{
		"leases_over": true, "worker_life_over": true, "worker_leaving": true, "worker_left": true, "worker_forgotten": true,
		"worker_registered": true, "worker_call_unanswered": true, "worker_call_refused": true, "worker_list_unreadable": true,
	}
	openJobEvents = map[string]bool{
		"leadership_began": true, "leadership_ended": true, "proposal_refused": true, "zone_applied": true, "disk_full": true,
	}
)
