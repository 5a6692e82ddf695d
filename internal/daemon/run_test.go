package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// safeBuffer is a buffer that can be read while it is written, for the log.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// file writes a file in a folder that is removed after the spec, and returns its path.
func file(name, content string, mode os.FileMode) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), mode)).To(Succeed())
	return path
}

// process is one run of Main.
type process struct {
	signals chan os.Signal
	code    chan int
	log     *safeBuffer
	url     string
	history string
	core    *fakeCore
	store   *fakeStore
}

// startProcess runs Main for a single host and waits until the host is ready.
func startProcess(core *fakeCore, store *fakeStore) *process {
	p := &process{signals: make(chan os.Signal, 2), code: make(chan int, 1), log: &safeBuffer{}, core: core, store: store}
	peer, listen := freeAddress(), freeAddress()
	p.url = "http://" + listen
	p.history = filepath.Join(GinkgoT().TempDir(), "history.jsonl")
	token := file("token", "operator-token\n", 0o600)
	args := []string{"run", "--host=a1", "--zone=z1", "--region=r1", "--peer=id=a1,zone=z1,region=r1,disk=true,address=" + peer,
		"--data-folder=" + GinkgoT().TempDir(), "--caller-listen=" + listen, "--operator-listen=" + listen, "--endpoint-listen=" + listen,
		"--operator-token-file=" + token, "--endpoint-token-file=" + token, "--history-file=" + p.history}
	go func() { p.code <- Main(args, p.log, fakeParts(core, store), p.signals) }()
	Eventually(p.ready, "5s", "10ms").Should(Equal(http.StatusOK))
	return p
}

func (p *process) ready() int {
	r, err := http.Get(p.url + "/readyz")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	return r.StatusCode
}

func (p *process) client(token string) *api.Client {
	c, err := api.NewClient(api.Options{Servers: []string{p.url}, Token: token, Patience: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func (p *process) exit() int {
	var code int
	Eventually(p.code, "10s").Should(Receive(&code))
	return code
}

func (p *process) metrics() string {
	r, err := http.Get(p.url + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("Running a host", func() {
	It("answers requests, records events, exports metrics, and answers open requests in a planned stop", func() {
		core := &fakeCore{}
		var waiting []uint64
		core.answer = func(in node.Input) []node.Output {
			switch v := in.(type) {
			case node.CallerRequest:
				if v.Request.Submit != nil {
					waiting = append(waiting, v.ID)
					return []node.Output{node.Persist{Seq: 1, Records: []replica.Record{{Group: "g"}}}}
				}
				return []node.Output{node.Respond{ID: v.ID, Response: node.Response{Body: &api.ZoneList{}}}}
			case node.Persisted:
				return []node.Output{node.RecordEvent{Event: history.Event{Kind: history.Committed, Job: "j1"}}}
			case node.Stop:
				return []node.Output{node.Respond{ID: waiting[0], Response: node.Response{Body: &api.Job{ID: "j1", State: api.StateEnded}}},
					node.Halt{Planned: true}}
			}
			return nil
		}
		p := startProcess(core, &fakeStore{})
		Expect(core.settings.Incarnation).To(BeNumerically(">", replica.FoundingIncarnation))
		Expect(p.store.state.Incarnation).To(Equal(core.settings.Incarnation))
		_, err := p.client("operator-token").Zones(context.Background())
		Expect(err).NotTo(HaveOccurred())

		answered := make(chan *api.Job, 1)
		go func() {
			defer GinkgoRecover()
			j, err := p.client("caller").Submit(context.Background(), api.JobRequest{Body: []byte("secret body")}, 30*time.Second)
			Expect(err).NotTo(HaveOccurred())
			answered <- j
		}()
		Eventually(func() string { return p.log.String() }, "5s").Should(ContainSubstring("event=committed job=j1"))
		Expect(p.metrics()).To(And(ContainSubstring(`mustardwalk_core_jobs_queued{group="z1"} 7`),
			ContainSubstring(`mustardwalk_http_requests_total{code="200",method="GET",route="/v1/admin/zones"} 1`),
			ContainSubstring(`mustardwalk_store_writes_total{kind="append"} 1`)))
		dump, err := p.client("operator-token").Dump(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(dump)).To(And(ContainSubstring(`"operator_tokens":"1 tokens"`), Not(ContainSubstring("operator-token\""))))

		p.signals <- syscall.SIGTERM
		Eventually(answered, "5s").Should(Receive(HaveField("ID", "j1")))
		Expect(p.exit()).To(Equal(exitOK))
		Expect(p.store.closed).To(BeTrue())
		line, err := os.ReadFile(p.history)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(line)).To(MatchRegexp(`^{"t":\d{19},"host":"a1","kind":"committed","job":"j1"}\n$`))
		Expect(p.log.String()).To(ContainSubstring("event=stopped"))
		Expect(p.log.String()).NotTo(Or(ContainSubstring("secret"), ContainSubstring("operator-token")))
		Expect(strings.Count(p.log.String(), "event=no_tls")).To(Equal(1))
	})

	// Guards against a load balancer that sends requests to a stopping host, and against a stop that cannot be forced.
	It("is not ready from the first signal on, and ends at once after a second one", func() {
		p := startProcess(&fakeCore{}, &fakeStore{})
		p.signals <- syscall.SIGTERM
		Eventually(p.ready, "2s").Should(Equal(http.StatusServiceUnavailable))
		p.signals <- syscall.SIGTERM
		Expect(p.exit()).To(Equal(exitFailed))
	})

	It("exits with code 1 when the core halts by itself", func() {
		core := &fakeCore{answer: func(in node.Input) []node.Output {
			if _, asked := in.(node.CallerRequest); asked {
				return []node.Output{node.Halt{Cause: "log is corrupt"}}
			}
			return nil
		}}
		p := startProcess(core, &fakeStore{})
		_, err := p.client("w").Jobs(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(p.exit()).To(Equal(exitFailed))
		Expect(p.log.String()).To(ContainSubstring("log is corrupt"))
	})

	// Guards against an answer whose state is not durable: no answer may leave the host after a failed sync.
	It("exits with code 1 after a failed sync and answers nothing", func() {
		core := &fakeCore{answer: func(in node.Input) []node.Output {
			switch v := in.(type) {
			case node.CallerRequest:
				return []node.Output{node.Persist{Seq: 1}, node.Persist{Seq: 2}}
			case node.PersistFailed:
				return []node.Output{node.Respond{ID: 1, Response: node.Response{Body: &api.JobList{}}}, node.Halt{Cause: v.Cause}}
			}
			return nil
		}}
		p := startProcess(core, &fakeStore{fail: true})
		_, err := p.client("w").Jobs(context.Background())
		Expect(err).To(HaveOccurred())
		Expect(p.exit()).To(Equal(exitFailed))
		Expect(p.store.afterFailed).To(BeZero())
		Expect(p.log.String()).To(ContainSubstring("sync: input/output error"))
	})

	// Guards against a process that cannot be ended while a write to the disk hangs.
	It("ends at once after a second signal while the disk hangs", func() {
		core := &fakeCore{answer: func(in node.Input) []node.Output {
			if _, asked := in.(node.CallerRequest); asked {
				return []node.Output{node.Persist{Seq: 1}}
			}
			return nil
		}}
		store := &fakeStore{block: make(chan struct{})}
		defer close(store.block)
		p := startProcess(core, store)
		go func() { _, _ = p.client("w").Jobs(context.Background()) }()
		Eventually(func() int { return len(core.inputs()) }, "5s").Should(Equal(1))
		p.signals <- syscall.SIGTERM
		p.signals <- syscall.SIGTERM
		start := time.Now()
		Expect(p.exit()).To(Equal(exitFailed))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	It("exchanges messages with another host over TLS with certificates of the deployment's authority", func() {
		ca := newAuthority()
		token := file("token", "t", 0o600)
		addresses := []string{freeAddress(), freeAddress()}
		cores := []*fakeCore{{}, {}}
		for i, id := range []string{"a1", "b1"} {
			other := node.Send{To: []string{"b1", "a1"}[i], Address: addresses[1-i], Payload: []byte("from " + id)}
			cores[i].answer = func(in node.Input) []node.Output {
				switch in.(type) {
				case node.Tick:
					return []node.Output{other}
				case node.Stop:
					return []node.Output{node.Halt{Planned: true}}
				}
				return nil
			}
			cert, key, authority := ca.issue(id, time.Hour)
			args := []string{"run", "--host=" + id, "--zone=z1", "--region=r1", "--peer=id=a1,zone=z1,region=r1,disk=true,address=" + addresses[0],
				"--peer=id=b1,zone=z1,region=r1,disk=true,address=" + addresses[1], "--data-folder=" + GinkgoT().TempDir(),
				"--caller-listen=" + addresses[i], "--operator-listen=" + addresses[i], "--endpoint-listen=" + addresses[i],
				"--operator-token-file=" + token, "--endpoint-token-file=" + token, "--peer-token-file=" + token,
				"--tls-cert-file=" + cert, "--tls-key-file=" + key, "--tls-ca-file=" + authority}
			signals, code := make(chan os.Signal, 1), make(chan int, 1)
			go func() { code <- Main(args, io.Discard, fakeParts(cores[i], &fakeStore{}), signals) }()
			DeferCleanup(func() {
				signals <- syscall.SIGTERM
				Eventually(code, "5s").Should(Receive(Equal(exitOK)))
			})
		}
		Eventually(cores[0].inputs, "5s").Should(ContainElement(node.PeerMessage{From: "b1", Payload: []byte("from b1")}))
		Eventually(cores[1].inputs, "5s").Should(ContainElement(node.PeerMessage{From: "a1", Payload: []byte("from a1")}))
	})

	It("initializes an empty data folder with the founding incarnation and refuses one that holds state", func() {
		store := &fakeStore{}
		out := &safeBuffer{}
		args := []string{"initialize", "--data-folder=" + GinkgoT().TempDir()}
		Expect(Main(args, out, fakeParts(&fakeCore{}, store), nil)).To(Equal(exitOK))
		Expect(store.state.Incarnation).To(BeEquivalentTo(replica.FoundingIncarnation))
		Expect(Main(args, out, fakeParts(&fakeCore{}, store), nil)).To(Equal(exitFailed))
		Expect(out.String()).To(ContainSubstring("holds state already"))
		store.state = StoredState{Groups: map[replica.GroupID]*replica.Restored{"g": {}}}
		Expect(Main(args, out, fakeParts(&fakeCore{}, store), nil)).To(Equal(exitFailed))
	})

	DescribeTable("prints findings and usage errors with code 2", func(want string, args ...string) {
		out := &safeBuffer{}
		Expect(Main(args, out, Parts{}, nil)).To(Equal(exitSettings))
		Expect(out.String()).To(ContainSubstring(want))
	},
		Entry("no command", "usage: mustardwalkd"),
		Entry("unknown flag", "unknown long flag", "run", "--hots=a"),
		Entry("settings", "error: --host: is missing", "run"),
		Entry("no folder", "error: --data-folder: is missing", "initialize"),
	)
})

var _ = Describe("Log", func() {
	It("writes one line per event and names levels", func() {
		out := &safeBuffer{}
		log := NewLog(out, "debug")
		log.V(1).Info("a\nb", "event", "x")
		log.Error(errSync, "c", "event", "y")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(fmt.Sprintf("level=DEBUG msg=%q event=x", "a\nb")))
		Expect(lines[1]).To(ContainSubstring("level=ERROR"))
	})
})
