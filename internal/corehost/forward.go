package corehost

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// forwardTimeout bounds a call that is forwarded to the leader. Operators try another host after one second.
const forwardTimeout = 900 * time.Millisecond

// Forwarder executes operations on this host if it leads, and forwards them to the leader otherwise.
type Forwarder struct {
	host   *Host
	client *http.Client

	reports reportBatches

	mu      sync.Mutex
	clients map[string]rpc.Domain // By host address.
}

// NewForwarder returns a forwarder for a host.
func NewForwarder(h *Host) *Forwarder {
	f := &Forwarder{host: h, client: rpc.NewHTTPClient(forwardTimeout), clients: map[string]rpc.Domain{}}
	f.reports.send = f.Operate
	return f
}

// Operate executes an operation here or on the leader.
func (f *Forwarder) Operate(ctx context.Context, op service.Operation) service.Result {
	switch op.Kind {
	case service.TakeZoneOut, service.BringZoneIn:
		return f.orderZone(ctx, op)
	case service.Deregister:
		if op.Worker.Incarnation.BornMS == 0 {
			return f.deregisterPresent(ctx, op)
		}
	}
	return f.send(ctx, op)
}

// A call between hosts may arrive long after its sender has given it up, and after later ones of the same caller. An order whose
// effect depends on what came before therefore takes two calls: the host that has received it asks the leader for what it
// refers to, and then sends it with the answer, so that it has no effect once that has changed.

// closeDelay is how long after an order the end of the operator's connection may arrive, if the operator has given the order up
// while it was on the way: both are delivered together once a cut is over or a host continues, the end at most a round
// trip later.
const closeDelay = 100 * time.Millisecond

// orderZone executes an order for a zone, unless another order has been executed since this host has received it.
//
// An operator gives an order up by closing its connection. The order is sent only if the connection is still open closeDelay after
// the revision was read. Then the operator had not given it up when the revision was read, and all its later orders make this
// one ineffective. A repetition need not wait again: each later order has itself waited before it was executed.
func (f *Forwarder) orderZone(ctx context.Context, op service.Operation) service.Result {
	began := f.host.clock.Now()
	for repeated := false; ; repeated = true {
		present := f.send(ctx, service.Operation{Kind: service.GetZoneRevision})
		if present.Outcome == service.Done && !repeated {
			select {
			case <-ctx.Done():
			case <-time.After(closeDelay):
			}
		}
		if present.Outcome != service.Done || f.callerGone(ctx, began) {
			return service.Result{Outcome: service.NotServing}
		}
		op.ZoneRevision = present.ZoneRevision
		r := f.send(ctx, op)
		if r.Outcome != service.Superseded {
			return r
		}
		f.host.log.Info("zone_order_repeated", "kind", op.Kind.String(), "zone", op.Zone, "revision", op.ZoneRevision)
	}
}

// deregisterPresent removes the incarnation of a worker that is registered now; the notice that it leaves names none.
func (f *Forwarder) deregisterPresent(ctx context.Context, op service.Operation) service.Result {
	began := f.host.clock.Now()
	present := f.send(ctx, service.Operation{Kind: service.GetIncarnation, Worker: op.Worker})
	switch {
	case present.Outcome == service.NotFound:
		return service.Result{Outcome: service.Done}
	case present.Outcome != service.Done || f.callerGone(ctx, began):
		return service.Result{Outcome: service.NotServing}
	}
	named := *op.Worker
	named.Incarnation.BornMS = present.BornMS
	op.Worker = &named
	return f.send(ctx, op)
}

// callerGone tells whether the caller of an operation that began at a time has left, or has gone on by now. A timer that is due
// need not have fired yet when a process continues after it was stopped, so the clock decides.
func (f *Forwarder) callerGone(ctx context.Context, began time.Duration) bool {
	return ctx.Err() != nil || f.host.clock.Now()-began > forwardTimeout
}

// send executes an operation here, or sends it to the leader once.
func (f *Forwarder) send(ctx context.Context, op service.Operation) service.Result {
	r := f.host.operate(ctx, op)
	if r.Outcome != service.Redirect {
		return r
	}
	if op.Kind == service.Register {
		return f.reports.pass(ctx, service.Report{Worker: op.Worker, ClockMS: op.ClockMS})
	}
	in, err := encodeOperation(op)
	if err != nil {
		f.host.log.Error(err, "operation_not_encoded", "kind", op.Kind.String())
		return service.Result{Outcome: service.NotServing}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	out, err := f.clientFor(r.Leader).Operate(ctx, in)
	if err != nil {
		f.host.log.Info("operation_not_passed_on", "kind", op.Kind.String(), "leader", r.Leader, "cause", err.Error())
		return service.Result{Outcome: service.OutcomeUnknown}
	}
	outcome := service.Outcome(out.Outcome)
	if outcome == service.Redirect {
		outcome = service.NotServing // The leader has just changed; the caller tries again.
	}
	return service.Result{Outcome: outcome, Document: out.Document, ZoneRevision: out.ZoneRevision, BornMS: out.BornMs}
}

// clientFor returns the client for calls to a host.
func (f *Forwarder) clientFor(host string) rpc.Domain {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.clients[host]
	if c == nil {
		c = rpc.NewDomainProtobufClient("http://"+peerAddress(host, f.host.settings.PeerPort), f.client)
		f.clients[host] = c
	}
	return c
}

func encodeOperation(op service.Operation) (*rpc.OperateRequest, error) {
	in := &rpc.OperateRequest{Kind: uint32(op.Kind), Name: op.Zone, ClockMs: op.ClockMS, ZoneRevision: op.ZoneRevision}
	var err error
	switch {
	case op.Config != nil:
		in.Document, err = cbor.Marshal(op.Config)
	case op.Worker != nil:
		in.Document, err = cbor.Marshal(op.Worker)
	case op.Wave != nil:
		in.Document, err = cbor.Marshal(op.Wave)
	case op.Reports != nil:
		in.Document, err = cbor.Marshal(op.Reports)
	}
	return in, eris.Wrap(err, "encoding an operation")
}

func decodeOperation(in *rpc.OperateRequest) (service.Operation, error) {
	op := service.Operation{Kind: service.OperationKind(in.Kind), Zone: in.Name, ClockMS: in.ClockMs, ZoneRevision: in.ZoneRevision}
	switch op.Kind {
	case service.TakeZoneOut, service.BringZoneIn:
		if in.ZoneRevision == 0 {
			return op, eris.New("an order for a zone names no revision")
		}
	case service.PutConfig:
		return op, decodeValue(in.Document, &op.Config)
	case service.Register, service.Deregister, service.GetIncarnation:
		return op, decodeValue(in.Document, &op.Worker)
	case service.RegisterMany:
		return op, eris.Wrap(domain.Decode(in.Document, &op.Reports), "decoding reports")
	case service.StartWave, service.GetWave:
		return op, decodeValue(in.Document, &op.Wave)
	}
	return op, nil
}

// decodeValue decodes the value of an operation. It returns an error also if the value is null, of which the decoder makes
// no value.
func decodeValue[T any](data []byte, into **T) error {
	if err := domain.Decode(data, into); err != nil {
		return eris.Wrap(err, "decoding a value")
	}
	if *into == nil {
		return eris.New("the value is missing")
	}
	return nil
}
