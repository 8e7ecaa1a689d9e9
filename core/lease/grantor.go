package lease

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// grant records to whom this VM granted a shard, and until when it must not grant the
// shard to another instance.
type grant struct {
	holder   string
	instance uint64
	until    time.Time
}

// claimant is the newest claim of one member and its grants at this VM.
type claimant struct {
	Claim
	// granted holds the shards that this VM granted for the newest claim.
	granted member.ShardSet
	// holding holds the shards whose grant record names the instance.
	holding   member.ShardSet
	inContact bool
}

// ReceiveClaim processes the newest claim of a member. Claims must be passed in the order in
// which they were sent. A member out of contact gets no grants, because no heartbeat of
// this VM would reach it. ReceiveClaim returns the members, other than this VM, that got
// a new grant and should be notified at once.
func (s *State) ReceiveClaim(c Claim, inContact bool, now time.Time) []string {
	index, ok := s.index[c.ID]
	if !ok {
		return nil
	}
	cl := s.claimants[index]
	if cl.Instance != c.Instance {
		cl.granted = member.ShardSet{}
		cl.holding = member.ShardSet{}
	}
	claimed := cl.Claims.Len() > 0
	cl.Claim = c
	cl.inContact = inContact
	if claimed != (c.Claims.Len() > 0) {
		s.updateClaiming()
	}
	freed := s.release(cl)
	before := cl.granted
	cl.granted = member.ShardSet{}
	newGrants := make([]bool, len(s.claimants))
	for shard := range c.Claims.All {
		s.tryGrant(shard, index, now)
	}
	newGrants[index] = cl.granted.Minus(before).Len() > 0
	for shard := range freed.All {
		s.grantFree(shard, now, newGrants)
	}
	return s.newGrantIDs(newGrants)
}

// claims reports whether the newest heartbeat of a member claims shards.
func (s *State) claims(id string) bool {
	index, ok := s.index[id]
	return ok && s.claimants[index].Claims.Len() > 0
}

// release deletes the grants of the instance for shards that it no longer claims, and
// returns these shards.
func (s *State) release(cl *claimant) member.ShardSet {
	freed := cl.holding.Minus(cl.Claims)
	for shard := range freed.All {
		s.grants[shard] = grant{}
	}
	cl.holding = cl.holding.Intersect(cl.Claims)
	return freed
}

// grantFree grants a free shard to one of the members that claim it, and sets its entry in
// newGrants.
func (s *State) grantFree(shard member.Shard, now time.Time, newGrants []bool) {
	for _, index := range s.claiming {
		cl := s.claimants[index]
		if !cl.Claims.Has(shard) {
			continue
		}
		had := cl.granted.Has(shard)
		s.tryGrant(shard, index, now)
		if !had && cl.granted.Has(shard) {
			newGrants[index] = true
		}
	}
}

// tryGrant grants a shard to a member that claims it, renews its grant, or refuses.
func (s *State) tryGrant(shard member.Shard, index int, now time.Time) {
	cl := s.claimants[index]
	cl.granted.Remove(shard)
	if now.Before(s.waitUntil) || !cl.inContact || !s.listed() {
		return
	}
	g := &s.grants[shard]
	free := !now.Before(g.until)
	renewal := g.holder == cl.ID && g.instance == cl.Instance
	if !free && !renewal {
		return
	}
	if s.outranked(shard, index) {
		return
	}
	if former, ok := s.index[g.holder]; ok {
		s.claimants[former].granted.Remove(shard)
		s.claimants[former].holding.Remove(shard)
	}
	cl.granted.Add(shard)
	cl.holding.Add(shard)
	*g = grant{holder: cl.ID, instance: cl.Instance, until: now.Add(s.cfg.GrantRetention)}
}

// outranked reports whether another member in contact that claims the shard has precedence
// over the given one: a member with a quorum first, then the one with the better rank.
// Granting only to the first in this order resolves split votes.
func (s *State) outranked(shard member.Shard, index int) bool {
	if s.claimants[index].Held.Has(shard) {
		return false
	}
	for _, other := range s.claiming {
		cl := s.claimants[other]
		if other == index || !cl.inContact || !cl.Claims.Has(shard) {
			continue
		}
		if cl.Held.Has(shard) || s.position[shard][other] < s.position[shard][index] {
			return true
		}
	}
	return false
}

// GrantsTo returns the shards granted to the member for its newest claim, an empty set when
// the claim is of another instance than the one whose low 32 bits are given.
func (s *State) GrantsTo(id string, instance uint32, now time.Time) member.ShardSet {
	index, ok := s.index[id]
	if !ok || uint32(s.claimants[index].Instance) != instance {
		return member.ShardSet{}
	}
	cl := s.claimants[index]
	out := cl.granted
	for shard := range cl.granted.All {
		g := s.grants[shard]
		if g.holder != id || g.instance != cl.Instance || !now.Before(g.until) {
			out.Remove(shard)
		}
	}
	return out
}

// Claimant returns the member in contact that most likely holds the shard: a claimant with a
// quorum first, then the one to which this VM granted the shard, then the one with the
// best rank. ok is false when no member in contact claims the shard.
func (s *State) Claimant(shard member.Shard, now time.Time) (id string, ok bool) {
	best, bestScore := -1, 0
	for _, index := range s.claiming {
		cl := s.claimants[index]
		if !cl.inContact || !cl.Claims.Has(shard) {
			continue
		}
		score := 1 + s.list.Len() - int(s.position[shard][index])
		if g := s.grants[shard]; g.holder == cl.ID && g.instance == cl.Instance && now.Before(g.until) {
			score += s.list.Len() + 1
		}
		if cl.Held.Has(shard) {
			score += 2 * (s.list.Len() + 1)
		}
		if score > bestScore {
			best, bestScore = index, score
		}
	}
	if best < 0 {
		return "", false
	}
	return s.list.VMs[best].ID, true
}

// newGrantIDs returns the IDs of the members with a true entry, other than this VM.
func (s *State) newGrantIDs(newGrants []bool) []string {
	var ids []string
	for index, isNew := range newGrants {
		if isNew && index != s.self {
			ids = append(ids, s.list.VMs[index].ID)
		}
	}
	return ids
}
