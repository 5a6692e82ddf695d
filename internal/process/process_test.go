package process

import (
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Process")
}

var _ = Describe("Processes", func() {
	// Guards against processes that keep running after the demo or a test.
	It("ends its processes by their identifiers, also those that ignore SIGTERM", func() {
		s := &Set{StopTimeout: 300 * time.Millisecond}
		dir := GinkgoT().TempDir()
		polite, err := s.Start("polite", dir+"/1", "/bin/sh", "-c", "trap 'exit 0' TERM; while :; do sleep 0.05; done")
		Expect(err).NotTo(HaveOccurred())
		stubborn, err := s.Start("stubborn", dir+"/2", "/bin/sh", "-c", "trap '' TERM; echo set; while :; do sleep 0.05; done")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return Tail(dir+"/2", 100) }, "5s").Should(Equal("set\n"))
		Expect(s.Stop()).To(MatchError(ContainSubstring("stubborn did not stop in time")))
		for _, p := range []*Process{polite, stubborn} {
			Expect(syscall.Kill(p.PID(), 0)).NotTo(Succeed(), p.Name)
		}
	})

	It("kills a process that SIGSTOP suspended", func() {
		s := &Set{}
		p, err := s.Start("frozen", GinkgoT().TempDir()+"/1", "/bin/sleep", "60")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Signal(syscall.SIGSTOP)).To(Succeed())
		s.KillAll()
		Expect(p.Running()).To(BeFalse())
		Expect(p.ExitCode()).To(Equal(-1))
	})

	// Guards against an outgoing connection that takes the port of a host while the host restarts.
	It("draws different ports below those of outgoing connections", func() {
		addresses, err := FreePorts(50)
		Expect(err).NotTo(HaveOccurred())
		seen := map[string]bool{}
		for _, a := range addresses {
			seen[a] = true
			p := netip.MustParseAddrPort(a)
			Expect(p.Port()).To(And(BeNumerically(">=", firstPort), BeNumerically("<=", lastPort)))
		}
		Expect(seen).To(HaveLen(50))
	})

	It("returns a process that has ended on its own", func() {
		s := &Set{}
		p, err := s.Start("short", GinkgoT().TempDir()+"/1", "/bin/sh", "-c", "exit 3")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.FindEnded, "5s").Should(Equal(p))
		Expect(p.Err()).To(MatchError("exit status 3"))
		s.Forget(p)
		Expect(s.FindEnded()).To(BeNil())
	})
})
