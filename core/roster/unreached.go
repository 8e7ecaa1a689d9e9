package roster

import "time"

// unreached records the VMs that are not in the roster but may be serving, cut off from this
// VM. A VM that restarts knows no other VM, and one that is cut off forgets them. Both would
// use the whole of each rate if they counted themselves only.
type unreached struct {
	// reached is true once any other VM was reached. Its roster then says who is there.
	reached bool
	// seeds is the number of seeds other than this VM.
	seeds int
	// lost holds the VMs that expired since another VM was last heard of, at lostAt the last.
	lost   map[string]bool
	lostAt time.Time
}

// count returns the number of these VMs. Until the first contact these are the seeds.
func (u *unreached) count() int {
	if !u.reached {
		return u.seeds
	}
	return len(u.lost)
}

// recordLost records that a VM expired.
func (u *unreached) recordLost(id string, now time.Time) {
	u.lost[id], u.lostAt = true, now
}

// recordReached records that another VM was heard of at the given time. It returns true when
// that changes the number of unreached VMs.
func (u *unreached) recordReached(at time.Time) bool {
	before := u.count()
	u.reached = true
	if at.After(u.lostAt) {
		clear(u.lost)
	}
	return before != u.count()
}

// SetSeedCount sets the number of seeds other than this VM. They count as members until the
// VM reaches another VM for the first time, because they may be serving. Default: 0.
func (r *Roster) SetSeedCount(n int) {
	if n == r.seeds {
		return
	}
	r.seeds = n
	r.rebuild()
}
