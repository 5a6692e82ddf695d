package soak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

// regressions are the seeds that have failed before, with the cause of the failure.
var regressions = map[uint64]string{
	3: "SIGTERM 10 ms after the start of a program, before it handled signals; the first fault now comes after startupTime",
}

// The specs guard against faults of the whole system that show only between real processes. They run the regression
// seeds with 12 s of faults; make soak runs more seeds for longer.
var _ = Describe("the real programs under faults", func() {
	for seed, cause := range regressions {
		It(fmt.Sprintf("meet the requirements with seed %d", seed), func() {
			folder := GinkgoT().TempDir()
			program := filepath.Join(folder, "mustardwalkd")
			out, err := exec.Command("go", "build", "-o", program, "github.com/mustardwalk/mustardwalk/cmd/mustardwalkd").CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(out))
			logs := filepath.Join(folder, "logs")
			Expect(os.MkdirAll(logs, 0o755)).To(Succeed())
			r, err := soak.Run(context.Background(), soak.Options{
				Seed: seed, Program: program, Folder: logs, FaultDuration: 12 * time.Second, CompletionLimit: 40 * time.Second, Workers: 6,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Violations).To(BeEmpty(), cause)
			Expect(r.Jobs).To(BeNumerically(">", 20))
		})
	}
})
