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

// result is what the handler of a method returns. The HTTP handler that route returns writes it as the reply.
type result struct {
	status     int
	body       any
	commandID  string // Value of the command identifier header.
	callerGone bool   // The caller hung up, so nothing is written.
}

func ok(body any) result { return result{status: http.StatusOK, body: body} }

func failure(e *api.Error) result { return result{status: statusOf(e), body: api.ErrorBody{Error: e}} }

func (r result) withCommand(id string) result {
	r.commandID = id
	return r
}

// methods maps HTTP methods to their handlers.
type methods map[string]func(*http.Request) result

// route returns the handler of one path, which calls the handler of the method. It bounds the size of the body and the
// time for receiving it, recovers from panics, writes the result and reports the request to the Observer and the log.
func (a *API) route(name string, m methods) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		r.Body = withReadDeadline(http.MaxBytesReader(w, r.Body, a.options.MaxBodyBytes), w, r, a.options.ReadTimeout)
		out := a.call(name, m, r)
		if out.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", allowedMethods(m))
		}
		writeResult(w, out)
		a.observe(name, r.Method, out, time.Since(start))
	})
}

func (a *API) call(name string, m methods, r *http.Request) (out result) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		a.options.Log.Error(nil, "request handler panicked", "event", "http_panic", "route", name, "cause", p, "stack", string(debug.Stack()))
		out = failure(&api.Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: "internal error", NotRun: api.NotRunUnknown})
	}()
	if len(m) == 0 {
		return failure(&api.Error{Code: api.CodeNotFound, Message: "no such path"})
	}
	handler := m[r.Method]
	if handler == nil {
		return failure(&api.Error{Code: CodeMethodNotAllowed, Message: "this path accepts " + allowedMethods(m)})
	}
	return handler(r)
}

func allowedMethods(m methods) string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func (a *API) observe(name, method string, out result, d time.Duration) {
	status := out.status
	if out.callerGone {
		status = StatusClientClosed
	}
	if a.options.Observer != nil {
		a.options.Observer.RequestDone(name, method, status, d)
	}
	a.options.Log.V(1).Info("request", "event", "http_request", "route", name, "method", method, "status", status, "seconds", d.Seconds())
}

func writeResult(w http.ResponseWriter, out result) {
	if out.callerGone {
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
	if out.commandID != "" {
		h.Set(api.HeaderCommandID, out.commandID)
	}
	w.WriteHeader(out.status)
	_, _ = w.Write(append(data, '\n')) // An error means that the caller hung up and needs no reply.
}

// withRetryAfter sets the Retry-After header and the matching field of the body on replies that ask for a retry.
func withRetryAfter(w http.ResponseWriter, status int, b api.ErrorBody) api.ErrorBody {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return b
	}
	e := *b.Error
	if !(e.RetryAfterSeconds > 0) {
		e.RetryAfterSeconds = defaultRetryAfterSeconds
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfterSeconds))))
	return api.ErrorBody{Error: &e}
}

// Codes of errors that only this package reports.
const (
	CodeInternal             = "internal"
	CodeMethodNotAllowed     = "method_not_allowed"
	CodeUnsupportedMediaType = "unsupported_media_type"
)

// StatusClientClosed is the status under which requests whose caller hung up are counted and logged. It is never sent.
const StatusClientClosed = 499

var statuses = map[string]int{
	api.CodeUnauthorized:     http.StatusUnauthorized,
	api.CodeNotFound:         http.StatusNotFound,
	api.CodeInvalid:          http.StatusBadRequest,
	api.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	api.CodeConflict:         http.StatusConflict,
	api.CodeUnavailable:      http.StatusServiceUnavailable,
	api.CodeStopping:         http.StatusServiceUnavailable,
	api.CodeOverloaded:       http.StatusServiceUnavailable,
	api.CodeKeyReused:        http.StatusConflict,
	api.CodeQueueFull:        http.StatusTooManyRequests,
	api.CodeRateLimited:      http.StatusTooManyRequests,
	api.CodeNeverFits:        http.StatusUnprocessableEntity,
	api.CodeNoWorkers:        http.StatusServiceUnavailable,
	api.CodeZoneOut:          http.StatusServiceUnavailable,
	api.CodeClassForbidden:   http.StatusForbidden,
	api.CodeUnknownSpace:     http.StatusNotFound,
	CodeInternal:             http.StatusInternalServerError,
	CodeMethodNotAllowed:     http.StatusMethodNotAllowed,
	CodeUnsupportedMediaType: http.StatusUnsupportedMediaType,
}

// statusOf returns the HTTP status of an error. A known code determines the status, so that it is the same whichever
// part of the system reports the code. Unknown codes are refusals of the scheduler: their status is that of the error,
// or else 422.
func statusOf(e *api.Error) int {
	if s, known := statuses[e.Code]; known {
		return s
	}
	if e.Status != 0 {
		return e.Status
	}
	return http.StatusUnprocessableEntity
}

// WriteReply writes a JSON reply in the format of this package, for HTTP interfaces in other packages.
func WriteReply(w http.ResponseWriter, status int, body any) {
	writeResult(w, result{status: status, body: body})
}

// WriteError writes an error reply with the status of its code.
func WriteError(w http.ResponseWriter, e *api.Error) { writeResult(w, failure(e)) }
