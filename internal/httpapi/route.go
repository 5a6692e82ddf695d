package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
)

// result is what a handler returns; route writes it.
type result struct {
	status  int
	body    any
	command string // Value of the command identifier header.
	gone    bool   // The caller hung up, nothing is written.
}

func ok(body any) result { return result{status: http.StatusOK, body: body} }

func failure(e *api.Error) result { return result{status: statusOf(e), body: api.ErrorBody{Error: e}} }

func (r result) withCommand(id string) result {
	r.command = id
	return r
}

// methods maps a method to its handler.
type methods map[string]func(*http.Request) result

// route wraps the handlers of one path: it picks the method, limits and times the body, recovers from panics, writes
// the result and observes it.
func (a *API) route(name string, m methods) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		r.Body = timed(http.MaxBytesReader(w, r.Body, a.o.MaxBodyBytes), w, r, a.o.ReadTimeout)
		out := a.call(name, m, r)
		if out.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", allow(m))
		}
		write(w, out)
		a.observe(name, r.Method, out, time.Since(start))
	})
}

func (a *API) call(name string, m methods, r *http.Request) (out result) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		a.o.Log.Error(nil, "request handler panicked", "event", "http_panic", "route", name, "cause", p, "stack", string(debug.Stack()))
		out = failure(&api.Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: "internal error", NotRun: api.NotRunUnknown})
	}()
	if len(m) == 0 {
		return failure(&api.Error{Code: api.CodeNotFound, Message: "no such path"})
	}
	handler := m[r.Method]
	if handler == nil {
		return failure(&api.Error{Code: CodeMethod, Message: "this path accepts " + allow(m)})
	}
	return handler(r)
}

func allow(m methods) string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (a *API) observe(name, method string, out result, d time.Duration) {
	status := out.status
	if out.gone {
		status = StatusClientClosed
	}
	if a.o.Observer != nil {
		a.o.Observer.Request(name, method, status, d)
	}
	a.o.Log.V(1).Info("request", "event", "http_request", "route", name, "method", method, "status", status, "seconds", d.Seconds())
}

func write(w http.ResponseWriter, out result) {
	if out.gone {
		return
	}
	if b, isError := out.body.(api.ErrorBody); isError {
		out.body = withRetryAfter(w, out.status, b)
	}
	data, err := json.Marshal(out.body)
	if err != nil {
		out.status = http.StatusInternalServerError
		data = []byte(`{"error":{"code":"internal","message":"the reply cannot be encoded"}}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)+1))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	if out.command != "" {
		h.Set(api.HeaderCommandID, out.command)
	}
	w.WriteHeader(out.status)
	_, _ = w.Write(append(data, '\n')) // A caller that hung up needs no reply.
}

// withRetryAfter sets the Retry-After header and the matching field on replies that ask for a retry.
func withRetryAfter(w http.ResponseWriter, status int, b api.ErrorBody) api.ErrorBody {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return b
	}
	e := *b.Error
	if !(e.RetryAfterSeconds > 0) {
		e.RetryAfterSeconds = defaultRetryAfter
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfterSeconds))))
	return api.ErrorBody{Error: &e}
}

// Codes of errors that only this package reports.
const (
	CodeInternal  = "internal"
	CodeMethod    = "method_not_allowed"
	CodeMediaType = "unsupported_media_type"
)

// StatusClientClosed is the status under which requests are counted whose caller hung up.
const StatusClientClosed = 499

var statuses = map[string]int{
	api.CodeUnauthorized:   http.StatusUnauthorized,
	api.CodeNotFound:       http.StatusNotFound,
	api.CodeInvalid:        http.StatusBadRequest,
	api.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	api.CodeConflict:       http.StatusConflict,
	api.CodeUnavailable:    http.StatusServiceUnavailable,
	api.CodeStopping:       http.StatusServiceUnavailable,
	api.CodeOverloaded:     http.StatusServiceUnavailable,
	api.CodeKeyReused:      http.StatusConflict,
	api.CodeQueueFull:      http.StatusTooManyRequests,
	api.CodeRateLimited:    http.StatusTooManyRequests,
	api.CodeNeverFits:      http.StatusUnprocessableEntity,
	api.CodeNoWorkers:      http.StatusServiceUnavailable,
	api.CodeZoneOut:        http.StatusServiceUnavailable,
	api.CodeClassForbidden: http.StatusForbidden,
	api.CodeUnknownSpace:   http.StatusNotFound,
	CodeInternal:           http.StatusInternalServerError,
	CodeMethod:             http.StatusMethodNotAllowed,
	CodeMediaType:          http.StatusUnsupportedMediaType,
}

// statusOf returns the HTTP status of an error. The code decides, so that a code has one status whichever part of the
// system reports it. Codes unknown here are refusals of the scheduler.
func statusOf(e *api.Error) int {
	if s, known := statuses[e.Code]; known {
		return s
	}
	if e.Status != 0 {
		return e.Status
	}
	return http.StatusUnprocessableEntity
}

// WriteReply writes a JSON reply in the form of this package, for other interfaces of the product.
func WriteReply(w http.ResponseWriter, status int, body any) {
	write(w, result{status: status, body: body})
}

// WriteError writes an error reply with the status of its code.
func WriteError(w http.ResponseWriter, e *api.Error) { write(w, failure(e)) }
