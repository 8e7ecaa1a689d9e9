package target

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usualMemory is the time constant of the usual load of a group, both of its average
	// and of its validity without new responses. Demand shifts within 11 to 17 s, so the
	// average must follow within a few seconds.
	usualMemory = 3 * time.Second
	// assumedTurnover is the time constant of a group's load while no answer time of its
	// service is known.
	assumedTurnover = 250 * time.Millisecond
)

// LoadEstimate is what a decider, an entry VM, knows about the load of one group from
// the responses of its holder. Room is the share of the group's slots that are free,
// less the waiting requests; it is below 0 when more requests wait than slots are free.
// The zero value knows nothing. It is not safe for concurrent use.
type LoadEstimate struct {
	// room is the room in the last response, which came at respondedAt.
	room        float64
	respondedAt time.Time
	// usual is the moving average of room.
	usual float64
	// lastCall is the number of the last call. A response to call n includes all calls up to
	// n; included is the highest n with a response.
	lastCall, included uint64
	// forgotten is the last call before Forget; responses to calls up to it are ignored.
	forgotten uint64
	// pending lists the calls without a response.
	pending []uint64
}

// StartCall records that the decider asks the group for a slot. The caller passes the
// returned number to EndCall.
func (e *LoadEstimate) StartCall() uint64 {
	e.lastCall++
	e.pending = append(e.pending, e.lastCall)
	return e.lastCall
}

// LastCall returns the number of the last call. A response to a call that asks for no
// slot includes all calls up to it.
func (e *LoadEstimate) LastCall() uint64 {
	return e.lastCall
}

// EndCall records that a call has ended, with or without a response.
func (e *LoadEstimate) EndCall(call uint64) {
	e.pending = slices.DeleteFunc(e.pending, func(c uint64) bool { return c == call })
}

// Record records the load in a response of the holder. The response includes the calls up to
// call. Slots is the number of slots of the group.
func (e *LoadEstimate) Record(call uint64, free, queued, slots int, now time.Time) {
	if call <= e.forgotten || slots <= 0 {
		return
	}
	e.included = max(e.included, call)
	e.room = float64(free-queued) / float64(slots)
	if e.respondedAt.IsZero() {
		e.usual = e.room
	}
	e.usual += (e.room - e.usual) * (1 - decay(now.Sub(e.respondedAt), usualMemory))
	e.respondedAt = now
}

// Forget drops what is known about the group, because its holder has changed.
func (e *LoadEstimate) Forget() {
	e.forgotten, e.included = e.lastCall, e.lastCall
	e.respondedAt = time.Time{}
}

// unreported returns the number of calls that no response includes.
func (e *LoadEstimate) unreported() int {
	n := 0
	for _, c := range e.pending {
		if c > e.included {
			n++
		}
	}
	return n
}

// decay returns the share of a deviation that is left after age.
func decay(age, memory time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / memory.Seconds())
}

// EstimatedLoad is the state of one group at the time of a decision.
type EstimatedLoad struct {
	// Slots is the number of slots of the group's open targets.
	Slots int
	// Unreachable is true when the last call to the holder failed a moment ago.
	Unreachable bool
	// Remote is true when the targets of the group are in another failure domain than those
	// that the request prefers.
	Remote bool
	// Unreported is the number of the decider's own calls for a slot that no response
	// includes yet.
	Unreported int

	room, usual float64
	known       bool
	age         time.Duration
}

// Load returns the state of the group for OrderGroups.
func (e *LoadEstimate) Load(slots int, now time.Time) EstimatedLoad {
	return EstimatedLoad{
		Slots: slots, room: e.room, usual: e.usual, known: !e.respondedAt.IsZero(),
		age: now.Sub(e.respondedAt), Unreported: e.unreported(),
	}
}

// ExpectedRooms returns the expected room of each group now. The deviation of a group's
// last response from its usual room disappears with the time constant turnover, the mean
// time that a request uses a slot: after it most of the requests that caused it have
// ended, and other deciders have reacted too. The usual room itself becomes that of all
// groups when no response confirms it.
func ExpectedRooms(loads []EstimatedLoad, turnover time.Duration) []float64 {
	if turnover <= 0 {
		turnover = assumedTurnover
	}
	common := commonRoom(loads)
	rooms := make([]float64, len(loads))
	for i, l := range loads {
		rooms[i] = common
		if l.known {
			usual := common + (l.usual-common)*decay(l.age, usualMemory)
			rooms[i] = usual + (l.room-usual)*decay(l.age, turnover)
		}
		if l.Slots > 0 {
			rooms[i] -= float64(l.Unreported) / float64(l.Slots)
		}
		if l.Remote {
			rooms[i] -= remoteDomainPenalty
		}
		if l.Slots <= 0 || l.Unreachable {
			rooms[i] = math.Inf(-1)
		}
	}
	return rooms
}

// commonRoom returns the usual room over the slots of all groups, weighted by how recent
// it is; all slots when nothing is known.
func commonRoom(loads []EstimatedLoad) float64 {
	sum, weights := 0.0, 0.0
	for _, l := range loads {
		if l.known {
			w := float64(l.Slots) * decay(l.age, usualMemory)
			sum += w * l.usual
			weights += w
		}
	}
	if weights <= 0 {
		return 1
	}
	return sum / weights
}

// GroupOrder is the order in which to ask groups.
type GroupOrder struct {
	// Order holds indices of the groups.
	Order []int
	// HasRoom is true when the first group is expected to have a free slot.
	HasRoom bool
}

// OrderGroups returns the order in which to ask the groups: the one with more expected
// room of two random groups first, and the others by expected room. Groups are drawn in
// proportion to their slots, which keeps all deciders from following the same response to
// the same group. When some groups are remote, all are sorted by room without a draw, because
// few deciders prefer the same failure domain. Random returns a number in [0, 1).
func OrderGroups(loads []EstimatedLoad, turnover time.Duration, random func() float64) GroupOrder {
	rooms := ExpectedRooms(loads, turnover)
	order := orderByRoom(loads, rooms, random)
	if len(order) == 0 {
		return GroupOrder{}
	}
	return GroupOrder{order, expectsFreeSlot(loads[order[0]], rooms[order[0]])}
}

// expectsFreeSlot reports whether a group with the given expected room is expected to have
// a free slot.
func expectsFreeSlot(l EstimatedLoad, room float64) bool {
	return expectedSlots(l, room) >= 1
}

// expectedSlots returns the expected number of free slots, less the waiting requests, of a
// group with the given expected room.
func expectedSlots(l EstimatedLoad, room float64) float64 {
	if l.Remote {
		room += remoteDomainPenalty
	}
	return room * float64(l.Slots)
}

// hasRemote reports whether some groups are remote, so that all are asked in the order of
// their expected room.
func hasRemote(loads []EstimatedLoad) bool {
	return slices.ContainsFunc(loads, func(l EstimatedLoad) bool { return l.Remote })
}

// sortByRoom sorts indices of groups by descending expected room.
func sortByRoom(order []int, rooms []float64) {
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rooms[b], rooms[a]) })
}

// orderByRoom returns the order of OrderGroups for the given expected rooms.
func orderByRoom(loads []EstimatedLoad, rooms []float64, random func() float64) []int {
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	if hasRemote(loads) {
		sortByRoom(order, rooms)
		return order
	}
	for i := range min(2, len(order)) {
		j := drawGroup(loads, order[i:], random)
		order[i], order[i+j] = order[i+j], order[i]
	}
	if len(order) < 2 {
		return order
	}
	if rooms[order[1]] > rooms[order[0]] {
		order[0], order[1] = order[1], order[0]
	}
	sortByRoom(order[1:], rooms)
	return order
}

// drawGroup returns an index into candidates, with probabilities in proportion to slots.
func drawGroup(loads []EstimatedLoad, candidates []int, random func() float64) int {
	sum := 0
	for _, c := range candidates {
		sum += loads[c].Slots
	}
	x := random() * float64(sum)
	for i, c := range candidates {
		x -= float64(loads[c].Slots)
		if x < 0 {
			return i
		}
	}
	return len(candidates) - 1
}
