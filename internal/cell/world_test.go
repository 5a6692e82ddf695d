package cell_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// firstFit places queued jobs on the first workers with enough free accelerators.
type firstFit struct {
	t       *table.Tables
	w       *world
	refuse  *system.Refusal
	preempt []system.Preemption
	counted int // Submissions that were checked against the limits of the workspace.
}

func (s *firstFit) Admit(_ time.Duration, _ *table.Job, handedOver bool) *system.Refusal {
	if !handedOver {
		s.counted++
	}
	return s.refuse
}
func (s *firstFit) AttemptEnded(_ time.Duration, r system.AttemptReport) {
	s.w.reports = append(s.w.reports, r)
}
func (s *firstFit) ExplainWait(time.Duration, *table.Job) string { return "no worker has room" }
func (s *firstFit) Tick(time.Duration) (p system.Plan) {
	used := map[string]int{}
	for _, name := range s.t.QueuedWorkspaces() {
		for c := table.Class(0); c < table.ClassCount; c++ {
			for _, j := range s.t.Queued(name, c) {
				if m := s.fit(j, used); m != nil {
					p.Placements = append(p.Placements, system.Placement{Job: j.ID, Members: m, Borrowed: s.w.borrow})
				}
			}
		}
	}
	p.Preemptions, s.preempt = s.preempt, nil
	return p
}

func (s *firstFit) fit(j *table.Job, used map[string]int) []string {
	var members []string
	for _, w := range s.t.Workers() {
		n := j.Shape.Accelerators
		if len(members) < j.Shape.Gang && w.Usable() && w.FreeAccelerators()-used[w.ID] >= n {
			members = append(members, w.ID)
		}
	}
	if len(members) < j.Shape.Gang {
		return nil
	}
	for _, m := range members {
		used[m] += j.Shape.Accelerators
	}
	return members
}

// world simulates two replicas of one cell with fake endpoints. Its clock advances only in run.
type world struct {
	now, outAt, resumeAt time.Duration // outAt: the zone was taken out; resumeAt: a lost lease is granted again.
	leader               int           // -1 for none.
	epoch, index, nextID uint64
	cells                []*cell.Cell
	schedulers           []*firstFit
	endpoints            map[string]*fakeEndpoint
	endpointIDs          []string // In the order of their announcement.
	silenceAfterCall     string   // Endpoint that falls silent after the call under way.
	restarts             int

	replies   map[uint64]cell.Response
	waiting   map[uint64]func(*endpoint.Ack, *endpoint.HeartbeatReply)
	events    []history.Event
	handOvers []cell.HandOver
	reports   []system.AttemptReport
	starts    []start
	sentCalls []cell.EndpointCall

	holdLog, borrow bool // holdLog: proposals are held; borrow: the scheduler places attempts as borrowed.
	heldProposals   [][]byte
	// intercept decides whether a call is delivered, and whether its reply is.
	intercept   func(c cell.EndpointCall) (deliver, reply bool)
	delay       func() time.Duration // Delay of replies; nil for none.
	lateReplies []lateReply

	// step counts proposals, calls and replies. At the step killAt the leader crashes, and the proposal of that step is
	// lost, or committed with keepProposal; at the step suspendAt the lease is lost for 3 s.
	step, killAt, suspendAt int
	keepProposal            bool
}

// start is a task that passed its gate.
type start struct {
	job    string
	member int
}

// newWorld returns a world with a leader and the given number of workers, each with 2 accelerators. retained, if given,
// holds Options.RetainedJobs and Options.RetainedBytes.
func newWorld(workers int, retained ...int) *world {
	w := &world{endpoints: map[string]*fakeEndpoint{}, replies: map[uint64]cell.Response{}, killAt: -1,
		waiting: map[uint64]func(*endpoint.Ack, *endpoint.HeartbeatReply){}}
	for i := range 2 {
		w.schedulers = append(w.schedulers, &firstFit{w: w})
		o := cell.Options{Zone: "z", Host: fmt.Sprint("h", i), Timing: cell.DefaultTiming,
			NewScheduler: func(t *table.Tables) system.Scheduler { w.schedulers[i].t = t; return w.schedulers[i] }}
		if retained != nil {
			o.RetainedJobs, o.RetainedBytes = retained[0], retained[1]
		}
		w.cells = append(w.cells, cell.New(o, 0))
	}
	w.elect(0)
	w.cell().SetContracts(w.now, 1, []*table.Workspace{{Name: "ws", Revision: 1, MaxClass: table.Urgent}})
	for i := range workers {
		id := fmt.Sprint("w", i)
		e := &fakeEndpoint{w: w, worker: id, incarnation: "1", capacity: 2, runFor: time.Second,
			outcome: endpoint.OutcomeSucceeded, tasks: map[string]*fakeTask{}}
		w.endpoints[id] = e
		w.endpointIDs = append(w.endpointIDs, id)
		e.announce()
	}
	w.run(100 * time.Millisecond)
	return w
}

func (w *world) cell() *cell.Cell { return w.cells[max(w.leader, 0)] }

func (w *world) tables() *table.Tables { return w.cell().Tables() }

func (w *world) elect(host int) {
	w.leader, w.resumeAt = host, 0
	w.epoch++
	w.cell().Lead(w.now, w.epoch)
}

// crash ends the leadership and discards the leader's output, as if its process had been killed.
func (w *world) crash() {
	w.cell().Take()
	w.cell().Follow(w.now)
	w.leader = -1
	w.waiting = map[uint64]func(*endpoint.Ack, *endpoint.HeartbeatReply){}
}

// countStep counts a step and injects the fault that is due at it. It reports whether there still is a leader.
func (w *world) countStep() bool {
	w.step++
	if w.step == w.killAt {
		w.crash()
	}
	if w.step == w.suspendAt {
		w.resumeAt = w.now + 3*time.Second
		w.cell().Suspend(w.now)
	}
	return w.leader >= 0
}

// run advances the clock by d, in ticks of 25 ms. A crashed leader is replaced after one second.
func (w *world) run(d time.Duration) {
	lastLeaderAt := w.now
	for end := w.now + d; w.now < end; {
		w.now += 25 * time.Millisecond
		w.deliverLate()
		if w.leader >= 0 {
			lastLeaderAt = w.now
			if w.now >= w.resumeAt {
				w.cell().Lead(w.now, w.epoch)
			}
			w.cell().Tick(w.now)
		} else if w.now >= lastLeaderAt+time.Second {
			w.elect(int(w.epoch) % 2)
		}
		w.process()
		for _, id := range w.endpointIDs {
			w.endpoints[id].tick()
		}
		w.process()
	}
}

// process carries out the leader's output until there is no more.
func (w *world) process() {
	for w.leader >= 0 {
		out := w.cell().Take()
		if w.now < w.resumeAt {
			Expect(len(out.Calls)+len(out.Proposals)+len(out.Replies)+len(out.HandOvers)).To(BeZero(), "suspended")
		}
		w.events = append(w.events, out.Events...)
		w.handOvers = append(w.handOvers, out.HandOvers...)
		if len(out.Proposals)+len(out.Calls)+len(out.Replies) == 0 {
			return
		}
		for _, r := range out.Replies {
			w.deliver(r)
		}
		for _, p := range out.Proposals {
			w.propose(p)
		}
		for _, c := range out.Calls {
			w.call(c)
		}
	}
}

func (w *world) deliver(r cell.Reply) {
	if w.leader < 0 {
		return
	}
	Expect(w.replies).NotTo(HaveKey(r.ID), "a request is answered once")
	w.replies[r.ID] = r.Response
	if f := w.waiting[r.ID]; f != nil {
		f(r.Response.Ack, r.Response.HeartbeatReply)
	}
}

func (w *world) propose(p []byte) {
	hasLeader := w.leader >= 0 && w.countStep()
	switch {
	case !hasLeader && !w.keepProposal:
	case w.holdLog:
		w.heldProposals = append(w.heldProposals, p)
	default:
		w.commit(p)
	}
}

// commit applies an entry on all replicas.
func (w *world) commit(p []byte) {
	w.index++
	wasOut := w.tables().Service.Out
	for _, c := range w.cells {
		c.Apply(w.now, w.index, p)
	}
	if w.tables().Service.Out && !wasOut {
		w.outAt = w.now
	}
}

// releaseProposals commits the held proposals and holds no more.
func (w *world) releaseProposals() {
	w.holdLog = false
	heldProposals := w.heldProposals
	w.heldProposals = nil
	for _, p := range heldProposals {
		w.commit(p)
	}
	w.process()
}

func (w *world) call(c cell.EndpointCall) {
	if w.leader < 0 || !w.countStep() {
		return
	}
	w.sentCalls = append(w.sentCalls, c)
	deliver, answer := true, true
	if w.intercept != nil {
		deliver, answer = w.intercept(c)
	}
	e := w.endpoints[c.Address]
	var reply *endpoint.Reply
	if deliver && !e.silent {
		reply = e.handle(c.Call)
	}
	if e := w.endpoints[w.silenceAfterCall]; e != nil {
		e.silent, w.silenceAfterCall = true, ""
	}
	if !w.countStep() {
		return
	}
	if !answer {
		reply = nil
	}
	if w.delay == nil {
		w.cell().CallDone(w.now, c.ID, reply)
		return
	}
	w.lateReplies = append(w.lateReplies, lateReply{at: w.now + w.delay(), epoch: w.epoch, id: c.ID, reply: reply})
}

// lateReply is the reply to a call, in transit.
type lateReply struct {
	at    time.Duration
	epoch uint64
	id    uint64
	reply *endpoint.Reply
}

func (w *world) deliverLate() {
	lateReplies := w.lateReplies
	w.lateReplies = nil
	for _, l := range lateReplies {
		switch {
		case l.at > w.now:
			w.lateReplies = append(w.lateReplies, l)
		case w.leader >= 0 && l.epoch == w.epoch:
			w.cell().CallDone(w.now, l.id, l.reply)
		}
	}
}

// taskStarted records a task that passed its gate. No task of another attempt of the job may still run.
func (w *world) taskStarted(c endpoint.Call) {
	for _, id := range w.endpointIDs {
		for attempt, t := range w.endpoints[id].tasks {
			running := t.phase == endpoint.PhaseRunning && strings.HasPrefix(attempt, c.Job+"/")
			Expect(running && attempt != c.Attempt).To(BeFalse(), "two attempts of job %s run", c.Job)
		}
	}
	Expect(w.tables().Service.Out && w.now > w.outAt+2*time.Second).To(BeFalse(), "a start in a zone that is out")
	w.starts = append(w.starts, start{job: c.Job, member: c.Member})
}

// request passes a request to the leader and returns its identifier.
func (w *world) request(r cell.Request) uint64 {
	w.nextID++
	id := w.nextID
	if w.leader >= 0 {
		w.cell().Request(w.now, id, r)
	}
	return id
}

// ask passes a request and returns the reply, which must arrive before the clock advances.
func (w *world) ask(r cell.Request) cell.Response {
	id := w.request(r)
	w.process()
	Expect(w.replies).To(HaveKey(id))
	return w.replies[id]
}

func (w *world) report(r *cell.Report, done func(*endpoint.Ack, *endpoint.HeartbeatReply)) {
	w.waiting[w.nextID+1] = done
	w.request(cell.Request{Report: r})
}

func cellReport(m any) *cell.Report {
	switch m := m.(type) {
	case *endpoint.Result:
		return &cell.Report{Result: m}
	case *endpoint.Heartbeat:
		return &cell.Report{Heartbeat: m}
	case *endpoint.Leaving:
		return &cell.Report{Leaving: m}
	default:
		return &cell.Report{Announcement: m.(*endpoint.Announcement)}
	}
}

func job(id string, gang int) table.Job {
	return table.Job{ID: id, Workspace: "ws", Shape: table.Shape{Gang: gang, Accelerators: 1}, Body: []byte("body")}
}

func noRepeat(id string, gang int) table.Job {
	j := job(id, gang)
	j.NoRepeat, j.Key = true, "key-"+id
	return j
}

func submit(j table.Job) cell.Request { return cell.Request{Submit: &cell.SubmitRequest{Job: j}} }

func (w *world) get(id string) *api.Job {
	return w.ask(cell.Request{Get: &cell.GetRequest{JobRef: cell.JobRef{Job: id}}}).Job
}

// answers returns the number of distinct committed answers of a job. Every replica records each of them.
func (w *world) answers(id string) int {
	seen := map[string]bool{}
	for _, e := range w.events {
		if e.Kind == history.AnswerCommitted && e.Job == id {
			seen[fmt.Sprint(e)] = true
		}
	}
	return len(seen)
}

// startedAttempts returns the number of attempts of a job whose member 0 passed its gate.
func (w *world) startedAttempts(id string) int {
	n := 0
	for _, s := range w.starts {
		if s.job == id && s.member == 0 {
			n++
		}
	}
	return n
}
