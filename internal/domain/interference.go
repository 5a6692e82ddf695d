package domain

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ImagePair is an ordered pair of images, as a leader has estimated how much longer tasks of the first one take beside the
// second one.
type ImagePair struct {
	Suffers   string `cbor:"1,keyasint"`
	Beside    string `cbor:"2,keyasint"`
	Thousands int64  `cbor:"3,keyasint"`           // Factor in thousandths, 1000 for none.
	Hundreds  int64  `cbor:"4,keyasint"`           // Weight of the samples, in hundredths of a sample.
	Harmful   bool   `cbor:"6,keyasint,omitempty"` // The pair is known to be harmful.
}

// RecordInterference records how pairs of images affect each other.
type RecordInterference struct {
	Pairs []ImagePair `cbor:"1,keyasint"`
}

// InterferenceRecord is the stored estimate of a pair. Its weight falls with its age.
type InterferenceRecord struct {
	ImagePair
	AtMS int64 `cbor:"5,keyasint,omitempty"`
}

// Bounds of the records. What is outside counts as unknown. They are a part of the format of the log: hosts with different
// bounds would hold different states.
const (
	maxPairs              = 256
	maxFactor             = 50_000 // In thousandths.
	maxInterferenceWeight = 100_000
	// MaxPairImage bounds the bytes of the name of an image. A record takes at most 300 bytes.
	MaxPairImage = 128
)

func (p *ImagePair) sane() bool {
	named := func(s string) bool { return s != "" && len(s) <= MaxPairImage }
	return named(p.Suffers) && named(p.Beside) && p.Thousands >= 1000 && p.Thousands <= maxFactor && p.Hundreds > 0 && p.Hundreds <= maxInterferenceWeight
}

// interferenceRecords are the records in the order of their last update, at most maxPairs.
type interferenceRecords []InterferenceRecord

// UnmarshalCBOR decodes records. Those that cannot be decoded or are absurd are left out: the pairs count as unknown, and the
// rest of the snapshot is used.
func (r *interferenceRecords) UnmarshalCBOR(data []byte) error {
	*r = nil
	var raw []cbor.RawMessage
	unreadable := decoder.Unmarshal(data, &raw) != nil
	for _, value := range raw {
		var x InterferenceRecord
		if decoder.Unmarshal(value, &x) != nil || !x.sane() {
			unreadable = true
			continue
		}
		r.put(x)
	}
	if unreadable {
		*r = append(*r, InterferenceRecord{}) // Until it is loaded.
	}
	return nil
}

// put adds or replaces a record as the last updated one. It drops the first one if there are too many.
func (r *interferenceRecords) put(x InterferenceRecord) {
	*r = slices.DeleteFunc(*r, func(o InterferenceRecord) bool { return o.Suffers == x.Suffers && o.Beside == x.Beside })
	if len(*r) >= maxPairs {
		*r = slices.Delete(*r, 0, len(*r)-maxPairs+1)
	}
	*r = append(*r, x)
}

// loadInterference notes whether any record could not be used.
func (m *StateMachine) loadInterference() {
	r := m.state.Interference
	m.interferenceUnreadable = len(r) > 0 && r[len(r)-1].Suffers == ""
	if m.interferenceUnreadable {
		m.state.Interference = r[:len(r)-1]
	}
}

// applyInterference stores pairs.
func (m *StateMachine) applyInterference(c *RecordInterference, atMS int64) Result {
	result := NotChanged
	for _, p := range c.Pairs {
		if p.sane() {
			m.state.Interference.put(InterferenceRecord{p, atMS})
			result = Applied
		}
	}
	return result
}

// Interference returns the recorded pairs in the order of their last update. The list must not be changed.
func (m *StateMachine) Interference() []InterferenceRecord { return m.state.Interference }

// InterferenceUnreadable reports whether records of the snapshot that was loaded last could not be used.
func (m *StateMachine) InterferenceUnreadable() bool { return m.interferenceUnreadable }

// usable reports whether all pairs of a command may enter the log.
func (c *RecordInterference) usable() bool {
	return len(c.Pairs) > 0 && len(c.Pairs) <= maxPairs && !slices.ContainsFunc(c.Pairs, func(p ImagePair) bool { return !p.sane() })
}
