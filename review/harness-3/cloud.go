package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep: maintenance_s.
const upkeepTime = 2 * time.Second

// cloud is a stand-in of the platform's interface for machines.
type cloud struct {
	cluster *cluster

	mu      sync.Mutex
	workers map[string]*worker // Present life by machine.
	states  map[string]string  // By machine.
	done    map[string]bool    // Upkeeps, by machine and wave.
	fences  map[string]uint64  // By machine.
	lives   int
}

func (c *cluster) startCloud(workers []*worker) (*cloud, error) {
	p := &cloud{cluster: c, workers: map[string]*worker{}, states: map[string]string{}, done: map[string]bool{}, fences: map[string]uint64{}}
	for _, w := range workers {
		p.replace(w)
	}
	l, err := net.Listen("tcp4", c.address(cloudNet, 1, cloudPort))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /machine-upkeep", p.upkeep)
	mux.HandleFunc("GET /machines", p.list)
	go func() { _ = http.Serve(l, mux) }() //nolint:gosec // It ends with the process.
	return p, nil
}

// replace makes a life of a worker the present one of its machine.
func (p *cloud) replace(w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[w.machine], p.states[w.machine] = w, "up"
}

func (p *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := []map[string]any{}
	for id, w := range p.workers {
		machines = append(machines, map[string]any{
			"machine": id, "pool": service, "state": p.states[id], "zone": w.zone, "labels": []string{"a", w.rack},
			"capacity": map[string]any{"cpu": 32000, "mem_mb": 65536, "gpus": 8}, "id": w.id,
		})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": machines, "next_token": nil}) // Fails if the caller has gone.
}

// upkeep ends everything on a machine at once. A new worker joins after upkeepTime.
func (p *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64) // A missing one counts as 0.
	status, reason := p.beginUpkeep(b.Machine, b.Wave, fence)
	p.cluster.record.note("cloud: POST /machine-upkeep %s wave %d, holder %s, token %d: %d %s", b.Machine, b.Wave,
		strings.TrimPrefix(r.Header.Get("X-Lease-Holder"), p.cluster.prefix), fence, status, reason)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]any{"reason": reason}) // Fails if the caller has gone.
}

func (p *cloud) beginUpkeep(machine string, wave int, fence uint64) (int, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := fmt.Sprintf("%s/%d", machine, wave)
	w := p.workers[machine]
	switch {
	case w == nil:
		return http.StatusBadRequest, ""
	case fence < p.fences[machine]:
		return http.StatusConflict, "fence"
	}
	p.fences[machine] = fence
	switch {
	case p.done[key]:
		return http.StatusOK, ""
	case p.states[machine] != "up":
		return http.StatusConflict, "busy"
	}
	p.done[key], p.states[machine] = true, "upkeep"
	w.crash()
	p.lives++
	o := w.workerOptions
	o.id, o.port = fmt.Sprintf("i-9%d", p.lives), o.port+100
	time.AfterFunc(upkeepTime, func() {
		if back, err := p.cluster.startWorker(o); err == nil {
			p.replace(back)
		}
	})
	return http.StatusOK, ""
}

// availability judges AVAIL for the tasks of a step that last: no order may end one that is at work while as many others as may
// be missing are away.
type availability struct {
	cluster *cluster
	tasks   []string
	mayMiss int
	from    time.Duration
}

func newAvailability(c *cluster, tasks []string, mayMiss int) *availability {
	return &availability{c, tasks, mayMiss, c.record.at()}
}

// check returns an error if the rule was broken since the watch began. All ends since then are by orders: a stop, or the upkeep
// that ends everything on a machine.
func (a *availability) check() error {
	startup := startupMS * time.Millisecond
	const notice = 4500 * time.Millisecond
	runs := map[string][]span{}
	for _, task := range a.tasks {
		runs[task] = a.cluster.record.runsOf(task)
	}
	for _, task := range a.tasks {
		for _, r := range runs[task] {
			if r.to <= a.from || r.to < r.from+startup {
				continue // It still runs, ended before, or was not at work.
			}
			away := 0
			for _, other := range a.tasks {
				if other == task {
					continue
				}
				atWork := slices.ContainsFunc(runs[other], func(s span) bool { return s.from+startup <= r.to && (s.to == 0 || s.to > r.to) })
				byOrder := slices.ContainsFunc(runs[other], func(s span) bool { return s.to > max(a.from, r.to-notice) && s.to <= r.to })
				if !atWork && byOrder {
					away++
				}
			}
			a.cluster.record.note("AVAIL: at %.3f s an order ended run %d of %s on %s (%s); others of its step that were away: %d, fewer than %d are allowed",
				r.to.Seconds(), r.run, task, r.worker, r.how, away, a.mayMiss)
			if away >= a.mayMiss {
				return fmt.Errorf("%w: AVAIL: an order ended %s at work on a sound worker while %d other of its step was away, and %d may be missing", errBroken, task, away, a.mayMiss)
			}
		}
	}
	return nil
}
