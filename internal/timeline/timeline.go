// Package timeline puts the log lines of several hosts that concern one job into one order.
//
// Lines are those of internal/eventlog: key=value pairs. Text in front of the pairs, such as the time and the host that a
// collector adds, is ignored. A line concerns a job if it names the job, a task of it or the request that submitted it;
// lines about a worker concern it while an attempt of the job is on that worker, and changes of leadership while it is open.
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

// maxLine bounds a line, in bytes; no event is longer.
const maxLine = 1 << 20

// Entry is one event.
type Entry struct {
	Time   string            `json:"time"` // Time of day, UTC; clocks of hosts may differ.
	Host   string            `json:"host"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	keys   []string          // In the order of the line.
	order  int
}

// Detail returns the fields as key=value pairs in the order of the line, without those that others show.
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

// Parse reads a line. False means that it is not an event.
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

// Read reads all events of a log. Lines that are not events are skipped.
func Read(r io.Reader) ([]Entry, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	var out []Entry
	for scanner.Scan() {
		if e, ok := Parse(scanner.Text()); ok {
			out = append(out, e)
		}
	}
	return out, eris.Wrap(scanner.Err(), "reading a log")
}

// Of returns the events that concern a job, in the order of time.
func Of(entries []Entry, job string) []Entry {
	entries = slices.Clone(entries)
	for i := range entries {
		entries[i].order = i
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.order, b.order)) })
	f := follower{job: job, requests: requestsOf(entries, job), on: map[string]int{}}
	var out []Entry
	for _, e := range entries {
		if f.concerns(e) {
			out = append(out, e)
		}
	}
	return out
}

// requestsOf returns the requests that name a job.
func requestsOf(entries []Entry, job string) map[string]bool {
	out := map[string]bool{}
	for _, e := range entries {
		if r := e.Fields["request"]; r != "" && (e.Fields["job"] == job || strings.HasSuffix(e.Fields["path"], job)) {
			out[r] = true
		}
	}
	return out
}

// follower follows a job through the events.
type follower struct {
	job      string
	requests map[string]bool
	on       map[string]int // Attempts by worker.
	open     bool
}

func (f *follower) concerns(e Entry) bool {
	own := e.Fields["job"] == f.job || strings.HasPrefix(e.Fields["task"], f.job+".") || e.Fields["for_job"] == f.job ||
		f.requests[e.Fields["request"]]
	if own {
		f.follow(e)
		return true
	}
	if worker := e.Fields["worker"]; worker != "" {
		return f.on[worker] > 0 && aboutWorker[e.Event]
	}
	return f.open && aboutLeader[e.Event]
}

func (f *follower) follow(e Entry) {
	switch e.Event {
	case "job_submitted":
		f.open = true
	case "job_ended":
		f.open = false
	case "attempt_begun":
		f.on[e.Fields["worker"]]++
	case "attempt_ended":
		f.on[e.Fields["worker"]]--
	}
}

// Events that concern all jobs with an attempt on a worker, and all open jobs.
var (
	aboutWorker = map[string]bool{
		"leases_over": true, "worker_life_over": true, "worker_left": true, "worker_forgotten": true,
		"worker_registered": true, "worker_call_unanswered": true, "worker_call_refused": true, "worker_list_unreadable": true,
	}
	aboutLeader = map[string]bool{
		"leadership_began": true, "leadership_ended": true, "proposal_refused": true, "zone_applied": true, "disk_full": true,
	}
)
