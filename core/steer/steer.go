// Package steer chooses the VMs whose addresses are returned to the callers of a
// workspace.
package steer

import (
	"math"
	"sort"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

const (
	// MinVMs is the minimum number of addresses, if that many VMs exist. After the
	// loss of one VM or failure domain, a caller still has two addresses.
	MinVMs = 3
	// RatePerVM is the rate of one workspace for which one more address is added, in
	// requests per second. It is below a VM's share of the fleet's peak load, which is
	// 171 requests per second.
	RatePerVM = 100
)

// Candidate is a VM whose address may be returned.
type Candidate struct {
	// VM is the entry of the VM list.
	VM member.VM
	// InContact is true when the VM answers heartbeats and is not leaving.
	InContact bool
}

// Count returns the number of addresses for a workspace with the given rate in
// requests per second.
func Count(ratePerSecond float64) int {
	n := math.Ceil(ratePerSecond / RatePerVM)
	// Rates above the range of int must not overflow in the conversion.
	if n > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(MinVMs, int(n))
}

// Choose returns the VMs for a workspace, best first. It considers live VMs that are
// in contact and whose failure domain is in service. Within each failure domain it
// chooses VMs in the order of rendezvous hashing, and it alternates between the
// failure domains. A VM that joins or leaves affects at most the positions of its own
// failure domain and the last position.
func Choose(w *document.Workspace, candidates []Candidate, domainIsOut func(string) bool) []member.VM {
	byDomain := map[string][]ranked{}
	usable := 0
	for _, c := range candidates {
		if !c.InContact || c.VM.State != member.Live || domainIsOut(c.VM.FailureDomain) {
			continue
		}
		r := ranked{c.VM, member.Weight("steer/"+w.ID, c.VM.ID)}
		byDomain[c.VM.FailureDomain] = append(byDomain[c.VM.FailureDomain], r)
		usable++
	}
	domains := rankDomains(w.ID, byDomain)
	n := min(usable, Count(w.RatePerSecond))
	chosen := make([]member.VM, 0, n)
	for turn := 0; len(chosen) < n; turn++ {
		for _, d := range domains {
			if vms := byDomain[d]; turn < len(vms) && len(chosen) < n {
				chosen = append(chosen, vms[turn].vm)
			}
		}
	}
	return chosen
}

type ranked struct {
	vm     member.VM
	weight uint64
}

// rankDomains sorts the VMs of each failure domain and returns the sorted failure
// domains. Both are in the order of rendezvous hashing for the workspace.
func rankDomains(workspace string, byDomain map[string][]ranked) []string {
	names := make([]string, 0, len(byDomain))
	weight := make(map[string]uint64, len(byDomain))
	for name, vms := range byDomain {
		sort.Slice(vms, func(i, j int) bool {
			if vms[i].weight != vms[j].weight {
				return vms[i].weight > vms[j].weight
			}
			return vms[i].vm.ID < vms[j].vm.ID
		})
		names = append(names, name)
		weight[name] = member.Weight("steer/"+workspace, "domain/"+name)
	}
	sort.Slice(names, func(i, j int) bool {
		if weight[names[i]] != weight[names[j]] {
			return weight[names[i]] > weight[names[j]]
		}
		return names[i] < names[j]
	})
	return names
}
