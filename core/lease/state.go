package lease

import (
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// adoptedList is a list and when it took effect.
type adoptedList struct {
	list *member.List
	at   time.Time
}

// State is the lease state of one VM: its grant table, the claims of the members, and its
// own claims.
type State struct {
	cfg            Config
	id             string
	instance       uint64
	list           *member.List
	self           int // index in list; -1 when not listed
	index          map[string]int
	order          [member.ShardCount][]uint16 // member indexes by rank
	position       [member.ShardCount][]uint16 // rank by member index
	candidates     []bool                      // by member index: among the next to hold a seat
	claiming       []int                       // member indexes with claims, ascending
	vacancies      [member.ShardCount]vacancy  // by seat
	recentLists    []adoptedList
	removedAt      map[string]time.Time
	startedAt      time.Time
	waitUntil      time.Time
	listSettledAt  time.Time // when the list of a newly started process is assumed to be complete
	starting       bool      // true until the start-up wait is over
	waitEndedEarly time.Time // when the start-up wait ended early; zero if it did not
	claimedAt      time.Time // first claim of this process; zero for none
	leaving        bool
	grants         [member.ShardCount]grant
	claimants      []*claimant
	own            [member.ShardCount]*ownClaim
	epoch          uint64
	reachable      int // VMs in contact, this one included
	stall          stall
	dirty          member.ShardSet
	seats          int // of the list; 0: the VMs are ranked for each shard separately
	claimMemo      claimMemo
}

// New returns the lease state of a process that is started at now.
func New(id string, instance uint64, now time.Time, cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:       cfg,
		id:        id,
		instance:  instance,
		self:      -1,
		removedAt: map[string]time.Time{},
		startedAt: now,
		waitUntil: now.Add(cfg.Wait),
		starting:  true,
	}
}

// SetList replaces the member list of the cell. When quorums of the new list and of a list
// that was in effect within the last 10 s might not intersect, the VM drops its leases and
// waits before it claims or grants. Dynamic quorums need not intersect: a holder on any
// list gives out only the shares of rates that its grantors lent it.
func (s *State) SetList(l *member.List, now time.Time) {
	s.extendWaitOnGrowth(l, now)
	if !s.cfg.DynamicQuorum && s.differsTooMuch(l, now) {
		s.starting = false
		s.waitUntil = now.Add(s.cfg.Wait)
		s.dropAll()
	}
	s.recordRemoved(l, now)
	former := s.claimants
	formerIndex := s.index
	s.list = l
	s.self = -1
	s.index = make(map[string]int, l.Len())
	s.claimants = make([]*claimant, l.Len())
	for i, vm := range l.VMs {
		s.index[vm.ID] = i
		s.claimants[i] = &claimant{Claim: Claim{ID: vm.ID}}
		if j, ok := formerIndex[vm.ID]; ok {
			s.claimants[i] = former[j]
		}
		if vm.ID == s.id {
			s.self = i
		}
	}
	s.rank()
	s.updateClaiming()
	s.claimMemo.valid = false
	s.dropRemovedGrants()
	if !s.listed() {
		s.dropAll()
	}
}

// listSettleTime is how long the list of a newly started process must not grow before the VM
// claims or grants: VMs that are started at the same time discover each other one by one.
const listSettleTime = 250 * time.Millisecond

// extendWaitOnGrowth makes a newly started process wait for listSettleTime after each growth
// of its list.
func (s *State) extendWaitOnGrowth(l *member.List, now time.Time) {
	newlyStarted := now.Sub(s.startedAt) < 2*s.cfg.Wait
	if !s.cfg.DynamicQuorum || !newlyStarted || l.Len() <= s.list.Len() {
		return
	}
	s.listSettledAt = now.Add(listSettleTime)
	if s.waitUntil.Before(s.listSettledAt) {
		s.waitUntil = s.listSettledAt
	}
}

// endStartWait ends the start-up wait early when no member of a settled list can hold a grant
// of an earlier process of this VM. With the full wait, requests would wait needlessly after
// a power loss of the whole fleet, when no VM holds a shard. The early end requires a dynamic
// quorum: with a published list, a VM that was removed from the list may still hold such a
// grant, so two leases could be exclusive at once. A dynamic quorum guarantees only that
// shares of rates are not lent twice.
func (s *State) endStartWait(statuses []contact.MemberStatus, now time.Time) {
	if !s.Waiting(now) {
		s.starting = false
	}
	if !s.cfg.DynamicQuorum || !s.starting || now.Before(s.listSettledAt) || !s.listed() || s.list.Len() < 2 {
		return
	}
	for _, status := range statuses {
		if !status.Unclaimed {
			return
		}
	}
	s.starting, s.waitEndedEarly = false, now
	s.waitUntil = now
}

// unclaimedBefore reports whether this process had claimed no shard before the given time.
func (s *State) unclaimedBefore(at time.Time) bool {
	return s.claimedAt.IsZero() || !s.claimedAt.Before(at)
}

// differsTooMuch reports whether quorums of l and of a list that was in effect recently might
// not intersect. It records l as the list in effect.
func (s *State) differsTooMuch(l *member.List, now time.Time) bool {
	kept := s.recentLists[:0]
	tooMuch := false
	for i, a := range s.recentLists {
		inEffect := i == len(s.recentLists)-1 || now.Sub(s.recentLists[i+1].at) <= removedRetention
		if !inEffect {
			continue
		}
		kept = append(kept, a)
		quorums := s.cfg.Quorum(a.list.Len()) + s.cfg.Quorum(l.Len())
		if quorums <= member.UnionLen(a.list, l) {
			tooMuch = true
		}
	}
	s.recentLists = append(kept, adoptedList{l, now})
	return tooMuch
}

// recordRemoved records when the VMs that are missing from the new list l were removed.
func (s *State) recordRemoved(l *member.List, now time.Time) {
	for i := 0; i < s.list.Len(); i++ {
		s.removedAt[s.list.VMs[i].ID] = now
	}
	for i := 0; i < l.Len(); i++ {
		delete(s.removedAt, l.VMs[i].ID)
	}
}

// rank computes the rank order of the members for each shard. The shards of a seat share it.
func (s *State) rank() {
	s.seats = 0
	if s.cfg.Seats > 0 {
		s.seats = min(member.Seats(s.list.Len(), s.cfg.Seats), s.cfg.MaxSeats)
		if n := len(s.cfg.SeatDomains); n > 0 {
			s.seats = min(member.SeatsByDomain(s.seats, n), member.ShardCount)
		}
	}
	seats := member.RankSeats(s.list, s.seats, s.cfg.SeatDomains...)
	for shard := range member.Shard(member.ShardCount) {
		switch {
		case s.seats == 0:
			s.order[shard], s.position[shard] = s.indexes(member.Rank(s.list, member.ShardKey(shard)))
		case int(shard) < s.seats:
			s.order[shard], s.position[shard] = s.indexes(seats[shard])
		default:
			first := int(shard) % s.seats
			s.order[shard], s.position[shard] = s.order[first], s.position[first]
		}
	}
	s.rankCandidates()
}

// indexes returns the member indexes of ids in the same order, and the rank by member index.
func (s *State) indexes(ids []string) (order, position []uint16) {
	order = make([]uint16, len(ids))
	position = make([]uint16, len(ids))
	for rank, id := range ids {
		order[rank] = uint16(s.index[id])
		position[s.index[id]] = uint16(rank)
	}
	return order, position
}

// expireRemoved stops counting VMs that were removed more than removedRetention ago.
func (s *State) expireRemoved(now time.Time) {
	for id, at := range s.removedAt {
		if now.Sub(at) > removedRetention {
			delete(s.removedAt, id)
			s.markOwnDirty()
		}
	}
}

// memberCount returns the number of VMs that may grant a shard of the cell, those removed
// recently and those unreached included.
func (s *State) memberCount() int {
	return s.list.LenWithUnreached() + len(s.removedAt)
}

// fleetSize returns the number of VMs among which rates are divided.
func (s *State) fleetSize() int {
	return s.list.FleetLen() + len(s.removedAt)
}

// listed reports whether this VM is on its own list.
func (s *State) listed() bool {
	return s.self >= 0
}

// Leave gives up all claims permanently. The VM continues to grant shards to others.
func (s *State) Leave() {
	s.leaving = true
	s.dropAll()
}

// ResetAfterSuspension gives up all claims of a VM that was suspended: while its clock stood
// still, its grants expired at the grantors. The VM claims and grants again after
// Config.Wait.
func (s *State) ResetAfterSuspension(now time.Time) {
	s.dropAll()
	s.starting = false
	s.waitUntil = now.Add(s.cfg.Wait)
}

// Waiting reports whether the VM is in a wait, or has no list yet, and so neither claims nor
// grants shards at now.
func (s *State) Waiting(now time.Time) bool {
	return now.Before(s.waitUntil) || s.list == nil
}

// Update recomputes the VM's own claims and grants shards whose earlier grant has expired.
// The statuses are those of the members in list order. Update returns the members that
// got a new grant and should be notified at once.
func (s *State) Update(statuses []contact.MemberStatus, now time.Time) []string {
	if s.list == nil {
		return nil
	}
	inContact := 0
	for i, cl := range s.claimants {
		cl.inContact = statuses[i].InContact
		if cl.inContact {
			inContact++
		}
	}
	s.reachable = s.stall.update(s.reachable, inContact, s.cfg.FastHeartbeats.Timeout, now)
	s.endStartWait(statuses, now)
	s.updateVacancies(now)
	s.claimMemo.valid = false
	s.chooseClaims(statuses, now)
	s.expireRemoved(now)
	newGrants := make([]bool, len(s.claimants))
	ids := s.receiveOwnClaims(now)
	for shard := range member.Shard(member.ShardCount) {
		if !now.Before(s.grants[shard].until) {
			s.grantFree(shard, now, newGrants)
		}
	}
	if s.listed() {
		s.ReceiveGrants(Grant{ID: s.id, Shards: s.GrantsTo(s.id, uint32(s.instance), now), SentAt: now, Epoch: s.epoch}, now)
	}
	return append(ids, s.newGrantIDs(newGrants)...)
}
