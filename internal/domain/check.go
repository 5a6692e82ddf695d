package domain

import "github.com/rotisserie/eris"

// check returns an error if a decoded state has values that the state machine cannot work with: entries without a value,
// or tasks of steps that a job does not have.
func (s *state) check() error {
	for id, j := range s.Jobs {
		if j == nil {
			return eris.Errorf("job %q has no value", id)
		}
		for k, o := range j.Occurrences {
			if o == nil || len(o.Steps) != len(j.Spec.Steps) {
				return eris.Errorf("occurrence %d of job %q does not have the steps of the job", k, id)
			}
		}
	}
	for id, w := range s.Workers {
		if w == nil {
			return eris.Errorf("worker %q has no value", id)
		}
	}
	for number, w := range s.Waves {
		if w == nil {
			return eris.Errorf("wave %d has no value", number)
		}
		for machine, u := range w.Progress {
			if u == nil {
				return eris.Errorf("machine %q of wave %d has no value", machine, number)
			}
		}
	}
	return nil
}
