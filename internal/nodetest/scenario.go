package nodetest

import (
	"fmt"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// SevenHosts returns the hosts of the smallest deployment in operation: seven hosts in three zones, four of them with a
// disk.
func SevenHosts() []node.Peer {
	var peers []node.Peer
	for _, spec := range []string{"a1 a disk", "a2 a disk", "a3 a", "b1 b disk", "b2 b", "c1 c disk", "c2 c"} {
		f := strings.Fields(spec)
		peers = append(peers, node.Peer{ID: f[0], Zone: f[1], Region: "r", Address: f[0], Disk: len(f) == 3})
	}
	return peers
}

// WorkersOf returns workers with 8 accelerators each, two per rack, for each zone. Each letter of zones is a zone.
func WorkersOf(zones string, perZone int) []WorkerSpec {
	var out []WorkerSpec
	for _, zone := range strings.Split(zones, "") {
		for i := range perZone {
			out = append(out, WorkerSpec{ID: fmt.Sprintf("%s-w%d", zone, i), Zone: zone,
				Rack: fmt.Sprintf("%s-r%d", zone, i/2), Accelerators: 8})
		}
	}
	return out
}

// Contract returns the contract of a workspace: one guaranteed gang per zone, and a share of the surplus.
func Contract(workspace string, gang, accelerators int, adjacency string, share int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "workspace: %s\nsurplus_share: %d\nhighest_class: urgent\ngrace_seconds: 2\nguarantees:\n", workspace, share)
	for _, zone := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "  - {zone: %s, gangs: 1, gang: %d, accelerators: %d, adjacency: %s}\n", zone, gang, accelerators, adjacency)
	}
	fmt.Fprintf(&b, "limits: {queued: 2000}\ntokens_sha256:\n  - %s\n", standin.Digest([]byte(Token(workspace))))
	return []byte(b.String())
}

// Workspaces of the runs.
const (
	LargeWorkspace = "large"
	SmallWorkspace = "small"
)

// Prepare starts all hosts and endpoints, waits until the hosts are ready, and applies the contracts of the workspaces.
func (w *World) Prepare() error {
	w.Start()
	if !w.RunUntil(20*time.Second, w.allReady) {
		return fmt.Errorf("the hosts did not become ready")
	}
	w.Run(2 * time.Second)
	for _, c := range []struct {
		workspace string
		yaml      []byte
	}{
		{LargeWorkspace, Contract(LargeWorkspace, 2, 8, "rack", 1)},
		{SmallWorkspace, Contract(SmallWorkspace, 1, 4, "worker", 2)},
	} {
		if err := w.applyContract(c.workspace, c.yaml); err != nil {
			return err
		}
	}
	if !w.RunUntil(w.now+6*time.Second, func() bool { return w.inForce(2) }) {
		return fmt.Errorf("the contracts are not in force in all zones after 6 s")
	}
	return nil
}

// applyContract applies a contract, and repeats the command until it is answered, as an operator does.
func (w *World) applyContract(workspace string, yaml []byte) error {
	command := "apply-" + workspace
	for range 10 {
		resp := w.CallAsOperator(w.PickHost(""), node.Request{ApplyContract: &node.ApplyContract{
			Workspace: workspace, YAML: yaml, File: workspace + ".yaml", CommandID: command}})
		if resp != nil && resp.Error == nil {
			return nil
		}
		if resp != nil && len(resp.Error.Findings) > 0 {
			return fmt.Errorf("contract of %s: %v %v", workspace, resp.Error, resp.Error.Findings)
		}
		w.Run(500 * time.Millisecond)
	}
	return fmt.Errorf("the contract of %s was not accepted", workspace)
}

func (w *World) allReady() bool {
	for _, id := range w.HostIDs {
		h := w.Hosts[id]
		if !h.up {
			return false
		}
		if ok, _ := h.Node.Ready(); !ok {
			return false
		}
	}
	return true
}

// inForce tells whether every zone's leader has adopted a revision.
func (w *World) inForce(revision uint64) bool {
	resp := w.CallAsOperator(w.PickHost(""), node.Request{Revisions: &node.ListRevisions{}})
	if resp == nil || resp.Error != nil {
		return false
	}
	for _, r := range resp.Body.(*api.Revisions).Zones {
		if r < revision {
			return false
		}
	}
	return true
}

// LeaderOf returns the host that leads a group and holds its leader lease, or nil.
func (w *World) LeaderOf(group string) *Host {
	for _, id := range w.HostIDs {
		h := w.Hosts[id]
		if !h.up || h.frozen {
			continue
		}
		for _, g := range h.Node.Metrics(w.now).Groups {
			if g.Group == group && g.Leads {
				return h
			}
		}
	}
	return nil
}

// FreeAccelerators returns the number of accelerators in all zones that no attempt holds, or -1 if a request is not
// answered.
func (w *World) FreeAccelerators() int {
	free := 0
	for _, zone := range w.Zones() {
		resp := w.CallAsOperator(w.PickHost(zone), node.Request{Zones: &node.ListZones{}})
		if resp == nil || resp.Error != nil {
			return -1
		}
		for _, z := range resp.Body.(*api.ZoneList).Zones {
			if z.Zone == zone {
				free += z.Free
			}
		}
	}
	return free
}

// Load is a seeded mix of jobs.
type Load struct {
	world *World
	Jobs  []*Job
	next  int
	until time.Duration
	every time.Duration
}

// longGangRun is longer than the bound within which the members of a gang must be stopped after the loss of one.
const longGangRun = 25 * time.Second

// StartLoad submits a mix of small and gang jobs, on average one per period, until the end.
func (w *World) StartLoad(every, duration time.Duration) *Load {
	l := &Load{world: w, until: w.now + duration, every: every}
	w.After(0, l.step)
	return l
}

func (l *Load) step() {
	w := l.world
	if w.now >= l.until {
		return
	}
	l.Jobs = append(l.Jobs, l.submitOne())
	w.After(time.Duration(w.random.Int64N(int64(2*l.every))), l.step)
}

func (l *Load) submitOne() *Job {
	w := l.world
	l.next++
	r := api.JobRequest{Class: "urgent", Body: Body(time.Duration(20+w.random.IntN(400))*time.Millisecond, fmt.Sprint(l.next))}
	workspace := SmallWorkspace
	switch w.random.IntN(6) {
	case 0:
		r.Gang, r.Accelerators, r.Adjacency, r.Class = 2, 8, "rack", "standard"
		r.Body = Body(time.Duration(500+w.random.IntN(1500))*time.Millisecond, fmt.Sprint(l.next))
		workspace = LargeWorkspace
	case 1:
		r.Gang, r.Accelerators, r.Class = 2, 2, "bulk"
		run := time.Duration(1000+w.random.IntN(4000)) * time.Millisecond
		if w.random.IntN(12) == 0 {
			run += longGangRun // Long enough to detect a member that continues to run after another one was lost.
		}
		r.Body = Body(run, fmt.Sprint(l.next))
		workspace = LargeWorkspace
	case 2, 3:
		r.NoRepeat = true
	}
	if w.random.IntN(8) == 0 {
		// A job that is restricted to a zone waits there while the zone is out.
		r.Zone = w.Zones()[w.random.IntN(3)]
	}
	if r.NoRepeat || w.random.IntN(2) == 0 {
		r.IdempotencyKey = fmt.Sprintf("key-%d", l.next)
	}
	return w.Submit(workspace, r, "")
}

// Settled tells whether every job has a definite answer or refusal.
func (l *Load) Settled() bool {
	for _, j := range l.Jobs {
		if !j.Settled() {
			return false
		}
	}
	return true
}

// Unsettled describes jobs without a definite answer.
func (l *Load) Unsettled() []string {
	var out []string
	for _, j := range l.Jobs {
		if !j.Settled() {
			out = append(out, fmt.Sprintf("%s sent %.3fs accepted %.3fs: %s", j.ID, j.Sent.Seconds(), j.Accepted.Seconds(),
				l.world.Explain(j)))
		}
	}
	return out
}

// Explain describes the state of a job and what it waits for.
func (w *World) Explain(j *Job) string {
	if j.ID == "" {
		return fmt.Sprintf("not accepted after %d tries", j.Tries)
	}
	got := w.CallAsOperator(w.PickHost(""), node.Request{Get: &node.GetJob{Job: j.ID}})
	if got == nil || got.Error != nil {
		return fmt.Sprintf("%+v", got)
	}
	job := got.Body.(*api.Job)
	text := fmt.Sprintf("%s in zone %s after %d attempts", job.State, job.Zone, job.Attempts)
	why := w.CallAsOperator(w.PickHost(""), node.Request{Why: &node.JobRef{Job: j.ID}})
	if why != nil && why.Error == nil {
		text += ": " + why.Body.(*api.Why).Reason
	}
	return text
}
