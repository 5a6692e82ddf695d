package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// entryHost is an entry host that accepts every report.
type entryHost struct {
	mu      sync.Mutex
	paths   []string
	results []endpoint.Result
}

func (h *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer secret" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	h.paths = append(h.paths, r.URL.Path)
	var reply any = known
	if r.URL.Path == endpoint.PathResult || r.URL.Path == endpoint.PathLeaving {
		var v endpoint.Result
		_ = json.NewDecoder(r.Body).Decode(&v)
		h.results = append(h.results, v)
		reply = endpoint.Ack{Accepted: true}
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func (h *entryHost) seen() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.paths...)
}

var _ = Describe("Server", func() {
	// Guards against an endpoint that stops reporting when the first entry host of its zone is down.
	It("reports to the next host when one is down, serves calls, and ends once it has left", func() {
		host := &entryHost{}
		hostServer := httptest.NewServer(host)
		defer hostServer.Close()
		down, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(down.Close()).To(Succeed())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		records := &bytes.Buffer{}
		s := &standin.Server{Endpoint: newEndpoint(standin.Faults{}), Listener: listener, Tokens: []string{"secret", "older"}, History: records,
			Hosts: []string{down.Addr().String(), strings.TrimPrefix(hostServer.URL, "http://")}, Log: logr.Discard()}
		done := make(chan error, 1)
		go func() { done <- s.Serve(context.Background()) }()
		Eventually(host.seen, "5s").Should(ContainElement(endpoint.PathHeartbeat))

		post := func(path, token string, body any) int {
			raw, _ := json.Marshal(body)
			r, _ := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+path, bytes.NewReader(raw))
			r.Header.Set("Authorization", "Bearer "+token)
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		}
		Expect(post(endpoint.PathReserve, "wrong", call("", "a"))).To(Equal(http.StatusUnauthorized))
		Expect(post(endpoint.PathStart, "secret", call("", "a"))).To(Equal(http.StatusConflict))
		Expect(post(endpoint.PathReserve, "older", call("", "a"))).To(Equal(http.StatusOK))
		Expect(post(endpoint.PathStart, "secret", call("", "a"))).To(Equal(http.StatusOK))
		Eventually(host.seen, "5s").Should(ContainElement(endpoint.PathResult))
		Expect(post(standin.PathFaults, "secret", standin.Faults{Freeze: true})).To(Equal(http.StatusOK))
		Expect(post(endpoint.PathStatus, "secret", call("", "a"))).To(Equal(0))
		Expect(post(standin.PathFaults, "secret", standin.Faults{})).To(Equal(http.StatusOK))
		Expect(post(standin.PathLeave, "secret", nil)).To(Equal(http.StatusOK))
		Eventually(done, 5*time.Second).Should(Receive(BeNil()))
		Expect(records.String()).To(MatchRegexp(`(?s)"kind":"reserved".*"kind":"started".*"kind":"stopped".*"kind":"leaving_sent"`))
	})
})
