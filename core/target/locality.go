package target

// GroupLoad is what an entry VM knows of the load of a group.
type GroupLoad struct {
	// Free is the number of free slots and Queued that of waiting requests in the last
	// response of the holder, Slots that of all open targets.
	Free, Queued, Slots int
	// Outdated is true when the last response is too old to tell the present load.
	Outdated bool
	// Unreachable is true when the holder did not answer the last call.
	Unreachable bool
}

const (
	// remoteDomainPenalty is subtracted from the share of free slots of a group in another
	// failure domain. Requests leave the domain of their VM only when its groups have less
	// room by this share, and the more of them the fuller the domain is.
	remoteDomainPenalty = 0.35
	// outdatedFree is the share of free slots that is assumed where the last known one is
	// outdated and lower, so that the group is asked again.
	outdatedFree = 0.5
	// unreachableRoom ranks groups whose holder does not answer behind all others.
	unreachableRoom = -10
)

// Room ranks a group for requests that prefer the failure domain of their VM: the share of
// its slots that is free, less the waiting requests and the penalty of another domain. It
// is meant for uneven demand of the failure domains: requests stay in their domain while it
// has room, and otherwise go to the group with the most room.
func Room(l GroupLoad, local bool) float64 {
	if l.Unreachable {
		return unreachableRoom
	}
	slots := float64(max(1, l.Slots))
	room := float64(l.Free-l.Queued) / slots
	if l.Outdated {
		room = max(room, outdatedFree)
	}
	if !local {
		room -= remoteDomainPenalty
	}
	return room
}

// Expected returns the expected numbers of free slots and waiting requests. Outdated
// figures count as at least one free slot, so that each group is asked again after a
// while. A group whose holder is unreachable counts as -1 free slots.
func (l GroupLoad) Expected() (free, queued int) {
	switch {
	case l.Unreachable:
		return -1, 0
	case l.Outdated:
		return max(1, l.Free), 0
	}
	return l.Free, l.Queued
}

// LessLoaded reports whether the group is expected to have more free slots than other, or
// as many and a shorter queue.
func (l GroupLoad) LessLoaded(other GroupLoad) bool {
	free, queued := l.Expected()
	otherFree, otherQueued := other.Expected()
	if free != otherFree {
		return free > otherFree
	}
	return queued < otherQueued
}
