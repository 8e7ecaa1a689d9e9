package lease

import (
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// ownClaim is a shard that this VM claims.
type ownClaim struct {
	// since is the epoch of the first datagram that carried the claim. Grants for
	// earlier datagrams do not count: the grantor may have released them in between.
	since uint64
	// epoch is the lease epoch that View reports.
	epoch uint64
	ends  map[string]time.Time // end of the grant by grantor ID
	held  bool
}

// Epoch returns the number to record with each datagram that carries the claims. A grant is
// matched with the claim by this number.
func (s *State) Epoch() uint64 {
	return s.epoch
}

// Claims returns the shards that this VM claims and those of them for which it
// has a quorum.
func (s *State) Claims(now time.Time) (claims, held member.ShardSet) {
	if m := &s.claimMemo; !m.valid || !m.at.Equal(now) {
		m.claims, m.held = s.computeClaims(now)
		m.at, m.valid = now, true
	}
	return s.claimMemo.claims, s.claimMemo.held
}

func (s *State) computeClaims(now time.Time) (claims, held member.ShardSet) {
	for shard := range member.Shard(member.ShardCount) {
		c := s.own[shard]
		if c == nil {
			continue
		}
		claims.Add(shard)
		if c.held && s.validGrants(c, now) >= s.quorum() {
			held.Add(shard)
		}
	}
	return claims, held
}

// dynamicQuorumDivisor sets the dynamic quorum: more than 1/4 of the VMs in contact have to
// grant a shard. After an outage contacts recover faster than grants, so a larger fraction
// would end leases while the fleet recovers.
const dynamicQuorumDivisor = 4

// quorum returns the number of grants that make a lease exclusive.
func (s *State) quorum() int {
	q := s.cfg.Quorum(s.list.Len())
	if s.cfg.DynamicQuorum {
		return min(q, s.reachable/dynamicQuorumDivisor+1)
	}
	return q
}

// validGrants returns the number of grants of c that are valid at now.
func (s *State) validGrants(c *ownClaim, now time.Time) int {
	k := 0
	for _, end := range c.ends {
		if now.Before(end) {
			k++
		}
	}
	return k
}

// chooseClaims claims the shards for which this VM is the first eligible member in rank
// order, and drops the claims to all others. After a stall it claims no others than before,
// until the peers that are still there have been heard of.
func (s *State) chooseClaims(statuses []contact.MemberStatus, now time.Time) {
	mayClaim := s.listed() && !s.leaving && !s.Waiting(now) && s.list.VMs[s.self].State == member.Live
	var added bool
	for shard := range member.Shard(member.ShardCount) {
		want := mayClaim && s.firstEligible(shard, statuses, now) == s.self
		switch {
		case !want:
			s.drop(shard)
		case s.own[shard] == nil && !s.stall.recovering(now):
			added = true
			s.own[shard] = &ownClaim{since: s.epoch + 1, epoch: s.epoch + 1, ends: map[string]time.Time{}}
		}
	}
	if !added {
		return
	}
	s.claimMemo.valid = false
	s.epoch++
	if s.claimedAt.IsZero() {
		s.claimedAt = now
	}
}

// firstEligible returns the index of the first eligible member in rank order, -1 for none.
func (s *State) firstEligible(shard member.Shard, statuses []contact.MemberStatus, now time.Time) int {
	for _, i := range s.order[shard] {
		index := int(i)
		if statuses[index].Eligible && (index == s.self || !s.presumedLost(shard, index, now)) {
			return index
		}
	}
	return -1
}

func (s *State) drop(shard member.Shard) {
	if s.own[shard] == nil {
		return
	}
	s.own[shard] = nil
	s.claimMemo.valid = false
	s.dirty.Add(shard)
}

func (s *State) dropAll() {
	for shard := range member.Shard(member.ShardCount) {
		s.drop(shard)
	}
	if s.listed() {
		cl := s.claimants[s.self]
		cl.Claims = member.ShardSet{}
		s.updateClaiming()
		s.release(cl)
	}
}

// receiveOwnClaims applies the VM's claims to its own grant table. It returns the members
// that got a new grant.
func (s *State) receiveOwnClaims(now time.Time) []string {
	claims, held := s.Claims(now)
	return s.ReceiveClaim(Claim{ID: s.id, Instance: s.instance, Claims: claims, Held: held}, true, now)
}

// ReceiveGrants records the grants of a member. A grant is valid for Config.Term from when
// the claim was sent, and only while the claim has been kept up since.
func (s *State) ReceiveGrants(g Grant, now time.Time) {
	if _, ok := s.index[g.ID]; !ok {
		return
	}
	s.claimMemo.valid = false
	end := g.SentAt.Add(s.cfg.Term)
	if !now.Before(end) {
		return
	}
	for shard := range g.Shards.All {
		c := s.own[shard]
		if c == nil || g.Epoch < c.since || !end.After(c.ends[g.ID]) {
			continue
		}
		s.recordLapse(c, now)
		c.ends[g.ID] = end
		s.recordQuorum(c, now)
		s.dirty.Add(shard)
	}
}

// recordLapse marks the lease as not held when its quorum ended before now, and starts a
// new epoch when all its grants did, because another VM may have been the holder since.
func (s *State) recordLapse(c *ownClaim, now time.Time) {
	k := s.validGrants(c, now)
	if c.held && k < s.quorum() {
		c.held = false
	}
	if k == 0 && len(c.ends) > 0 {
		clear(c.ends)
		s.epoch++
		c.epoch = s.epoch
	}
}

// recordQuorum marks the lease as held and starts a new epoch when it reaches a quorum.
func (s *State) recordQuorum(c *ownClaim, now time.Time) {
	if !c.held && s.validGrants(c, now) >= s.quorum() {
		c.held = true
		s.epoch++
		c.epoch = s.epoch
	}
}

// dropRemovedGrants deletes the grants of VMs that are no longer on the list.
func (s *State) dropRemovedGrants() {
	for _, c := range s.own {
		if c == nil {
			continue
		}
		for id := range c.ends {
			if _, ok := s.index[id]; !ok {
				delete(c.ends, id)
			}
		}
	}
	s.markOwnDirty()
}

// markOwnDirty marks the views of all own claims as changed.
func (s *State) markOwnDirty() {
	for shard, c := range s.own {
		if c != nil {
			s.dirty.Add(member.Shard(shard))
		}
	}
}

// TakeDirty returns the shards whose View changed since the last call.
func (s *State) TakeDirty() member.ShardSet {
	d := s.dirty
	s.dirty = member.ShardSet{}
	return d
}

// View returns an immutable view of this VM's lease on the shard, nil when it does not claim
// the shard.
func (s *State) View(shard member.Shard, now time.Time) *View {
	c := s.own[shard]
	if c == nil {
		return nil
	}
	v := &View{quorum: s.quorum(), memberCount: s.memberCount(), fleetSize: s.fleetSize(), epoch: c.epoch}
	for _, end := range c.ends {
		if now.Before(end) {
			v.ends = append(v.ends, end)
		}
	}
	slices.SortFunc(v.ends, func(a, b time.Time) int { return b.Compare(a) })
	return v
}
