package wal

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// BenchmarkRestart measures the time to open a folder and to create a replica from its log, with entries of 256 bytes
// that were appended one by one.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{300, 3000, 30000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			fillFolder(b, folder, entries)
			for b.Loop() {
				restart(b, folder, entries)
			}
		})
	}
}

func fillFolder(b *testing.B, folder string, entries int) {
	l, _, err := open(unsyncedFiles{}, folder)
	if err != nil {
		b.Fatal(err)
	}
	if err := l.WriteIdentity(1); err != nil {
		b.Fatal(err)
	}
	data := string(make([]byte, 256))
	for i := range entries {
		if err := l.Append([]replica.Record{entryRecord("g", uint64(i+1), data)}); err != nil {
			b.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
}

func restart(b *testing.B, folder string, entries int) {
	l, state, err := Open(folder)
	if err != nil {
		b.Fatal(err)
	}
	o := replica.Options{
		Group: "g", Self: replica.Member{Host: "a", Incarnation: 1, Disk: true}, Timing: replica.DefaultTiming,
		Random: func(int64) int64 { return 0 },
	}
	r := replica.New(o, state.Groups["g"], time.Second)
	if r.Status().LastIndex != uint64(entries) {
		b.Fatalf("last index %d", r.Status().LastIndex)
	}
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkAppend measures one synced append of a record of 256 bytes.
func BenchmarkAppend(b *testing.B) {
	l, _, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	if err := l.WriteIdentity(1); err != nil {
		b.Fatal(err)
	}
	data := string(make([]byte, 256))
	for i := uint64(1); b.Loop(); i++ {
		if err := l.Append([]replica.Record{entryRecord("g", i, data)}); err != nil {
			b.Fatal(err)
		}
	}
}

// unsyncedFiles omits the syncs of files, so that a folder is filled fast.
type unsyncedFiles struct{ osFiles }

type unsyncedFile struct{ file }

func (unsyncedFile) Sync() error { return nil }

func (unsyncedFiles) Create(path string) (file, error) {
	f, err := osFiles{}.Create(path)
	return unsyncedFile{f}, err
}
