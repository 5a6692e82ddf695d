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

// diskFullRetryDelay is the pause between two tries on a full disk: several within the shortest bound of an acknowledgement (4 s).
const diskFullRetryDelay = 250 * time.Millisecond

// recordFile is an open data folder.
type recordFile interface {
	Append([]replica.Record) error
	Replace([]replica.Record) error
	Close() error
}

// store writes records, and waits while the disk is full. Nothing that is not synced is acknowledged, so that a host with
// a full disk is like one with a slow disk: the other voters go on without it.
type store struct {
	file recordFile
	open func() (recordFile, error) // Opens the folder again.
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

// persist repeats a write until there is room for it. The folder is opened again before each further try, which cuts off
// what the failed one has left.
func (s *store) persist(ctx context.Context, write func() error) error {
	began, tries := time.Now(), 1
	err := write()
	for ; errors.Is(err, wal.ErrFull); tries++ {
		if tries == 1 {
			s.log.Info("disk_full", "cause", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(diskFullRetryDelay):
		}
		if err := s.reopen(); err != nil {
			return err
		}
		err = write()
	}
	if tries > 1 && err == nil {
		s.log.Info("disk_has_room", "tries", tries, "full_ms", time.Since(began).Milliseconds())
	}
	return err
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
