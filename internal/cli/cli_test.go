package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cli"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

const contractYAML = "workspace: screening\nsurplus_share: 3\ntokens_sha256:\n  - " +
	"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855\n"

// fakeServer is an HTTP server that answers with the replies that a test sets, and keeps the requests that it receives.
type fakeServer struct {
	*httptest.Server
	mu       sync.Mutex
	replies  map[string][]any // By method and path. Each request gets the next one; the last one is repeated.
	received []*http.Request
	bodies   []string
}

func newServer(replies map[string][]any) *fakeServer {
	s := &fakeServer{replies: replies}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	DeferCleanup(s.Close)
	return s
}

func (s *fakeServer) serve(w http.ResponseWriter, r *http.Request) {
	body := &bytes.Buffer{}
	_, _ = body.ReadFrom(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received, s.bodies = append(s.received, r), append(s.bodies, body.String())
	key := r.Method + " " + r.URL.Path
	list := s.replies[key]
	if len(list) == 0 {
		list = []any{&api.Error{Status: 404, Code: api.CodeNotFound, Message: "nothing at " + key}}
	}
	if len(list) > 1 {
		s.replies[key] = list[1:]
	}
	if e, refused := list[0].(*api.Error); refused {
		w.WriteHeader(e.Status)
		_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: e})
		return
	}
	_ = json.NewEncoder(w).Encode(list[0])
}

func (s *fakeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

type result struct {
	code     int
	out, err string
}

// run runs a command line against a server, if one is given, with a token from the environment.
func run(s *fakeServer, args ...string) result {
	GinkgoHelper()
	var out, errors bytes.Buffer
	if s != nil {
		args = append([]string{"--server", s.URL, "--patience", "10ms"}, args...)
	}
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	getenv := func(name string) string { return map[string]string{cli.EnvToken: "secret"}[name] }
	code := cli.Main(ctx, args, cli.Environment{Out: &out, Err: &errors, In: strings.NewReader("from input"), Getenv: getenv})
	return result{code, out.String(), errors.String()}
}

func writeTempFile(name, content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

func endedJob(body, outcome string) api.Job {
	return api.Job{ID: "z1-1", Workspace: "screening", Zone: "z1", State: api.StateEnded, Gang: 1, Accels: 2, Adjacency: "zone",
		Answer: &api.Answer{Outcome: outcome, Body: []byte(body), Length: len(body), SHA256: standin.Digest([]byte(body))}}
}

var _ = Describe("Exit codes", func() {
	// Guards against a changed exit code, because of which scripts would go on after a failure.
	DescribeTable("of refusals", func(status int, code string, exit int) {
		s := newServer(map[string][]any{"POST /v1/admin/zones/z1/in": {&api.Error{Status: status, Code: code, Message: "told"}}})
		r := run(s, "zone", "in", "z1")
		Expect(r.code).To(Equal(exit), r.err)
		Expect(r.err).To(ContainSubstring(code + ": told"))
	},
		Entry(nil, 400, api.CodeInvalid, 2), Entry(nil, 401, api.CodeUnauthorized, 2), Entry(nil, 413, api.CodeTooLarge, 2),
		Entry(nil, 409, api.CodeConflict, 3), Entry(nil, 429, api.CodeRateLimited, 3), Entry(nil, 422, api.CodeNeverFits, 3),
		Entry(nil, 404, api.CodeNotFound, 4), Entry(nil, 503, api.CodeUnavailable, 5), Entry(nil, 503, api.CodeStopping, 5),
		Entry(nil, 503, api.CodeOverloaded, 5))

	DescribeTable("of usage and settings", func(message string, args ...string) {
		r := run(nil, args...)
		Expect(r.code).To(Equal(2))
		Expect(r.err).To(ContainSubstring(message))
	},
		Entry("no command", ""),
		Entry("group without command", "must select a subcommand", "zone"),
		Entry("unknown command", "expected command", "zone", "off"),
		Entry("unknown flag", "unknown long flag", "--token=secret", "status"),
		Entry("no server", "--server: is missing", "status"),
		Entry("no URL", `--server: "h:1" is not a URL`, "--server=h:1", "status"),
		Entry("no token file", "--token-file: open /none", "--server=http://h", "--token-file=/none", "status"),
		Entry("not a revision", `"1x" is not a revision`, "--server=http://h", "zone", "out", "z", "--expected-revision=1x"),
		Entry("unknown fault", `unknown fault "slow"`, "stand-in", "endpoint", "--worker=w", "--zone=z", "--host=127.0.0.1:1", "--fault=slow"),
	)

	It("reports all findings of the settings together", func() {
		r := run(nil, "--server=h:1", "--server=ftp://h", "--token-file=/none", "--timeout=0s", "status")
		Expect(strings.Count(r.err, "\n")).To(Equal(4), r.err)
		r = run(nil, "job", "submit", "--gang=0", "--accelerators=0", "--no-key", "--no-repeat", "--body=a", "--body-file=/none")
		Expect(strings.Count(r.err, "\n")).To(Equal(5), r.err)
	})

	It("prints help and completion without a server", func() {
		Expect(run(nil, "--help").code).To(Equal(0))
		Expect(run(nil, "completion", "bash").out).To(ContainSubstring("complete -F"))
		Expect(run(nil, "completion", "zsh").out).To(ContainSubstring("compdef"))
	})
})

var _ = Describe("Connections", func() {
	It("tries the next server if one cannot be reached", func() {
		s := newServer(map[string][]any{"GET /v1/admin/workers": {api.WorkerList{Unreachable: []string{"z2"},
			Workers: []api.Worker{{ID: "w1", Zone: "z1", Rack: "r1", State: "ready", Accelerators: 8, Free: 3}}}}})
		r := run(nil, "--server", "http://127.0.0.1:1", "--server", s.URL, "worker", "list")
		Expect(r.code).To(Equal(0), r.err)
		Expect(r.out).To(MatchRegexp(`w1\s+z1\s+r1\s+ready\s+8\s+3\s+-\n`))
		Expect(r.out).To(ContainSubstring("not reached: zone z2"))
	})

	It("takes the token from a file, which may have comments", func() {
		s := newServer(map[string][]any{"GET /v1/admin/hosts": {api.HostList{}}})
		Expect(run(s, "--token-file", writeTempFile("t", "# old\n\nabc\n"), "host", "status").code).To(Equal(0))
		Expect(s.received[0].Header.Get("Authorization")).To(Equal("Bearer abc"))
	})

	It("prints tables, JSON and YAML", func() {
		s := newServer(map[string][]any{"GET /v1/admin/zones": {api.ZoneList{Zones: []api.ZoneStatus{{Zone: "z1", State: "in", Revision: 4}}}}})
		Expect(run(s, "zone", "status").out).To(MatchRegexp(`z1\s+in\s+4\s+0\s+-\s+no`))
		Expect(run(s, "zone", "status", "z1", "-o", "json").out).To(ContainSubstring(`"zone": "z1"`))
		Expect(run(s, "zone", "status", "-o", "yaml").out).To(ContainSubstring("zone: z1\n"))
		Expect(run(s, "zone", "status", "z9").code).To(Equal(4))
	})
})

var _ = Describe("Contracts", func() {
	const put = "PUT /v1/admin/contracts/screening"

	It("prints the findings of all files together and applies none", func() {
		s := newServer(nil)
		bad, worse := writeTempFile("bad.yaml", strings.Replace(contractYAML, "share: 3", "share: -3", 1)), writeTempFile("worse.yaml", "workspace: [\n")
		r := run(s, "contract", "apply", writeTempFile("good.yaml", contractYAML), bad, worse, "/none")
		Expect(r.code).To(Equal(2))
		Expect(r.err).To(And(ContainSubstring(bad+":2: surplus_share"), ContainSubstring(worse+":"), ContainSubstring("/none:")))
		Expect(s.received).To(BeEmpty())
		Expect(run(nil, "contract", "validate", bad).code).To(Equal(2))
		Expect(run(nil, "contract", "validate", writeTempFile("good.yaml", contractYAML)).out).To(ContainSubstring("screening is valid"))
	})

	It("sends identifier and expected revision, and tells that a result is repeated", func() {
		s := newServer(map[string][]any{put: {api.ContractResult{Workspace: "screening", Revision: 7, Accepted: true, Repeated: true,
			Effects: []string{"One."}}}})
		r := run(s, "contract", "apply", writeTempFile("c.yaml", contractYAML), "--command-id=x1", "--expected-revision=6")
		Expect(r.code).To(Equal(0), r.err)
		Expect(r.out).To(And(ContainSubstring("revision 7 (repeated"), ContainSubstring("One.")))
		Expect(s.received[0].Header.Get(api.HeaderCommandID)).To(Equal("x1"))
		Expect(s.received[0].Header.Get(api.HeaderExpectedRevision)).To(Equal("6"))
		Expect(s.bodies[0]).To(Equal(contractYAML))
	})

	It("shows the generated identifier on failure, so that the same command can be sent again", func() {
		s := newServer(map[string][]any{put: {&api.Error{Status: 409, Code: api.CodeConflict, Message: "m", Revision: 9, NotRun: api.NotRunTrue,
			Findings: []api.Finding{{File: "screening", Line: 3, Field: "guarantees", Message: "do not fit"}}}}})
		path := writeTempFile("c.yaml", contractYAML)
		r := run(s, "contract", "apply", path)
		id := s.received[0].Header.Get(api.HeaderCommandID)
		Expect(id).NotTo(BeEmpty())
		Expect(r.err).To(And(ContainSubstring("--command-id "+id), ContainSubstring("current revision: 9"), ContainSubstring(path+":3: guarantees: do not fit")))
		var body struct {
			Command string     `json:"command_id"`
			Error   *api.Error `json:"error"`
		}
		r = run(s, "-o", "json", "contract", "apply", writeTempFile("c.yaml", contractYAML))
		Expect(json.Unmarshal([]byte(r.err), &body)).To(Succeed())
		Expect(body.Command).To(Equal(s.received[1].Header.Get(api.HeaderCommandID)))
		Expect(body.Error.Code).To(Equal(api.CodeConflict))
	})

	It("fails if the server does not accept a change without an error", func() {
		s := newServer(map[string][]any{put: {api.ContractResult{Workspace: "screening"}}})
		Expect(run(s, "contract", "apply", writeTempFile("c.yaml", contractYAML)).code).To(Equal(3))
	})

	It("changes nothing with diff or a dry run", func() {
		s := newServer(map[string][]any{put: {api.ContractResult{Workspace: "screening", Effects: []string{"One."}}}})
		for _, args := range [][]string{{"diff"}, {"apply", "--dry-run"}} {
			r := run(s, append(append([]string{"contract"}, args...), writeTempFile("c.yaml", contractYAML))...)
			Expect(r.code).To(Equal(0), r.err)
			Expect(r.out).To(And(ContainSubstring("would be accepted"), ContainSubstring("One.")))
		}
		for _, g := range s.received {
			Expect(g.URL.RawQuery).To(Equal("dry_run=true"))
		}
	})
})

var _ = Describe("Zones", func() {
	zone := func(state string, running int) api.ZoneStatus {
		return api.ZoneStatus{Zone: "z1", State: state, Revision: 2, Running: running, NoHome: []string{"screening: 1 x 8"}}
	}

	It("waits until nothing runs in a zone, and shows what runs and which guarantees have no place", func() {
		s := newServer(map[string][]any{
			"POST /v1/admin/zones/z1/out": {zone(api.ZonePendingOut, 2)},
			"GET /v1/admin/zones":         {api.ZoneList{Zones: []api.ZoneStatus{zone(api.ZoneOut, 1)}}, api.ZoneList{Zones: []api.ZoneStatus{zone(api.ZoneOut, 0)}}},
			"GET /v1/admin/jobs":          {api.JobList{Jobs: []api.Job{{ID: "j7", Zone: "z1", State: api.StateRunning}, {ID: "j8", Zone: "z1", State: api.StateQueued}}}},
		})
		historyFile := writeTempFile("h", "")
		r := run(s, "--history-file", historyFile, "zone", "out", "z1", "--wait")
		Expect(r.code).To(Equal(0), r.err)
		Expect(r.err).To(And(ContainSubstring("pending_out"), ContainSubstring("out; 1 running"), ContainSubstring("j7"), Not(ContainSubstring("j8")),
			ContainSubstring("without a place meanwhile: screening: 1 x 8")))
		events, err := cli.ReadHistories([]string{historyFile})
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(2))
		Expect(events[1]).To(And(HaveField("Kind", history.ZoneStateAnswered), HaveField("Revision", uint64(2))))
	})

	DescribeTable("fails if a zone does not reach the requested state", func(exit int, message string, first, next api.ZoneStatus) {
		s := newServer(map[string][]any{"POST /v1/admin/zones/z1/out": {first}, "GET /v1/admin/zones": {api.ZoneList{Zones: []api.ZoneStatus{next}}}})
		r := run(s, "zone", "out", "z1", "--wait", "--wait-limit=700ms")
		Expect(r.code).To(Equal(exit), r.err)
		Expect(r.err).To(ContainSubstring(message))
	},
		Entry("still running", 5, "gave up waiting: out, 1 running", zone(api.ZoneOut, 1), zone(api.ZoneOut, 1)),
		Entry("never confirmed", 5, "gave up waiting: pending_out", zone(api.ZonePendingOut, 0), zone(api.ZonePendingOut, 0)),
		Entry("brought back meanwhile", 3, "was set to in meanwhile", zone(api.ZoneOut, 1), zone(api.ZoneIn, 1)),
	)

	It("does not report a pending change as done", func() {
		s := newServer(map[string][]any{"POST /v1/admin/zones/z1/out": {zone(api.ZonePendingOut, 0)}})
		Expect(run(s, "zone", "out", "z1").code).To(Equal(5))
	})
})

var _ = Describe("Jobs", func() {
	It("submits a job, waits for it and records the replies", func() {
		queued := api.Job{ID: "z1-1", Workspace: "screening", State: api.StateQueued}
		s := newServer(map[string][]any{"POST /v1/jobs": {queued}, "GET /v1/jobs/z1-1": {queued, endedJob("the answer", "succeeded")}})
		historyFile, answer := writeTempFile("h", ""), writeTempFile("answer", "")
		r := run(s, "--history-file", historyFile, "job", "submit", "--gang=2", "--body-file=-", "--deadline=2s", "--wait", "--answer-file", answer)
		Expect(r.code).To(Equal(0), r.err)
		Expect(r.out).To(ContainSubstring("the answer"))
		Expect(os.ReadFile(answer)).To(BeEquivalentTo("the answer"))
		var sent api.JobRequest
		Expect(json.Unmarshal([]byte(s.bodies[0]), &sent)).To(Succeed())
		Expect(sent.IdempotencyKey).NotTo(BeEmpty())
		Expect(sent.DeadlineSeconds).To(Equal(2.0))
		Expect(string(sent.Body)).To(Equal("from input"))
		events, err := cli.ReadHistories([]string{historyFile})
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveExactElements(HaveField("Kind", history.Submitted), HaveField("Kind", history.Accepted),
			And(HaveField("Kind", history.AnswerDelivered), HaveField("Digest", standin.Digest([]byte("the answer"))))))
	})

	DescribeTable("fails if a job ends without success or without a complete answer", func(change func(*api.Job), message string) {
		j := endedJob("the answer", "succeeded")
		change(&j)
		r := run(newServer(map[string][]any{"GET /v1/jobs/z1-1": {j}}), "job", "wait", "z1-1")
		Expect(r.code).To(Equal(1))
		Expect(r.err).To(ContainSubstring(message))
	},
		Entry("failed", func(j *api.Job) { j.Answer.Outcome = "failed" }, "ended as failed"),
		Entry("truncated", func(j *api.Job) { j.Answer.Body = j.Answer.Body[:3] }, "damaged"),
		Entry("crossed", func(j *api.Job) { j.Answer.Body = []byte("an0ther 00") }, "damaged"),
		Entry("truncated, without a digest", func(j *api.Job) { j.Answer.Body, j.Answer.SHA256 = j.Answer.Body[:3], "" }, "damaged"),
		Entry("missing", func(j *api.Job) { j.Answer = nil }, "without an answer"),
	)

	It("shows the key of a refused submission, and records the refusal", func() {
		s := newServer(map[string][]any{"POST /v1/jobs": {&api.Error{Status: 422, Code: api.CodeNeverFits, Message: "m", NotRun: api.NotRunTrue}}})
		historyFile := writeTempFile("h", "")
		r := run(s, "--history-file", historyFile, "job", "submit", "--key=k1")
		Expect(r.code).To(Equal(3))
		Expect(r.err).To(And(ContainSubstring("--key k1"), ContainSubstring("not run: true")))
		events, _ := cli.ReadHistories([]string{historyFile})
		Expect(events[1]).To(And(HaveField("Kind", history.Refused), HaveField("NotRun", "true")))
	})

	It("gives up waiting while the job goes on", func() {
		s := newServer(map[string][]any{"GET /v1/jobs/z1-1": {api.Job{ID: "z1-1", State: api.StateRunning}}})
		r := run(s, "job", "wait", "z1-1", "--wait-limit=50ms")
		Expect(r.code).To(Equal(5))
		Expect(r.err).To(ContainSubstring("goes on"))
	})
})

var _ = It("checks histories and fails on a violation", func() {
	good := writeTempFile("good", `{"t":1,"kind":"started","job":"j","attempt":"j/1","zone":"z"}`+"\n")
	bad := writeTempFile("bad", `{"t":0,"kind":"out_answered","zone":"z","out":true}`+"\n"+`{"t":9000000000,"kind":"started","job":"j","attempt":"j/2","zone":"z"}`+"\n")
	Expect(run(nil, "history", "check", good).code).To(Equal(0))
	r := run(nil, "history", "check", good, bad)
	Expect(r.code).To(Equal(1))
	Expect(r.out).To(And(ContainSubstring("take-out at 9.000s"), ContainSubstring("3 events, 1 violations")))
	Expect(run(nil, "history", "check", "/none").code).To(Equal(1))
})

var _ = It("runs stand-in endpoints until they have left after an interrupt", func() {
	s := newServer(map[string][]any{"POST /v1/endpoint/announce": {map[string]any{"known": true}},
		"POST /v1/endpoint/heartbeat": {map[string]any{"known": true}}, "POST /v1/endpoint/leaving": {map[string]any{"accepted": true}}})
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	var out, errors bytes.Buffer
	historyFile := writeTempFile("h", "")
	code := cli.Main(ctx, []string{"--history-file", historyFile, "--token-file", writeTempFile("t", "first\nsecond\n"), "stand-in", "endpoint",
		"--worker=w", "--count=2", "--zone=z1", "--host", strings.TrimPrefix(s.URL, "http://")},
		cli.Environment{Out: &out, Err: &errors, Getenv: func(string) string { return "" }})
	Expect(code).To(Equal(0), errors.String())
	Expect(out.String()).To(MatchRegexp(`worker w-1 serves 127.0.0.1:\d+\nworker w-2 serves`))
	events, err := cli.ReadHistories([]string{historyFile})
	Expect(err).NotTo(HaveOccurred())
	Expect(events).To(ConsistOf(HaveField("Kind", history.LeavingSent), HaveField("Kind", history.LeavingSent)))
	for _, g := range s.requests() {
		Expect(g.Header.Get("Authorization")).To(Equal("Bearer first"))
	}
})
