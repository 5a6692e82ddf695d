package domain

import (
	"slices"
	"strings"
)

// applyRegister adds a worker, updates it, or replaces an earlier incarnation of it at its address.
func (m *StateMachine) applyRegister(w *Worker, noTakeover bool) Result {
	old := m.state.Workers[w.Incarnation.ID]
	if old != nil && old.Incarnation.BornMS > w.Incarnation.BornMS {
		return NotChanged // A delayed report of an earlier incarnation.
	}
	if noTakeover && m.ConflictOf(w) != nil {
		return Superseded
	}
	if old != nil && old.Incarnation == w.Incarnation {
		if sameRegistration(old, w) {
			return NotChanged
		}
		m.registrationBytes += w.RegistrationBytes() - old.RegistrationBytes()
		key := old.SpeedKey()
		defer m.dropSpeed(key) // If it names another machine now.
		old.Pool, old.Address, old.Zone, old.Rack = w.Pool, w.Address, w.Zone, w.Rack
		old.Labels, old.Capacity, old.Machine = w.Labels, w.Capacity, w.Machine
		old.Draining = old.Draining || w.Draining // An incarnation that drains never stops draining.
		return Applied
	}
	if !m.replaceAtAddress(w) {
		return NotChanged
	}
	added := *w
	added.Cursor = 0
	added.attempts = map[TaskID]int{}
	if old != nil {
		m.move(old, &added)
		m.registrationBytes -= old.RegistrationBytes()
	}
	m.state.Workers[w.Incarnation.ID] = &added
	if old != nil {
		m.dropSpeed(old.SpeedKey())
	}
	m.registrationBytes += added.RegistrationBytes()
	return Applied
}

// ConflictOf returns a registered worker that a registration contradicts, nil if there is none: another worker at its address, or
// one with its identifier at another address, which no worker changes. Only what answers at the address of that worker shows
// whether it has ended.
func (m *StateMachine) ConflictOf(w *Worker) *Worker {
	var found *Worker
	for id, other := range m.state.Workers {
		if (id == w.Incarnation.ID) != (other.Address == w.Address) && (found == nil || id < found.Incarnation.ID) {
			found = other
		}
	}
	return found
}

// move assigns the attempts of an incarnation that has ended to the one that replaces it under its identifier. A start
// that is carried out late would reach that one, so the tasks do not wait for a new attempt yet.
func (m *StateMachine) move(old, added *Worker) {
	added.attempts, added.used = old.attempts, old.used
	for id := range old.attempts {
		t := m.state.Jobs[id.Job].Task(id)
		t.Worker, t.Moved = added.Incarnation, true
	}
}

// replaceAtAddress removes other workers that were registered at the address of a new one and started earlier. It
// returns false and removes none if one of them started later: then the report of the new worker was delayed, and it no
// longer runs there.
func (m *StateMachine) replaceAtAddress(w *Worker) bool {
	var replaced []WorkerIncarnation
	for id, other := range m.state.Workers {
		if id == w.Incarnation.ID || other.Address != w.Address {
			continue
		}
		if other.Incarnation.BornMS > w.Incarnation.BornMS {
			return false
		}
		replaced = append(replaced, other.Incarnation)
	}
	// All replicas remove them in the same order.
	slices.SortFunc(replaced, func(a, b WorkerIncarnation) int { return strings.Compare(a.ID, b.ID) })
	for _, incarnation := range replaced {
		m.remove(incarnation)
	}
	return true
}

// registrationOverhead is about what a registration takes beside its texts, in bytes.
const registrationOverhead = 256

// RegistrationBytes returns about how many bytes the registration of a worker takes.
func (w *Worker) RegistrationBytes() int {
	n := registrationOverhead + len(w.Incarnation.ID) + len(w.Pool) + len(w.Address) + len(w.Zone) + len(w.Rack) + len(w.Machine)
	for _, l := range w.Labels {
		n += 16 + len(l) // With the header of the text.
	}
	return n
}

// RegistrationBytes returns about how many bytes the registrations of all workers take.
func (m *StateMachine) RegistrationBytes() int { return m.registrationBytes }

// sameRegistration reports whether two reports of a worker agree in all values that are stored.
func sameRegistration(a, b *Worker) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Zone == b.Zone && a.Rack == b.Rack && a.Machine == b.Machine &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && slices.Equal(a.Labels, b.Labels)
}

// Registered reports whether a worker's report agrees with what is stored, so that no command is needed.
func (m *StateMachine) Registered(w *Worker) bool {
	old := m.state.Workers[w.Incarnation.ID]
	return old != nil && old.Incarnation == w.Incarnation && sameRegistration(old, w)
}

func (m *StateMachine) applyForget(incarnation WorkerIncarnation, _ int64) Result {
	w := m.state.Workers[incarnation.ID]
	if w == nil || w.Incarnation != incarnation {
		return NotFound
	}
	m.remove(incarnation)
	return Applied
}

// remove removes a worker whose incarnation has ended. The tasks of its attempts wait for a new one.
func (m *StateMachine) remove(incarnation WorkerIncarnation) {
	w := m.state.Workers[incarnation.ID]
	for id := range w.attempts {
		j := m.state.Jobs[id.Job]
		m.removeFromWorker(id, j, j.Task(id))
		m.dropIfNoAttempts(j)
	}
	m.registrationBytes -= w.RegistrationBytes()
	delete(m.state.Workers, incarnation.ID)
	m.dropSpeed(w.SpeedKey())
}
