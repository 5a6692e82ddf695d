package httpapi_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
)

// FuzzBodies sends bodies to all JSON routes of callers and endpoints. It guards against panics, replies that are not
// JSON, and bodies that Decode accepts although the decoder of encoding/json with DisallowUnknownFields refuses them.
func FuzzBodies(f *testing.F) {
	paths := []string{"/v1/jobs", endpoint.PathAnnounce, endpoint.PathHeartbeat, endpoint.PathLeaving, endpoint.PathResult}
	backend := &fakeBackend{}
	a := httpapi.New(httpapi.Options{Backend: backend, Log: logr.Discard(), EndpointTokens: []string{endpointToken}, MaxBodyBytes: maxBody})
	handler := a.Handler(httpapi.Interfaces{Callers: true, Endpoints: true}, nil)
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, path := range paths {
			r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data))
			r.Header.Set("Authorization", "Bearer "+endpointToken)
			r.Header.Set("Content-Type", "application/json")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code >= http.StatusInternalServerError || !json.Valid(w.Body.Bytes()) {
				t.Fatalf("%s: status %d, body %q", path, w.Code, w.Body)
			}
		}
		backend.asked, backend.reported = nil, nil
		var job api.JobRequest
		if len(httpapi.Decode(data, &job)) > 0 {
			return
		}
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		if err := d.Decode(new(api.JobRequest)); err != nil {
			t.Fatalf("accepted, but: %v", err)
		}
	})
}
