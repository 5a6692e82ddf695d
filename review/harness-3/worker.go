package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, within the bounds of the settings.
const (
	reportEvery = 1500 * time.Millisecond
	maxHoldMS   = 10000
	stopTimeMS  = 800 // A stop takes at most stop_grace_ms (900).
	startupMS   = 400 // Until a task that lasts is at work.
	firstClock  = 480000
)

// Words in the spec of a job that tell the workers what its tasks do.
const (
	specLasting = "lasting"
	specWork    = "work " // Followed by the duration in milliseconds.
	specGang    = "gang " // Followed by the number of members, a space and the rest.
	gangWait    = 3 * time.Second
)

// workerOptions describe one life of a worker.
type workerOptions struct {
	id, machine, zone, rack string
	number                  int // Last part of the address.
	port                    int // 0 for workerPort.
}

// worker is a stand-in of one life of a worker: 32 cores, 64 GB and 8 GPUs, with enforces_capacity false. It follows the pages'
// section "Running tasks". Only what the cases need is built: no checkpoints.
type worker struct {
	workerOptions
	cluster *cluster
	address string
	born    int64 // Unix milliseconds.
	started time.Time
	server  *http.Server
	stopped chan struct{}

	mu       sync.Mutex
	over     bool
	fence    uint64
	leaseMS  int64           // End of the lease on the worker's clock.
	runs     map[string]*run // By task.
	refused  map[string]int  // By task: the highest run that was stopped or has ended here.
	ends     []end           // Not acknowledged yet.
	endCount int
	sequence int
	reportTo string
}

type run struct {
	task           string
	number         int
	spec           string
	beganMS, endMS int64 // endMS: when a stop ends it, 0 for none.
	span           *span
	gang           *gang // Nil for a task that works by itself.
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// startWorker starts a life of a worker.
func (c *cluster) startWorker(o workerOptions) (*worker, error) {
	if o.port == 0 {
		o.port = workerPort
	}
	w := &worker{
		workerOptions: o, cluster: c, address: c.address(workerNet, o.number, o.port), born: time.Now().UnixMilli(), started: time.Now(),
		stopped: make(chan struct{}), runs: map[string]*run{}, refused: map[string]int{},
	}
	l, err := net.Listen("tcp4", w.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /hold", w.handle(w.hold))
	mux.HandleFunc("POST /pace", w.handle(func(body) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Instance-Id", w.id) })
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	c.workers = append(c.workers, w)
	c.mu.Unlock()
	c.record.note("worker %s begins: machine %s, rack %s, born %d, address %s", w.id, w.machine, w.rack, w.born, strings.TrimPrefix(w.address, c.prefix))
	go func() { _ = w.server.Serve(l) }() // Ends with crash.
	go w.live()
	return w, nil
}

// crash ends the life without notice.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	w.over = true
	close(w.stopped)
	_ = w.server.Close() // Closes the listener and all connections.
	for _, r := range w.runs {
		w.cluster.record.endSpan(r.span, "crashed")
		if r.gang != nil {
			r.gang.ended("crashed")
		}
	}
	w.cluster.record.note("worker %s ends without notice; it ran %v", w.id, w.running())
}

func (w *worker) clock() int64 { return firstClock + time.Since(w.started).Milliseconds() }

// live lets the tasks go on and sends the reports.
func (w *worker) live() {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	next := time.Now()
	for {
		select {
		case <-w.stopped:
			return
		case <-tick.C:
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(reportEvery)
			go w.report()
		}
	}
}

// advance ends what is over by now. The caller holds w.mu.
func (w *worker) advance() {
	now := w.clock()
	for _, r := range w.runs {
		switch {
		case now >= w.leaseMS:
			w.end(r, "lapsed")
		case r.endMS > 0 && now >= r.endMS:
			w.end(r, "stopped")
		case r.gang != nil && r.gang.broken():
			w.end(r, "broken")
		case r.gang != nil && !r.gang.atWork():
			if now >= r.beganMS+gangWait.Milliseconds() {
				w.end(r, "alone")
			}
		case r.gang != nil && r.gang.worked() >= r.workMS():
			w.end(r, "done")
		case r.gang == nil && r.workMS() > 0 && now >= r.beganMS+r.workMS():
			w.end(r, "done")
		}
	}
}

// workMS returns how long the run works, 0 for one that lasts.
func (r *run) workMS() int64 {
	_, rest, _ := r.members()
	if text, found := strings.CutPrefix(rest, specWork); found {
		n, err := strconv.ParseInt(text, 10, 64)
		if err == nil {
			return n
		}
	}
	return 0
}

// members returns the number of members of the gang that the spec names, and the rest of the spec.
func (r *run) members() (int, string, bool) {
	text, found := strings.CutPrefix(r.spec, specGang)
	if !found {
		return 0, r.spec, false
	}
	count, rest, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(count)
	return n, rest, err == nil
}

func (r *run) percent(now int64) int64 {
	worked := now - r.beganMS
	if r.gang != nil {
		worked = r.gang.worked()
	}
	if r.workMS() > 0 {
		return min(99, 100*worked/r.workMS())
	}
	if worked < startupMS {
		return 0
	}
	return 100
}

func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.cluster.record.endSpan(r.span, how)
	if r.gang != nil {
		r.gang.ended(how)
	}
	w.refused[r.task] = max(w.refused[r.task], r.number)
	w.endCount++
	w.ends = append(w.ends, end{w.endCount, r.task, r.number, how})
	w.cluster.record.note("worker %s: run %d of %s ends %s", w.id, r.number, r.task, how)
}

// fail ends a run by its own fault. It returns false if the task does not run here.
func (w *worker) fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	if r == nil || w.over {
		return false
	}
	w.end(r, "failed")
	return true
}

// running returns the tasks that run here. The caller holds w.mu.
func (w *worker) running() []string {
	var out []string
	for task := range w.runs {
		out = append(out, task)
	}
	return out
}

// has tells whether a run of a task is here.
func (w *worker) has(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.over && w.runs[task] != nil
}

// load returns how many runs are here.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return 0
	}
	return len(w.runs)
}

// body is the body of a call to a worker.
type body struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     uint64 `json:"fence_token"`
	AckCursor int    `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

func (w *worker) handle(execute func(body) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b body
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		status, reply := w.answer(r.Header.Get("X-Expected-Instance"), b, execute)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(reply) // Fails if the caller has closed the connection.
	}
}

func (w *worker) answer(expected string, b body, execute func(body) (int, map[string]any)) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	status, reply := http.StatusMisdirectedRequest, map[string]any{}
	switch {
	case expected != "" && expected != w.id:
	case b.Fence < w.fence:
		status, reply = refusal("fence")
	default:
		w.fence = b.Fence
		status, reply = execute(b)
	}
	reply["clock_ms"], reply["born"] = w.clock(), w.born
	return status, reply
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the lease, which never becomes shorter.
func (w *worker) extend(untilMS int64) {
	w.leaseMS = max(w.leaseMS, min(untilMS, w.clock()+maxHoldMS))
}

func (w *worker) runStart(b body) (int, map[string]any) {
	if b.UntilMS <= w.clock() {
		return refusal("late")
	}
	if r := w.runs[b.Task]; r != nil && r.number == b.Run {
		w.extend(b.UntilMS)
		return http.StatusOK, map[string]any{}
	}
	w.extend(b.UntilMS)
	if b.Run <= w.refused[b.Task] {
		return refusal("old")
	}
	r := &run{task: b.Task, number: b.Run, spec: b.Spec, beganMS: w.clock(), span: w.cluster.record.beginSpan(b.Task, b.Run, w.id)}
	if n, _, isGang := r.members(); isGang {
		r.gang = w.cluster.joinGang(b.Task, b.Run, n)
	}
	w.runs[b.Task] = r
	w.cluster.record.note("worker %s: run %d of %s starts, token %d", w.id, b.Run, b.Task, b.Fence)
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(b body) (int, map[string]any) {
	w.refused[b.Task] = max(w.refused[b.Task], b.Run)
	if r := w.runs[b.Task]; r != nil && r.number <= b.Run && r.endMS == 0 {
		r.endMS = w.clock() + stopTimeMS
		w.cluster.record.note("worker %s: told to stop run %d of %s, token %d", w.id, b.Run, b.Task, b.Fence)
	}
	return http.StatusOK, map[string]any{}
}

// hold extends the lease and returns both lists. It waits for an end. The caller holds w.mu, which is released meanwhile.
func (w *worker) hold(b body) (int, map[string]any) {
	for len(w.ends) > 0 && w.ends[0].number <= b.AckCursor {
		w.ends = w.ends[1:]
	}
	if b.UntilMS > 0 {
		w.extend(b.UntilMS)
	}
	for deadline := time.Now().Add(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(deadline) && !w.over; {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	if b.Fence < w.fence {
		return refusal("fence")
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(w.clock()), 0})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// report sends one status report. It tries the named address first, and then the others.
func (w *worker) report() {
	w.mu.Lock()
	w.sequence++
	content := map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": 32000, "mem_mb": 65536, "gpus": 8}, "labels": []string{"a", w.rack}, "clock_ms": w.clock(),
		"sequence": w.sequence, "born": w.born, "machine": w.machine,
	}
	addresses := w.cluster.controls()
	if w.reportTo != "" {
		addresses = append([]string{w.reportTo}, addresses...)
	}
	w.mu.Unlock()
	for _, address := range addresses {
		select {
		case <-w.stopped:
			return
		default:
		}
		status, data := w.cluster.call(http.MethodPut, "http://"+address+"/instances/"+w.id, nil, content)
		if status != http.StatusOK {
			continue
		}
		var answer struct {
			Address string `json:"heartbeat_addr"`
		}
		_ = json.Unmarshal(data, &answer) // An answer that cannot be read names no address.
		w.mu.Lock()
		w.reportTo = answer.Address
		w.mu.Unlock()
		return
	}
}

// startWorkers starts one worker on each of some machines, with a number of machines in a rack.
func (c *cluster) startWorkers(count, inRack int) ([]*worker, error) {
	var out []*worker
	for i := range count {
		w, err := c.startWorker(workerOptions{
			id: fmt.Sprintf("i-%02d", i+1), machine: fmt.Sprintf("m-%02d", i+1), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d", 1+i/inRack), number: i + 1,
		})
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	return out, nil
}

// workersWith returns the workers on which a run of a task is.
func (c *cluster) workersWith(task string) []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*worker
	for _, w := range c.workers {
		if w.has(task) {
			out = append(out, w)
		}
	}
	return out
}
