package steer

import (
	"cmp"
	"slices"

	"github.com/galenasail/galenasail/core/member"
)

// MaxAddresses is the maximum number of VMs that Holders returns.
const MaxAddresses = 16

// MinLocalVMs is the number of VMs of a failure domain that its callers get, if the domain has
// as many of the holder's size. With two, the loss of one VM, or of the paths from it to some
// targets, does not cut all callers of the domain off from these targets.
const MinLocalVMs = 2

// Local returns the VMs for the callers of a failure domain: the given holders that are in the
// domain, then other usable VMs of the domain that are as large, in rendezvous order, up to
// MinLocalVMs. It returns all holders when none is in the domain.
func Local(holders []member.VM, list *member.List, domain string, usable func(member.VM) bool) []member.VM {
	var local []member.VM
	for _, vm := range holders {
		if vm.FailureDomain == domain {
			local = append(local, vm)
		}
	}
	if len(local) == 0 || list == nil {
		return holders
	}
	var others []ranked
	for _, vm := range list.VMs {
		isHolder := slices.ContainsFunc(local, func(l member.VM) bool { return l.ID == vm.ID })
		if vm.FailureDomain == domain && !isHolder && member.SameCapacityClass(vm, local[0]) && usable(vm) {
			others = append(others, ranked{vm, member.Weight("local/"+domain, vm.ID)})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	for _, r := range others[:min(len(others), max(0, MinLocalVMs-len(local)))] {
		local = append(local, r.vm)
	}
	return local
}

// Holders returns the usable VMs that hold the leases of the shards of a cell, each
// once, in the order of the shards, and at most MaxAddresses. A request that is sent
// to such a VM needs no calls to other VMs for the shards that this VM holds.
func Holders(holder func(member.Shard) (member.VM, bool), usable func(member.VM) bool) []member.VM {
	var out []member.VM
	seen := map[string]bool{}
	for shard := range member.Shard(member.ShardCount) {
		vm, ok := holder(shard)
		if !ok || seen[vm.ID] || len(out) >= MaxAddresses || !usable(vm) {
			continue
		}
		seen[vm.ID] = true
		out = append(out, vm)
	}
	return out
}
