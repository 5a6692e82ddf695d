package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cli"
	"github.com/mustardwalk/mustardwalk/internal/process"
)

// badRequest is a request that must be refused.
type badRequest struct {
	method, path, token, contentType string
	body                             string
	cutAt                            int // If not 0, only this number of bytes of the body is sent.
}

// send sends the request over a connection of its own, and returns the error of the reply.
func (b badRequest) send(address string) (int, *api.Error, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequest(b.method, "http://"+address+b.path, strings.NewReader(b.body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+b.token)
	request.Header.Set("Content-Type", b.contentType)
	var raw bytes.Buffer
	if err := request.Write(&raw); err != nil {
		return 0, nil, err
	}
	cut := 0
	if b.cutAt > 0 {
		cut = len(b.body) - b.cutAt
	}
	go func() { // The reply can come before the whole body has been read.
		_, _ = conn.Write(raw.Bytes()[:raw.Len()-cut])
		if cut > 0 {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	var e api.ErrorBody
	if err := json.Unmarshal(body, &e); err != nil {
		return 0, nil, err
	}
	return response.StatusCode, e.Error, nil
}

var _ = Describe("Bad inputs", Ordered, ContinueOnFailure, func() {
	var c *cluster
	var before string

	// state returns the contracts and jobs, which no bad input may change.
	state := func(ctx SpecContext) string {
		GinkgoHelper()
		op := c.operator("a1")
		contracts, err := op.Contracts(ctx)
		Expect(err).NotTo(HaveOccurred())
		jobs, err := op.AllJobs(ctx)
		Expect(err).NotTo(HaveOccurred())
		all, err := json.Marshal([]any{contracts, jobs.Jobs})
		Expect(err).NotTo(HaveOccurred())
		return string(all)
	}

	BeforeAll(func(ctx SpecContext) {
		c = newCluster(threeHosts(), "--max-body-bytes", "65536")
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		c.write("court.token", callerToken("court")+"\n")
		c.write("wrong.token", "no-such-token\n")
		before = state(ctx)
	})

	AfterAll(func() { c.stopAndCheck() })

	jobs := func(body string) badRequest {
		return badRequest{method: http.MethodPost, path: "/v1/jobs", token: callerToken("court"), contentType: "application/json", body: body}
	}
	put := func(yaml string) badRequest {
		return badRequest{method: http.MethodPut, path: "/v1/admin/contracts/court", token: operatorToken, contentType: "application/yaml", body: yaml}
	}
	with := func(b badRequest, change func(*badRequest)) badRequest {
		change(&b)
		return b
	}
	finding := func(e *api.Error) string {
		var out []string
		for _, f := range e.Findings {
			out = append(out, fmt.Sprintf("%d:%s: %s", f.Line, f.Field, f.Message))
		}
		return e.Message + " | " + strings.Join(out, " | ")
	}

	// Guards against inputs that take effect in part, and against messages that do not tell what is wrong.
	DescribeTable("over HTTP change nothing", func(ctx SpecContext, b badRequest, status int, code, message string, notRun api.NotRun) {
		got, e, err := b.send(c.host("a1").serve)
		Expect(err).NotTo(HaveOccurred())
		Expect(e).NotTo(BeNil())
		Expect(got).To(Equal(status), "%+v", e)
		Expect(e.Code).To(Equal(code))
		Expect(finding(e)).To(MatchRegexp(message))
		Expect(e.NotRun).To(Equal(notRun))
		Expect(state(ctx)).To(Equal(before))
	},
		Entry("broken YAML", put("workspace: court\nguarantees: [\n"), 400, "invalid", `2:.*not valid YAML`, api.NotRunTrue),
		Entry("unknown field of a contract", put(contract("court", 2, 2)+"surplus_shares: 3\n"), 400, "invalid", `11:surplus_shares: is not a known field`, api.NotRunTrue),
		Entry("contract of another workspace", put(contract("other", 2, 2)), 400, "invalid", `names workspace other, not court`, api.NotRunTrue),
		Entry("guarantees that do not fit", put(contract("court", 2, 17)), 400, "invalid", `guarantees`, api.NotRunTrue),
		Entry("contract without the operators' token", with(put(contract("court", 9, 2)), func(b *badRequest) { b.token = callerToken("court") }),
			401, "unauthorized", "token", api.NotRun("")),
		Entry("gang larger than any zone", jobs(`{"gang": 64, "accelerators": 8}`), 422, "never_fits", "zone . cannot hold 64 members of 8 accelerators", api.NotRunTrue),
		Entry("unknown field of a job", jobs(`{"gnag": 2}`), 400, "invalid", `1:gnag: unknown field`, api.NotRunUnknown),
		Entry("no-repeat without a key", jobs(`{"no_repeat": true}`), 400, "invalid", "idempotency_key", api.NotRunTrue),
		Entry("token of no workspace", with(jobs(`{}`), func(b *badRequest) { b.token = callerToken("unknown") }), 401, "unauthorized", "token", api.NotRun("")),
		Entry("wrong content type", with(jobs(`{}`), func(b *badRequest) { b.contentType = "text/html" }), 415, "unsupported_media_type", "application/json", api.NotRunUnknown),
		Entry("truncated body", with(jobs(`{"idempotency_key": "cut", "gang": 1}`), func(b *badRequest) { b.cutAt = 20 }), 400, "invalid", "not received|complete", api.NotRunUnknown),
		Entry("oversize body", jobs(`{"body": "`+strings.Repeat("A", 70000)+`"}`), 413, "too_large", "larger than the limit", api.NotRunUnknown),
	)

	DescribeTable("on the command line change nothing", func(ctx SpecContext, file string, args []string, code int, message string) {
		c.write("bad.yaml", file)
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "DIR", c.dir)
		}
		o, err := process.RunCommand(ctx, program("mustardwalk"), append([]string{"--server", c.url(c.host("a1"))}, args...)...)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Code).To(Equal(code), "%s%s", o.Stdout, o.Stderr)
		Expect(string(o.Stderr)).To(MatchRegexp(message))
		Expect(state(ctx)).To(Equal(before))
	},
		Entry("broken YAML", "workspace: court\nguarantees: [\n", []string{"--token-file", "DIR/operator.token", "contract", "apply", "DIR/bad.yaml"},
			cli.ExitUsage, `bad.yaml:2: .*not valid YAML`),
		Entry("unknown field", "workspace: court\nshare: 1\n", []string{"--token-file", "DIR/operator.token", "contract", "apply", "DIR/bad.yaml"},
			cli.ExitUsage, `bad.yaml:2: share`),
		Entry("guarantees that do not fit", contract("court", 2, 17), []string{"--token-file", "DIR/operator.token", "contract", "apply", "DIR/bad.yaml"},
			cli.ExitUsage, `bad.yaml:[0-9]+: guarantees`),
		Entry("wrong token", contract("court", 3, 2), []string{"--token-file", "DIR/wrong.token", "contract", "apply", "DIR/bad.yaml"}, cli.ExitUsage, "token"),
		Entry("gang larger than any zone", "", []string{"--token-file", "DIR/court.token", "job", "submit", "--gang", "64", "--accelerators", "8"},
			cli.ExitRefused, "cannot hold 64 members"),
		Entry("unknown zone", "", []string{"--token-file", "DIR/operator.token", "zone", "out", "z"}, cli.ExitNotFound, "zone"),
	)

	// Guards against a host that starts with settings that contradict each other, or that reports only one problem at a
	// time.
	It("contradictory settings are all reported, with exit code 2", func(ctx SpecContext) {
		folder := c.file("data-bad")
		args := slices.Concat(c.runArgs(c.host("a1")), []string{"--insecure", "--lease", "1s", "--heartbeat", "2s", "--leader-lease", "3s"})
		args[slices.Index(args, "--zone")+1] = "b"
		args[slices.Index(args, "--data-folder")+1] = folder
		o, err := process.RunCommand(ctx, program("mustardwalkd"), args...)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Code).To(Equal(2), "%s", o.Stderr)
		for _, m := range []string{"--zone: b differs from the zone a", "--lease: 1s must be at least 2 times --heartbeat", "--leader-lease: 3s must be shorter than --election-min"} {
			Expect(string(o.Stderr)).To(ContainSubstring(m))
		}
		_, err = os.Stat(folder)
		Expect(err).To(MatchError(os.ErrNotExist))
	})
})
