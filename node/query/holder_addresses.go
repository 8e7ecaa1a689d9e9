package query

import (
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/steer"
	"github.com/galenasail/galenasail/node"
)

// keepSeats is how long the last known seats are named while none are known.
const lastHoldersTTL = 10 * time.Second

// SeatsConfig has the parts that naming needs.
type HolderAddressesConfig struct {
	Identity  node.Identity
	Configs   node.Configs
	Contact   node.Contact
	Ownership node.Ownership
}

// Seats tells callers the VMs that hold the shards of the cell.
type HolderAddresses struct {
	cfg HolderAddressesConfig

	mu          sync.Mutex
	lastHolders []member.VM
	lastAt      time.Time
}

// NewSeats returns the query.
func NewHolderAddresses(cfg HolderAddressesConfig) *HolderAddresses {
	return &HolderAddresses{cfg: cfg}
}

// Addresses returns the addresses to use now, none when the VM knows of no VM
// that could serve.
func (s *HolderAddresses) Addresses() []string {
	var out []string
	for _, vm := range s.choose(time.Now()) {
		out = append(out, vm.Address)
	}
	return out
}

func (s *HolderAddresses) choose(now time.Time) []member.VM {
	vms := steer.Holders(s.cfg.Ownership.Holder, s.eligible)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(vms) > 0 {
		s.lastHolders, s.lastAt = vms, now
		return vms
	}
	if now.Sub(s.lastAt) < lastHoldersTTL {
		return s.lastHolders
	}
	return s.fallback()
}

// usable tells whether a VM may be named.
func (s *HolderAddresses) eligible(vm member.VM) bool {
	return vm.State == member.Live && s.cfg.Contact.InContact(vm.ID)
}

// inContact returns some VMs that could serve, this one included.
func (s *HolderAddresses) fallback() []member.VM {
	list := s.cfg.Configs.List()
	if list == nil || s.cfg.Configs.Snapshot() == nil {
		return nil
	}
	var out []member.VM
	for _, id := range member.RankSeats(list, 1)[0] {
		vm, ok := list.Find(id)
		if ok && s.eligible(vm) && len(out) < steer.MinVMs {
			out = append(out, vm)
		}
	}
	return out
}
