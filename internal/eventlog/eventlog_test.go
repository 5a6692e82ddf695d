package eventlog_test

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/eventlog"
)

// gatedWriter is a writer that blocks until open is closed.
type gatedWriter struct {
	mu   sync.Mutex
	b    bytes.Buffer
	open chan struct{}
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(p)
}

func (g *gatedWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.String()
}

// failingWriter is a writer of which all writes fail as long as fails is set.
type failingWriter struct {
	gatedWriter
	fails atomic.Bool
}

func (f *failingWriter) Write(p []byte) (int, error) {
	<-f.open
	if f.fails.Load() {
		return 0, errors.New("no space left")
	}
	return f.gatedWriter.Write(p)
}

var _ = Describe("the event log", func() {
	It("writes one key=value line per event", func() {
		g := &gatedWriter{open: make(chan struct{})}
		close(g.open)
		l := eventlog.New(g, "host", "h1")
		l.Logger.Info("job_ended", "job", "j1", "state", "has spaces")
		l.Close()
		Expect(g.String()).To(MatchRegexp(`^time=\S+ event=job_ended host=h1 job=j1 state="has spaces"\n$`))
	})

	It("never blocks on a reader that has stopped reading, and counts the lines that it drops", func() {
		g := &gatedWriter{open: make(chan struct{})}
		l := eventlog.New(g)
		began := time.Now()
		for range 10000 {
			l.Logger.Info("event")
		}
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
		Expect(l.Dropped()).To(BeNumerically(">", 5000))
		close(g.open)
		Eventually(g.String).Should(ContainSubstring("event=log_lines_dropped total="))
		l.Close()
		Expect(strings.Count(g.String(), "event=event\n")).To(BeNumerically("<", 5000))
	})

	// Guards against a data race between the end of the process and a request that is still in progress.
	It("may be closed while lines are written, which are dropped then", func() {
		g := &gatedWriter{open: make(chan struct{})}
		close(g.open)
		l := eventlog.New(g)
		var writers sync.WaitGroup
		for range 8 {
			writers.Go(func() {
				for range 200 {
					l.Logger.Info("event")
				}
			})
		}
		l.Close()
		writers.Wait()
		l.Close()
		written := strings.Count(g.String(), "event=event\n")
		l.Logger.Info("event")
		Consistently(g.String, 50*time.Millisecond).Should(WithTransform(func(s string) int { return strings.Count(s, "event=event\n") }, Equal(written)))
	})

	It("writes texts from outside in one line, escaped, and cuts long ones", func() {
		g := &gatedWriter{open: make(chan struct{})}
		close(g.open)
		l := eventlog.New(g)
		l.Logger.Info("request", "id", "a\nevent=forged\x1b[2J\xff", "cause", strings.Repeat("x", 100_000))
		l.Close()
		Expect(strings.Count(g.String(), "\n")).To(Equal(1))
		Expect(g.String()).To(MatchRegexp(`^time=\S+ event=request id="a\\nevent=forged\\x1b\[2J\\xff" cause=x{512}\.\.\.\n$`))
	})

	// Guards against lost lines that are not reported: a failed write counted as one, and could take the report with it.
	It("counts each line of a write that failed, and reports them once the output works again", func() {
		f := &failingWriter{gatedWriter: gatedWriter{open: make(chan struct{})}}
		f.fails.Store(true)
		l := eventlog.New(f)
		for range 3000 { // More than are queued.
			l.Logger.Info("event")
		}
		close(f.open)
		Eventually(func() uint64 { return l.Dropped() }).Should(BeEquivalentTo(3000))
		f.fails.Store(false)
		l.Logger.Info("last")
		Eventually(f.String).Should(ContainSubstring("event=last\n"))
		l.Close()
		Expect(f.String()).To(ContainSubstring("event=log_lines_dropped total=3000\n"))
	})

	It("drops lines after Close instead of panicking", func() {
		g := &gatedWriter{open: make(chan struct{})}
		close(g.open)
		l := eventlog.New(g)
		l.Close()
		Expect(func() { l.Logger.Info("late") }).NotTo(Panic())
	})
})
