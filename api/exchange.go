package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// tryResult is the result of sending a call to one server.
type tryResult struct {
	err       *Error
	retryable bool // Another server, or the same one later, may answer the request.
	ambiguous bool // The request may have taken effect.
}

// try sends a call to one server.
func (c *Client) try(parent context.Context, server string, call apiCall, into any) tryResult {
	ctx, stop := context.WithTimeout(parent, c.options.Timeout+call.wait)
	defer stop()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), server, call)
	if err != nil {
		return tryResult{err: &Error{Code: CodeInvalid, Message: err.Error()}}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return tryResult{err: unavailable(server, err), retryable: parent.Err() == nil, ambiguous: connected.Load()}
	}
	defer response.Body.Close()
	data, err := readReply(response.Body)
	if err != nil {
		return tryResult{err: unavailable(server, err), retryable: parent.Err() == nil, ambiguous: true}
	}
	if response.StatusCode/100 != 2 {
		return refusal(response, data)
	}
	if into == nil {
		return tryResult{}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return tryResult{err: unavailable(server, fmt.Errorf("the reply cannot be decoded: %w", err)), ambiguous: true}
	}
	return tryResult{}
}

func readReply(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err == nil && len(data) > maxReplyBytes {
		err = fmt.Errorf("the reply is larger than %d bytes", maxReplyBytes)
	}
	return data, err
}

// unavailable returns the error for a server that cannot be reached or whose reply cannot be read.
func unavailable(server string, err error) *Error {
	return &Error{Code: CodeUnavailable, Message: fmt.Sprintf("%s: %v", server, err)}
}

func (c *Client) request(ctx context.Context, server string, call apiCall) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, call.method, strings.TrimRight(server, "/")+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
		r.Header[name] = values
	}
	if c.options.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Token)
	}
	if call.contentType != "" {
		r.Header.Set("Content-Type", call.contentType)
	}
	return r, nil
}

// refusal decodes an error reply. A reply without an error body comes from an intermediary between client and server,
// such as a proxy.
func refusal(response *http.Response, data []byte) tryResult {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error == nil || body.Error.Code == "" {
		e := &Error{Status: response.StatusCode, Code: CodeUnavailable, Message: "status " + response.Status + " without an error body"}
		return tryResult{err: e, retryable: response.StatusCode >= http.StatusInternalServerError, ambiguous: true}
	}
	e := body.Error
	e.Status = response.StatusCode
	return tryResult{err: e, retryable: retryable(e.Code), ambiguous: e.NotRun != NotRunTrue}
}

// retryable tells whether another host may accept a request that was refused with the given code.
func retryable(code string) bool {
	switch code {
	case CodeUnavailable, CodeStopping, CodeOverloaded:
		return true
	}
	return false
}

// waitParameter formats the query parameter for a long poll; it returns "" if there is no wait.
func waitParameter(d time.Duration) string {
	if d <= 0 {
		return ""
	}
	return "?wait=" + d.String()
}
