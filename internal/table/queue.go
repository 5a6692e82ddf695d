package table

import (
	"cmp"
	"container/heap"
	"slices"
	"sort"
	"time"
)

// Queue holds the queued jobs of one workspace, once by class, oldest first, and once by class and shape.
type Queue struct {
	byClass [ClassCount][]*Job
	groups  [ClassCount][]*Group
	count   int
	version uint64 // Changes with every job that enters or leaves the queue.
}

// Group holds the queued jobs of one workspace, class and shape, oldest first. Jobs of one group fit the same places,
// so the search for a place need not be repeated for each of them.
type Group struct {
	Workspace string
	Class     Class
	Shape     Shape
	jobs      []*Job
}

// Jobs returns the jobs of the group, oldest first. The slice must not be changed.
func (g *Group) Jobs() []*Job { return g.jobs }

// Queued returns the queued jobs of a workspace and class, oldest first. The slice must not be changed.
func (t *Tables) Queued(workspace string, c Class) []*Job {
	q := t.queues[workspace]
	if q == nil {
		return nil
	}
	return q.byClass[c]
}

// Groups returns the queued jobs of a workspace and class, grouped by shape. The slice must not be changed.
func (t *Tables) Groups(workspace string, c Class) []*Group {
	q := t.queues[workspace]
	if q == nil {
		return nil
	}
	return q.groups[c]
}

// QueuedCount returns the number of queued jobs of a workspace.
func (t *Tables) QueuedCount(workspace string) int {
	q := t.queues[workspace]
	if q == nil {
		return 0
	}
	return q.count
}

// QueueVersion returns a number that changes when a job of the workspace enters or leaves the queue.
func (t *Tables) QueueVersion(workspace string) uint64 {
	q := t.queues[workspace]
	if q == nil {
		return 0
	}
	return q.version
}

// QueuedWorkspaces returns the names of all workspaces with queued jobs, in ascending order. The slice must not be
// changed.
func (t *Tables) QueuedWorkspaces() []string {
	if t.queuedNames != nil {
		return t.queuedNames
	}
	out := make([]string, 0, len(t.queues))
	for name, q := range t.queues {
		if q.count > 0 {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	t.queuedNames = out
	return out
}

// Expired returns the jobs that may expire and whose deadline has passed. Every call returns them again until they leave
// the queue.
func (t *Tables) Expired(now time.Duration) []*Job {
	var out []*Job
	var keep []deadline
	for len(t.deadlines) > 0 && t.deadlines[0].at <= now {
		d := heap.Pop(&t.deadlines).(deadline)
		if !t.mayExpire(d.job) {
			continue
		}
		// The time of acceptance may have been set after the job was added.
		d.at = deadlineOf(d.job)
		keep = append(keep, d)
		if d.at <= now {
			out = append(out, d.job)
		}
	}
	for _, d := range keep {
		heap.Push(&t.deadlines, d)
	}
	return out
}

// NextDeadline returns the earliest deadline in the heap of deadlines, or false if the heap is empty. Jobs that left
// the queue may still be in the heap, so the time may be earlier than the deadline of any job that may expire.
func (t *Tables) NextDeadline() (time.Duration, bool) {
	if len(t.deadlines) == 0 {
		return 0, false
	}
	return t.deadlines[0].at, true
}

func (t *Tables) enqueue(j *Job) {
	q := t.queues[j.Workspace]
	if q == nil {
		q = &Queue{}
		t.queues[j.Workspace] = q
	}
	q.count++
	q.version++
	if q.count == 1 {
		t.queuedNames = nil
	}
	q.byClass[j.Class] = insertJob(q.byClass[j.Class], j)
	g := q.group(j)
	if g == nil {
		g = &Group{Workspace: j.Workspace, Class: j.Class, Shape: j.Shape}
		q.groups[j.Class] = append(q.groups[j.Class], g)
	}
	g.jobs = insertJob(g.jobs, j)
	t.queuedCount++
	if j.DeadlineMillis > 0 && !j.MayHaveRun {
		t.trimDeadlines()
		heap.Push(&t.deadlines, deadline{deadlineOf(j), j})
	}
}

func (t *Tables) dequeue(j *Job) {
	q := t.queues[j.Workspace]
	t.queuedCount--
	q.count--
	q.version++
	if q.count == 0 {
		t.queuedNames = nil
	}
	q.byClass[j.Class] = removeJob(q.byClass[j.Class], j)
	g := q.group(j)
	g.jobs = removeJob(g.jobs, j)
	if len(g.jobs) == 0 {
		q.groups[j.Class] = slices.DeleteFunc(q.groups[j.Class], func(o *Group) bool { return o == g })
	}
}

func (q *Queue) group(j *Job) *Group {
	for _, g := range q.groups[j.Class] {
		if g.Shape == j.Shape {
			return g
		}
	}
	return nil
}

func insertJob(list []*Job, j *Job) []*Job {
	i, _ := slices.BinarySearchFunc(list, j, bySequence)
	return slices.Insert(list, i, j)
}

func removeJob(list []*Job, j *Job) []*Job {
	if i, ok := slices.BinarySearchFunc(list, j, bySequence); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func bySequence(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.ID, b.ID))
}

// trimDeadlines removes the entries of jobs that can no longer expire once the entries outnumber the queued jobs by far.
// Replicas that do not schedule never pop them otherwise.
func (t *Tables) trimDeadlines() {
	if len(t.deadlines) < 2*t.queuedCount+minDeadlinesToTrim {
		return
	}
	t.deadlines = slices.DeleteFunc(t.deadlines, func(d deadline) bool { return !t.mayExpire(d.job) })
	heap.Init(&t.deadlines)
}

// mayExpire reports whether a deadline can end a job: it is queued, and no attempt may have run.
func (t *Tables) mayExpire(j *Job) bool {
	return t.jobs[j.ID] == j && j.State == JobQueued && !j.MayHaveRun
}

// minDeadlinesToTrim is the number of heap entries below which trimDeadlines does nothing.
const minDeadlinesToTrim = 256

// deadline is an entry of the heap of deadlines. Entries of jobs that can no longer expire are dropped when popped.
type deadline struct {
	at  time.Duration
	job *Job
}

type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = deadline{}
	*d = old[:len(old)-1]
	return last
}

func deadlineOf(j *Job) time.Duration {
	return j.AppliedAt + time.Duration(j.DeadlineMillis)*time.Millisecond
}
