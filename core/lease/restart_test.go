package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/contact"
)

// restartAll stops all nodes at once and starts them again at random times within 300 ms. It
// returns the time from the last start until every shard has a holder, at most 10 s.
func restartAll(seed uint64, nodes int, loss float64) time.Duration {
	s := newSim(seed, nodes, 0, defects{config: seated})
	s.delay, s.loss = 5*time.Millisecond, loss
	for i := range s.nodes {
		s.nodes[i].up = false
		s.nodes[i].restartAt = s.now + time.Second + time.Duration(s.rng.Int64N(int64(300*time.Millisecond)))
	}
	s.run(1300 * time.Millisecond)
	started := s.now
	for s.now < started+10*time.Second && !s.covered() {
		s.step()
	}
	return s.now - started
}

// Guards against a fleet that, after a power loss, waits for the expiry of grants that no VM can
// hold: each process would wait the full grant retention (0.94 s) after its start.
func TestFullRestartEndsWaitEarly(t *testing.T) {
	for seed := range uint64(20) {
		if took := restartAll(seed, 24, 0); took > seated.withDefaults().Wait/2 {
			t.Errorf("seed %d: no holders until %v after the last start, want at most half of the start-up wait", seed, took)
		}
	}
}

// Guards against a fleet after a power loss that, because of lost heartbeats, waits longer than
// the start-up wait and two more heartbeat intervals.
func TestFullRestartToleratesHeartbeatLoss(t *testing.T) {
	bound := seated.withDefaults().Wait + 2*seated.FastHeartbeats.Interval
	for seed := range uint64(20) {
		if took := restartAll(seed, 24, 0.05); took > bound {
			t.Errorf("seed %d: no holders until %v after the last start, want at most the start-up wait and two heartbeats", seed, took)
		}
	}
}

// restartBetweenHolders cuts the links of two nodes to a holder, so that they elect another
// one, and restarts each of the other nodes, which reach both holders. It returns the first
// failed check, empty for none.
func restartBetweenHolders(seed uint64, d defects) string {
	const nodes = 7
	s := newSim(seed, nodes, 0, d)
	held, _ := s.holders(0)
	if len(held) != 1 {
		return ""
	}
	holder := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == held[0] })
	others := s.rng.Perm(nodes)
	others = slices.DeleteFunc(others, func(i int) bool { return i == holder })
	s.inject(fault{Kind: "link", Node: holder, Mask: others[0], For: 10 * time.Second}, nodes)
	s.inject(fault{Kind: "link", Node: holder, Mask: others[1], For: 10 * time.Second}, nodes)
	s.run(3 * time.Second)
	for _, i := range others[2:] {
		s.start(i)
		s.run(1500 * time.Millisecond)
	}
	return s.failure
}

// Guards against a VM that restarts while two VMs hold a shard and lends the same share to both:
// to the one to which its former process lent it, and to the other one. When all heartbeats
// falsely report that their sender has claimed nothing, a check must fail. The wait of a VM that
// restarts alone can end early only where all members answer it at the fast rate.
func TestRestartBetweenHolders(t *testing.T) {
	allFast := seated
	allFast.SlowHeartbeats = seated.FastHeartbeats
	detected := 0
	for seed := range uint64(2 * defectRuns) {
		configs := []Config{seated}
		if !testing.Short() || seed%4 == 0 {
			configs = append(configs, allFast)
		}
		for _, config := range configs {
			if v := restartBetweenHolders(seed, defects{config: config}); v != "" {
				t.Errorf("seed %d, slow heartbeats every %v: %s", seed, config.SlowHeartbeats.Interval, v)
			}
		}
		if restartBetweenHolders(seed, defects{config: allFast, allUnclaimed: true}) != "" {
			detected++
		}
	}
	if detected == 0 {
		t.Errorf("a start-up wait that ends early in spite of holders broke no check in %d runs", 2*defectRuns)
	}
	t.Logf("the defect was detected in %d of %d runs", detected, 2*defectRuns)
}

// Guards against a single VM that restarts and at once grants a shard that its former process
// granted to a VM that still holds it.
func TestSingleRestartWaitsFullTime(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 8, 0, defects{config: seated})
		s.start(3)
		restarted := s.now
		a := s.nodes[3].agent
		for s.now < restarted+900*time.Millisecond {
			s.step()
			if now := s.clock(s.nodes[3], s.now); !a.Lease.Waiting(now) {
				t.Fatalf("seed %d: the wait ended %v after the start, want at least 900 ms", seed, s.now-restarted)
			}
		}
	}
}

// Guards against a start-up wait that ends early while a member may hold a grant of an earlier
// process of this VM, or while the list still grows.
func TestStartWaitNeedsAllMembers(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(listSettleTime)
	all := func() []contact.MemberStatus {
		out := make([]contact.MemberStatus, 6)
		for i := range out {
			out[i] = contact.MemberStatus{InContact: true, Unclaimed: true}
		}
		return out
	}
	newState := func() *State {
		s := New("vm-00", 1, start, seated)
		s.SetList(listOfLive(6), start)
		return s
	}
	s := newState()
	if s.Update(all(), now); s.Waiting(now) {
		t.Error("the VM still waits although all members report that they claimed nothing")
	}
	s = newState()
	statuses := all()
	statuses[4].Unclaimed = false
	if s.Update(statuses, now); !s.Waiting(now) {
		t.Error("the wait ended although a member may hold a grant")
	}
	s = newState()
	s.SetList(listOfLive(7), now)
	if s.Update(append(all(), contact.MemberStatus{InContact: true, Unclaimed: true}), now); !s.Waiting(now) {
		t.Error("the wait ended while the list still grows")
	}
}
