package domain

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// WorkerSpeed is the speed of a worker as a leader has estimated it.
type WorkerSpeed struct {
	Worker    WorkerIncarnation `cbor:"1,keyasint"`
	Thousands int64             `cbor:"2,keyasint"` // Speed in thousandths, 1000 for the median of the fleet.
	Hundreds  int64             `cbor:"3,keyasint"` // Weight of the samples, in hundredths of a sample.
}

// RecordSpeeds records speeds of workers.
type RecordSpeeds struct {
	Speeds []WorkerSpeed `cbor:"1,keyasint"`
}

// SpeedRecord is the stored speed of a worker or its machine. Its weight falls with its age.
type SpeedRecord struct {
	Thousands int64 `cbor:"1,keyasint,omitempty"`
	Hundreds  int64 `cbor:"2,keyasint,omitempty"`
	AtMS      int64 `cbor:"3,keyasint,omitempty"`
}

// Bounds of a record. What is outside counts as unknown. They are a part of the format of the log: hosts with different bounds
// would hold different states.
const (
	minSpeed       = 20     // In thousandths: 50 times slower than the median.
	maxSpeed       = 50_000 // 50 times faster.
	maxSpeedWeight = 100_000
	// maxSpeedKey bounds the bytes of a key. A record with its key takes at most 150 bytes.
	maxSpeedKey = 110
)

func saneSpeed(thousands, hundreds int64) bool {
	return thousands >= minSpeed && thousands <= maxSpeed && hundreds > 0 && hundreds <= maxSpeedWeight
}

// SpeedKey returns the key under which the speed of a worker is recorded: its machine, since the next worker there is as fast,
// or else its incarnation.
func (w *Worker) SpeedKey() string {
	if w.Machine != "" {
		return "m:" + w.Machine
	}
	return "w:" + w.Incarnation.ID + "@" + strconv.FormatInt(w.Incarnation.BornMS, 10)
}

// speedRecords are the records by Worker.SpeedKey.
type speedRecords map[string]SpeedRecord

// UnmarshalCBOR decodes records. Those that cannot be decoded or are absurd are left out: the speeds count as unknown, and the
// rest of the snapshot is used.
func (r *speedRecords) UnmarshalCBOR(data []byte) error {
	*r = speedRecords{}
	var raw map[string]cbor.RawMessage
	if decoder.Unmarshal(data, &raw) != nil {
		(*r)[unreadableKey] = SpeedRecord{}
		return nil
	}
	for key, value := range raw {
		var x SpeedRecord
		if decoder.Unmarshal(value, &x) != nil || !saneSpeed(x.Thousands, x.Hundreds) || len(key) > maxSpeedKey {
			(*r)[unreadableKey] = SpeedRecord{}
			continue
		}
		(*r)[key] = x
	}
	return nil
}

// unreadableKey marks records that were left out until they are loaded. No worker has it.
const unreadableKey = ""

// loadSpeeds drops the records that no registered worker has, and notes whether any could not be used.
func (m *StateMachine) loadSpeeds() {
	_, m.speedsUnreadable = m.state.Speeds[unreadableKey]
	live := m.speedKeys()
	for key := range m.state.Speeds {
		if !live[key] {
			delete(m.state.Speeds, key)
		}
	}
}

// speedKeys returns the keys of all registered workers.
func (m *StateMachine) speedKeys() map[string]bool {
	live := make(map[string]bool, len(m.state.Workers))
	for _, w := range m.state.Workers {
		live[w.SpeedKey()] = true
	}
	return live
}

// applySpeeds stores speeds of registered workers. There is at most one record per worker, so their number is bounded.
func (m *StateMachine) applySpeeds(c *RecordSpeeds, atMS int64) Result {
	result := NotChanged
	for _, s := range c.Speeds {
		w := m.state.Workers[s.Worker.ID]
		if w == nil || w.Incarnation != s.Worker || !saneSpeed(s.Thousands, s.Hundreds) {
			continue
		}
		key := w.SpeedKey()
		if len(key) > maxSpeedKey {
			continue
		}
		m.state.Speeds[key] = SpeedRecord{Thousands: s.Thousands, Hundreds: s.Hundreds, AtMS: atMS}
		result = Applied
	}
	return result
}

// dropSpeed drops a record that no registered worker has any more.
func (m *StateMachine) dropSpeed(key string) {
	if _, recorded := m.state.Speeds[key]; !recorded {
		return
	}
	for _, w := range m.state.Workers {
		if w.SpeedKey() == key {
			return
		}
	}
	delete(m.state.Speeds, key)
}

// Speeds returns the recorded speeds by Worker.SpeedKey. The map must not be changed.
func (m *StateMachine) Speeds() map[string]SpeedRecord { return m.state.Speeds }

// SpeedsUnreadable reports whether records of the snapshot that was loaded last could not be used.
func (m *StateMachine) SpeedsUnreadable() bool { return m.speedsUnreadable }

// usable reports whether all speeds of a command may enter the log.
func (c *RecordSpeeds) usable() bool {
	for _, s := range c.Speeds {
		if s.Worker.ID == "" || !saneSpeed(s.Thousands, s.Hundreds) {
			return false
		}
	}
	return len(c.Speeds) > 0
}
