package standin

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Faults are the switches that make an endpoint misbehave. With the zero value it behaves correctly.
type Faults struct {
	SlowMillis          int64 `json:"slow_ms,omitempty"`               // Delays every reply to a call.
	LateMillis          int64 `json:"late_ms,omitempty"`               // Delays every result.
	FailAll             bool  `json:"fail_all,omitempty"`              // Every task fails.
	DropResults         bool  `json:"drop_results,omitempty"`          // No result is sent.
	CrossAnswers        bool  `json:"cross_answers,omitempty"`         // An answer is first sent with another one's body.
	TruncateAnswers     bool  `json:"truncate_answers,omitempty"`      // An answer is first sent with half of its body.
	DoubleResults       bool  `json:"double_results,omitempty"`        // Each result is sent again once acknowledged.
	Freeze              bool  `json:"freeze,omitempty"`                // No call is handled and nothing is reported.
	IgnoreCheckpoint    bool  `json:"ignore_checkpoint,omitempty"`     // No checkpoint is written or confirmed.
	AcceptsWhileLeaving bool  `json:"accepts_while_leaving,omitempty"` // Reservations are still granted while leaving.
}

// ParseFaults reads switches of the form "freeze", "slow=200" or "late=200" (milliseconds).
func ParseFaults(names []string) (Faults, error) {
	var f Faults
	for _, n := range names {
		if err := f.set(n); err != nil {
			return Faults{}, err
		}
	}
	return f, nil
}

func (f *Faults) set(s string) error {
	name, value, _ := strings.Cut(s, "=")
	switches := map[string]*bool{
		"fail-all": &f.FailAll, "drop-results": &f.DropResults, "cross-answers": &f.CrossAnswers,
		"truncate-answers": &f.TruncateAnswers, "double-results": &f.DoubleResults, "freeze": &f.Freeze,
		"ignore-checkpoint": &f.IgnoreCheckpoint, "accepts-while-leaving": &f.AcceptsWhileLeaving,
	}
	if b := switches[name]; b != nil && value == "" {
		*b = true
		return nil
	}
	delays := map[string]*int64{"slow": &f.SlowMillis, "late": &f.LateMillis}
	millis, err := strconv.ParseInt(value, 10, 64)
	if d := delays[name]; d != nil && err == nil && millis >= 0 {
		*d = millis
		return nil
	}
	return eris.Errorf("unknown fault %q", s)
}
