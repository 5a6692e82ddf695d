package test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// balancer is a transport that sends no new call to a host that is not ready, as a load balancer does. It collects the
// calls that were cut: those that failed after the connection was made, and those that were open when the stop of their
// host began and got an answer with a server error.
type balancer struct {
	http.RoundTripper
	mu        sync.Mutex
	stopping  string    // host:port of the host that stops.
	signalled time.Time // When the signal to stop was sent to it.
	withdrawn bool
	openCalls int // Calls that were open when a stop began, and have ended.
	cutCalls  []string
}

// arrivalTime is the time after which a call has certainly reached its host.
const arrivalTime = 500 * time.Millisecond

// stop notes that the signal to stop is sent to a host now.
func (t *balancer) stop(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping, t.signalled, t.withdrawn = address, time.Now(), false
}

// withdraw makes the balancer send no new calls to the host that stops; restore makes it send them again.
func (t *balancer) withdraw() { t.set(true) }
func (t *balancer) restore()  { t.set(false) }

func (t *balancer) set(withdrawn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawn = withdrawn
}

// recordEnd notes the end of a call to a host.
func (t *balancer) recordEnd(r *http.Request, began time.Time, response *http.Response, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasOpen := r.URL.Host == t.stopping && t.signalled.Sub(began) > arrivalTime && time.Now().After(t.signalled)
	if wasOpen {
		t.openCalls++
	}
	var op *net.OpError
	switch {
	case err != nil && !(errors.As(err, &op) && op.Op == "dial"):
		t.cutCalls = append(t.cutCalls, fmt.Sprintf("%s %s after %v: %v", r.Method, r.URL, time.Since(began), err))
	case err == nil && wasOpen && response.StatusCode >= http.StatusInternalServerError:
		t.cutCalls = append(t.cutCalls, fmt.Sprintf("%s %s after %v: %s", r.Method, r.URL, time.Since(began), response.Status))
	}
}

func (t *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	skip := t.withdrawn && r.URL.Host == t.stopping
	t.mu.Unlock()
	if skip {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("the host is not ready")}
	}
	began := time.Now()
	response, err := t.RoundTripper.RoundTrip(r)
	t.recordEnd(r, began, response, err)
	return response, err
}

func (t *balancer) callsCut() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutCalls
}

var _ = Describe("Planned stops", func() {
	// Guards against a stop that cuts open long polls, or that refuses a call without an answer.
	It("of each host in turn cut no call and lose no accepted job", func(ctx SpecContext) {
		c := newCluster(sevenHosts())
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		t := &balancer{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 64}}
		l := c.startLoad(&load{name: "stop", workspace: "court", transport: t, wait: 10 * time.Second,
			request: func(n int) (api.JobRequest, standin.Request) {
				r, _ := mixedJob(n)
				return r, standin.Request{RunMillis: int64(200 + n%8*200)}
			}}, 14)
		l.awaitAnswered(7)
		var longest time.Duration
		for _, h := range c.hosts {
			began := time.Now()
			p := c.running[h.id]
			c.daemons.Forget(p)
			t.stop(h.serve)
			Expect(p.Signal(syscall.SIGTERM)).To(Succeed())
			Eventually(func() error { _, err := c.get(h, "/readyz"); return err }).WithPolling(10 * time.Millisecond).
				Should(MatchError(ContainSubstring("status 503")))
			t.withdraw()
			c.awaitStopped(h.id)
			longest = max(longest, time.Since(began))
			c.start(h.id)
			c.awaitReady(h.id)
			t.restore()
			l.awaitAnswered(7)
		}
		AddReportEntry("calls that were open at a stop", fmt.Sprint(t.openCalls))
		AddReportEntry("longest planned stop", longest.Round(time.Millisecond).String())
		l.finish()
		Expect(t.callsCut()).To(BeEmpty(), "calls that were cut")
		Expect(t.openCalls).To(BeNumerically(">", 0), "calls that were open at a stop")
		Expect(l.refusals).To(BeEmpty(), "refused calls")
		expectOneAnswerEach(c.stopAndCheck())
	}, SpecTimeout(2*time.Minute))
})
