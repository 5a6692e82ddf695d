package httpapi_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// stubServer is a server with a given handler. It keeps the command identifiers of its requests.
type stubServer struct {
	url      string
	mu       sync.Mutex
	commands []string
}

// seen returns the command identifiers of the requests so far.
func (s *stubServer) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.commands...)
}

func (s *stubServer) count() int { return len(s.seen()) }

func newStubServer(handler http.HandlerFunc) *stubServer {
	s := &stubServer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.commands = append(s.commands, r.Header.Get(api.HeaderCommandID))
		s.mu.Unlock()
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	s.url = server.URL
	return s
}

func answer(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"id":"j1","state":"ended"}`) }

// hang sends no answer and waits until the client gives up. The server notices that only after the whole body is read.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// closeConnection closes the connection after the request was received.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// refuse returns a handler that answers with an error.
func refuse(status int, e api.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: &e})
	}
}

// deadServer returns the URL of a server that does not run.
func deadServer() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return "http://" + l.Addr().String()
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	client := func(urls ...string) *api.Client {
		c, err := api.NewClient(api.Options{Servers: urls, Token: callerToken, Timeout: 500 * time.Millisecond, Patience: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	apiError := func(err error) *api.Error {
		var e *api.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		return e
	}

	// Guards against a job that runs twice because its submission was resent.
	DescribeTable("resends a submission only if that cannot make the job run twice", func(key string, first http.HandlerFunc, resent bool, notRun api.NotRun) {
		one, two := newStubServer(first), newStubServer(answer)
		_, err := client(one.url, two.url).Submit(ctx, api.JobRequest{IdempotencyKey: key}, 0)
		Expect(one.count()).To(Equal(1))
		Expect(two.count() == 1).To(Equal(resent))
		Expect(err == nil).To(Equal(resent))
		if !resent {
			Expect(apiError(err).NotRun).To(Equal(notRun))
		}
	},
		Entry("cut off", "", http.HandlerFunc(closeConnection), false, api.NotRunUnknown),
		Entry("cut off, with a key", "k", http.HandlerFunc(closeConnection), true, api.NotRun("")),
		Entry("stopping, not run", "", refuse(503, api.Error{Code: api.CodeStopping, NotRun: api.NotRunTrue}), true, api.NotRun("")),
		Entry("unavailable, unknown", "", refuse(503, api.Error{Code: api.CodeUnavailable, NotRun: api.NotRunUnknown}), false, api.NotRunUnknown),
		Entry("unavailable, with a key", "k", refuse(503, api.Error{Code: api.CodeUnavailable, NotRun: api.NotRunUnknown}), true, api.NotRun("")),
		Entry("never fits", "k", refuse(422, api.Error{Code: api.CodeNeverFits, NotRun: api.NotRunTrue}), false, api.NotRunTrue),
		Entry("bad gateway", "", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }, false, api.NotRunUnknown),
		Entry("no reply", "", http.HandlerFunc(hang), false, api.NotRunUnknown),
		Entry("broken reply", "", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"id":`) }, false, api.NotRunUnknown),
	)

	It("uses another server when no connection is made, and keeps using it", func() {
		two := newStubServer(answer)
		c := client(deadServer(), two.url)
		for range 2 {
			_, err := c.Submit(ctx, api.JobRequest{}, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(two.count()).To(Equal(2))
	})

	It("reports a submission as not run only if it reached no server and no earlier one can have its idempotency key", func() {
		c := client(deadServer(), deadServer())
		_, err := c.Submit(ctx, api.JobRequest{}, 0)
		Expect(*apiError(err)).To(And(HaveField("Code", api.CodeUnavailable), HaveField("NotRun", api.NotRunTrue)))
		_, err = c.Submit(ctx, api.JobRequest{IdempotencyKey: "k"}, 0)
		Expect(apiError(err).NotRun).To(Equal(api.NotRunUnknown))
	})

	It("keeps one command identifier over all tries of an operator command", func() {
		one, two := newStubServer(closeConnection), newStubServer(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"zone":"z1","state":"out"}`) })
		_, err := client(one.url, two.url).ZoneOut(ctx, "z1", api.Command{})
		Expect(err).NotTo(HaveOccurred())
		Expect(one.seen()[0]).NotTo(BeEmpty())
		Expect(two.seen()).To(Equal(one.seen()))
	})

	It("does not repeat a refused request and returns the refusal as an api.Error", func() {
		one, two := newStubServer(refuse(409, api.Error{Code: api.CodeConflict, Message: "m", Revision: 7})), newStubServer(answer)
		_, err := client(one.url, two.url).DeleteContract(ctx, "acme", api.Command{})
		Expect(*apiError(err)).To(And(HaveField("Status", 409), HaveField("Revision", BeEquivalentTo(7))))
		Expect(two.count()).To(BeZero())
	})

	It("retries reads over several rounds within its patience", func() {
		var s *stubServer
		s = newStubServer(func(w http.ResponseWriter, r *http.Request) {
			if s.count() < 4 {
				refuse(503, api.Error{Code: api.CodeUnavailable})(w, r)
				return
			}
			answer(w, r)
		})
		c, err := api.NewClient(api.Options{Servers: []string{s.url}, Patience: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		j, err := c.Job(ctx, "j1", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.ID).To(Equal("j1"))
	})

	It("ends a request when the context ends", func() {
		s := newStubServer(hang)
		short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		defer stop()
		_, err := client(s.url).Job(short, "j1", 30*time.Second)
		Expect(apiError(err).Code).To(Equal(api.CodeUnavailable))
		Expect(s.count()).To(Equal(1))
	})

	It("has a method for every route of the server", func() {
		backend := &fakeBackend{response: node.Response{Body: &struct{}{}}}
		server := newServer(backend)
		defer server.Close()
		caller := client(server.URL)
		operator, err := api.NewClient(api.Options{Servers: []string{server.URL + "/"}, Token: operatorToken, Patience: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		m := api.Command{ID: "c1", Expected: revisionPtr(3), DryRun: true}
		for i, do := range []func() error{
			func() error { _, err := caller.Submit(ctx, api.JobRequest{Body: []byte("x")}, time.Second); return err },
			func() error { _, err := caller.Job(ctx, "a/b", time.Second); return err },
			func() error { _, err := caller.Jobs(ctx); return err },
			func() error { _, err := caller.Cancel(ctx, "j"); return err },
			func() error { _, err := caller.Why(ctx, "j"); return err },
			func() error { _, err := operator.ApplyContract(ctx, "acme", []byte("a: b"), m); return err },
			func() error { _, err := operator.DeleteContract(ctx, "acme", m); return err },
			func() error { _, err := operator.Contract(ctx, "acme"); return err },
			func() error { _, err := operator.Contracts(ctx); return err },
			func() error { _, err := operator.ZoneOut(ctx, "z1", api.Command{}); return err },
			func() error { _, err := operator.ZoneIn(ctx, "z1", api.Command{}); return err },
			func() error { _, err := operator.Zones(ctx); return err },
			func() error { _, err := operator.Hosts(ctx); return err },
			func() error { _, err := operator.Drain(ctx, "a1", api.Command{}); return err },
			func() error { _, err := operator.Workers(ctx); return err },
			func() error { _, err := operator.Revisions(ctx); return err },
			func() error { _, err := operator.AllJobs(ctx); return err },
			func() error { _, err := operator.Dump(ctx); return err },
			func() error { return operator.Ready(ctx, server.URL) },
		} {
			Expect(do()).To(Succeed(), "method %d", i)
		}
		Expect(backend.asked).To(HaveLen(18))
		Expect(backend.asked[1].Get.Job).To(Equal("a/b"))
		Expect(*backend.asked[5].ApplyContract).To(Equal(node.ApplyContract{Workspace: "acme", YAML: []byte("a: b"), File: "acme.yaml",
			DryRun: true, CommandID: "c1", ExpectedRevision: revisionPtr(3)}))
		backend.unready = "stopping"
		Expect(apiError(operator.Ready(ctx, server.URL)).Message).To(Equal("stopping"))
	})
})
