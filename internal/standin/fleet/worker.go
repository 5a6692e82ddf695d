// Package fleet holds stand-ins for what surrounds the system on the users' platform, after the published protocol:
// workers, an operator and a client that retries. Tests and the fault soak use them.
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
	ReportEvery   = 1500 * time.Millisecond
	reportTimeout = time.Second
	advanceEvery  = 10 * time.Millisecond
)

// WorkerOptions describe a worker.
type WorkerOptions struct {
	ID, Zone, Rack, Service string
	Listen                  string   // Address with a port; port 0 picks one.
	Control                 []string // Where reports go; tried in turn.
	Advertise               string   // Address in reports, if it is not the listener's.
	Rate                    float64  // Of its clock.
	Gangs                   *simworker.Gangs
	Lock                    *sync.Mutex // Guards Gangs; shared by all workers of a process.
	Start                   time.Time   // Shared origin of time.
}

// Worker is a worker that serves the published calls.
type Worker struct {
	o        WorkerOptions
	life     domain.WorkerLife
	sim      *simworker.Worker
	address  string
	server   *http.Server
	client   *http.Client
	cancel   context.CancelFunc
	sequence int
	draining bool
}

// StartWorker starts a lifetime of a worker.
func StartWorker(o WorkerOptions) (*Worker, error) {
	l, err := net.Listen("tcp4", o.Listen)
	if err != nil {
		return nil, err
	}
	w := &Worker{o: o, address: l.Addr().String(), client: &http.Client{Timeout: reportTimeout}}
	if o.Advertise != "" {
		w.address = o.Advertise
	}
	w.life = domain.WorkerLife{ID: o.ID, BornMS: time.Now().UnixMilli()}
	w.sim = simworker.New(w.life, domain.Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}, o.Rate, o.Gangs, w.now())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.order(dispatch.CallStart))
	mux.HandleFunc("POST /run-stop", w.order(dispatch.CallStop))
	mux.HandleFunc("POST /hold", w.order(dispatch.CallHold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() { _ = w.server.Serve(l) }() // Ends with Close.
	go w.run(ctx)
	return w, nil
}

// Life returns the lifetime.
func (w *Worker) Life() domain.WorkerLife { return w.life }

// Crash ends the worker without a word.
func (w *Worker) Crash() {
	w.cancel()
	_ = w.server.Close() // The listener may be closed already.
	w.o.Lock.Lock()
	defer w.o.Lock.Unlock()
	w.sim.Crash(w.now())
}

// Drain makes the worker report that it leaves.
func (w *Worker) Drain() {
	w.o.Lock.Lock()
	defer w.o.Lock.Unlock()
	w.draining = true
}

func (w *Worker) now() time.Duration { return time.Since(w.o.Start) }

func (w *Worker) run(ctx context.Context) {
	advance := time.NewTicker(advanceEvery)
	defer advance.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-advance.C:
		}
		w.o.Lock.Lock()
		w.sim.Advance(w.now())
		w.o.Lock.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(ReportEvery)
			go w.report(ctx)
		}
	}
}

// report sends one report, to the first address that acknowledges it.
func (w *Worker) report(ctx context.Context) {
	w.o.Lock.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": w.o.Service, "address": w.address, "zone": w.o.Zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int{"cpu": 32000, "mem_mb": 65536, "gpus": 8},
		"labels": []string{"a", w.o.Rack}, "clock_ms": w.sim.Clock(w.now()), "sequence": w.sequence, "born": w.life.BornMS,
	}
	w.o.Lock.Unlock()
	first := rand.IntN(len(w.o.Control))
	for i := range w.o.Control {
		address := w.o.Control[(first+i)%len(w.o.Control)]
		if status, _ := call(ctx, w.client, http.MethodPut, "http://"+address+"/instances/"+w.life.ID, body, nil); status == http.StatusOK {
			return
		}
	}
}

// orderBody is the body of an order.
type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	Saved      string `json:"saved"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *Worker) order(kind dispatch.CallKind) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		c := dispatch.Call{
			Kind: kind, Worker: domain.WorkerLife{ID: r.Header.Get("X-Expected-Instance")}, Fence: b.FenceToken, UntilMS: b.UntilMS,
			Cursor: b.AckCursor, Attempt: b.Run, Payload: b.Spec, Saved: b.Saved,
		}
		if kind != dispatch.CallHold {
			var err error
			if c.Task, err = domain.ParseTaskID(b.Task); err != nil {
				http.Error(rw, err.Error(), http.StatusBadRequest)
				return
			}
		}
		reply := w.carryOut(c, time.Duration(b.WaitMS)*time.Millisecond)
		w.write(rw, reply)
	}
}

// carryOut carries an order out. A hold waits for an end that is not acknowledged.
func (w *Worker) carryOut(c dispatch.Call, wait time.Duration) dispatch.Reply {
	deadline := time.Now().Add(wait)
	for {
		w.o.Lock.Lock()
		reply := w.sim.Call(w.now(), c)
		ends := w.sim.HasEnds(c.Cursor)
		w.o.Lock.Unlock()
		if c.Kind != dispatch.CallHold || ends || time.Now().After(deadline) {
			return reply
		}
		time.Sleep(advanceEvery)
	}
}

// reasons are the words for rejections.
var reasons = map[dispatch.Status]string{
	dispatch.RejectedFence: "fence", dispatch.RejectedOld: "old", dispatch.RejectedLate: "late", dispatch.RejectedRoom: "room",
}

func (w *Worker) write(rw http.ResponseWriter, r dispatch.Reply) {
	body := map[string]any{"clock_ms": r.ClockMS, "born": r.BornMS}
	status := http.StatusOK
	switch reason, rejected := reasons[r.Status]; {
	case rejected:
		status = http.StatusConflict
		body["reason"] = reason
	case r.Status == dispatch.OtherLife:
		status = http.StatusMisdirectedRequest
	case r.Lists:
		running, ended := [][]any{}, [][]any{}
		for _, t := range r.Running {
			running = append(running, []any{t.Task.String(), t.Attempt, t.Saved, t.Percent, 0})
		}
		for _, e := range r.Ended {
			ended = append(ended, []any{e.Number, e.Task.String(), e.Attempt, e.Outcome.String(), e.Saved})
		}
		body["running"], body["ended"] = running, ended
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // The caller may have gone.
}

// call sends a request with a JSON body and reads a JSON answer. Status 0 means no answer.
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
