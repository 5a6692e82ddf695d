package httpapi

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
)

// bearer returns the token of the Authorization header, or "" if there is none or it is longer than maxTokenBytes.
func bearer(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	if !found || !strings.EqualFold(scheme, "Bearer") || len(token) > maxTokenBytes {
		return ""
	}
	return token
}

// params reads the query, the headers and the path segments of a request and collects findings.
type params struct {
	request  *http.Request
	allowed  map[string]bool
	findings []api.Finding
}

// newParams checks that only the named parameters are given, each at most once. A misspelled parameter must not be
// ignored, because the request would do something else: with a misspelled dry_run, for example, it would make the
// change.
func newParams(request *http.Request, names ...string) *params {
	p := &params{request: request, allowed: map[string]bool{}}
	for _, n := range names {
		p.allowed[n] = true
	}
	for name, values := range request.URL.Query() {
		if !p.allowed[name] {
			p.addFinding("?"+name, "unknown parameter")
		} else if len(values) > 1 {
			p.addFinding("?"+name, "the parameter is repeated")
		}
	}
	if request.URL.RawQuery != "" && len(request.URL.Query()) == 0 {
		p.addFinding("?", "the query is not valid")
	}
	return p
}

func (p *params) addFinding(field, message string) {
	p.findings = append(p.findings, api.Finding{Field: field, Message: message})
}

// err returns the findings as one error, or nil.
func (p *params) err() *api.Error {
	if len(p.findings) == 0 {
		return nil
	}
	return &api.Error{Code: api.CodeInvalid, Message: "the parameters are not valid", Findings: p.findings}
}

func (p *params) wait() time.Duration {
	text := p.request.URL.Query().Get("wait")
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > MaxWait {
		p.addFinding("?wait", "must be a duration from 0s to "+MaxWait.String())
		return 0
	}
	return d
}

func (p *params) flag(name string) bool {
	text := p.request.URL.Query().Get(name)
	if text == "" {
		return false
	}
	v, err := strconv.ParseBool(text)
	if err != nil {
		p.addFinding("?"+name, "must be true or false")
	}
	return v
}

// commandHeader returns the identifier of an operator command. If the request has none, it generates one and returns
// true for generated: no earlier request can have had this identifier.
func (p *params) commandHeader() (id string, generated bool) {
	values := p.request.Header.Values(api.HeaderCommandID)
	if len(values) == 0 {
		return rand.Text(), true
	}
	if len(values) > 1 || !isVisibleASCII(values[0], maxCommandIDBytes) {
		p.addFinding(api.HeaderCommandID, "must be one value of at most 128 visible ASCII characters")
		return "", false
	}
	return values[0], false
}

// expectedRevision returns the revision that the operator last saw. It is nil if the request names none, and any
// current revision is then accepted.
func (p *params) expectedRevision() *uint64 {
	values := p.request.Header.Values(api.HeaderExpectedRevision)
	if len(values) == 0 {
		return nil
	}
	n, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil || len(values) > 1 {
		p.addFinding(api.HeaderExpectedRevision, "must be one decimal number")
		return nil
	}
	return &n
}

// name returns a segment of the path that must be a name.
func (p *params) name(segment string) string {
	v := p.request.PathValue(segment)
	if !isVisibleASCII(v, maxNameBytes) {
		p.addFinding(segment, "must be at most 128 visible ASCII characters")
	}
	return v
}

// isVisibleASCII reports whether s has 1 to limit bytes, all of them visible ASCII characters.
func isVisibleASCII(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
