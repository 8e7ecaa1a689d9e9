// Package member defines the list of VMs and the deterministic functions over it: rendezvous
// ranking, shards, seats and cells.
package member

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a VM according to the list.
type State string

// The states of a VM.
const (
	// Live is a VM in service.
	Live State = "live"
	// Leaving is a VM that accepts no new work.
	Leaving State = "leaving"
)

// VM is one proxy VM of the fleet.
type VM struct {
	// ID is unique in the list. A VM keeps it over restarts.
	ID string `json:"id"`
	// Address is where callers connect, host:port.
	Address string `json:"address"`
	// PeerAddress is where other VMs connect, host:port for UDP and TCP.
	PeerAddress string `json:"peerAddress"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failureDomain"`
	// State is live or leaving.
	State State `json:"state"`
	// Capacity is the VM's CPU capacity in thousandths of a core; 0 is unknown.
	Capacity int `json:"capacity,omitempty"`
}

// List is one version of the VM list. It is immutable once built.
type List struct {
	// Version increases with each change.
	Version uint64 `json:"version"`
	// VMs holds the members. Normalise sorts them by ID.
	VMs []VM `json:"vms"`
	// CellSize is the target size of a cell in VMs; 0 means DefaultCellSize. It must be
	// the same on all VMs of a fleet.
	CellSize int `json:"-"`
	// Unreached is the number of VMs that are not in VMs but may be serving: the VM whose
	// list this is reaches no other VM, and they may only be cut off from it. Rates and
	// limits are divided among them too.
	Unreached int `json:"-"`
	// fleetLen is the number of VMs of the fleet when this list is one of its cells
	// and the cells divide the rates of workspaces; else 0.
	fleetLen int
}

// Normalise sorts the members by ID and validates them. The error names the first invalid
// entry.
func (l *List) Normalise() error {
	sort.Slice(l.VMs, func(i, j int) bool { return l.VMs[i].ID < l.VMs[j].ID })
	for i, vm := range l.VMs {
		if vm.ID == "" || vm.Address == "" || vm.PeerAddress == "" || vm.FailureDomain == "" {
			return fmt.Errorf("vms[%d] %q: id, address, peerAddress and failureDomain are required", i, vm.ID)
		}
		if vm.State != Live && vm.State != Leaving {
			return fmt.Errorf("vms[%d] %q: state %q is neither live nor leaving", i, vm.ID, vm.State)
		}
		if i > 0 && l.VMs[i-1].ID == vm.ID {
			return fmt.Errorf("vms[%d] %q: duplicate id", i, vm.ID)
		}
	}
	return nil
}

// Find returns the member with the given ID.
func (l *List) Find(id string) (VM, bool) {
	if l == nil {
		return VM{}, false
	}
	i := sort.Search(len(l.VMs), func(i int) bool { return l.VMs[i].ID >= id })
	if i < len(l.VMs) && l.VMs[i].ID == id {
		return l.VMs[i], true
	}
	return VM{}, false
}

// Len returns the number of members; 0 for a nil list.
func (l *List) Len() int {
	if l == nil {
		return 0
	}
	return len(l.VMs)
}

// FleetLen returns the number of VMs among which the rates of workspaces are divided: those
// of the whole fleet where all its cells serve the same workspaces, else those of l and the
// unreached ones. It returns 0 for a nil list.
func (l *List) FleetLen() int {
	if l == nil {
		return 0
	}
	return max(l.fleetLen, l.LenWithUnreached())
}

// LenWithUnreached returns the number of members and unreached VMs; 0 for a nil list.
func (l *List) LenWithUnreached() int {
	if l == nil {
		return 0
	}
	return len(l.VMs) + l.Unreached
}

// Quorum returns the number of grants that make a lease exclusive among n members: 5/8 of n,
// rounded up. Quorums of two different lists intersect as long as the lists differ by less
// than a quarter of their length.
func Quorum(n int) int {
	return (5*n + 7) / 8
}

// UnionLen returns the number of distinct member IDs in a and b.
func UnionLen(a, b *List) int {
	union := a.Len()
	for i := 0; i < b.Len(); i++ {
		if _, ok := a.Find(b.VMs[i].ID); !ok {
			union++
		}
	}
	return union
}

// ShardCount is the number of shards of a cell. With 128 shards each of 48 VMs holds two or
// three, so the loss of a VM moves about 2% of the shards.
const ShardCount = 128

// Shard is the number of a shard, below ShardCount.
type Shard uint16

// ShardOf returns the shard of a workspace or target group name.
func ShardOf(name string) Shard {
	return Shard(xxhash.Sum64String(name) % ShardCount)
}

// ShardOfDomain returns the shard of a name that belongs to domain number i of n failure
// domains. It is i modulo n, so that its seat is assigned to the domain (see RankSeats).
func ShardOfDomain(name string, i, n int) Shard {
	return Shard(i + n*int(xxhash.Sum64String(name)%uint64((ShardCount-i+n-1)/n)))
}

// Weight returns the rendezvous hashing weight of the member id for key.
func Weight(key, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Rank returns the member IDs of l in rendezvous order for key, highest weight first.
func Rank(l *List, key string) []string {
	type weighted struct {
		id     string
		weight uint64
	}
	all := make([]weighted, 0, l.Len())
	for i := 0; i < l.Len(); i++ {
		id := l.VMs[i].ID
		all = append(all, weighted{id, Weight(key, id)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].id < all[j].id
	})
	ids := make([]string, len(all))
	for i, w := range all {
		ids[i] = w.id
	}
	return ids
}

// ShardKey returns the rendezvous key of a shard.
func ShardKey(s Shard) string {
	return fmt.Sprintf("shard/%d", s)
}
