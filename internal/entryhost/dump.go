package entryhost

import (
	"encoding/json"
	"net/http"
	"time"
)

// dump is the JSON form of a host's state, for debugging.
type dump struct {
	Leader   string   `json:"leader"`
	HeardMS  int64    `json:"leader_heard_ms_ago"`
	Known    []string `json:"known_hosts"`
	Ready    bool     `json:"ready"`
	Stopping bool     `json:"stopping"`
}

// ServeDump writes the state of this host as JSON.
func (h *Host) ServeDump(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	d := dump{h.leader, time.Since(h.leaderHeard).Milliseconds(), h.knownHosts, h.readyLocked(), h.stopping}
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		h.log.Info("dump_not_sent", "cause", err.Error())
	}
}
