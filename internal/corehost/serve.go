package corehost

import (
	"cmp"
	"context"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// commitTimeout bounds the wait for the result of a proposal. After it, the outcome is not known.
const commitTimeout = 2500 * time.Millisecond

// proposalOutcome is how the proposal of a command ended.
type proposalOutcome uint8

const (
	proposalUnknown   proposalOutcome = iota // Not committed, or not known to be.
	proposalCommitted                        // Committed and applied.
	proposalRefused                          // Not proposed: other hosts could not decode the command.
)

// propose appends a command to the log and waits until it is applied. The caller must hold h.mu, which is released during
// the wait. The effect on the state is only known of a committed command.
func (h *Host) propose(ctx context.Context, now dispatch.Time, c *domain.Command) (proposalOutcome, domain.Result) {
	c.AtMS = now.WallMS
	data := c.Encode()
	if err := domain.CheckCommand(data); err != nil {
		h.log.Info("command_refused", "bytes", len(data), "cause", err.Error())
		return proposalRefused, domain.NotChanged
	}
	index, term, ok := h.replica.Propose(now.Mono, data)
	if !ok {
		return proposalUnknown, domain.NotChanged
	}
	w := h.newPendingProposal(term, c)
	h.pendingProposals[index] = w
	if err := h.processOutput(now); err != nil {
		return proposalUnknown, domain.NotChanged
	}
	h.mu.Unlock()
	defer h.mu.Lock()
	began := time.Now()
	defer func() { h.metrics.commits.Observe(time.Since(began).Seconds()) }()
	select {
	case p, open := <-w.result:
		if open && p.applied {
			return proposalCommitted, p.effect
		}
	case <-time.After(commitTimeout):
	case <-ctx.Done():
	}
	return proposalUnknown, domain.NotChanged
}

// newPendingProposal returns the entry in pendingProposals for a command that was proposed in a term.
func (h *Host) newPendingProposal(term uint64, c *domain.Command) pendingProposal {
	w := pendingProposal{term: term, result: make(chan proposalResult, 1), jobBytes: h.jobGrowth(c)}
	switch {
	case c.Submit != nil:
		w.job, w.record = c.Submit.ID, string(c.Submit.ID)
	case c.Cancel != nil:
		w.record = string(c.Cancel.Job) + "/" + c.Cancel.Workspace
	case c.Register != nil:
		w.registrationBytes, w.record = h.registrationGrowth(c.Register), c.Register.Incarnation.ID
	}
	return w
}

// pendingGrowth returns by how many bytes the pending proposals let the state grow, or an upper bound if that fits into the room.
// Callers and hosts repeat their calls, so that the same record may be proposed several times before it is applied.
func (h *Host) pendingGrowth(room int, bytesOf func(pendingProposal) int) int {
	bound := 0
	for _, p := range h.pendingProposals {
		bound += bytesOf(p)
	}
	if bound <= room {
		return bound
	}
	largest := map[string]int{}
	total := 0
	for _, p := range h.pendingProposals {
		if more := bytesOf(p) - largest[p.record]; more > 0 {
			largest[p.record] += more
			total += more
		}
	}
	return total
}

// leads reports whether this host may answer for the domain now: its leadership has begun and its leader lease is
// valid.
func (h *Host) leads(now dispatch.Time) bool {
	return h.failed == nil && h.leader != nil && h.replica.LeadsUnderLease(now.Mono)
}

// Locate implements rpc.Domain: it returns the leader and the known core hosts.
func (h *Host) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	reply := &rpc.LocateReply{Leads: h.leads(now) && h.stateMachine.Config() != nil, Leader: h.replica.Leader(), Hosts: h.knownHosts}
	if reply.Leads {
		reply.RetentionEpoch = h.stateMachine.RetentionEpoch()
	}
	return reply, nil
}

// Call implements rpc.Domain: it answers a caller's request if this host leads.
func (h *Host) Call(ctx context.Context, in *rpc.CallRequest) (*rpc.CallReply, error) {
	req := service.Request{Kind: service.RequestKind(in.Kind), Host: in.Host, Path: in.Path, Queue: in.Queue, Job: in.Job, Key: in.Key, RequestID: in.Trace}
	if req.Kind == service.Submit {
		req.Document = &domain.JobSpec{}
		if err := domain.Decode(in.Document, req.Document); err != nil {
			h.log.Info("call_unreadable", "request", in.Trace, "cause", err.Error())
			return &rpc.CallReply{Verdict: uint32(service.Invalid)}, nil
		}
		if req.RetentionEpoch = in.RetentionEpoch; req.RetentionEpoch == 0 {
			return &rpc.CallReply{Verdict: uint32(service.Unavailable)}, nil // Its sender cannot tell how old it is.
		}
	}
	a := h.answer(ctx, req)
	return &rpc.CallReply{
		Verdict: uint32(a.Verdict), State: uint32(a.State), Waiting: uint32(a.Waiting),
		RetryAfterMs: uint32(a.RetryAfter.Milliseconds()), Leader: a.Leader,
	}, nil
}

// answer answers a caller's request, and commits the change that it makes.
func (h *Host) answer(ctx context.Context, req service.Request) service.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.leads(now) {
		return service.Answer{Verdict: service.NotLeader, Leader: h.otherLeader()}
	}
	a, change := h.decide(now, req)
	if change != nil {
		a = h.commitChange(ctx, now, change, a)
	}
	h.metrics.call(req.Kind, a.Verdict)
	h.logCall(req, a, change)
	return a
}

// logCall logs a caller's request. Queries of the state are logged only if there is no such queue or the key is not
// known.
func (h *Host) logCall(req service.Request, a service.Answer, change *domain.Command) {
	switch {
	case change != nil && change.Submit != nil:
		s := change.Submit
		h.log.Info("job_submitted", "request", req.RequestID, "job", s.ID, "verdict", a.Verdict.String(), "queue", s.Queue,
			"workspace", s.Workspace, "priority", s.Priority, "shape", s.Shape(), "config_version", h.configVersion(), "term", h.leaderTerm)
	case req.Kind != service.GetState || a.Verdict == service.NoQueue || a.Verdict == service.Unauthorized:
		h.log.Info("call_answered", "request", req.RequestID, "path", cmp.Or(req.Path, req.Queue+"/"+req.Job), "kind", req.Kind.String(),
			"verdict", a.Verdict.String(), "config_version", h.configVersion(), "term", h.leaderTerm)
	}
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (h *Host) configVersion() int64 {
	if c := h.stateMachine.Config(); c != nil {
		return c.Version
	}
	return 0
}

// otherLeader returns the leader if it is another host. It returns an empty string if the leader is this host, which
// does not answer as the leader at present.
func (h *Host) otherLeader() string {
	if l := h.replica.Leader(); l != h.settings.Address {
		return l
	}
	return ""
}

// decide determines the answer to a request from the applied state. If it returns a command, the answer is valid only
// once the command is committed. A host that is stopping makes no changes.
func (h *Host) decide(now dispatch.Time, req service.Request) (service.Answer, *domain.Command) {
	a, change := service.Decide(h.stateMachine, req)
	if change != nil && h.stopping {
		return service.Answer{Verdict: service.NotLeader}, nil
	}
	if change == nil {
		return a, nil
	}
	growth := h.jobGrowth(change)
	if h.neverStarts(req, change) || (growth > 0 && h.jobsFull(growth)) {
		if change.Submit != nil && h.submitting(change.Submit.ID) {
			return service.Answer{Verdict: service.Unknown}, nil // An earlier call for the same job may yet be stored.
		}
		return service.Answer{Verdict: service.Overloaded}, nil
	}
	return a, change
}

// neverStarts reports whether a change submits a job with a step that is larger than the maximum of its workspace. Such a job
// is refused at once: it would wait until another configuration is in force.
func (h *Host) neverStarts(req service.Request, c *domain.Command) bool {
	if c.Submit == nil {
		return false
	}
	step := h.stateMachine.NeverStarts(c.Submit)
	if step < 0 {
		return false
	}
	maximum := h.stateMachine.MaxOf(c.Submit.Workspace)
	h.log.Info("job_above_quota", "request", req.RequestID, "job", c.Submit.ID, "workspace", c.Submit.Workspace, "step", step, "shape", c.Submit.Shape(),
		"max_cpu", maximum.CPU, "max_mem_mb", maximum.MemoryMB, "max_gpus", maximum.Accelerators)
	return true
}

// submitting reports whether a submission of a job is being committed.
func (h *Host) submitting(id domain.JobID) bool {
	for _, w := range h.pendingProposals {
		if w.job == id {
			return true
		}
	}
	return false
}

// jobGrowth returns by how many bytes a caller's change lets the stored jobs grow.
func (h *Host) jobGrowth(c *domain.Command) int {
	switch {
	case c.Submit != nil:
		return c.Submit.Bytes()
	case c.Cancel != nil && h.stateMachine.Job(c.Cancel.Job) == nil:
		return c.Cancel.Bytes()
	}
	return 0
}

// jobsFull reports whether there is no room for what would let the stored jobs grow, see Settings.JobBytes.
func (h *Host) jobsFull(growth int) bool {
	full, bytes := h.noRoomFor(growth)
	if full != h.jobsWereFull {
		h.jobsWereFull = full
		h.log.Info("jobs_full", "full", full, "jobs", h.stateMachine.JobCount(), "open_jobs", len(h.stateMachine.OpenJobs()), "bytes", bytes)
	}
	return full
}

// noRoomFor reports whether there is no room for what would let the stored jobs grow, and how many bytes they take.
func (h *Host) noRoomFor(growth int) (full bool, bytes int) {
	stored := h.stateMachine.JobBytes()
	bytes = stored + h.pendingGrowth(h.settings.JobBytes-stored-growth, func(p pendingProposal) int { return p.jobBytes })
	return h.settings.JobBytes > 0 && bytes+growth > h.settings.JobBytes, bytes
}

// commitChange commits a change and returns the answer, or service.Unknown if the outcome is not known.
func (h *Host) commitChange(ctx context.Context, now dispatch.Time, c *domain.Command, a service.Answer) service.Answer {
	switch outcome, effect := h.propose(ctx, now, c); outcome {
	case proposalCommitted:
		if c.Cancel != nil && effect != domain.NotFound {
			a.Verdict = service.Cancelled // Also if the job was being submitted when the answer was determined.
		}
		if effect == domain.Expired {
			h.log.Info("submission_expired", "job", c.Submit.ID, "received_in", c.RetentionEpoch, "epoch", h.stateMachine.RetentionEpoch())
			return service.Answer{Verdict: service.Unavailable}
		}
		return a
	case proposalRefused:
		return service.Answer{Verdict: service.Invalid}
	}
	return service.Answer{Verdict: service.Unknown}
}

// Operate implements rpc.Domain: it executes an operation of an operator or a worker if this host leads.
func (h *Host) Operate(ctx context.Context, in *rpc.OperateRequest) (*rpc.OperateReply, error) {
	op, err := decodeOperation(in)
	if err != nil {
		h.log.Info("operation_unreadable", "kind", in.Kind, "cause", err.Error())
		return &rpc.OperateReply{Outcome: uint32(service.NotServing)}, nil
	}
	r := h.operate(ctx, op)
	return &rpc.OperateReply{Outcome: uint32(r.Outcome), Document: r.Document, Leader: r.Leader, ZoneRevision: r.ZoneRevision, BornMs: r.BornMS}, nil
}

// operate executes an operation if this host leads, and names the leader otherwise.
func (h *Host) operate(ctx context.Context, op service.Operation) service.Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.leads(now) {
		leader := h.otherLeader()
		if leader == "" {
			return service.Result{Outcome: service.NotServing}
		}
		return service.Result{Outcome: service.Redirect, Leader: leader}
	}
	r := h.execute(ctx, now, op)
	h.metrics.operation(op.Kind, r.Outcome)
	return r
}

// execute executes an operation on the leader.
func (h *Host) execute(ctx context.Context, now dispatch.Time, op service.Operation) service.Result {
	switch op.Kind {
	case service.GetConfig:
		c := h.stateMachine.Config()
		if c == nil {
			return service.Result{Outcome: service.NotServing}
		}
		return service.Result{Outcome: service.Done, Document: c.Document}
	case service.PutConfig:
		if c := h.stateMachine.Config(); c != nil && op.Config.Version <= c.Version {
			return service.Result{Outcome: service.Done}
		}
		return h.commitOperation(ctx, now, &domain.Command{Config: op.Config})
	case service.TakeZoneOut, service.BringZoneIn:
		z := &domain.SetZone{Zone: op.Zone, Out: op.Kind == service.TakeZoneOut, Revision: cmp.Or(op.ZoneRevision, h.stateMachine.ZoneRevision())}
		return h.commitOperation(ctx, now, &domain.Command{Zone: z})
	case service.GetIncarnation:
		w := h.stateMachine.Worker(op.Worker.Incarnation.ID)
		if w == nil {
			return service.Result{Outcome: service.NotFound}
		}
		return service.Result{Outcome: service.Done, BornMS: w.Incarnation.BornMS}
	case service.GetZoneRevision:
		return service.Result{Outcome: service.Done, ZoneRevision: h.stateMachine.ZoneRevision()}
	case service.Register:
		return h.register(ctx, now, op)
	case service.RegisterMany:
		return h.registerMany(ctx, now, op.Reports)
	case service.Deregister:
		return h.deregister(ctx, now, op)
	case service.StartWave:
		if h.stateMachine.Waves()[op.Wave.Number] != nil {
			return service.Result{Outcome: service.Done}
		}
		return h.commitOperation(ctx, now, &domain.Command{Wave: op.Wave})
	case service.GetWave:
		return waveState(h.stateMachine.Waves()[op.Wave.Number])
	}
	return service.Result{Outcome: service.NotServing}
}

// waveState returns the answer to service.GetWave.
func waveState(w *domain.Wave) service.Result {
	switch {
	case w == nil:
		return service.Result{Outcome: service.NotFound}
	case w.Completed():
		return service.Result{Outcome: service.Done, Document: []byte{1}}
	}
	return service.Result{Outcome: service.Done, Document: []byte{0}}
}

func (h *Host) commitOperation(ctx context.Context, now dispatch.Time, c *domain.Command) service.Result {
	switch outcome, effect := h.propose(ctx, now, c); outcome {
	case proposalCommitted:
		if effect == domain.Superseded {
			return service.Result{Outcome: service.Superseded}
		}
		return service.Result{Outcome: service.Done}
	case proposalRefused:
		return service.Result{Outcome: service.Refused}
	}
	return service.Result{Outcome: service.OutcomeUnknown}
}

// register handles the report of a worker. A command is committed only if the report changes the registration. The
// leader learns of each report, and with it of the worker's clock. A report that names no worker to use changes nothing.
func (h *Host) register(ctx context.Context, now dispatch.Time, op service.Operation) service.Result {
	if op.Worker.Incarnation.ID == "" {
		return service.Result{Outcome: service.Refused}
	}
	r := service.Result{Outcome: service.Done}
	old := h.stateMachine.Worker(op.Worker.Incarnation.ID)
	if h.namesNoWorker(op.Worker, old) {
		if op.Worker.Draining && old == nil {
			r.Outcome = service.NotServing // An acknowledgement would have to be remembered, for when its service is added.
		}
		return r
	}
	if old != nil && old.Incarnation == op.Worker.Incarnation && old.Draining {
		op.Worker.Draining = true
	}
	if !h.stateMachine.Registered(op.Worker) {
		if outcome := h.awaitNoConflict(ctx, now, op.Worker); outcome != service.Done {
			return service.Result{Outcome: outcome}
		}
		now = h.now()
		r = h.storeRegistration(ctx, now, op.Worker)
	}
	h.noteReport(now, op.Worker, op.ClockMS)
	return r
}

// namesNoWorker tells whether a report is to be ignored: it was sent by an earlier incarnation than the registered one, or it
// names a service that the configuration does not have. A worker of a service that was removed still reports that it drains.
func (h *Host) namesNoWorker(reported, registered *domain.Worker) bool {
	if registered != nil && registered.Incarnation.BornMS > reported.Incarnation.BornMS {
		return true
	}
	if h.stateMachine.Config() == nil || h.stateMachine.HasPool(reported.Pool) {
		return false
	}
	return registered == nil || registered.Incarnation != reported.Incarnation || registered.Pool != reported.Pool
}

// Limits of the wait for the departure of a worker.
const (
	leaveTimeout   = 800 * time.Millisecond // A worker sends its notice to another host after a second without an answer.
	leavePollEvery = 10 * time.Millisecond
)

// deregister removes a worker that is about to end, and waits until it is removed. If the operation names an
// incarnation, only that one is removed. The answer makes the worker end, so it is given only when nothing runs there.
func (h *Host) deregister(ctx context.Context, now dispatch.Time, op service.Operation) service.Result {
	w := h.stateMachine.Worker(op.Worker.Incarnation.ID)
	if w == nil || (op.Worker.Incarnation.BornMS != 0 && w.Incarnation != op.Worker.Incarnation) {
		return service.Result{Outcome: service.Done}
	}
	incarnation := w.Incarnation
	h.leader.WorkerLeaves(now, incarnation)
	h.wake()
	for deadline := now.Mono + leaveTimeout; h.leads(now) && now.Mono < deadline && ctx.Err() == nil; now = h.now() {
		h.mu.Unlock()
		time.Sleep(leavePollEvery)
		h.mu.Lock()
		if w := h.stateMachine.Worker(incarnation.ID); w == nil || w.Incarnation != incarnation {
			return service.Result{Outcome: service.Done}
		}
	}
	return service.Result{Outcome: service.OutcomeUnknown}
}

// PrepareStop prepares a planned stop: it transfers the leadership to another host. This host continues to forward
// calls to the leader.
func (h *Host) PrepareStop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	if h.replica.Role() == replica.Leader {
		h.replica.TransferLeadership(h.clock.Now(), "")
	}
	h.wake()
}
