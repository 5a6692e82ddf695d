// Package httpapi serves the HTTP interfaces for callers, operators and endpoints. It decodes and checks requests,
// passes them to the node core through a Backend, and writes the replies.
package httpapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// Errors of a Backend.
var (
	// ErrOverloaded means that the request was not passed to the core because too many inputs are waiting.
	ErrOverloaded = errors.New("too many requests are waiting on this host")
	// ErrStopped means that the core halted before it answered the request. Whether the request took effect is not
	// known.
	ErrStopped = errors.New("this host has stopped")
	// ErrNotPassed means that the core halted and never saw the request.
	ErrNotPassed = errors.New("this host is stopping")
)

// Backend answers requests. All methods may be called concurrently.
type Backend interface {
	// Ask passes a request to the core and waits for its response. If ctx ends first, the request is withdrawn.
	Ask(ctx context.Context, request node.Request) (node.Response, error)
	// Report passes a message of an endpoint to the core and waits for its response.
	Report(ctx context.Context, report cell.Report) (node.RespondEndpoint, error)
	// Ready reports whether this host should get new requests, and if not, the reason.
	Ready() (ok bool, reason string)
	// Dump returns the state of the process outside the core, as a JSON document.
	Dump() any
}

// Observer gets one call for each finished request.
type Observer interface {
	RequestDone(route, method string, status int, duration time.Duration)
}

// Options configures an API.
type Options struct {
	Backend        Backend
	Observer       Observer
	Metrics        http.Handler // Served at /metrics on the operators' interface, unless nil.
	Log            logr.Logger
	OperatorTokens []string
	EndpointTokens []string
	MaxBodyBytes   int64
	ReadTimeout    time.Duration // For receiving the body of a request.
}

// Defaults of Options that are 0.
const (
	DefaultMaxBodyBytes = 1 << 20 // Enough for the base64 form of the largest body of a job.
	DefaultReadTimeout  = 10 * time.Second
)

// Bounds of requests.
const (
	MaxWait                  = 60 * time.Second
	maxTokenBytes            = 512
	maxCommandIDBytes        = 128
	maxNameBytes             = 128
	answerMargin             = 15 * time.Second // Time for the core to answer, beyond the wait that a request asks for.
	defaultRetryAfterSeconds = 1
)

// API serves the HTTP interfaces.
type API struct {
	options         Options
	operatorDigests [][sha256.Size]byte
	endpointDigests [][sha256.Size]byte
}

// New returns an API.
func New(options Options) *API {
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if options.ReadTimeout == 0 {
		options.ReadTimeout = DefaultReadTimeout
	}
	return &API{options: options, operatorDigests: digests(options.OperatorTokens), endpointDigests: digests(options.EndpointTokens)}
}

// Interfaces selects what a listener serves besides /healthz and /readyz.
type Interfaces struct {
	Callers   bool
	Operators bool
	Endpoints bool
}

// Handler returns the handler of a listener that serves the given interfaces. Extra holds further handlers by path
// prefix, such as the one for peers.
func (a *API) Handler(i Interfaces, extra map[string]http.Handler) http.Handler {
	m := http.NewServeMux()
	a.healthRoutes(m)
	if i.Callers {
		a.callerRoutes(m)
	}
	if i.Operators {
		a.operatorRoutes(m)
	}
	if i.Endpoints {
		a.endpointRoutes(m)
	}
	for prefix, h := range extra {
		m.Handle(prefix, h)
	}
	m.Handle("/", a.route("unknown", methods{}))
	return m
}

func digests(tokens []string) [][sha256.Size]byte {
	var out [][sha256.Size]byte
	for _, t := range tokens {
		out = append(out, sha256.Sum256([]byte(t)))
	}
	return out
}

// tokenAccepted reports whether the digest of a token is among the accepted ones. It compares in constant time, and
// digests have the same length, so that the time hides the length of the accepted tokens too.
func tokenAccepted(token string, accepted [][sha256.Size]byte) bool {
	got := sha256.Sum256([]byte(token))
	found := 0
	for _, want := range accepted {
		found |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return found == 1
}

func (a *API) healthRoutes(m *http.ServeMux) {
	m.Handle("/healthz", a.route("/healthz", methods{http.MethodGet: func(*http.Request) result {
		return ok(Health{OK: true})
	}}))
	m.Handle("/readyz", a.route("/readyz", methods{http.MethodGet: a.ready}))
}

// Health is the body of /healthz, and of /readyz when the host is ready.
type Health struct {
	OK bool `json:"ok"`
}

func (a *API) ready(*http.Request) result {
	isReady, reason := a.options.Backend.Ready()
	if isReady {
		return ok(Health{OK: true})
	}
	return failure(&api.Error{Code: api.CodeUnavailable, Message: reason})
}

func unauthorized() result {
	return failure(&api.Error{Code: api.CodeUnauthorized, Message: "missing or wrong token"})
}
