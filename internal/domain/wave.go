package domain

// UpkeepStage tells how far the upkeep of a machine is.
type UpkeepStage uint8

// Stages of a machine's upkeep. They follow each other in this order.
const (
	UpkeepWaiting UpkeepStage = iota
	UpkeepOrdered             // The order may have been sent, and may be carried out at any time.
	UpkeepBegun               // The platform has confirmed it.
	UpkeepOver                // The machine is back, or will not come back.
)

var upkeepNames = [...]string{"waiting", "ordered", "begun", "over"}

// String returns the name for logs.
func (s UpkeepStage) String() string { return upkeepNames[s] }

// Upkeep is the upkeep of one machine of a wave.
type Upkeep struct {
	Stage UpkeepStage `cbor:"1,keyasint,omitempty"`
	AtMS  int64       `cbor:"2,keyasint,omitempty"` // When the stage was reached, Unix milliseconds.
}

// Wave is an operator's request that machines have their upkeep, a few at a time.
type Wave struct {
	Number     int64              `cbor:"1,keyasint"`
	Machines   []string           `cbor:"2,keyasint"`
	WithinMS   int64              `cbor:"3,keyasint,omitempty"` // From the acceptance, for all machines.
	MaxDown    int                `cbor:"4,keyasint"`           // Most machines of the wave in upkeep at once.
	AcceptedMS int64              `cbor:"5,keyasint,omitempty"`
	Progress   map[string]*Upkeep `cbor:"6,keyasint,omitempty"`
}

// Completed tells whether all machines have had their upkeep.
func (w *Wave) Completed() bool {
	for _, u := range w.Progress {
		if u.Stage != UpkeepOver {
			return false
		}
	}
	return true
}

// Down returns how many machines are in upkeep, or may be.
func (w *Wave) Down() int {
	n := 0
	for _, u := range w.Progress {
		if u.Stage == UpkeepOrdered || u.Stage == UpkeepBegun {
			n++
		}
	}
	return n
}

// UpkeepProgress moves the upkeep of a machine to a later stage, or back to waiting if the order was refused. UpkeepOrdered must be committed before the order is sent,
// so that a new leader knows that the machine may be down.
type UpkeepProgress struct {
	Wave    int64       `cbor:"1,keyasint"`
	Machine string      `cbor:"2,keyasint"`
	Stage   UpkeepStage `cbor:"3,keyasint"`
}

// Waves returns the waves by number. The map must not be changed.
func (m *Machine) Waves() map[int64]*Wave { return m.state.Waves }

func (m *Machine) applyWave(w *Wave, at int64) Result {
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

func (m *Machine) applyUpkeep(p *UpkeepProgress, at int64) Result {
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
