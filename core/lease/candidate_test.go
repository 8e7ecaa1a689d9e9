package lease

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// loseBestRanked stops the given number of nodes that rank first for seat 0 and returns the time
// until every shard has a running holder, at most 10 s. With newLists the nodes adopt a new
// version of their list every 200 ms meanwhile, as while VMs are stopped in turn.
func loseBestRanked(seed uint64, nodes, lost int, newLists bool) time.Duration {
	s := newSim(seed, nodes, 0, defects{config: seated})
	order := member.RankSeats(s.list, member.Seats(nodes, seated.Seats))[0]
	for i, n := range s.nodes {
		for _, id := range order[:lost] {
			if n.id == id {
				s.nodes[i].up = false
			}
		}
	}
	began := s.now
	for s.now < began+10*time.Second && !s.covered() {
		s.step()
		if newLists && (s.now-began)%(200*time.Millisecond) == 0 {
			s.renewList()
		}
	}
	return s.now - began
}

// renewList makes all running nodes adopt a new version of the list with the same members.
func (s *sim) renewList() {
	s.list = &member.List{Version: s.list.Version + 1, VMs: s.list.VMs}
	for i, n := range s.nodes {
		if n.up {
			s.adopt(i)
		}
	}
}

// Guards against a seat that stays without a holder for the slow contact timeout (10 s) after
// the loss of all its candidates: the VMs behind them believe that these are still in contact.
func TestSeatIsTakenAfterLossOfAllCandidates(t *testing.T) {
	c := seated.withDefaults()
	seeds := uint64(10)
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		for _, lost := range []int{1, seatCandidates, 2 * seatCandidates} {
			turns := time.Duration(2 + lost/seatCandidates)
			bound := turns*c.FastHeartbeats.Timeout + c.GrantRetention + 2*c.FastHeartbeats.Interval
			for _, newLists := range []bool{false, true} {
				if took := loseBestRanked(seed, 24, lost, newLists); took > bound {
					t.Errorf("seed %d: %d of 24 VMs lost, new lists %t, holders after %v, want at most %v", seed, lost, newLists, took, bound)
				}
			}
		}
	}
}

// Guards against a VM without a seat whose number of fast heartbeats grows with the fleet: it
// exchanged them with each candidate of each seat.
func TestPlainVMHasFastHeartbeatsWithHoldersOnly(t *testing.T) {
	s := newSim(1, 64, 0, defects{config: seated})
	for _, n := range s.nodes {
		l := n.agent.Lease
		if l.candidates[l.self] {
			continue
		}
		fast := 0
		for _, p := range n.agent.Contact.Peers() {
			if n.agent.heartbeatTiming(p) == seated.FastHeartbeats {
				fast++
			}
		}
		if seats := member.Seats(64, seated.Seats); fast > seats {
			t.Errorf("%s exchanges fast heartbeats with %d VMs, want at most the holders of %d seats", n.id, fast, seats)
		}
	}
}
