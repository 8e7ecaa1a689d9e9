package target

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Exclusion is the reason why a target may not get a request now.
type Exclusion uint8

// The reasons why a target may not get a request.
const (
	// NotExcluded: the target may get the request.
	NotExcluded Exclusion = iota
	// ExcludedDraining: the target is draining.
	ExcludedDraining
	// ExcludedDomainOut: the failure domain of the target is out of service.
	ExcludedDomainOut
	// ExcludedAvoided: the request must not be sent to the target.
	ExcludedAvoided
	// ExcludedTakeover: the holder has not completed the takeover of the group.
	ExcludedTakeover
	// ExcludedUnreported: the target may run requests with permits of an earlier holder.
	ExcludedUnreported
	// ExcludedEjected: the target is ejected as an outlier.
	ExcludedEjected
	// ExcludedFull: no slot of the target is free.
	ExcludedFull
	// ExcludedRate: the target is cold, or may be, and had as many requests within the last
	// second as a cold one bears.
	ExcludedRate
	// ExcludedGray: the target is probably gray, and others are not.
	ExcludedGray
	// ExcludedPath: the entry VM does not reach the target while other VMs do.
	ExcludedPath

	exclusionCount
)

var exclusionNames = [exclusionCount]string{
	NotExcluded:        "",
	ExcludedDraining:   "draining",
	ExcludedDomainOut:  "domain_out",
	ExcludedAvoided:    "avoided",
	ExcludedTakeover:   "takeover",
	ExcludedUnreported: "unreported_permits",
	ExcludedEjected:    "ejected",
	ExcludedFull:       "full",
	ExcludedRate:       "rate_of_cold_target",
	ExcludedGray:       "gray",
	ExcludedPath:       "path",
}

// String returns the stable identifier of e; empty for NotExcluded.
func (e Exclusion) String() string {
	if e >= exclusionCount {
		return "unknown"
	}
	return exclusionNames[e]
}

// TargetChoice is the state of one target in the choice for a request.
type TargetChoice struct {
	// Target is the ID of the target, FailureDomain its failure domain.
	Target, FailureDomain string
	// Excluded says why the target may not get the request now.
	Excluded Exclusion
	// Busy is the number of slots in use, Limit the number that may be in use now, and Slots
	// that of the document.
	Busy, Limit, Slots int
	// Cold is true when the target is in cold start.
	Cold bool
	// Gray is the probability that the target, or the path to it from the entry VM, is gray.
	// It is 0 where targets are ranked by load.
	Gray float64
	// Outlier is true when the target ranks behind all others as an outlier.
	Outlier bool
	// Required is true when the floor of the service requires that the target gets the
	// request.
	Required bool
	// Cost is what the choice minimises: the expected loss in units of one lost request, or
	// the share of slots in use. It is 0 for a target that is excluded.
	Cost float64
}

// ExplainChoice returns all targets of the group for a request that arrives now: first those
// that may get it, the one that Acquire would choose first, then the excluded ones. It does
// not change the state of the holder.
func (h *Holder) ExplainChoice(a AcquireRequest, now time.Time) []TargetChoice {
	h = h.copyForQuery()
	var all []explained
	if h.placesByHealth() {
		all = h.explainByHealth(a, now)
	} else {
		all = h.explainSpread(a, now)
	}
	slices.SortStableFunc(all, compareExplained)
	choices := make([]TargetChoice, len(all))
	for i, e := range all {
		choices[i] = e.TargetChoice
	}
	return choices
}

// copyForQuery returns a copy of the holder whose methods may be called without a change of
// the holder: counters, targets and cached results are copied. Maps are shared, because
// methods that report state do not write to them. Histograms of answer times are shared too:
// reading one at most completes sums that depend on its counts alone.
func (h *Holder) copyForQuery() *Holder {
	c := *h
	c.targets = make([]*state, len(h.targets))
	for i, s := range h.targets {
		copied := *s
		c.targets[i] = &copied
	}
	return &c
}

// ForQuery returns a copy of the holder with which a query may try out decisions without a
// change of the holder. The copy emits no events and must not be used after the holder has
// changed.
func (h *Holder) ForQuery() *Holder {
	c := h.copyForQuery()
	c.emit = func(Event) {}
	c.lastSeen = maps.Clone(h.lastSeen)
	return c
}

// explained is a choice with the state that orders it.
type explained struct {
	TargetChoice
	state *state
	// byCostOnly is true where targets of equal cost keep their order.
	byCostOnly bool
}

// compareExplained orders targets as the choice does, and excluded ones last.
func compareExplained(a, b explained) int {
	if a.Excluded != NotExcluded || b.Excluded != NotExcluded {
		return cmp.Compare(min(a.Excluded, 1), min(b.Excluded, 1))
	}
	if a.byCostOnly {
		return cmp.Compare(a.Cost, b.Cost)
	}
	switch {
	case cheaper(a.state, a.Cost, b.state, b.Cost):
		return -1
	case cheaper(b.state, b.Cost, a.state, a.Cost):
		return 1
	}
	return 0
}

// explainSpread returns the targets of a group where they are ranked by load.
func (h *Holder) explainSpread(a AcquireRequest, now time.Time) []explained {
	all := make([]explained, 0, len(h.targets))
	for _, s := range h.targets {
		e := explained{state: s, TargetChoice: newTargetChoice(s)}
		e.Busy, e.Limit, e.Cold = s.inUse, h.limit(s), s.ramp.cold
		e.Outlier = s.score.value >= outlierScore
		e.Excluded = h.excludedFromSpread(s, a, now)
		if e.Excluded == NotExcluded {
			e.Cost = h.cost(s)
		}
		all = append(all, e)
	}
	return all
}

// explainByHealth returns the targets of a group where they are ranked by health estimates.
func (h *Holder) explainByHealth(a AcquireRequest, now time.Time) []explained {
	candidates := h.candidates(a, now)
	hasHealthy := slices.ContainsFunc(candidates, candidate.isHealthy)
	sheds := h.shedTotals(now)
	all := make([]explained, 0, len(h.targets))
	for _, s := range h.targets {
		e := explained{state: s, TargetChoice: newTargetChoice(s), byCostOnly: true}
		e.Busy, e.Limit, e.Cold = h.busySlots(s, now), h.slotLimit(s, now), now.Before(s.health.coldUntil)
		i := slices.IndexFunc(candidates, func(c candidate) bool { return c.state == s })
		if i < 0 {
			e.Gray = h.grayProbability(s, a.Caller.VM, now)
			e.Excluded = ExcludedAvoided
			if !s.open {
				e.Excluded = h.closedBy(s)
			}
		} else {
			c := candidates[i]
			e.Gray, e.Required = c.gray, c.required
			if e.Excluded = h.excludedByHealth(c, a, hasHealthy, now); e.Excluded == NotExcluded {
				e.Cost = h.healthCost(c, a, sheds, now)
			}
		}
		all = append(all, e)
	}
	return all
}

func newTargetChoice(s *state) TargetChoice {
	return TargetChoice{Target: s.doc.ID, FailureDomain: s.doc.FailureDomain, Slots: s.doc.Slots}
}

// GroupRank is the place of one group in the choice among the groups of a service.
type GroupRank struct {
	// Group is the index of the group in the argument.
	Group int
	// Last is true for a group that ranks last whatever its load, because its holder is
	// unreachable. Then Free, Queued and Room have no meaning.
	Last bool
	// Free and Queued are the expected free slots and waiting requests.
	Free, Queued float64
	// Room is the expected share of free slots, less the waiting requests and the penalty of
	// another failure domain.
	Room float64
	// FreeSlot is true when the group is expected to have a free slot.
	FreeSlot bool
}

// GroupRanking is the order of the groups of a service by what a request prefers.
type GroupRanking struct {
	// Ranks lists all groups, the preferred one first.
	Ranks []GroupRank
	// Drawn is true when a request does not ask the groups in this order, but first the
	// preferred one of two that it draws at random.
	Drawn bool
}

// RankEstimated returns the ranking with which OrderGroups orders the groups.
func RankEstimated(loads []EstimatedLoad, turnover time.Duration) GroupRanking {
	rooms := ExpectedRooms(loads, turnover)
	order := indices(len(loads))
	sortByRoom(order, rooms)
	r := GroupRanking{Drawn: len(loads) > 2 && !hasRemote(loads)}
	for _, g := range order {
		rank := GroupRank{Group: g, Last: math.IsInf(rooms[g], -1)}
		if !rank.Last {
			slots := expectedSlots(loads[g], rooms[g])
			rank.Free, rank.Queued, rank.Room = max(0, slots), max(0, -slots), rooms[g]
			rank.FreeSlot = expectsFreeSlot(loads[g], rooms[g])
		}
		r.Ranks = append(r.Ranks, rank)
	}
	return r
}

// RankReported returns the ranking by the last responses of the holders. Remote says which
// groups are in another failure domain than the request prefers; it is nil where requests
// prefer none.
func RankReported(loads []GroupLoad, remote []bool) GroupRanking {
	order := indices(len(loads))
	rooms := make([]float64, len(loads))
	for i, l := range loads {
		rooms[i] = Room(l, remote == nil || !remote[i])
	}
	r := GroupRanking{Drawn: len(loads) > 2 && remote == nil}
	if remote == nil {
		slices.SortStableFunc(order, func(a, b int) int { return compareReported(loads[a], loads[b]) })
	} else {
		sortByRoom(order, rooms)
	}
	for _, g := range order {
		free, queued := loads[g].Expected()
		r.Ranks = append(r.Ranks, GroupRank{
			Group: g, Last: loads[g].Unreachable, Free: float64(max(0, free)), Queued: float64(queued), Room: rooms[g], FreeSlot: free > 0,
		})
	}
	return r
}

// compareReported orders groups by the last responses of their holders, the least loaded first.
func compareReported(a, b GroupLoad) int {
	switch {
	case a.LessLoaded(b):
		return -1
	case b.LessLoaded(a):
		return 1
	}
	return 0
}

// indices returns the numbers from 0 to n-1.
func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
