package member

import (
	"fmt"
	"math/bits"
	"slices"
	"sort"
)

// vmsPerSeat is the number of VMs whose load the holder of one seat is meant to handle.
const vmsPerSeat = 16

// Seats returns the number of seats of a cell of n VMs, at least the given number and at most
// ShardCount. A seat is a group of shards that are held by the same VM: a shard belongs to
// the seat with the number shard modulo Seats. The number grows by powers of two, so that
// a step moves only half of the shards.
func Seats(n, least int) int {
	return min(max(least, powerOfTwo(n/vmsPerSeat)), ShardCount)
}

// powerOfTwo returns the largest power of two that is at most n, 0 for n <= 0.
func powerOfTwo(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << (bits.Len(uint(n)) - 1)
}

// SeatKey returns the rendezvous key of a seat.
func SeatKey(seat int) string {
	return fmt.Sprintf("seat/%d", seat)
}

// SeatsByDomain returns the number of seats of a cell whose seats are assigned to failure
// domains: a multiple of the number of domains, near n and at least one for each domain.
func SeatsByDomain(n, domains int) int {
	return max(1, n/domains) * domains
}

// RankSeats returns, for each seat, the member IDs of l in order of precedence for holding it.
// VMs of a larger capacity class come first. Within a class, the first VM of each seat is a
// VM that is not yet first of another seat, if there is one. It is chosen from the failure
// domain with the fewest seats, so that the loss of one domain does not take all seats.
// The others follow in rendezvous order, the first VMs of other seats last.
//
// With domains, seat i is assigned to domain i modulo their number, and VMs of that domain
// come before others of their class.
func RankSeats(l *List, seats int, domains ...string) [][]string {
	class := make(map[string]int, l.Len())
	domain := make(map[string]string, l.Len())
	for i := range l.Len() {
		class[l.VMs[i].ID] = capacityClass(l.VMs[i].Capacity)
		domain[l.VMs[i].ID] = l.VMs[i].FailureDomain
	}
	orders := make([][]string, seats)
	first := map[string]bool{}
	inDomain := map[string]int{}
	for seat := range orders {
		ids := Rank(l, SeatKey(seat))
		assigned := func(id string) bool { return len(domains) > 0 && domain[id] == domains[seat%len(domains)] }
		sort.SliceStable(ids, func(i, j int) bool {
			if class[ids[i]] != class[ids[j]] {
				return class[ids[i]] > class[ids[j]]
			}
			return assigned(ids[i]) && !assigned(ids[j])
		})
		orders[seat] = ids
		id, ok := pickFirst(ids, first, func(id string) (int, int) {
			if assigned(id) {
				return class[id], -1
			}
			return class[id], inDomain[domain[id]]
		})
		if !ok {
			continue
		}
		first[id] = true
		inDomain[domain[id]]++
		moveToFront(ids, id)
	}
	// After the first VM, sort the first VMs of other seats to the end of their class, but
	// VMs of the assigned domain before others.
	for seat, ids := range orders {
		if len(ids) == 0 {
			continue
		}
		rest := ids[1:]
		sort.SliceStable(rest, func(i, j int) bool {
			a, b := rest[i], rest[j]
			if class[a] != class[b] {
				return class[a] > class[b]
			}
			if len(domains) > 0 && domain[a] != domain[b] {
				assigned := domains[seat%len(domains)]
				return domain[a] == assigned || domain[b] != assigned && !first[a] && first[b]
			}
			return !first[a] && first[b]
		})
	}
	return orders
}

// pickFirst returns the first of ids that is not taken, among those of the largest capacity
// class that are in a failure domain with the fewest seats. ok is false when all are taken.
func pickFirst(ids []string, taken map[string]bool, of func(id string) (class, seats int)) (best string, ok bool) {
	bestClass, bestSeats := 0, 0
	for _, id := range ids {
		if taken[id] {
			continue
		}
		class, seats := of(id)
		better := class > bestClass || class == bestClass && seats < bestSeats
		if !ok || better {
			best, bestClass, bestSeats, ok = id, class, seats, true
		}
	}
	return best, ok
}

// moveToFront makes id the first of ids and keeps the order of the others.
func moveToFront(ids []string, id string) {
	i := slices.Index(ids, id)
	copy(ids[1:i+1], ids[:i])
	ids[0] = id
}

// SameCapacityClass reports whether two VMs count as equally large.
func SameCapacityClass(a, b VM) bool {
	return capacityClass(a.Capacity) == capacityClass(b.Capacity)
}

// capacityClass returns the number of bits of a capacity, so that VMs with a capacity between
// the same two powers of two rank as equal.
func capacityClass(capacity int) int {
	return bits.Len(uint(max(0, capacity)))
}
