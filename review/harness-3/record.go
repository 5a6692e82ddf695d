package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder collects what was sent, answered and run, in the order in which it happened.
type recorder struct {
	began time.Time

	mu    sync.Mutex
	lines []string
	spans []*span
}

// span is a run of a task on a worker, as the worker has seen it.
type span struct {
	task, worker string
	run          int
	from, to     time.Duration // to is 0 while it runs.
	how          string
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

// at returns the time since the beginning of the case.
func (r *recorder) at() time.Duration { return time.Since(r.began) }

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", r.at().Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

func (r *recorder) beginSpan(task string, run int, worker string) *span {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &span{task: task, worker: worker, run: run, from: r.at()}
	r.spans = append(r.spans, s)
	return s
}

func (r *recorder) endSpan(s *span, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.to, s.how = r.at(), how
}

// runsOf returns copies of the runs of a task so far, in the order of their begin.
func (r *recorder) runsOf(task string) []span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []span
	for _, s := range r.spans {
		if s.task == task {
			out = append(out, *s)
		}
	}
	return out
}
