// Package harness runs the programs of the deploy file as processes on loopback addresses, with stand-ins for the
// platform's workers, clients and operator. The scripts of the review use it.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of one run: what was sent, answered and run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, "error: the record is incomplete:", err)
	}
}
