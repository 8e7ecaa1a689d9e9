package contact

import (
	"slices"
	"time"
)

// Standing is how this VM sees one member of its list.
type Standing struct {
	// InContact is true while round trips are recent. It is true for this VM.
	InContact bool
	// Eligible is true for a member in contact that is not leaving and past its
	// start-up wait. It is true for this VM.
	Eligible bool
	// Unclaimed is true for a member whose process cannot hold a grant of an earlier
	// process of this VM. It is true for this VM.
	Unclaimed bool
}

// Standings returns the standing of each member in list order. A peer counts
// as past its start-up wait once it claims or grants, or wait after its
// instance was first heard. Together is when this VM ended its own wait early because
// all members started together, zero for never: a peer heard by then did so too.
func (s *State) Standings(now time.Time, wait time.Duration, together time.Time) []Standing {
	out := make([]Standing, 0, s.list.Len())
	next := 0
	for i := 0; i < s.list.Len(); i++ {
		if s.list.VMs[i].ID == s.self {
			out = append(out, Standing{InContact: true, Eligible: true, Unclaimed: true})
			continue
		}
		p := s.peers[next]
		next++
		in := p.InContact(now)
		ready := p.Active || now.Sub(p.Since) >= wait || p.Unclaimed && !p.Since.After(together)
		out = append(out, Standing{InContact: in, Eligible: in && ready && !p.IsLeaving(), Unclaimed: in && p.Unclaimed})
	}
	return out
}

// Deadline returns until when the contact rule holds if nothing else is
// received: the later of the platform deadline and the time at which fewer
// than half of the members, this VM included, are in contact. It is in the
// past when the rule does not hold.
func (s *State) Deadline(now time.Time) time.Time {
	var platform time.Time
	if s.known {
		platform = s.platform.Add(PlatformTimeout)
	}
	if peers := s.peersDeadline(now); peers.After(platform) {
		return peers
	}
	return platform
}

func (s *State) peersDeadline(now time.Time) time.Time {
	if !s.Listed() {
		return time.Time{}
	}
	needed := (s.list.Len() + 1) / 2
	if needed <= 1 {
		return now.Add(Timeout)
	}
	ends := make([]time.Time, 0, len(s.peers))
	for _, p := range s.peers {
		ends = append(ends, p.ContactUntil())
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[needed-2]
}
