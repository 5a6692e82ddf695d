package httpapi

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
)

// timedBody bounds the time for receiving a body by the read deadline of the connection. It removes the deadline at the
// end of the body, because the server would cancel a request that waits for its answer beyond the deadline.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// withReadDeadline sets the read deadline and returns a body that removes it at its end. The deadline is set at once
// and not at the first read, because the server also receives a body that the handler leaves unread.
func withReadDeadline(body io.ReadCloser, w http.ResponseWriter, r *http.Request, limit time.Duration) io.ReadCloser {
	if r.ContentLength == 0 {
		return body
	}
	b := &timedBody{body, http.NewResponseController(w)}
	_ = b.control.SetReadDeadline(time.Now().Add(limit)) // Fails only for the response recorders of tests.
	return b
}

// Read implements io.Reader. After a timeout the deadline stays, because the server goes on reading the body before it
// replies.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

var (
	jsonTypes = []string{"application/json"}
	yamlTypes = []string{"application/yaml", "application/x-yaml", "text/yaml", "text/x-yaml", "text/plain"}
)

// readBody reads a body of one of the given media types. The error is nil on success.
func readBody(r *http.Request, types []string) ([]byte, *api.Error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || !slices.Contains(types, media) {
		return nil, &api.Error{Code: CodeUnsupportedMediaType, Message: "Content-Type must be " + strings.Join(types, " or ")}
	}
	return readAll(r)
}

func readAll(r *http.Request) ([]byte, *api.Error) {
	data, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &api.Error{Code: api.CodeTooLarge, Message: "the body is larger than the limit of this host"}
	}
	if err != nil {
		return nil, &api.Error{Code: api.CodeInvalid, Message: "the body was not received completely"}
	}
	return data, nil
}

// noBody checks that a request has no body, or an empty JSON object.
func noBody(r *http.Request) *api.Error {
	data, e := readAll(r)
	if e != nil {
		return e
	}
	rest := bytes.TrimSpace(data)
	if len(rest) > 0 && string(rest) != "{}" {
		return &api.Error{Code: api.CodeInvalid, Message: "this request takes no body"}
	}
	return nil
}

// readJSON reads a JSON body and decodes it strictly, as Decode does.
func readJSON(r *http.Request, into any) *api.Error {
	data, e := readBody(r, jsonTypes)
	if e != nil {
		return e
	}
	findings := Decode(data, into)
	if len(findings) > 0 {
		return &api.Error{Code: api.CodeInvalid, Message: "the body is not valid", Findings: findings}
	}
	return nil
}
