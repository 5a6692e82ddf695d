package nodetest

import (
	"fmt"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// pendingCode is the code, in the history, of a command that was recorded and has not taken effect yet.
const pendingCode = "pending"

// sendAsOperator sends an operator's request and records the command and its answer.
func (w *World) sendAsOperator(h *Host, r node.Request, done func(*node.Response)) {
	r.Operator = true
	sent, isCommand := commandSent(r)
	if !isCommand {
		w.call(h, r, clientTimeout, done)
		return
	}
	w.calls++
	sent.Call = fmt.Sprintf("call-%d", w.calls)
	w.record(sent)
	w.call(h, r, clientTimeout, func(resp *node.Response) {
		if resp != nil {
			w.record(commandDone(sent, resp))
		}
		done(resp)
	})
}

func commandSent(r node.Request) (history.Event, bool) {
	e := history.Event{Kind: history.CommandSent}
	var expected *uint64
	switch {
	case r.SetZone != nil:
		e.CommandID, e.Zone, e.Out, expected = r.SetZone.CommandID, r.SetZone.Zone, r.SetZone.Out, r.SetZone.ExpectedRevision
	case r.ApplyContract != nil && !r.ApplyContract.DryRun:
		e.CommandID, e.Workspace, expected = r.ApplyContract.CommandID, r.ApplyContract.Workspace, r.ApplyContract.ExpectedRevision
	default:
		return e, false
	}
	if expected != nil {
		e.ExpectedRevision = *expected
	}
	return e, true
}

func commandDone(sent history.Event, resp *node.Response) history.Event {
	e := sent
	e.Kind = history.CommandAnswered
	if resp.Error != nil {
		e.Code, e.NotRun = resp.Error.Code, string(resp.Error.NotRun)
		e.Revision = resp.Error.Revision
		return e
	}
	switch body := resp.Body.(type) {
	case *api.ZoneStatus:
		e.Revision = body.Revision
		if body.State != api.ZoneIn && body.State != api.ZoneOut {
			e.Code = pendingCode
		}
	case *api.ContractResult:
		e.Revision = body.Revision
	}
	return e
}

// maxChangeTries bounds how often a change is sent again, so that the search for a linearization stays short.
const maxChangeTries = 8

// Operators change the contract of a workspace periodically: two of them read the same revision and send changes that
// expect it, through different hosts, and both resend their command while it is not answered.
type Operators struct {
	world *World
	until time.Duration
	next  int
	// AcceptedChanges and Conflicts count the accepted changes and the conflicts.
	AcceptedChanges, Conflicts int
}

// StartOperators changes contracts for a duration from now.
func (w *World) StartOperators(every, duration time.Duration) *Operators {
	o := &Operators{world: w, until: w.now + duration}
	w.After(every, func() { o.step(every) })
	return o
}

func (o *Operators) step(every time.Duration) {
	w := o.world
	if w.now >= o.until {
		return
	}
	w.sendAsOperator(w.PickHost(""), node.Request{GetContract: &node.ContractRef{Workspace: SmallWorkspace}}, func(resp *node.Response) {
		if resp == nil || resp.Error != nil {
			return
		}
		revision := resp.Body.(*api.Contract).Revision
		for range 2 {
			o.next++
			yaml := Contract(SmallWorkspace, 1, 4, "worker", 1+o.next%5)
			o.send(fmt.Sprintf("race-%d", o.next), yaml, revision, 0)
		}
	})
	w.After(w.jitter(every), func() { o.step(every) })
}

func (o *Operators) send(command string, yaml []byte, expected uint64, tries int) {
	w := o.world
	r := node.Request{ApplyContract: &node.ApplyContract{Workspace: SmallWorkspace, YAML: yaml, File: "small.yaml", CommandID: command, ExpectedRevision: &expected}}
	w.sendAsOperator(w.PickHost(""), r, func(resp *node.Response) {
		switch {
		case resp != nil && resp.Error == nil:
			o.AcceptedChanges++
		case resp != nil && resp.Error.Code == api.CodeConflict:
			o.Conflicts++
		case tries < maxChangeTries:
			w.After(w.jitter(time.Second), func() { o.send(command, yaml, expected, tries+1) })
		}
	})
}
