package target

import "time"

const (
	// serviceRateWeight sets the weight of the newest interval, as 1/serviceRateWeight.
	serviceRateWeight = 24
	// serviceRateMemory is the age from which a rate is no longer used.
	serviceRateMemory = time.Second
)

// serviceRate estimates how fast waiting requests get slots.
type serviceRate struct {
	interval time.Duration // mean time between two grants
	last     time.Time     // the last grant
	busy     bool          // requests still waited after it
}

// recordGrant records that a waiting request got a slot. Waiting is true when others
// still wait.
func (r *serviceRate) recordGrant(waiting bool, now time.Time) {
	if r.busy {
		r.interval += (now.Sub(r.last) - r.interval) / serviceRateWeight
	}
	r.last, r.busy = now, waiting
}

// expectedWait returns how long it takes until n requests have got their slots; 0
// when there is no recent rate.
func (r *serviceRate) expectedWait(n int, now time.Time) time.Duration {
	if !r.busy || now.Sub(r.last) > serviceRateMemory {
		return 0
	}
	return time.Duration(n) * r.interval
}
