package corehost

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/wal"
)

// storeRetryDelay is the pause between two attempts to write to a full disk, or without a free file descriptor. It is
// short enough for several attempts within the shortest time limit of an acknowledgement (4 s).
const storeRetryDelay = 250 * time.Millisecond

// recordFile is an open data folder, see wal.Log.
type recordFile interface {
	Append([]replica.Record) error
	Replace([]replica.Record) error
	Close() error
}

// store writes records to the data folder, and waits while the disk is full or no file descriptor is left. Since nothing is acknowledged before it is
// synced, a host with a full disk behaves like one with a slow disk, and the other voters continue without it.
type store struct {
	file recordFile
	open func() (recordFile, error) // Reopens the data folder.
	log  logr.Logger
}

func newStore(folder string, file *wal.Log, log logr.Logger) *store {
	return &store{file: file, log: log, open: func() (recordFile, error) {
		file, _, err := wal.Open(folder)
		return file, err
	}}
}

func (s *store) append(ctx context.Context, records []replica.Record) error {
	return s.persist(ctx, func() error { return s.file.Append(records) })
}

func (s *store) replace(ctx context.Context, records []replica.Record) error {
	return s.persist(ctx, func() error { return s.file.Replace(records) })
}

// persist repeats a write until the disk has room and a file descriptor is free. After a full disk it reopens the folder
// before each repetition, which removes the incomplete frame of the failed write.
func (s *store) persist(ctx context.Context, write func() error) error {
	began, tries := time.Now(), 1
	err := write()
	for ; errors.Is(err, wal.ErrDiskFull) || errors.Is(err, wal.ErrNoDescriptors); tries++ {
		if tries == 1 {
			s.log.Info(waitReason(err), "cause", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(storeRetryDelay):
		}
		if errors.Is(err, wal.ErrDiskFull) {
			if err := s.reopen(); err != nil {
				return err
			}
		}
		err = write()
	}
	if tries > 1 && err == nil {
		s.log.Info("disk_has_room", "tries", tries, "full_ms", time.Since(began).Milliseconds())
	}
	return err
}

// waitReason names the event of a write that has to wait.
func waitReason(err error) string {
	if errors.Is(err, wal.ErrNoDescriptors) {
		return "no_descriptor_for_disk"
	}
	return "disk_full"
}

func (s *store) reopen() error {
	if err := s.file.Close(); err != nil {
		return eris.Wrap(err, "closing the data folder of a full disk")
	}
	file, err := s.open()
	if err != nil {
		return eris.Wrap(err, "opening the data folder of a full disk again")
	}
	s.file = file
	return nil
}

func (s *store) close() error { return s.file.Close() }
