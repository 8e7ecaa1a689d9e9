package member

import (
	"fmt"
	"testing"
)

// Guards against shards that are held by VMs too small for the load of a fleet while larger VMs
// are in service.
func TestLargeVMsTakeSeatsFirst(t *testing.T) {
	l := listOf(1)
	for i := range 89 {
		vm := listOf(1, i).VMs[0]
		vm.Capacity = 160
		if i%11 == 0 {
			vm.Capacity = 800
		}
		l.VMs = append(l.VMs, vm)
	}
	for seat, ids := range RankSeats(l, Seats(l.Len(), 2)) {
		if len(ids) != 89 {
			t.Fatalf("seat %d ranks %d VMs, want 89", seat, len(ids))
		}
		for rank, id := range ids {
			vm, _ := l.Find(id)
			if (vm.Capacity == 800) != (rank < 9) {
				t.Fatalf("seat %d: %s of capacity %d has rank %d; want the 9 large VMs first", seat, id, vm.Capacity, rank)
			}
		}
	}
}

// Guards against a number of seats that does not grow with the fleet, or that changes with each
// VM, which would move shards.
func TestSeatsGrowByPowersOfTwo(t *testing.T) {
	for n, want := range map[int]int{0: 2, 1: 2, 40: 2, 48: 2, 63: 2, 64: 4, 89: 4, 138: 8, 150: 8, 5000: ShardCount} {
		if got := Seats(n, 2); got != want {
			t.Errorf("%d seats for %d VMs, want %d", got, n, want)
		}
	}
}

// Guards against a cell that gets no target group of a service while another one gets two.
func TestGroupsAreAssignedEvenly(t *testing.T) {
	for _, service := range []string{"citas", "entregas", "ledger", "rental-desk"} {
		for count := 1; count <= 7; count++ {
			seen := map[int]bool{}
			for _, cell := range RankCells(service, count) {
				seen[cell] = true
			}
			if len(seen) != count {
				t.Fatalf("service %s: %d of %d cells are ranked", service, len(seen), count)
			}
		}
	}
}

// Guards against cells that each give out the full rate of a workspace.
func TestCellsDivideRatesByTheFleet(t *testing.T) {
	l := listOf(1)
	l.CellSize = 24
	for i := range 96 {
		l.VMs = append(l.VMs, listOf(1, i).VMs...)
	}
	total := 0
	seen := map[string]bool{}
	for _, vm := range l.VMs {
		cell := CellMembers(l, vm.ID)
		if cell.FleetLen() != 96 {
			t.Fatalf("the cell of %s divides rates by %d, want 96", vm.ID, cell.FleetLen())
		}
		if first := cell.VMs[0].ID; !seen[first] {
			seen[first] = true
			total += cell.Len()
		}
	}
	if len(seen) != 4 || total != 96 {
		t.Fatalf("got %d cells with %d VMs, want 4 with 96", len(seen), total)
	}
}

// Guards against one VM that holds several seats, and so most of the load, while others of the
// same capacity hold none.
func TestSeatsHaveDifferentFirstVMs(t *testing.T) {
	for start := range 50 {
		l := listOf(1)
		for i := range 8 {
			l.VMs = append(l.VMs, listOf(1, 8*start+i).VMs...)
		}
		seen := map[string]bool{}
		for seat, ids := range RankSeats(l, 8) {
			if len(ids) != 8 || seen[ids[0]] {
				t.Fatalf("start %d: seat %d has the order %v, want 8 VMs and a first VM without another seat", start, seat, ids)
			}
			seen[ids[0]] = true
		}
		for _, ids := range RankSeats(l, 3) {
			others := RankSeats(l, 3)
			for rank, id := range ids[1:6] {
				for _, o := range others {
					if id == o[0] {
						t.Fatalf("start %d: %s, the first VM of another seat, has rank %d, want it after the 5 VMs that are first of none", start, id, rank+1)
					}
				}
			}
		}
	}
}

// Guards against seats that are all held in one failure domain, whose loss takes all holders
// (incident inc-08b9).
func TestSeatsSpreadOverFailureDomains(t *testing.T) {
	for start := range 50 {
		l := listOf(1)
		for i := range 40 {
			vm := listOf(1, 40*start+i).VMs[0]
			vm.FailureDomain = fmt.Sprintf("d%d", i%4)
			l.VMs = append(l.VMs, vm)
		}
		for _, seats := range []int{2, 4, 8} {
			inDomain := map[string]int{}
			for _, ids := range RankSeats(l, seats) {
				vm, _ := l.Find(ids[0])
				inDomain[vm.FailureDomain]++
			}
			for domain, n := range inDomain {
				if n > (seats+3)/4 {
					t.Fatalf("start %d: %d of %d seats are in failure domain %s, want at most a quarter of them, rounded up", start, n, seats, domain)
				}
			}
		}
	}
}

// Guards against seats and shards of a failure domain that are held in another one although
// it has VMs of the same capacity, also after the loss of its first VM.
func TestSeatsAssignedToDomains(t *testing.T) {
	domains := []string{"a", "b", "c"}
	for _, n := range []int{6, 54, 99, 300} {
		seats := SeatsByDomain(Seats(n, 2), len(domains))
		l := &List{}
		for i := range n {
			capacity := 400
			if i < 2*seats {
				capacity = 800
			}
			l.VMs = append(l.VMs, VM{ID: fmt.Sprintf("vm-%03d", i), FailureDomain: domains[i%3], State: Live, Capacity: capacity})
		}
		if seats%len(domains) != 0 {
			t.Fatalf("%d seats for %d domains", seats, len(domains))
		}
		for seat, ids := range RankSeats(l, seats, domains...) {
			for rank, id := range ids[:2] {
				vm, _ := l.Find(id)
				if vm.FailureDomain != domains[seat%3] || vm.Capacity != 800 {
					t.Errorf("%d VMs, seat %d, rank %d: VM of domain %s with capacity %d", n, seat, rank, vm.FailureDomain, vm.Capacity)
				}
			}
		}
		for i := range domains {
			for k := range 100 {
				if s := ShardOfDomain(fmt.Sprint("group", k), i, len(domains)); s >= ShardCount || int(s)%seats%len(domains) != i {
					t.Fatalf("shard %d of domain %d is of another domain's seat", s, i)
				}
			}
		}
	}
}
