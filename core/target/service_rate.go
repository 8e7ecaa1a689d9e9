package target

import "time"

const (
	// serviceRateWeight sets the weight of the newest interval, as 1/serviceRateWeight.
	paceWeight = 24
	// serviceRateMemory is the age from which a rate is no longer used.
	paceMemory = time.Second
)

// serviceRate estimates how fast waiting requests get slots.
type pace struct {
	interval time.Duration
	last     time.Time
	busy     bool
}

// recordGrant records that a waiting request got a slot. Waiting is true when others
// still wait.
func (p *pace) served(waiting bool, now time.Time) {
	if p.busy {
		p.interval += (now.Sub(p.last) - p.interval) / paceWeight
	}
	p.last, p.busy = now, waiting
}

// expectedWait returns how long it takes until n requests have got their slots; 0
// when there is no recent rate.
func (p *pace) expected(n int, now time.Time) time.Duration {
	if !p.busy || now.Sub(p.last) > paceMemory {
		return 0
	}
	return time.Duration(n) * p.interval
}
