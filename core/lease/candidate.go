package lease

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// seatCandidates is the number of VMs, first in the order of a seat, that are the next to
// hold it. Candidates exchange heartbeats at the fast rate, so that the first of them learns
// soon of the loss of the holder.
const seatCandidates = 6

// rankCandidates sets which members are candidates. Without seats all of them are.
func (s *State) rankCandidates() {
	s.candidates = make([]bool, s.list.Len())
	if s.seats == 0 {
		for i := range s.candidates {
			s.candidates[i] = true
		}
		return
	}
	for seat := range s.seats {
		order := s.order[seat]
		for _, index := range order[:min(seatCandidates, len(order))] {
			s.candidates[index] = true
		}
	}
}

// needsFastHeartbeats reports whether this VM and a peer exchange heartbeats at the fast rate:
// one of them claims shards, or both are candidates. The number of fast pairs of a VM that is
// neither grows with the number of seats and not with that of VMs.
func (s *State) needsFastHeartbeats(id string) bool {
	index, ok := s.index[id]
	if !ok {
		return false
	}
	if s.claimants[index].Claims.Len() > 0 {
		return true
	}
	if !s.listed() {
		return s.candidates[index]
	}
	return s.claimants[s.self].Claims.Len() > 0 || s.candidates[index] && s.candidates[s.self]
}

// vacancy describes a seat that no member in contact claims.
type vacancy struct {
	// claimed is true once a member in contact claimed the seat. Before that, a fleet that
	// starts is not yet past its start-up waits.
	claimed bool
	// since is when the last such claim ended; zero while there is one.
	since time.Time
}

// updateVacancies records which seats no member in contact claims any more.
func (s *State) updateVacancies(now time.Time) {
	for seat := range member.Shard(s.seats) {
		v := &s.vacancies[seat]
		switch {
		case s.claimedInContact(seat):
			*v = vacancy{claimed: true}
		case v.claimed && v.since.IsZero():
			v.since = now
		}
	}
}

// claimedInContact reports whether a member in contact claims the shard.
func (s *State) claimedInContact(shard member.Shard) bool {
	for _, index := range s.claiming {
		if cl := s.claimants[index]; cl.inContact && cl.Claims.Has(shard) {
			return true
		}
	}
	return false
}

// presumedLost reports whether a member ranked before this VM no longer counts for the shard
// although it is in contact at the slow rate: it would have claimed the vacant seat by now.
// The delay grows with this VM's own rank, so that the VMs behind several lost candidates do
// not all claim at once.
func (s *State) presumedLost(shard member.Shard, index int, now time.Time) bool {
	if s.seats == 0 || s.self < 0 || s.candidates[index] && s.candidates[s.self] {
		return false
	}
	since := s.vacancies[int(shard)%s.seats].since
	if since.IsZero() {
		return false
	}
	turn := time.Duration(1 + int(s.position[shard][s.self])/seatCandidates)
	return now.Sub(since) >= turn*s.cfg.FastHeartbeats.Timeout
}

// updateClaiming recomputes the members with claims.
func (s *State) updateClaiming() {
	s.claiming = s.claiming[:0]
	for index, cl := range s.claimants {
		if cl.Claims.Len() > 0 {
			s.claiming = append(s.claiming, index)
		}
	}
}

// claimMemo holds the result of State.Claims at one time, because each heartbeat that is sent
// at that time carries it.
type claimMemo struct {
	at     time.Time
	valid  bool
	claims member.ShardSet
	held   member.ShardSet
}
