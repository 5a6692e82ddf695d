package domain

import "slices"

// applyRegister adds a worker, updates it, or replaces an older lifetime of it.
func (m *Machine) applyRegister(w *Worker) Result {
	old := m.state.Workers[w.Life.ID]
	if old != nil && old.Life.BornMS > w.Life.BornMS {
		return NotChanged // A late report of an earlier lifetime.
	}
	if old != nil && old.Life == w.Life {
		if sameRegistration(old, w) {
			return NotChanged
		}
		old.Pool, old.Address, old.Zone, old.Rack = w.Pool, w.Address, w.Zone, w.Rack
		old.Labels, old.Capacity, old.Machine = w.Labels, w.Capacity, w.Machine
		old.Draining = old.Draining || w.Draining // A lifetime that leaves does not come back.
		return Applied
	}
	if !m.takeAddress(w) {
		return NotChanged
	}
	if old != nil {
		m.clear(old.Life)
	}
	added := *w
	added.Cursor = 0
	added.attempts = map[TaskID]int{}
	m.state.Workers[w.Life.ID] = &added
	return Applied
}

// takeAddress ends an earlier worker at the address of a new one. It returns false if the new one is the earlier one: its
// report was delayed.
func (m *Machine) takeAddress(w *Worker) bool {
	for id, other := range m.state.Workers {
		if id == w.Life.ID || other.Address != w.Address {
			continue
		}
		if other.Life.BornMS > w.Life.BornMS {
			return false
		}
		m.clear(other.Life)
		delete(m.state.Workers, id)
	}
	return true
}

// sameRegistration tells whether a report changes nothing that the domain keeps.
func sameRegistration(a, b *Worker) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Rack == b.Rack && a.Machine == b.Machine &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && slices.Equal(a.Labels, b.Labels)
}

// Registered tells whether a report changes nothing that the domain keeps.
func (m *Machine) Registered(w *Worker) bool {
	old := m.state.Workers[w.Life.ID]
	return old != nil && old.Life == w.Life && sameRegistration(old, w)
}

func (m *Machine) applyForget(life WorkerLife, _ int64) Result {
	w := m.state.Workers[life.ID]
	if w == nil || w.Life != life {
		return NotFound
	}
	m.clear(life)
	delete(m.state.Workers, life.ID)
	return Applied
}

// clear ends all attempts on a lifetime that is over. Their tasks wait again.
func (m *Machine) clear(life WorkerLife) {
	w := m.state.Workers[life.ID]
	for id := range w.attempts {
		j := m.state.Jobs[id.Job]
		m.vacate(id, j, j.Task(id))
		m.leaveBusy(j)
	}
}
