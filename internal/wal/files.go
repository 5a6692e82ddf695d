package wal

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// file is an open file for writing.
type file interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// files has the file operations that a Log uses. Tests replace it to inject faults.
type files interface {
	MkdirAll(path string) error
	ReadFile(path string) ([]byte, error)
	Create(path string) (file, error)
	OpenAppend(path string) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
	Lock(path string) (io.Closer, error)
}

// osFiles implements files with the operating system.
type osFiles struct{}

// osFile is a file that syncs with fdatasync, which writes the data and the file size, but not the access time.
type osFile struct{ *os.File }

func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

func (osFiles) MkdirAll(path string) error { return os.MkdirAll(path, 0o700) }

func (osFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) Create(path string) (file, error) {
	return openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

func (osFiles) OpenAppend(path string) (file, error) {
	return openFile(path, os.O_WRONLY|os.O_APPEND)
}

func openFile(path string, flag int) (file, error) {
	f, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock takes an exclusive lock on a file. The operating system releases it when the process ends. Lock fails at once if
// another process holds the lock.
func (osFiles) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}
