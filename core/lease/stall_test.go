package lease

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// stallOnce pauses a node for some time and makes it tick before it reads the heartbeats that
// arrived meanwhile. It returns the shards that the node claims and did not claim before, and
// those for which it is an exclusive holder beside another one.
func stallOnce(seed uint64, node int, d time.Duration) (claimed, shared member.ShardSet) {
	s := newSim(seed, 6, 0, defects{config: seated})
	n := s.nodes[node]
	before, _ := n.agent.Lease.Claims(s.clock(n, s.now))
	n.pausedUntil = s.now + d
	s.run(d)
	s.tick(node)
	after, _ := n.agent.Lease.Claims(s.clock(n, s.now))
	for shard := range member.Shard(member.ShardCount) {
		hold, ok := n.views[shard].At(s.clock(n, s.now))
		if holders, _ := s.holders(shard); ok && hold.Exclusive && len(holders) > 1 {
			shared.Add(shard)
		}
	}
	return after.Minus(before), shared
}

// Guards against a VM that was paused and takes over the shards of its peers because it checks
// its contacts before it reads the heartbeats that arrived meanwhile.
func TestPausedVMTakesNothingOver(t *testing.T) {
	for seed := range uint64(3) {
		for node := range 6 {
			for _, d := range []time.Duration{900 * time.Millisecond, 4 * time.Second} {
				claimed, shared := stallOnce(seed, node, d)
				if claimed.Len()+shared.Len() > 0 {
					t.Errorf("seed %d, VM %d paused for %v: got %d new claims and %d shards with a second holder, want none", seed, node, d, claimed.Len(), shared.Len())
				}
			}
		}
	}
}

// Guards against a paused VM that never takes over: the only one that is left has to claim all
// shards within the contact timeout and the grant retention.
func TestPausedVMTakesOverWhenOthersAreGone(t *testing.T) {
	s := newSim(1, 6, 0, defects{config: seated})
	for _, n := range s.nodes[1:] {
		n.up = false
	}
	s.nodes[0].pausedUntil = s.now + 12*time.Second
	s.run(12 * time.Second)
	s.tick(0)
	c := seated.withDefaults()
	s.run(c.FastHeartbeats.Timeout + c.GrantRetention + c.FastHeartbeats.Interval)
	if !s.covered() {
		t.Error("a shard has no holder")
	}
}
