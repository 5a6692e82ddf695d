package share

// Allowance is by how much a workspace may exceed its rate for a while. The zero value allows what one second gives, so that jobs
// may come unevenly within a second.
type Allowance struct {
	Window  float64 // Seconds over which the rate is averaged.
	Overage float64 // Share by which the average may exceed the rate.
	Slack   float64 // Jobs beyond that.
}

// burst returns how many tokens a bucket of a rate holds.
func (a Allowance) burst(rate float64) float64 {
	return max(1, rate*max(1, a.Window)*(1+a.Overage)+a.Slack)
}

// Bucket tells which of the jobs that a workspace submits are beyond its rate. The zero value is a full bucket.
type Bucket struct {
	used float64 // Tokens that are missing.
	atMS int64   // When used was brought up to date, Unix milliseconds.
}

// Take takes a token for a job that was accepted at a time, in Unix milliseconds, at a rate per second. It returns false if
// there is none: the job is beyond the rate and the allowance. Times may go back, since leaders have clocks of their own.
func (b *Bucket) Take(atMS int64, rate float64, a Allowance) bool {
	if atMS > b.atMS {
		b.used = max(0, b.used-float64(atMS-b.atMS)/1000*rate)
	}
	b.atMS = atMS
	if b.used+1 > a.burst(rate) {
		return false
	}
	b.used++
	return true
}
