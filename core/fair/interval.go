package fair

import "time"

// historyWeight is the divisor of the exponential moving average of the service
// interval: a new interval has the weight 1/historyWeight.
const historyWeight = 8

// serviceInterval measures the mean time between two served entries while the
// queue is not empty.
type serviceInterval struct {
	mean time.Duration
	last time.Time // when the last entry was served
	busy bool      // entries remained after it
}

// served records that an entry was served. Waiting is true when entries remain.
func (s *serviceInterval) served(now time.Time, waiting bool) {
	if s.busy {
		s.add(now.Sub(s.last))
	}
	s.last = now
	s.busy = waiting
}

func (s *serviceInterval) add(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	s.mean += (d - s.mean) / historyWeight
}

// idle records that the queue became empty. The time until the next entry is served
// then says nothing about the service interval.
func (s *serviceInterval) idle() {
	s.busy = false
}
