package test

import (
	"bytes"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/process"
)

// limitFiles limits the size of the files that a running process writes, so that a write beyond it fails as on a full disk.
func limitFiles(p *process.Process, bytes uint64) {
	GinkgoHelper()
	limit := syscall.Rlimit{Cur: bytes, Max: bytes}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.PID()), syscall.RLIMIT_FSIZE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	Expect(errno).To(BeZero())
}

func (c *cluster) sizeOfRecords(id string) int64 {
	GinkgoHelper()
	info, err := os.Stat(c.records(id))
	Expect(err).NotTo(HaveOccurred())
	return info.Size()
}

var _ = Describe("Damaged files", Ordered, func() {
	var c *cluster

	BeforeAll(func(ctx SpecContext) {
		c = newCluster(sevenHosts())
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
	})

	// Guards against a host that does not start because its last record is incomplete, or that uses the incomplete record.
	It("an incomplete last record is truncated and the host becomes a voter again", func(ctx SpecContext) {
		l := c.startLoad(&load{name: "torn", workspace: "court", request: mixedJob}, 4)
		l.awaitAnswered(20)
		l.finish()
		c.kill("c1")
		size := c.sizeOfRecords("c1")
		Expect(os.Truncate(c.records("c1"), size-7)).To(Succeed())
		c.start("c1")
		c.awaitReady("c1")
		Eventually(c.isVoter("c1")).Should(BeEquivalentTo(1))
		l = c.startLoad(&load{name: "after-torn", workspace: "court", request: mixedJob}, 4)
		l.awaitAnswered(20)
		l.finish()
	}, SpecTimeout(time.Minute))

	// Guards against a host that continues without entries that it has acknowledged.
	It("a flipped bit in the middle of the record file makes the start fail with an error that tells the offset", func(ctx SpecContext) {
		c.stop("c1")
		whole, err := os.ReadFile(c.records("c1"))
		Expect(err).NotTo(HaveOccurred())
		damaged := bytes.Clone(whole)
		damaged[len(damaged)/2] ^= 0x10
		Expect(os.WriteFile(c.records("c1"), damaged, 0o600)).To(Succeed())
		log := gbytes.NewBuffer()
		p := c.startTo("c1", log)
		c.daemons.Forget(p)
		Eventually(p.Ended()).Should(BeClosed())
		Expect(p.ExitCode()).To(Equal(1))
		Expect(log).To(gbytes.Say("damaged record at offset [0-9]+ in front of a whole record"))
		left, err := os.ReadFile(c.records("c1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(Equal(damaged), "the damaged file is kept as it is")
		Expect(os.WriteFile(c.records("c1"), whole, 0o600)).To(Succeed())
		c.start("c1")
		c.awaitReady("c1")
	}, SpecTimeout(time.Minute))

	// Guards against a host that acknowledges entries that are not on its disk.
	It("after a failed write the host ends with exit code 1, and no accepted job is lost", func(ctx SpecContext) {
		c.stop("a1")
		log := &syncBuffer{}
		p := c.startTo("a1", log)
		c.awaitReady("a1")
		Eventually(c.isVoter("a1")).Should(BeEquivalentTo(1))
		l := c.startLoad(&load{name: "full", workspace: "court", request: mixedJob}, 4)
		l.awaitAnswered(10)
		c.fault(history.Event{Host: "a1", Message: "full disk"})
		c.daemons.Forget(p)
		limitFiles(p, uint64(c.sizeOfRecords("a1"))+4096)
		Eventually(p.Ended()).Should(BeClosed())
		Expect(p.ExitCode()).To(Equal(1), "%s", log)
		Expect(log.String()).To(ContainSubstring("write of the record file failed: writing records: "))
		Expect(log.String()).To(ContainSubstring("file too large"))
		l.awaitAnswered(20)
		c.start("a1")
		c.awaitReady("a1")
		Eventually(c.isVoter("a1")).Should(BeEquivalentTo(1))
		l.awaitAnswered(10)
		l.finish()
		expectOneAnswerEach(c.stopAndCheck())
	}, SpecTimeout(time.Minute))
})

// syncBuffer is a log in memory that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

var _ io.Writer = (*syncBuffer)(nil)

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
