package lease

import (
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// adopted is a list and when it came into force.
type adopted struct {
	list *member.List
	at   time.Time
}

// State is the lease state of one VM: its grant memory, the claims of the
// members, and its own claims.
type State struct {
	cfg       Config
	id        string
	instance  uint64
	list      *member.List
	self      int // index in list; -1 when not listed
	index     map[string]int
	order     [member.ShardCount][]uint16 // member indexes by rank
	position  [member.ShardCount][]uint16 // rank by member index
	recent    []adopted
	removed   map[string]time.Time
	started   time.Time
	waitUntil time.Time
	settled   time.Time // when the list of a young process counts as complete
	newborn   bool      // until the wait after the start is over
	together  time.Time // when the wait ended early with those of all members; zero for not
	claimedAt time.Time // first claim of this process; zero for none
	leaving   bool
	grants    [member.ShardCount]grant
	claimants []*claimant
	own       [member.ShardCount]*ownClaim
	epoch     uint64
	reachable int // VMs in contact, this one included
	dirty     member.ShardSet
	seats     int // of the list; 0 ranks the VMs for each shard apart
}

// New returns the state of a process that starts now.
func New(id string, instance uint64, now time.Time, cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:       cfg,
		id:        id,
		instance:  instance,
		self:      -1,
		removed:   map[string]time.Time{},
		started:   now,
		waitUntil: now.Add(cfg.Wait),
		newborn:   true,
	}
}

// SetList adopts the members of the cell. When quorums of the new list and of
// a list that was in force within the last 10 s might not intersect, the VM
// drops its leases and waits before it claims or grants. Elastic quorums need not
// intersect: holders on any lists give out only the shares that were lent to them.
func (s *State) SetList(l *member.List, now time.Time) {
	s.awaitGrowth(l, now)
	if !s.cfg.Elastic && s.differsTooMuch(l, now) {
		s.newborn = false
		s.waitUntil = now.Add(s.cfg.Wait)
		s.dropAll()
	}
	s.noteRemoved(l, now)
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
	s.retainGrants()
	if !s.listed() {
		s.dropAll()
	}
}

// settleTime is how long a list that grew has to stay the same before the VM
// claims or grants, while its process is young: VMs that start together find each
// other one after the other.
const settleTime = 250 * time.Millisecond

func (s *State) awaitGrowth(l *member.List, now time.Time) {
	young := now.Sub(s.started) < 2*s.cfg.Wait
	if !s.cfg.Elastic || !young || l.Len() <= s.list.Len() {
		return
	}
	s.settled = now.Add(settleTime)
	if s.waitUntil.Before(s.settled) {
		s.waitUntil = s.settled
	}
}

// endStartWait ends the wait after the start early when no member of a settled list
// can hold a grant of an earlier process of this VM. It answers the return of a whole
// fleet after a loss of power: nobody holds a shard then, and requests wait for one.
// With a published list a VM that left it may still hold such a grant, which would end
// the exclusiveness of leases; elastic quorums promise shares only.
func (s *State) endStartWait(standings []contact.Standing, now time.Time) {
	if !s.Waiting(now) {
		s.newborn = false
	}
	if !s.cfg.Elastic || !s.newborn || now.Before(s.settled) || !s.listed() || s.list.Len() < 2 {
		return
	}
	for _, standing := range standings {
		if !standing.Unclaimed {
			return
		}
	}
	s.newborn, s.together = false, now
	s.waitUntil = now
}

// unclaimedBefore tells whether this process had claimed no shard at the given time.
func (s *State) unclaimedBefore(at time.Time) bool {
	return s.claimedAt.IsZero() || !s.claimedAt.Before(at)
}

func (s *State) differsTooMuch(l *member.List, now time.Time) bool {
	kept := s.recent[:0]
	tooMuch := false
	for i, a := range s.recent {
		inForce := i == len(s.recent)-1 || now.Sub(s.recent[i+1].at) <= removedFor
		if !inForce {
			continue
		}
		kept = append(kept, a)
		quorums := s.cfg.Quorum(a.list.Len()) + s.cfg.Quorum(l.Len())
		if quorums <= member.UnionLen(a.list, l) {
			tooMuch = true
		}
	}
	s.recent = append(kept, adopted{l, now})
	return tooMuch
}

func (s *State) noteRemoved(l *member.List, now time.Time) {
	for i := 0; i < s.list.Len(); i++ {
		s.removed[s.list.VMs[i].ID] = now
	}
	for i := 0; i < l.Len(); i++ {
		delete(s.removed, l.VMs[i].ID)
	}
}

func (s *State) rank() {
	s.seats = 0
	if s.cfg.Seats > 0 {
		s.seats = member.Seats(s.list.Len(), s.cfg.Seats)
	}
	seats := member.RankSeats(s.list, s.seats)
	for shard := range member.Shard(member.ShardCount) {
		var ids []string
		if s.seats > 0 {
			ids = seats[int(shard)%s.seats]
		} else {
			ids = member.Rank(s.list, member.ShardKey(shard))
		}
		s.order[shard] = make([]uint16, len(ids))
		s.position[shard] = make([]uint16, len(ids))
		for rank, id := range ids {
			s.order[shard][rank] = uint16(s.index[id])
			s.position[shard][s.index[id]] = uint16(rank)
		}
	}
}

// candidates is the number of VMs that are next to hold a seat and stay near.
const candidates = 3

// mayHold tells whether a VM claims shards or is among the next to hold them.
func (s *State) mayHold(id string) bool {
	index, ok := s.index[id]
	if !ok {
		return false
	}
	if s.claimants[index].Claims.Len() > 0 || s.seats == 0 {
		return true
	}
	for seat := range s.seats {
		if int(s.position[seat][index]) < candidates {
			return true
		}
	}
	return false
}

// refreshMembers stops counting VMs that left the list long enough ago.
func (s *State) refreshMembers(now time.Time) {
	for id, at := range s.removed {
		if now.Sub(at) > removedFor {
			delete(s.removed, id)
			s.touchOwn()
		}
	}
}

// members returns the number of VMs that may lend a shard of the cell.
func (s *State) members() int {
	return s.list.Len() + len(s.removed)
}

// fleet returns the number of VMs among which rates are divided.
func (s *State) fleet() int {
	return s.list.FleetLen() + len(s.removed)
}

func (s *State) listed() bool {
	return s.self >= 0
}

// Leave gives up all claims for good. Grants to others continue.
func (s *State) Leave() {
	s.leaving = true
	s.dropAll()
}

// Suspended gives up all claims of a VM whose clock stood still: its peers count
// their grants as over. It claims again after one grant memory.
func (s *State) Suspended(now time.Time) {
	s.dropAll()
	s.newborn = false
	s.waitUntil = now.Add(s.cfg.Wait)
}

// Waiting tells whether the VM neither claims nor grants at now.
func (s *State) Waiting(now time.Time) bool {
	return now.Before(s.waitUntil) || s.list == nil
}

// Update recomputes the VM's own claims and settles shards whose grant has
// expired. Standings are those of the members in list order. It returns the
// members that got a new grant and should be told at once.
func (s *State) Update(standings []contact.Standing, now time.Time) []string {
	if s.list == nil {
		return nil
	}
	s.reachable = 0
	for i, cl := range s.claimants {
		cl.inContact = standings[i].InContact
		if cl.inContact {
			s.reachable++
		}
	}
	s.endStartWait(standings, now)
	s.chooseClaims(standings, now)
	s.refreshMembers(now)
	fresh := make([]bool, len(s.claimants))
	told := s.receiveOwn(now)
	for shard := range member.Shard(member.ShardCount) {
		if !now.Before(s.grants[shard].until) {
			s.settle(shard, now, fresh)
		}
	}
	if s.listed() {
		s.Granted(Grant{ID: s.id, Shards: s.GrantsTo(s.id, uint32(s.instance), now), SentAt: now, Epoch: s.epoch}, now)
	}
	return append(told, s.freshIDs(fresh)...)
}
