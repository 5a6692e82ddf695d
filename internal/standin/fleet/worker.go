// Package fleet holds stand-ins for what surrounds the system on the users' platform: workers, an operator and a client
// that retries. They follow the published protocol. Tests and the fault soak use them.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

// Periods of a worker.
const (
	ReportPeriod  = 1500 * time.Millisecond
	reportTimeout = time.Second
	advancePeriod = 10 * time.Millisecond
)

// WorkerOptions describe a worker.
type WorkerOptions struct {
	ID, Zone, Rack, Service string
	Listen                  string   // Address with a port; port 0 picks one.
	ControlAddresses        []string // Where reports go; tried in turn.
	Advertise               string   // Address in reports, if it is not the listener's.
	ClockRate               float64  // Rate of the worker's clock relative to real time.
	Gangs                   *simworker.Gangs
	GangsLock               *sync.Mutex // Guards Gangs; shared by all workers of a process.
	Start                   time.Time   // Shared origin of time.
}

// Worker is a worker that serves the calls of the published protocol.
type Worker struct {
	options     WorkerOptions
	incarnation domain.WorkerIncarnation
	sim         *simworker.Worker
	address     string
	server      *http.Server
	client      *http.Client
	cancel      context.CancelFunc
	sequence    int
	draining    bool
}

// StartWorker starts an incarnation of a worker.
func StartWorker(options WorkerOptions) (*Worker, error) {
	l, err := net.Listen("tcp4", options.Listen)
	if err != nil {
		return nil, err
	}
	w := &Worker{options: options, address: l.Addr().String(), client: &http.Client{Timeout: reportTimeout}}
	if options.Advertise != "" {
		w.address = options.Advertise
	}
	w.incarnation = domain.WorkerIncarnation{ID: options.ID, BornMS: time.Now().UnixMilli()}
	w.sim = simworker.New(w.incarnation, domain.Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}, options.ClockRate, options.Gangs, w.now())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.callHandler(dispatch.CallStart))
	mux.HandleFunc("POST /run-stop", w.callHandler(dispatch.CallStop))
	mux.HandleFunc("POST /hold", w.callHandler(dispatch.CallHold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() { _ = w.server.Serve(l) }() // Ends with Close.
	go w.run(ctx)
	return w, nil
}

// Incarnation returns the identifier of the worker and the start time of this incarnation.
func (w *Worker) Incarnation() domain.WorkerIncarnation { return w.incarnation }

// Crash ends the worker without notice.
func (w *Worker) Crash() {
	w.cancel()
	_ = w.server.Close() // The listener may be closed already.
	w.options.GangsLock.Lock()
	defer w.options.GangsLock.Unlock()
	w.sim.Crash(w.now())
}

// Drain makes the worker report the state draining, which announces that it is going to leave.
func (w *Worker) Drain() {
	w.options.GangsLock.Lock()
	defer w.options.GangsLock.Unlock()
	w.draining = true
}

func (w *Worker) now() time.Duration { return time.Since(w.options.Start) }

func (w *Worker) run(ctx context.Context) {
	advance := time.NewTicker(advancePeriod)
	defer advance.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-advance.C:
		}
		w.options.GangsLock.Lock()
		w.sim.Advance(w.now())
		w.options.GangsLock.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(ReportPeriod)
			go w.report(ctx)
		}
	}
}

// report sends one report. It tries the addresses in turn, from a random one, until one acknowledges the report.
func (w *Worker) report(ctx context.Context) {
	w.options.GangsLock.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": w.options.Service, "address": w.address, "zone": w.options.Zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": 32000, "mem_mb": 65536, "gpus": 8},
		"labels": []string{"a", w.options.Rack}, "clock_ms": w.sim.Clock(w.now()), "sequence": w.sequence, "born": w.incarnation.BornMS,
	}
	w.options.GangsLock.Unlock()
	first := rand.IntN(len(w.options.ControlAddresses))
	for i := range w.options.ControlAddresses {
		address := w.options.ControlAddresses[(first+i)%len(w.options.ControlAddresses)]
		if status, _ := call(ctx, w.client, http.MethodPut, "http://"+address+"/instances/"+w.incarnation.ID, body, nil); status == http.StatusOK {
			return
		}
	}
}

// callBody is the body of a call of the scheduler to the worker: to start or stop a task, or to hold, which renews the
// lease.
type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	Saved      string `json:"saved"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *Worker) callHandler(kind dispatch.CallKind) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b callBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		c := dispatch.Call{
			Kind: kind, Worker: domain.WorkerIncarnation{ID: r.Header.Get("X-Expected-Instance")}, FencingToken: b.FenceToken, UntilMS: b.UntilMS,
			Cursor: b.AckCursor, Attempt: b.Run, Payload: b.Spec, Checkpoint: b.Saved,
		}
		if kind != dispatch.CallHold {
			var err error
			if c.Task, err = domain.ParseTaskID(b.Task); err != nil {
				http.Error(rw, err.Error(), http.StatusBadRequest)
				return
			}
		}
		reply := w.execute(c, time.Duration(b.WaitMS)*time.Millisecond)
		w.writeReply(rw, reply)
	}
}

// execute executes a call. A hold waits up to the given time for the end of an attempt that the caller has not
// acknowledged yet.
func (w *Worker) execute(c dispatch.Call, wait time.Duration) dispatch.Reply {
	deadline := time.Now().Add(wait)
	for {
		w.options.GangsLock.Lock()
		reply := w.sim.Call(w.now(), c)
		ends := w.sim.HasEndedAfter(c.Cursor)
		w.options.GangsLock.Unlock()
		if c.Kind != dispatch.CallHold || ends || time.Now().After(deadline) {
			return reply
		}
		time.Sleep(advancePeriod)
	}
}

// rejectionReasons are the names of the rejections in replies.
var rejectionReasons = map[dispatch.Status]string{
	dispatch.RejectedFence: "fence", dispatch.RejectedEnded: "old", dispatch.RejectedLeaseOver: "late", dispatch.RejectedCapacity: "room",
}

func (w *Worker) writeReply(rw http.ResponseWriter, r dispatch.Reply) {
	body := map[string]any{"clock_ms": r.ClockMS, "born": r.BornMS}
	status := http.StatusOK
	switch reason, rejected := rejectionReasons[r.Status]; {
	case rejected:
		status = http.StatusConflict
		body["reason"] = reason
	case r.Status == dispatch.OtherIncarnation:
		status = http.StatusMisdirectedRequest
	case r.HasLists:
		running, ended := [][]any{}, [][]any{}
		for _, t := range r.Running {
			running = append(running, []any{t.Task.String(), t.Attempt, t.Checkpoint, t.Percent, 0})
		}
		for _, e := range r.Ended {
			ended = append(ended, []any{e.Number, e.Task.String(), e.Attempt, e.Outcome.String(), e.Checkpoint})
		}
		body["running"], body["ended"] = running, ended
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // Fails if the caller has closed the connection.
}

// call sends a request with a JSON body and reads the body of the answer. Status 0 means that no answer came.
func call(ctx context.Context, client *http.Client, method, url string, body any, header map[string]string) (int, []byte) {
	var reader io.Reader
	if raw, isRaw := body.([]byte); isRaw {
		reader = bytes.NewReader(raw)
	} else if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(fmt.Sprintf("encoding a request: %v", err))
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}
