// Package wal stores the records of replicated logs in one synced file of a data folder.
//
// The first frame of the file holds the identity of the folder. One frame follows for each Append. A torn last frame,
// left by a crash during a write, was never acknowledged and is cut off when the folder is opened. Damage before a
// whole frame is an error.
package wal

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Names of the files in the data folder.
const (
	logName  = "records.wal"
	newName  = "records.new" // File that is being written to replace the current one.
	lockName = "lock"
)

// ErrNoIdentity is returned when records are written to a new folder before WriteIdentity.
var ErrNoIdentity = eris.New("the folder has no identity yet")

// ErrHasIdentity is returned when WriteIdentity is called for a folder that already has an identity.
var ErrHasIdentity = eris.New("the folder has an identity already")

// ErrClosed is returned by WriteIdentity, Append and Replace after Close.
var ErrClosed = eris.New("the log is closed")

// ErrDiskFull is returned by Append and Replace when the disk is full at a write, not at a sync. The folder then still
// holds everything that was synced before. It may be closed and opened again, which cuts off the unfinished frame.
var ErrDiskFull = eris.New("the disk is full")

// ErrNoDescriptors is returned by Replace when the process or the system has no file descriptor left. Nothing was
// written, and the log stays usable.
var ErrNoDescriptors = eris.New("no file descriptor is left")

// State is the content of the folder when it was opened.
type State struct {
	Incarnation uint64 // Identity of the folder, 0 for a new folder.
	Groups      map[replica.GroupID]*replica.Restored
}

// Log is an open data folder. It is not safe for concurrent use. After a failed write or sync, the content of the file
// is unknown, and every later call except Size and Close returns that error.
type Log struct {
	files       files
	folder      string
	lock        io.Closer
	out         file  // Current file; nil in a new folder before WriteIdentity.
	size        int64 // Of the current file, in bytes.
	incarnation uint64
	failure     error // What every later call returns, nil while the log is usable.
}

// Open creates the folder if needed, locks it and reads its records. It fails if another process uses the folder or if
// a record is damaged.
func Open(folder string) (*Log, *State, error) {
	return open(osFiles{}, folder)
}

func open(fsys files, folder string) (*Log, *State, error) {
	if err := fsys.MkdirAll(folder); err != nil {
		return nil, nil, eris.Wrapf(err, "creating the data folder %s", folder)
	}
	lock, err := fsys.Lock(filepath.Join(folder, lockName))
	if err != nil {
		return nil, nil, eris.Wrapf(err, "locking the data folder %s", folder)
	}
	l := &Log{files: fsys, folder: folder, lock: lock}
	state, err := l.load()
	if err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	return l, state, nil
}

// load removes an unfinished new file, reads the current one, cuts off a torn last frame and opens the file for
// appending.
func (l *Log) load() (*State, error) {
	state := &State{Groups: map[replica.GroupID]*replica.Restored{}}
	if err := l.files.Remove(l.path(newName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "removing an unfinished file")
	}
	data, err := l.files.ReadFile(l.path(logName))
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "reading the records")
	}
	end, err := decodeFile(data, state)
	if err != nil {
		return nil, eris.Wrapf(err, "%s", l.path(logName))
	}
	if l.out, err = l.files.OpenAppend(l.path(logName)); err != nil {
		return nil, eris.Wrap(err, "opening the records")
	}
	l.size = int64(end)
	l.incarnation = state.Incarnation
	if end < len(data) {
		return state, l.truncateTorn()
	}
	return state, nil
}

// truncateTorn removes what follows the last whole frame. Otherwise the torn frame would count as damage before a whole
// frame once the next one is appended.
func (l *Log) truncateTorn() error {
	if err := l.out.Truncate(l.size); err != nil {
		return eris.Wrap(err, "cutting off a torn record")
	}
	return eris.Wrap(l.out.Sync(), "syncing after a torn record was cut off")
}

// decodeFile applies the records of all frames to the state and returns the offset after the last whole frame.
func decodeFile(data []byte, state *State) (int, error) {
	payloads, end, err := splitFrames(data)
	if err != nil {
		return 0, err
	}
	if len(payloads) == 0 {
		return 0, eris.New("the identity is damaged")
	}
	if state.Incarnation, err = decodeIdentity(payloads[0]); err != nil {
		return 0, err
	}
	for _, payload := range payloads[1:] {
		records, err := decodeRecords(payload)
		if err != nil {
			return 0, err
		}
		if err := applyRecords(state.Groups, records); err != nil {
			return 0, err
		}
	}
	return end, nil
}

// WriteIdentity writes and syncs the identity of a new folder. Incarnation 0 is an error, because it stands for no
// identity.
func (l *Log) WriteIdentity(incarnation uint64) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if l.incarnation != 0 {
		return ErrHasIdentity
	}
	if incarnation == 0 {
		return eris.New("the incarnation is 0")
	}
	if err := l.rewrite(incarnation, nil); err != nil {
		return l.fail(err)
	}
	return l.fail(eris.Wrap(l.files.SyncFolder(filepath.Dir(l.folder)), "syncing the parent folder"))
}

// Append writes the records in one frame and syncs it. After a crash, either all of them or none are read again.
func (l *Log) Append(records []replica.Record) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if l.incarnation == 0 {
		return ErrNoIdentity
	}
	if len(records) == 0 {
		return nil
	}
	buffer, err := encodeFrame(nil, l.size, records)
	if err != nil {
		return l.fail(err)
	}
	if err := writeSynced(l.out, buffer); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(buffer))
	return nil
}

// Replace writes the records to a new file, which replaces the current one.
func (l *Log) Replace(records []replica.Record) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if l.incarnation == 0 {
		return ErrNoIdentity
	}
	err := l.rewrite(l.incarnation, records)
	if errors.Is(err, ErrNoDescriptors) {
		return err
	}
	return l.fail(err)
}

// rewrite writes and syncs a new file, renames it to the current one and syncs the folder.
func (l *Log) rewrite(incarnation uint64, records []replica.Record) error {
	content, err := encodeFile(incarnation, records)
	if err != nil {
		return err
	}
	out, err := l.files.Create(l.path(newName))
	if err != nil {
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			return errors.Join(ErrNoDescriptors, err)
		}
		return markDiskFull(eris.Wrap(err, "creating a file"))
	}
	if err := writeSynced(out, content); err != nil {
		return errors.Join(err, out.Close())
	}
	if err := l.files.Rename(l.path(newName), l.path(logName)); err != nil {
		return errors.Join(eris.Wrap(err, "renaming a file"), out.Close())
	}
	if err := l.files.SyncFolder(l.folder); err != nil {
		return errors.Join(eris.Wrap(err, "syncing the folder"), out.Close())
	}
	old := l.out
	l.out = out
	l.size = int64(len(content))
	l.incarnation = incarnation
	if old != nil {
		return eris.Wrap(old.Close(), "closing the replaced file")
	}
	return nil
}

// encodeFile returns the content of a new file. It ends with a frame without records, so that damage to the frames
// before it is not taken for a torn last frame: they were all synced before the file was used.
func encodeFile(incarnation uint64, records []replica.Record) ([]byte, error) {
	content, err := encodeFrame(nil, 0, identityRecord{Version: formatVersion, Incarnation: incarnation})
	if err != nil {
		return nil, err
	}
	for _, rec := range records {
		if content, err = encodeFrame(content, int64(len(content)), []replica.Record{rec}); err != nil {
			return nil, err
		}
	}
	return encodeFrame(content, int64(len(content)), []replica.Record{})
}

func encodeFrame(buffer []byte, offset int64, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "encoding records")
	}
	return appendFrame(buffer, offset, payload)
}

// writeSynced writes data to the end of a file and syncs the file.
func writeSynced(out file, data []byte) error {
	n, err := out.Write(data)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return markDiskFull(eris.Wrap(err, "writing records"))
	}
	return eris.Wrap(out.Sync(), "syncing records")
}

// markDiskFull joins ErrDiskFull to an error that a full disk caused. It must not be used for the error of a sync,
// because after a failed sync the content of the file is unknown.
func markDiskFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return errors.Join(ErrDiskFull, err)
	}
	return err
}

// Size returns the size of the current file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file and releases the lock of the folder.
func (l *Log) Close() error {
	if errors.Is(l.failure, ErrClosed) {
		return nil
	}
	var err error
	if l.out != nil {
		err = l.out.Close()
	}
	if l.lock != nil {
		err = errors.Join(err, l.lock.Close())
	}
	l.failure = ErrClosed
	return eris.Wrap(err, "closing the data folder")
}

// checkUsable returns an error after a failure or Close.
func (l *Log) checkUsable() error {
	if l.failure != nil {
		return eris.Wrap(l.failure, "the log refuses calls")
	}
	return nil
}

// fail records an error, after which all further calls fail, and returns it. It does nothing for nil.
func (l *Log) fail(err error) error {
	if err != nil {
		l.failure = err
	}
	return err
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }
