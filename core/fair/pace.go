package fair

import "time"

// historyWeight is the divisor of the exponential moving average of the service
// interval: a new interval has the weight 1/historyWeight.
const paceWeight = 8

// serviceInterval measures the mean time between two served entries while the
// queue is not empty.
type pace struct {
	interval time.Duration
	last     time.Time
	busy     bool
}

// served records that an entry was served. Waiting is true when entries remain.
func (p *pace) served(now time.Time, waiting bool) {
	if p.busy {
		p.add(now.Sub(p.last))
	}
	p.last = now
	p.busy = waiting
}

func (p *pace) add(d time.Duration) {
	if p.interval == 0 {
		p.interval = d
		return
	}
	p.interval += (d - p.interval) / paceWeight
}

// idle records that the queue became empty. The time until the next entry is served
// then says nothing about the service interval.
func (p *pace) idle() {
	p.busy = false
}
