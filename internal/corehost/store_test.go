package corehost

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/wal"
)

// fillingDisk is a data folder whose disk is full during the first writes. Like wal.Log, it refuses all calls after a
// fault.
type fillingDisk struct {
	fullWrites *int // Number of further writes that fail because the disk is full.
	failed     error
	written    *[]replica.Record
	otherFault error // If set, each write fails with it.
}

func (d *fillingDisk) Append(r []replica.Record) error {
	switch {
	case d.failed != nil:
		return eris.Wrap(d.failed, "the log refuses calls")
	case d.otherFault != nil:
		d.failed = d.otherFault
	case *d.fullWrites > 0:
		*d.fullWrites--
		d.failed = errors.Join(wal.ErrDiskFull, errors.New("no space left on device"))
	default:
		*d.written = append(*d.written, r...)
	}
	return d.failed
}

func (d *fillingDisk) Replace(r []replica.Record) error {
	*d.written = nil
	return d.Append(r)
}

func (d *fillingDisk) Close() error { return nil }

// deprivedFile is a data folder that cannot be rewritten until descriptors are free again.
type deprivedFile struct {
	refusals int
	written  []replica.Record
}

func (d *deprivedFile) Append(r []replica.Record) error {
	d.written = append(d.written, r...)
	return nil
}

func (d *deprivedFile) Replace(r []replica.Record) error {
	if d.refusals > 0 {
		d.refusals--
		return wal.ErrNoDescriptors
	}
	return d.Append(r)
}

func (d *deprivedFile) Close() error { return nil }

var _ = Describe("The store of a core host", func() {
	records := []replica.Record{{Group: "domain"}}
	build := func(fullWrites int, otherFault error) (*store, *[]replica.Record) {
		written := &[]replica.Record{}
		open := func() (recordFile, error) {
			return &fillingDisk{fullWrites: &fullWrites, written: written, otherFault: otherFault}, nil
		}
		file, _ := open() // It never fails.
		return &store{file: file, open: open, log: logr.Discard()}, written
	}

	// Guards against a host that exits, and exits again after each restart, while its disk is full.
	It("waits while the disk is full, and writes each record once", func(ctx SpecContext) {
		s, written := build(2, nil)
		Expect(s.append(ctx, records)).To(Succeed())
		Expect(s.append(ctx, records)).To(Succeed())
		Expect(*written).To(HaveLen(2))
		Expect(s.replace(ctx, records)).To(Succeed())
		Expect(*written).To(HaveLen(1))
	}, NodeTimeout(10*time.Second))

	// Guards against a host that ends because calls have taken all file descriptors.
	It("waits while no file descriptor is left, without opening the folder again", func(ctx SpecContext) {
		file := &deprivedFile{refusals: 2}
		s := &store{file: file, log: logr.Discard(), open: func() (recordFile, error) { return nil, errors.New("no descriptor for it either") }}
		Expect(s.replace(ctx, records)).To(Succeed())
		Expect(file.written).To(HaveLen(1))
	}, NodeTimeout(10*time.Second))

	// Guards against a host that continues after a fault that leaves the content of the file unknown.
	It("returns any other fault at once", func(ctx SpecContext) {
		fault := errors.New("injected")
		s, _ := build(0, fault)
		Expect(s.append(ctx, records)).To(MatchError(fault))
	}, NodeTimeout(10*time.Second))

	It("stops waiting when the host stops", func() {
		s, written := build(1000, nil)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(s.append(ctx, records)).To(MatchError(context.Canceled))
		Expect(*written).To(BeEmpty())
	})
})
