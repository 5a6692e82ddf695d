package httpapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

func TestHTTPAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "HTTP API")
}

// fakeBackend keeps requests and answers with fixed values.
type fakeBackend struct {
	mu       sync.Mutex
	asked    []node.Request
	reported []cell.Report
	response node.Response
	err      error
	hang     bool // Ask waits until the context ends, then closes gone.
	gone     chan struct{}
	panics   bool   // Ask panics.
	unready  string // Reason that Ready gives; empty if the host is ready.
}

func (b *fakeBackend) Ask(ctx context.Context, r node.Request) (node.Response, error) {
	b.mu.Lock()
	b.asked = append(b.asked, r)
	b.mu.Unlock()
	if b.panics {
		panic("fault in the core")
	}
	if b.hang {
		<-ctx.Done()
		close(b.gone)
		return node.Response{}, ctx.Err()
	}
	return b.response, b.err
}

func (b *fakeBackend) Report(_ context.Context, r cell.Report) (node.RespondEndpoint, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = append(b.reported, r)
	if b.response.Error != nil {
		return node.RespondEndpoint{Error: b.response.Error}, b.err
	}
	if r.Leaving != nil || r.Result != nil {
		return node.RespondEndpoint{Ack: &endpoint.Ack{Accepted: true}}, b.err
	}
	return node.RespondEndpoint{HeartbeatReply: &endpoint.HeartbeatReply{Known: true}}, b.err
}

func (b *fakeBackend) Ready() (bool, string) { return b.unready == "", b.unready }

func (b *fakeBackend) Dump() any { return map[string]int{"queue": 3} }

const (
	operatorToken = "operator-token"
	endpointToken = "endpoint-token"
	callerToken   = "caller-token"
	maxBody       = 4096
	readTimeout   = 300 * time.Millisecond
)

func newServer(b *fakeBackend) *httptest.Server {
	a := httpapi.New(httpapi.Options{Backend: b, Log: logr.Discard(), OperatorTokens: []string{"older-token", operatorToken},
		EndpointTokens: []string{endpointToken}, MaxBodyBytes: maxBody, ReadTimeout: readTimeout, Metrics: http.NotFoundHandler()})
	return httptest.NewServer(a.Handler(httpapi.Interfaces{Callers: true, Operators: true, Endpoints: true}, nil))
}

// request describes one request to the server.
type request struct {
	method, path, token, contentType, body string
	header                                 map[string]string
}

func (q request) send(base string) *http.Response {
	r, err := http.NewRequest(q.method, base+q.path, strings.NewReader(q.body))
	Expect(err).NotTo(HaveOccurred())
	if q.token != "" {
		r.Header.Set("Authorization", "Bearer "+q.token)
	}
	if q.contentType != "" {
		r.Header.Set("Content-Type", q.contentType)
	}
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	return response
}

// The routes that need a token, each with a valid request.
var callerRoutes = []request{
	{method: "POST", path: "/v1/jobs?wait=30s", contentType: "application/json", body: `{"gang":2,"body":"aGk="}`},
	{method: "GET", path: "/v1/jobs"},
	{method: "GET", path: "/v1/jobs/z1-7?wait=1s"},
	{method: "POST", path: "/v1/jobs/z1-7/cancel"},
	{method: "GET", path: "/v1/jobs/z1-7/why"},
}

var operatorRoutes = []request{
	{method: "PUT", path: "/v1/admin/contracts/acme?dry_run=true", contentType: "application/yaml", body: "workspace: acme\n"},
	{method: "GET", path: "/v1/admin/contracts/acme"},
	{method: "DELETE", path: "/v1/admin/contracts/acme"},
	{method: "GET", path: "/v1/admin/contracts"},
	{method: "POST", path: "/v1/admin/zones/z1/out"},
	{method: "POST", path: "/v1/admin/zones/z1/in"},
	{method: "GET", path: "/v1/admin/zones"},
	{method: "GET", path: "/v1/admin/hosts"},
	{method: "POST", path: "/v1/admin/hosts/a1/drain"},
	{method: "GET", path: "/v1/admin/workers"},
	{method: "GET", path: "/v1/admin/revisions"},
	{method: "GET", path: "/v1/admin/jobs"},
	{method: "GET", path: "/v1/admin/dump"},
}

var endpointRoutes = []request{
	{method: "POST", path: endpoint.PathAnnounce, contentType: "application/json",
		body: `{"worker":"w1","incarnation":"i","zone":"z1","rack":"r","address":"127.0.0.1:1","accelerators":8,"slots":8,"cores":1,"memory_mb":1,"connections":1}`},
	{method: "POST", path: endpoint.PathHeartbeat, contentType: "application/json",
		body: `{"worker":"w1","incarnation":"i","held":[{"attempt":"j/1","phase":"running"}]}`},
	{method: "POST", path: endpoint.PathLeaving, contentType: "application/json", body: `{"worker":"w1","incarnation":"i"}`},
	{method: "POST", path: endpoint.PathResult, contentType: "application/json",
		body: `{"worker":"w1","incarnation":"i","attempt":"j/1","epoch":1,"member":0,"outcome":"succeeded","length":0}`},
}

// authorizedRoutes returns a request to each route, with the right token.
func authorizedRoutes() []request {
	var out []request
	for token, list := range map[string][]request{callerToken: callerRoutes, operatorToken: operatorRoutes, endpointToken: endpointRoutes} {
		for _, q := range list {
			q.token = token
			out = append(out, q)
		}
	}
	return out
}

func revisionPtr(n uint64) *uint64 { return &n }
