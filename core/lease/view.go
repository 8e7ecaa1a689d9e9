package lease

import (
	"slices"
	"time"
)

// Hold is the state of one of this VM's leases at one time.
type Hold struct {
	// Grants is the number of valid grants, this VM's own included.
	Grants int
	// Members is the number of VMs of the cell that may grant the shard.
	Members int
	// Fleet is the number of VMs among which rates are divided. It is larger than
	// Members where several cells serve the same workspaces.
	Fleet int
	// Exclusive is true with grants from a quorum.
	Exclusive bool
	// Until is when the state changes unless grants are renewed: for an exclusive
	// lease when the quorum ends, else when the first grant ends.
	Until time.Time
	// Epoch changes each time the lease is newly acquired.
	Epoch uint64
}

// View is an immutable view of one of this VM's leases. It is safe for concurrent use.
type View struct {
	ends        []time.Time // ends of the grants, latest first
	quorum      int
	memberCount int
	fleetSize   int
	epoch       uint64
}

// At returns the state of the lease at the given time. ok is false when no grant is valid
// then, and always for a nil View.
func (v *View) At(now time.Time) (h Hold, ok bool) {
	if v == nil {
		return Hold{}, false
	}
	k := v.validGrants(now)
	if k == 0 {
		return Hold{}, false
	}
	h = Hold{Grants: k, Members: v.memberCount, Fleet: v.fleetSize, Exclusive: k >= v.quorum, Epoch: v.epoch}
	h.Until = v.ends[k-1]
	if h.Exclusive {
		h.Until = v.ends[v.quorum-1]
	}
	return h, true
}

// validGrants returns the number of grants that are valid at now.
func (v *View) validGrants(now time.Time) int {
	k, _ := slices.BinarySearchFunc(v.ends, now, func(end, t time.Time) int {
		if end.After(t) {
			return -1
		}
		return 1
	})
	return k
}
