package table

import (
	"cmp"
	"slices"
	"sort"
)

// Index keeps the usable workers by available accelerators, for the zone and for each rack, so that a search for a
// place does not scan all workers. Available capacity is the free capacity less what the scheduler holds back.
type Index struct {
	buckets     [][]*Worker     // By available accelerators; each ordered by reserved accelerators, then identifier.
	racks       []*RackCapacity // By name.
	racksByName map[string]*RackCapacity
}

// RackCapacity holds the workers of one rack and counts their available capacity.
type RackCapacity struct {
	Name               string
	workers            []*Worker
	workersByAvailable []int // Number of usable workers, by available accelerators.
	available          int   // Available accelerators of the rack.
}

// Observer is called synchronously on changes of the tables. It must not change the tables.
type Observer interface {
	AttemptAdded(a *Attempt)
	AttemptRemoved(a *Attempt)
	WorkerChanged(id string)
	WorkspaceChanged(name string)
}

// Observe sets the observer of the tables, replacing any earlier one. Capacity that the earlier one held back or
// reserved on workers is released.
func (t *Tables) Observe(o Observer) {
	t.observer = nil
	for _, w := range t.workers {
		t.index.removeFromBucket(w)
		w.heldAccelerators, w.heldSlots, w.reserved = 0, 0, 0
		w.indexedUsable = w.Usable()
		t.index.update(w)
	}
	t.observer = o
}

// Version returns a number that changes with every change made through the methods of the tables.
func (t *Tables) Version() uint64 { return t.version }

// Index returns the index of available capacity.
func (t *Tables) Index() *Index { return &t.index }

// Hold holds capacity of a worker back from new work. Negative amounts release it.
func (t *Tables) Hold(w *Worker, accelerators, slots int) {
	w.heldAccelerators += accelerators
	w.heldSlots += slots
	t.index.update(w)
}

// SetReserved sets how many accelerators of a worker are reserved for guarantees, and orders the index accordingly.
func (t *Tables) SetReserved(w *Worker, accelerators int) {
	if w.reserved == accelerators {
		return
	}
	t.index.removeFromBucket(w)
	w.reserved = accelerators
	t.index.update(w)
}

// ReindexWorker updates the index after Lost, Leaving or Quarantined of a worker was set directly. It reports whether
// the worker's usability differed from the index.
func (t *Tables) ReindexWorker(w *Worker) bool {
	if t.workers[w.ID] != w || w.indexedUsable == w.Usable() {
		return false
	}
	w.indexedUsable = w.Usable()
	t.index.update(w)
	t.version++
	t.workerChanged(w.ID)
	return true
}

// Available returns the accelerators and slots of a worker that new work may take.
func (w *Worker) Available() (accelerators, slots int) {
	if !w.Usable() {
		return 0, 0
	}
	return w.FreeAccelerators() - w.heldAccelerators, w.FreeSlots() - w.heldSlots
}

// FittingMembers returns how many members, each with the given accelerators, fit the worker's available capacity.
func (w *Worker) FittingMembers(accelerators int) int {
	free, slots := w.Available()
	return max(0, min(free/accelerators, slots))
}

// Reserved returns the accelerators of the worker that are reserved for guarantees.
func (w *Worker) Reserved() int { return w.reserved }

// MaxAvailable returns the largest number of accelerators available on one worker.
func (x *Index) MaxAvailable() int {
	for n := len(x.buckets) - 1; n > 0; n-- {
		if len(x.buckets[n]) > 0 {
			return n
		}
	}
	return 0
}

// WithAvailable returns the workers with exactly n available accelerators. The slice must not be changed.
func (x *Index) WithAvailable(n int) []*Worker {
	if n >= len(x.buckets) {
		return nil
	}
	return x.buckets[n]
}

// MaxMembers returns an upper bound on the number of members, each with the given accelerators, that the zone can take
// at once. It does not count slots.
func (x *Index) MaxMembers(accelerators int) int {
	members := 0
	for n := accelerators; n < len(x.buckets); n++ {
		members += len(x.buckets[n]) * (n / accelerators)
	}
	return members
}

// Racks returns the racks, ordered by name. The slice must not be changed.
func (x *Index) Racks() []*RackCapacity { return x.racks }

// Rack returns a rack, or nil.
func (x *Index) Rack(name string) *RackCapacity { return x.racksByName[name] }

// Workers returns the workers of the rack, ordered by identifier, including those that are not usable. The slice must
// not be changed.
func (r *RackCapacity) Workers() []*Worker { return r.workers }

// MaxMembers returns an upper bound on the number of members, each with the given accelerators, that the rack can take
// at once. It does not count slots.
func (r *RackCapacity) MaxMembers(accelerators int) int {
	members := 0
	for n := accelerators; n < len(r.workersByAvailable); n++ {
		members += r.workersByAvailable[n] * (n / accelerators)
	}
	return members
}

// RackAvailable returns the available accelerators of the whole rack of the worker.
func (w *Worker) RackAvailable() int {
	if w.rackCapacity == nil {
		return 0
	}
	return w.rackCapacity.available
}

// addWorker adds a worker to the index.
func (x *Index) addWorker(w *Worker) {
	if x.racksByName == nil {
		x.racksByName = map[string]*RackCapacity{}
	}
	r := x.racksByName[w.Rack]
	if r == nil {
		r = &RackCapacity{Name: w.Rack}
		x.racksByName[w.Rack] = r
		i := sort.Search(len(x.racks), func(i int) bool { return x.racks[i].Name >= r.Name })
		x.racks = slices.Insert(x.racks, i, r)
	}
	i := sort.Search(len(r.workers), func(i int) bool { return r.workers[i].ID >= w.ID })
	r.workers = slices.Insert(r.workers, i, w)
	w.rackCapacity = r
	w.indexBucket = 0
	w.indexedUsable = w.Usable()
	x.update(w)
}

// removeWorker removes a worker from the index, and its rack if it was the last worker there.
func (x *Index) removeWorker(w *Worker) {
	x.removeFromBucket(w)
	r := w.rackCapacity
	r.workers = slices.DeleteFunc(r.workers, func(o *Worker) bool { return o == w })
	if len(r.workers) == 0 {
		delete(x.racksByName, r.Name)
		x.racks = slices.DeleteFunc(x.racks, func(o *RackCapacity) bool { return o == r })
	}
	w.rackCapacity = nil
}

// update moves a worker to the bucket of its available accelerators. Workers with none available are in no bucket.
func (x *Index) update(w *Worker) {
	if w.rackCapacity == nil {
		return
	}
	n, slots := w.Available()
	if slots < 1 || n < 0 {
		n = 0
	}
	if n == w.indexBucket {
		return
	}
	x.removeFromBucket(w)
	w.indexBucket = n
	if n == 0 {
		return
	}
	for len(x.buckets) <= n {
		x.buckets = append(x.buckets, nil)
	}
	for len(w.rackCapacity.workersByAvailable) <= n {
		w.rackCapacity.workersByAvailable = append(w.rackCapacity.workersByAvailable, 0)
	}
	i, _ := slices.BinarySearchFunc(x.buckets[n], w, byReserved)
	x.buckets[n] = slices.Insert(x.buckets[n], i, w)
	w.rackCapacity.workersByAvailable[n]++
	w.rackCapacity.available += n
}

func (x *Index) removeFromBucket(w *Worker) {
	if w.rackCapacity == nil || w.indexBucket == 0 {
		return
	}
	list := x.buckets[w.indexBucket]
	if i, ok := slices.BinarySearchFunc(list, w, byReserved); ok {
		x.buckets[w.indexBucket] = slices.Delete(list, i, i+1)
	}
	w.rackCapacity.workersByAvailable[w.indexBucket]--
	w.rackCapacity.available -= w.indexBucket
	w.indexBucket = 0
}

func byReserved(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.reserved, b.reserved), cmp.Compare(a.ID, b.ID))
}

func (t *Tables) workerChanged(id string) {
	if t.observer != nil {
		t.observer.WorkerChanged(id)
	}
}
