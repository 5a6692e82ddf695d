package wal

import (
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// faultyFiles injects faults into the file operations of the operating system.
type faultyFiles struct {
	osFiles
	create                      error // Returned by Create.
	write, sync, rename, folder error // What the operation returns, nil for no fault; folder is for SyncFolder.
	shortWrite                  bool  // A write stops after half of the data, without an error.
	freeBytes                   int   // Bytes left on a disk that fills up, if positive.
	syncCount                   int
}

type faultyFile struct {
	file
	faults *faultyFiles
}

func (f *faultyFiles) Create(path string) (file, error) {
	if f.create != nil {
		return nil, f.create
	}
	out, err := f.osFiles.Create(path)
	return &faultyFile{out, f}, err
}

func (f *faultyFiles) OpenAppend(path string) (file, error) {
	out, err := f.osFiles.OpenAppend(path)
	return &faultyFile{out, f}, err
}

func (f *faultyFiles) Rename(from, to string) error {
	if f.rename != nil {
		return f.rename
	}
	return f.osFiles.Rename(from, to)
}

func (f *faultyFiles) SyncFolder(path string) error {
	if f.folder != nil {
		return f.folder
	}
	return f.osFiles.SyncFolder(path)
}

func (f *faultyFile) Write(data []byte) (int, error) {
	switch {
	case f.faults.write != nil:
		return 0, f.faults.write
	case f.faults.shortWrite:
		return f.file.Write(data[:len(data)/2])
	case f.faults.freeBytes > 0 && f.faults.freeBytes < len(data):
		n, _ := f.file.Write(data[:f.faults.freeBytes])
		return n, syscall.ENOSPC
	}
	return f.file.Write(data)
}

func (f *faultyFile) Sync() error {
	f.faults.syncCount++
	if f.faults.sync != nil {
		return f.faults.sync
	}
	return f.file.Sync()
}

// entryRecord returns a record with one entry, whose term equals its index.
func entryRecord(group replica.GroupID, index uint64, data string) replica.Record {
	return replica.Record{
		Group:     group,
		HardState: &replica.HardState{Term: index},
		Entries:   []replica.Entry{{Index: index, Term: index, Data: []byte(data)}},
	}
}

func reopen(folder string) (*Log, *State) {
	l, s, err := Open(folder)
	Expect(err).NotTo(HaveOccurred())
	return l, s
}

// writeThreeRecords writes a log with an identity and three records of one group. It returns the bytes of the file and
// the offset after each frame.
func writeThreeRecords(folder string) ([]byte, []int) {
	l, _ := reopen(folder)
	Expect(l.WriteIdentity(7)).To(Succeed())
	ends := []int{int(l.Size())}
	for i := range uint64(3) {
		Expect(l.Append([]replica.Record{entryRecord("g", i+1, "data")})).To(Succeed())
		ends = append(ends, int(l.Size()))
	}
	Expect(l.Close()).To(Succeed())
	data, err := os.ReadFile(filepath.Join(folder, logName))
	Expect(err).NotTo(HaveOccurred())
	return data, ends
}

func rewriteFile(folder string, data []byte) {
	Expect(os.WriteFile(filepath.Join(folder, logName), data, 0o600)).To(Succeed())
}

var _ = Describe("a data folder", func() {
	var folder string
	BeforeEach(func() { folder = GinkgoT().TempDir() })

	It("keeps its identity and records across a restart", func() {
		l, s := reopen(folder)
		Expect(s.Incarnation).To(BeZero())
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "a")})).To(MatchError(ErrNoIdentity))
		Expect(l.WriteIdentity(7)).To(Succeed())
		Expect(l.WriteIdentity(8)).To(MatchError(ErrHasIdentity))
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "a"), entryRecord("h", 1, "b")})).To(Succeed())
		Expect(l.Append([]replica.Record{entryRecord("g", 2, "c")})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		l, s = reopen(folder)
		defer l.Close()
		Expect(s.Incarnation).To(Equal(uint64(7)))
		Expect(s.Groups["g"].HardState.Term).To(Equal(uint64(2)))
		Expect(s.Groups["g"].LastIndex()).To(Equal(uint64(2)))
		Expect(s.Groups["h"].Entries[0].Data).To(Equal([]byte("b")))
	})

	It("cannot be opened by a second process", func() {
		l, _ := reopen(folder)
		_, _, err := Open(folder)
		Expect(err).To(MatchError(syscall.EWOULDBLOCK))
		Expect(l.Close()).To(Succeed())
		l, _ = reopen(folder)
		Expect(l.Close()).To(Succeed())
	})

	It("holds only the new records after Replace", func() {
		writeThreeRecords(folder)
		l, _ := reopen(folder)
		before := l.Size()
		Expect(l.Replace([]replica.Record{entryRecord("h", 1, "new")})).To(Succeed())
		Expect(l.Size()).To(BeNumerically("<", before))
		Expect(l.Append([]replica.Record{entryRecord("h", 2, "more")})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		l, s := reopen(folder)
		defer l.Close()
		Expect(s.Incarnation).To(Equal(uint64(7)))
		Expect(s.Groups).To(HaveLen(1))
		Expect(s.Groups["h"].LastIndex()).To(Equal(uint64(2)))
	})

	It("cuts off a last record torn at any byte, and takes further records", func() {
		data, ends := writeThreeRecords(folder)
		for n := ends[2]; n < ends[3]; n++ {
			rewriteFile(folder, data[:n])
			l, s := reopen(folder)
			Expect(s.Groups["g"].LastIndex()).To(Equal(uint64(2)), "cut at %d", n)
			Expect(l.Append([]replica.Record{entryRecord("g", 3, "again")})).To(Succeed())
			Expect(l.Close()).To(Succeed())
			l, s = reopen(folder)
			Expect(s.Groups["g"].Entries[2].Data).To(Equal([]byte("again")))
			Expect(l.Close()).To(Succeed())
		}
	})

	It("cannot be opened with a damaged byte anywhere before a whole record", func() {
		data, ends := writeThreeRecords(folder)
		for i := range ends[2] {
			damaged := append([]byte(nil), data...)
			damaged[i] ^= 0x40
			rewriteFile(folder, damaged)
			_, _, err := Open(folder)
			Expect(err).To(HaveOccurred(), "damage at %d", i)
		}
	})

	It("cannot be opened with damage to a file that Replace wrote and nothing was appended to", func() {
		l, _ := reopen(folder)
		Expect(l.WriteIdentity(7)).To(Succeed())
		Expect(l.Replace([]replica.Record{entryRecord("g", 1, "only")})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		data, err := os.ReadFile(filepath.Join(folder, logName))
		Expect(err).NotTo(HaveOccurred())
		data[len(data)-frameHeaderSize-4] ^= 1
		rewriteFile(folder, data)
		_, _, err = Open(folder)
		Expect(err).To(MatchError(ContainSubstring("damaged record")))
	})

	It("does not take a frame inside the data of a torn record for a whole record", func() {
		data, ends := writeThreeRecords(folder)
		l, _ := reopen(folder)
		Expect(l.Append([]replica.Record{entryRecord("g", 4, string(data[:ends[3]]))})).To(Succeed())
		size := l.Size()
		Expect(l.Close()).To(Succeed())
		Expect(os.Truncate(filepath.Join(folder, logName), size-1)).To(Succeed())
		l, s := reopen(folder)
		defer l.Close()
		Expect(s.Groups["g"].LastIndex()).To(Equal(uint64(3)))
	})

	It("cannot be opened with a gap between entries", func() {
		l, _ := reopen(folder)
		Expect(l.WriteIdentity(7)).To(Succeed())
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "a")})).To(Succeed())
		Expect(l.Append([]replica.Record{entryRecord("g", 3, "c")})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		_, _, err := Open(folder)
		Expect(err).To(MatchError(ContainSubstring("entry 3 does not follow entry 1")))
	})

	It("syncs once per Append", func() {
		f := &faultyFiles{}
		l, _, err := open(f, folder)
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		Expect(l.WriteIdentity(7)).To(Succeed())
		before := f.syncCount
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "a"), entryRecord("h", 1, "b")})).To(Succeed())
		Expect(f.syncCount - before).To(Equal(1))
	})

	// Guards against a process that exits because its disk is full, and against a retry after a failed sync.
	DescribeTable("distinguishes a full disk from other faults, and can be opened again afterwards", func(f faultyFiles, replace bool, full bool) {
		l, _, err := open(&f, folder)
		Expect(err).NotTo(HaveOccurred())
		inject := f
		f = faultyFiles{}
		Expect(l.WriteIdentity(7)).To(Succeed())
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "kept")})).To(Succeed())
		f = inject
		call := l.Append
		if replace {
			call = l.Replace
		}
		Expect(errors.Is(call([]replica.Record{entryRecord("g", 2, "late")}), ErrDiskFull)).To(Equal(full))
		Expect(l.Close()).To(Succeed())
		l, s := reopen(folder)
		defer l.Close()
		Expect(s.Groups["g"].Entries).To(HaveLen(1))
		Expect(l.Append([]replica.Record{entryRecord("g", 2, "late")})).To(Succeed())
	},
		Entry("no room for a record", faultyFiles{freeBytes: 20}, false, true),
		Entry("no room for a new file", faultyFiles{freeBytes: 20}, true, true),
		Entry("a failed write", faultyFiles{write: syscall.EIO}, false, false),
		Entry("a sync that finds no room", faultyFiles{sync: syscall.ENOSPC}, true, false),
	)

	DescribeTable("stays usable when no descriptor is left for a new file", func(cause error) {
		f := faultyFiles{}
		l, _, err := open(&f, folder)
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		Expect(l.WriteIdentity(7)).To(Succeed())
		f.create = cause
		Expect(l.Replace([]replica.Record{entryRecord("g", 1, "a")})).To(MatchError(ErrNoDescriptors))
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "a")})).To(Succeed())
		f.create = nil
		Expect(l.Replace([]replica.Record{entryRecord("g", 1, "a")})).To(Succeed())
	},
		Entry("in the process", syscall.EMFILE),
		Entry("in the system", syscall.ENFILE),
	)

	fault := eris.New("injected")
	DescribeTable("fails all calls after a fault, and keeps what was synced", func(f faultyFiles, replace bool, cause error) {
		l, _, err := open(&f, folder)
		Expect(err).NotTo(HaveOccurred())
		inject := f
		f = faultyFiles{}
		Expect(l.WriteIdentity(7)).To(Succeed())
		Expect(l.Append([]replica.Record{entryRecord("g", 1, "kept")})).To(Succeed())
		f = inject
		next := []replica.Record{entryRecord("g", 2, "not acknowledged")}
		call := l.Append
		if replace {
			call = l.Replace
			next = append([]replica.Record{entryRecord("g", 1, "kept")}, next...)
		}
		Expect(call(next)).To(MatchError(cause))
		f = faultyFiles{}
		Expect(l.Append(next)).To(MatchError(cause))
		Expect(l.Replace(next)).To(MatchError(cause))
		Expect(l.WriteIdentity(9)).To(MatchError(cause))
		Expect(l.Close()).To(Succeed())
		l, s := reopen(folder)
		defer l.Close()
		Expect(s.Groups["g"].Entries[0].Data).To(Equal([]byte("kept")))
	},
		Entry("failed write", faultyFiles{write: fault}, false, fault),
		Entry("failed sync", faultyFiles{sync: fault}, false, fault),
		Entry("short write", faultyFiles{shortWrite: true}, false, io.ErrShortWrite),
		Entry("full disk", faultyFiles{freeBytes: 20}, false, syscall.ENOSPC),
		Entry("failed write of a new file", faultyFiles{write: fault}, true, fault),
		Entry("failed sync of a new file", faultyFiles{sync: fault}, true, fault),
		Entry("full disk for a new file", faultyFiles{freeBytes: 20}, true, syscall.ENOSPC),
		Entry("failed rename", faultyFiles{rename: fault}, true, fault),
		Entry("failed sync of the folder", faultyFiles{folder: fault}, true, fault),
	)
})

// Guards against bytes on the disk that make the reader panic or read a state with a gap.
func FuzzDecodeFile(f *testing.F) {
	whole, err := encodeFile(3, []replica.Record{entryRecord("g", 1, "a"), entryRecord("g", 2, "b")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Fuzz(func(t *testing.T, data []byte) {
		state := &State{Groups: map[replica.GroupID]*replica.Restored{}}
		end, err := decodeFile(data, state)
		if err == nil && (end > len(data) || state.Incarnation == 0) {
			t.Fatalf("end %d of %d, incarnation %d", end, len(data), state.Incarnation)
		}
	})
}

// Guards against a payload that makes the decoder panic or leaves a gap in a log. Payloads are tested without a frame,
// because the payload of a frame is decoded only if its checksum is right.
func FuzzDecodeRecords(f *testing.F) {
	for _, rec := range []replica.Record{entryRecord("g", 1, "a"), {Snapshot: &replica.Snapshot{Index: 9, Data: []byte("s")}}} {
		frame, err := encodeFrame(nil, 0, []replica.Record{rec, rec})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame[frameHeaderSize:])
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		records, err := decodeRecords(payload)
		if err != nil {
			return
		}
		groups := map[replica.GroupID]*replica.Restored{}
		if applyRecords(groups, records) != nil {
			return
		}
		for id, x := range groups {
			for i, e := range x.Entries {
				if want := x.LastIndex() - uint64(len(x.Entries)-1-i); e.Index != want {
					t.Fatalf("group %q holds entry %d at the place of %d", id, e.Index, want)
				}
			}
		}
	})
}

// Guards against a random file that, cut at any offset, is read as anything but a prefix of the appends.
func TestCutIsPrefix(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil { // Every run cuts the same files.
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data, ends := []byte(nil), []int(nil)
		data, err := encodeFile(3, nil)
		if err != nil {
			t.Fatal(err)
		}
		start := len(data)
		for i, payload := range rapid.SliceOfN(rapid.String(), 1, 8).Draw(t, "payloads") {
			rec := []replica.Record{entryRecord("g", uint64(i+1), payload)}
			if data, err = encodeFrame(data, int64(len(data)), rec); err != nil {
				t.Fatal(err)
			}
			ends = append(ends, len(data))
		}
		cut := rapid.IntRange(start, len(data)).Draw(t, "cut")
		whole := 0
		for whole < len(ends) && ends[whole] <= cut {
			whole++
		}
		state := &State{Groups: map[replica.GroupID]*replica.Restored{}}
		if _, err := decodeFile(data[:cut], state); err != nil {
			t.Fatal(err)
		}
		if x := state.Groups["g"]; x != nil && x.LastIndex() != uint64(whole) || x == nil && whole > 0 {
			t.Fatalf("%d whole appends, state %+v", whole, x)
		}
	})
}
