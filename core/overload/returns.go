package overload

import "time"

// scheduleAhead is how far ahead returns are scheduled.
const scheduleAhead = 2 * time.Second

// Returns schedules the returns of callers that were refused because the slots of a
// group are in use. Their delays follow each other at the rate at which slots become
// free, so that refused callers do not return together. The zero value is ready for use.
type Returns struct {
	next time.Time
}

// Delay returns the time after which a refused caller should return. Wait is the
// expected wait for a slot and interval the time in which one becomes free.
func (s *Returns) Delay(wait, interval, deadline time.Duration, random float64, now time.Time) time.Duration {
	earliest := now.Add(max(wait, minRetryDelay))
	if s.next.Before(earliest) || s.next.Sub(now) > scheduleAhead {
		s.next = earliest
	}
	s.next = s.next.Add(interval)
	return SpreadDelay(s.next.Sub(now), deadline, random)
}
