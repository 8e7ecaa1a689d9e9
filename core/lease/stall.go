package lease

import "time"

// stallDivisor sets the shortest stall, as a part of the contact timeout: a shorter one does
// not make a peer with regular heartbeats seem lost.
const stallDivisor = 2

// stall detects that this process stood still between two updates: it was paused, or had no
// processor time. The heartbeats that arrived meanwhile are read after the next update, which
// therefore sees peers as lost that are not.
type stall struct {
	// updatedAt is when the last update was, zero before the first one.
	updatedAt time.Time
	// until is when peers that were lost during the last stall count as lost. It is zero once
	// as many VMs are in contact as before.
	until time.Time
	// reachable is the number of VMs in contact before the stall, this one included.
	reachable int
}

// update notes an update at now. Before is the number of VMs that counted as in contact at the
// last one, inContact the number of those in contact, timeout the contact timeout of fast
// heartbeats. It returns the number of VMs that count as in contact.
func (s *stall) update(before, inContact int, timeout time.Duration, now time.Time) int {
	stalled := !s.updatedAt.IsZero() && now.Sub(s.updatedAt) >= timeout/stallDivisor
	s.updatedAt = now
	if stalled {
		s.until, s.reachable = now.Add(timeout), before
	}
	if !s.recovering(now) || inContact >= s.reachable {
		s.until = time.Time{}
		return inContact
	}
	return s.reachable
}

// recovering reports whether peers that were lost during the last stall may still be heard of.
func (s *stall) recovering(now time.Time) bool {
	return now.Before(s.until)
}
