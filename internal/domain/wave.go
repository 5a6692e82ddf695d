package domain

// UpkeepStage is the progress of the upkeep of a machine.
type UpkeepStage uint8

// Stages of a machine's upkeep. They follow each other in this order.
const (
	UpkeepWaiting UpkeepStage = iota
	UpkeepOrdered             // The order may have been sent to the platform, which may execute it at any time.
	UpkeepBegun               // The platform has confirmed that the upkeep has begun.
	UpkeepOver                // The machine is back, or is not expected back.
)

var upkeepStageNames = [...]string{"waiting", "ordered", "begun", "over"}

// String returns the name for logs.
func (s UpkeepStage) String() string { return nameOf(upkeepStageNames[:], int(s)) }

// Upkeep is the state of the upkeep of one machine of a wave.
type Upkeep struct {
	Stage UpkeepStage `cbor:"1,keyasint,omitempty"`
	AtMS  int64       `cbor:"2,keyasint,omitempty"` // When the stage was reached, Unix milliseconds.
}

// Wave is an operator's request for upkeep (maintenance that takes a machine down) of a set of machines, of which only
// a few may be down at once.
type Wave struct {
	Number     int64              `cbor:"1,keyasint"`
	Machines   []string           `cbor:"2,keyasint"`
	WithinMS   int64              `cbor:"3,keyasint,omitempty"` // Time limit for all machines, from AcceptedMS on.
	MaxDown    int                `cbor:"4,keyasint"`           // Most machines of the wave in upkeep at once.
	AcceptedMS int64              `cbor:"5,keyasint,omitempty"`
	Progress   map[string]*Upkeep `cbor:"6,keyasint,omitempty"`
}

// Completed reports whether the upkeep of all machines is over.
func (w *Wave) Completed() bool {
	for _, u := range w.Progress {
		if u.Stage != UpkeepOver {
			return false
		}
	}
	return true
}

// Down returns the number of machines that are or may be down for their upkeep.
func (w *Wave) Down() int {
	n := 0
	for _, u := range w.Progress {
		if u.Stage == UpkeepOrdered || u.Stage == UpkeepBegun {
			n++
		}
	}
	return n
}

// UpkeepProgress moves the upkeep of a machine to a later stage, or from UpkeepOrdered back to UpkeepWaiting if the
// platform refused the order. UpkeepOrdered must be committed before the order is sent, so that a new leader knows that
// the machine may be down.
type UpkeepProgress struct {
	Wave    int64       `cbor:"1,keyasint"`
	Machine string      `cbor:"2,keyasint"`
	Stage   UpkeepStage `cbor:"3,keyasint"`
}

// Waves returns the waves by number. The map must not be changed.
func (m *StateMachine) Waves() map[int64]*Wave { return m.state.Waves }

func (m *StateMachine) applyWave(w *Wave, at int64) Result {
	if m.state.Waves[w.Number] != nil {
		return NotChanged
	}
	added := *w
	added.AcceptedMS = at
	added.Progress = map[string]*Upkeep{}
	for _, id := range w.Machines {
		added.Progress[id] = &Upkeep{AtMS: at}
	}
	m.state.Waves[w.Number] = &added
	return Applied
}

func (m *StateMachine) applyUpkeep(p *UpkeepProgress, at int64) Result {
	w := m.state.Waves[p.Wave]
	if w == nil || w.Progress[p.Machine] == nil {
		return NotFound
	}
	u := w.Progress[p.Machine]
	refused := p.Stage == UpkeepWaiting && u.Stage == UpkeepOrdered
	if p.Stage <= u.Stage && !refused {
		return NotChanged
	}
	u.Stage, u.AtMS = p.Stage, at
	return Applied
}
