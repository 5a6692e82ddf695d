package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, with the time since the start in seconds.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

func (r *record) since() time.Duration { return time.Since(r.start) }

// write adds a line to the record.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line to the record and prints it.
func (r *record) say(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf("%8.3f %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // The record is for the reader; the exit code does not depend on it.
	_ = r.file.Close()
}
