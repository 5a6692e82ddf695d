package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of workers, as in the settings.
const (
	maxHoldMS     = 10000
	heartbeat     = 1500 * time.Millisecond
	stopTime      = 100 * time.Millisecond // Less than stop_grace_ms.
	endsPerAnswer = 500
	pollEvery     = 5 * time.Millisecond
)

// run is one run of a task on a worker.
type run struct {
	worker  *worker
	task    string
	number  int
	spec    string
	started time.Time
	workMS  int64 // For the percentage; 0 for a task that lasts.
	over    bool
}

// worker is a stand-in for one life of a worker. It follows the published protocol.
type worker struct {
	id, zone, address string
	labels            []string
	capacity          map[string]int64
	service           string
	controls          []string
	record            *record
	begin             func(*run)                        // Is called once a run has started.
	refuse            func(task string, number int) int // Status with which an unhealthy worker answers a start, 0 if it is healthy.

	mu         sync.Mutex
	born       int64
	startedAt  time.Time
	fence      uint64
	leaseEndMS int64
	running    map[string]*run
	highest    map[string]int
	ended      [][]any
	lastEnd    int64
	sequence   int64
	reportTo   string
	server     *http.Server
	stopped    context.CancelFunc
}

func (w *worker) start() error {
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.born, w.startedAt = time.Now().UnixMilli(), time.Now()
	w.running, w.highest = map[string]*run{}, map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	mux.HandleFunc("POST /pace", w.handle(w.pace))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	w.stopped = cancel
	go func() { _ = w.server.Serve(l) }() // Ends with the server.
	go w.reports(ctx)
	go w.watchLease(ctx)
	return nil
}

func (w *worker) stop() {
	w.stopped()
	_ = w.server.Close() // Nothing is left to do if it fails.
}

// clockMS is the worker's steady clock. The caller holds w.mu or the worker has not changed its start.
func (w *worker) clockMS() int64 { return 1000 + time.Since(w.startedAt).Milliseconds() }

// order is the body of a call to the worker.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	Saved      string `json:"saved"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// handle checks what all calls have in common: the intended life and the fencing token.
func (w *worker) handle(do func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		refused := o.FenceToken < w.fence
		w.fence = max(w.fence, o.FenceToken)
		w.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !refused {
			status, body = do(r, o)
		}
		w.mu.Lock()
		body["clock_ms"], body["born"] = w.clockMS(), w.born
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body) // Fails if the caller is gone.
	}
}

// extend prolongs the lease. It never shortens it, and it ends at most maxHoldMS from now. The caller holds w.mu.
func (w *worker) extend(untilMS int64) {
	w.leaseEndMS = max(w.leaseEndMS, min(untilMS, w.clockMS()+maxHoldMS))
}

func (w *worker) runStart(_ *http.Request, o order) (int, map[string]any) {
	if w.refuse != nil {
		if status := w.refuse(o.Task, o.Run); status != 0 {
			w.record.write("worker %s answers %d to the start of %s run %d and does nothing", w.id, status, o.Task, o.Run)
			return status, map[string]any{}
		}
	}
	w.mu.Lock()
	if a := w.running[o.Task]; a != nil && a.number == o.Run {
		w.extend(o.UntilMS)
		w.mu.Unlock()
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		w.extend(o.UntilMS)
		w.mu.Unlock()
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if o.UntilMS <= w.clockMS() {
		w.mu.Unlock()
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(o.UntilMS)
	a := &run{worker: w, task: o.Task, number: o.Run, spec: o.Spec, started: time.Now()}
	w.running[o.Task] = a
	w.mu.Unlock()
	w.record.write("worker %s starts %s run %d", w.id, o.Task, o.Run)
	go w.begin(a)
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(_ *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	a := w.running[o.Task]
	w.mu.Unlock()
	w.record.write("worker %s is told to stop %s run %d", w.id, o.Task, o.Run)
	if a != nil && a.number <= o.Run {
		time.AfterFunc(stopTime, func() { a.end("stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(*http.Request, order) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

// hold extends the lease, forgets the ends up to the cursor and answers with both lists, at the latest after the wait.
func (w *worker) hold(r *http.Request, o order) (int, map[string]any) {
	deadline := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extend(o.UntilMS)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.AckCursor {
		w.record.write("worker %s: the end %v is taken note of", w.id, w.ended[0])
		w.ended = w.ended[1:]
	}
	for len(w.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(pollEvery)
		w.mu.Lock()
	}
	running := [][]any{}
	for _, a := range w.running {
		running = append(running, []any{a.task, a.number, "", a.percent(), 0})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": append([][]any{}, w.ended[:min(len(w.ended), endsPerAnswer)]...)}
}

// lastingStartup is how long a task that lasts takes until it is at work.
const lastingStartup = 300 * time.Millisecond

func (a *run) percent() int {
	if a.workMS == 0 {
		if time.Since(a.started) > lastingStartup {
			return 100
		}
		return 0
	}
	return int(min(99, 100*time.Since(a.started).Milliseconds()/a.workMS))
}

// end ends the run, unless it has ended, and tells whether it did.
func (a *run) end(how string) bool {
	w := a.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.over {
		return false
	}
	a.over = true
	delete(w.running, a.task)
	w.highest[a.task] = max(w.highest[a.task], a.number)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, a.task, a.number, how, ""})
	w.record.write("worker %s: %s run %d ends %s after %d ms", w.id, a.task, a.number, how, time.Since(a.started).Milliseconds())
	return true
}

func (w *worker) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(pollEvery)
		w.mu.Lock()
		var lapsed []*run
		if w.clockMS() > w.leaseEndMS {
			for _, a := range w.running {
				lapsed = append(lapsed, a)
			}
		}
		w.mu.Unlock()
		for _, a := range lapsed {
			a.end("lapsed")
		}
	}
}

// reports sends the reports about the worker. Each goes to the address that the last answer named, then to the others.
func (w *worker) reports(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.sequence++
		body := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": w.capacity, "labels": w.labels, "clock_ms": w.clockMS(), "sequence": w.sequence, "born": w.born, "machine": "m-" + w.id,
		}
		to := append([]string{}, w.controls...)
		if w.reportTo != "" {
			to = append([]string{w.reportTo}, to...)
		}
		w.mu.Unlock()
		for _, address := range to {
			status, data := request(ctx, "PUT", "http://"+address+"/instances/"+w.id, "", body, nil, time.Second)
			if status == http.StatusOK {
				var answer struct {
					Address string `json:"heartbeat_addr"`
				}
				_ = json.Unmarshal(data, &answer) // An answer that cannot be decoded names no address.
				w.mu.Lock()
				w.reportTo = answer.Address
				w.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// startWorkers starts n workers with the given labels by index.
func startWorkers(c *cluster, n int, service string, label func(int) string, prepare func(int, *worker)) ([]*worker, error) {
	var controls []string
	for i := range coreCount {
		controls = append(controls, c.address(netCore, i, portControl))
	}
	var out []*worker
	for i := range n {
		w := &worker{
			id: fmt.Sprintf("i-%04d", i+1), zone: zones[i%len(zones)], address: c.address(netWorker, i, portWorker), service: service,
			labels: []string{label(i), fmt.Sprintf("r%d-%d", i%len(zones)+1, 1)}, capacity: map[string]int64{"cpu": 128000, "mem_mb": 524288, "gpus": 8},
			controls: controls, record: c.record,
		}
		prepare(i, w)
		if err := w.start(); err != nil {
			return out, err
		}
		out = append(out, w)
	}
	return out, nil
}
