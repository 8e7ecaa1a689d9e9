package query

import (
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/steer"
	"github.com/galenasail/galenasail/node"
)

// lastHoldersTTL is how long the last known holders are returned while no holder is known.
const lastHoldersTTL = 10 * time.Second

// HolderAddressesConfig configures HolderAddresses. All fields are required.
type HolderAddressesConfig struct {
	// Identity is this VM.
	Identity node.Identity
	// Configs provides the configuration in effect.
	Configs node.Configs
	// Contact reports which VMs are in contact.
	Contact node.Contact
	// Ownership reports the holders of shards.
	Ownership node.Ownership
}

// HolderAddresses returns the addresses of the VMs that hold the shards of the cell. It is
// safe for concurrent use.
type HolderAddresses struct {
	cfg HolderAddressesConfig

	mu          sync.Mutex
	lastHolders []member.VM
	lastAt      time.Time
}

// NewHolderAddresses returns a HolderAddresses that knows no holder yet.
func NewHolderAddresses(cfg HolderAddressesConfig) *HolderAddresses {
	return &HolderAddresses{cfg: cfg}
}

// Addresses returns the addresses that callers should use now; none when no VM is known
// that could serve. Callers of a failure domain get VMs of that domain if it has a holder;
// with an empty domain they get all holders.
func (s *HolderAddresses) Addresses(domain string) []string {
	vms := s.choose(time.Now())
	if domain != "" {
		vms = steer.Local(vms, s.cfg.Configs.List(), domain, s.eligible)
	}
	var out []string
	for _, vm := range vms {
		out = append(out, vm.Address)
	}
	return out
}

// choose returns the holders of the shards. If no holder is known, it returns the last
// known holders for lastHoldersTTL, and after that other VMs that could serve.
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

// eligible reports whether callers may be directed to a VM.
func (s *HolderAddresses) eligible(vm member.VM) bool {
	return vm.State == member.Live && s.cfg.Contact.InContact(vm.ID)
}

// fallback returns some eligible VMs in the order in which they would become holders. It
// may include this VM.
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
