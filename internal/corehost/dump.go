package corehost

import (
	"encoding/json"
	"net/http"

	"github.com/mustardwalk/mustardwalk/internal/intake"
)

// dumpEntryBytes is about what a job or a worker takes while the dump is built and encoded: an entry in a map and its text, while
// the buffer grows.
const dumpEntryBytes = 512

// dump is the JSON form of a host's state, for debugging.
type dump struct {
	Host      string            `json:"host"`
	Role      uint8             `json:"role"`
	Term      uint64            `json:"term"`
	Leader    string            `json:"leader"`
	Leads     bool              `json:"leads"`
	Commit    uint64            `json:"commit"`
	Voters    []string          `json:"voters"`
	Known     []string          `json:"known_hosts"`
	Version   int64             `json:"config_version"`
	ZonesOut  []string          `json:"zones_out"`
	Jobs      map[string]string `json:"open_jobs"`
	JobsHeld  int               `json:"jobs_held"`
	Workers   map[string]int    `json:"attempts_by_worker"`
	Proposals int               `json:"proposals_waiting"`
}

// ServeDump writes the state of this host as JSON.
func (h *Host) ServeDump(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	entries := len(h.stateMachine.OpenJobs()) + len(h.stateMachine.Workers())
	h.mu.Unlock()
	if err := intake.Answer(r.Context(), entries*dumpEntryBytes); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	h.mu.Lock()
	now := h.now()
	st := h.replica.Status()
	d := dump{
		Host: h.settings.Address, Role: uint8(st.Role), Term: st.Term, Leader: st.Leader, Leads: h.leads(now), Commit: st.Commit,
		Known: h.knownHosts, Version: h.configVersion(), ZonesOut: h.stateMachine.ZonesOut(), Jobs: map[string]string{},
		JobsHeld: h.stateMachine.JobCount(), Workers: map[string]int{}, Proposals: len(h.pendingProposals),
	}
	for _, v := range st.Config.Voters {
		d.Voters = append(d.Voters, v.Host)
	}
	for id, j := range h.stateMachine.OpenJobs() {
		d.Jobs[string(id)] = j.State.String()
	}
	for id, x := range h.stateMachine.Workers() {
		d.Workers[id] = len(x.Attempts())
	}
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		h.log.Info("dump_not_sent", "cause", err.Error())
	}
}
