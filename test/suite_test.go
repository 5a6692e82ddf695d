// Package test holds failure tests with real processes on loopback. They test the code around the state machines of a host:
// files, signals, HTTP and TLS. The state machines themselves are tested in one process by internal/nodetest.
package test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/process"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Failures of processes")
}

const (
	buildLimit = 2 * time.Minute
	// eventuallyTimeout bounds the wait for conditions without a bound of their own. It is long enough for a busy machine.
	eventuallyTimeout = 30 * time.Second
	pollEvery         = 50 * time.Millisecond
)

// bin is the folder with the two programs, which are built once per run, without the race detector.
var bin string

// long tells whether the longer variants run.
func long() bool { return os.Getenv("MUSTARDWALK_LONG") != "" }

var _ = BeforeSuite(func(ctx context.Context) {
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	SetDefaultEventuallyPollingInterval(pollEvery)
	bin = GinkgoT().TempDir()
	ctx, stop := context.WithTimeout(ctx, buildLimit)
	defer stop()
	o, err := process.RunCommand(ctx, "go", "build", "-o", bin+"/", "../cmd/mustardwalk", "../cmd/mustardwalkd")
	Expect(err).NotTo(HaveOccurred())
	Expect(o.Code).To(BeZero(), "%s", o.Stderr)
})

func program(name string) string { return filepath.Join(bin, name) }
