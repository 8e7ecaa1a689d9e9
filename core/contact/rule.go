package contact

import (
	"slices"
	"time"
)

// MemberStatus is the status of one member of the list, as seen by this VM.
type MemberStatus struct {
	// InContact is true while the last round trip is recent. It is true for this VM.
	InContact bool
	// Eligible is true for a member that may hold shards: it is in contact, not
	// leaving, and past its start-up wait. It is true for this VM.
	Eligible bool
	// Unclaimed is true for a member whose process cannot hold a grant of an earlier
	// process of this VM. It is true for this VM.
	Unclaimed bool
}

// MemberStatuses returns the status of each member in list order. A peer is regarded as
// past its start-up wait once it has claimed or granted a shard, or when wait has elapsed since
// the first heartbeat of its instance. waitEndedEarly is when this VM ended its own wait
// early because all members were started at the same time, zero if it did not. Peers whose
// first heartbeat was received by then ended theirs early too.
func (s *State) MemberStatuses(now time.Time, wait time.Duration, waitEndedEarly time.Time) []MemberStatus {
	out := make([]MemberStatus, 0, s.list.Len())
	next := 0
	for i := 0; i < s.list.Len(); i++ {
		if s.list.VMs[i].ID == s.self {
			out = append(out, MemberStatus{InContact: true, Eligible: true, Unclaimed: true})
			continue
		}
		p := s.peers[next]
		next++
		in := p.InContact(now)
		ready := p.Active || now.Sub(p.Since) >= wait || p.Unclaimed && !p.Since.After(waitEndedEarly)
		out = append(out, MemberStatus{InContact: in, Eligible: in && ready && !p.IsLeaving(), Unclaimed: in && p.Unclaimed})
	}
	return out
}

// Deadline returns until when the contact rule holds if nothing more is received: the later
// of the time until which the last platform response satisfies it and the time from which
// fewer than half of the members, this VM included, are in contact. It is in the past when
// the rule does not hold.
func (s *State) Deadline(now time.Time) time.Time {
	var platform time.Time
	if s.platformKnown {
		platform = s.platformAt.Add(PlatformTimeout)
	}
	if peers := s.peersDeadline(now); peers.After(platform) {
		return peers
	}
	return platform
}

// peersDeadline returns until when at least half of the members are in contact.
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
