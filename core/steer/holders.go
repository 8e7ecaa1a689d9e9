package steer

import "github.com/galenasail/galenasail/core/member"

// MaxAddresses is the maximum number of VMs that Holders returns.
const MaxAddresses = 16

// InDomain returns the VMs of a failure domain. It returns all VMs when the domain is empty or
// none of them is in it.
func InDomain(vms []member.VM, domain string) []member.VM {
	var local []member.VM
	for _, vm := range vms {
		if vm.FailureDomain == domain {
			local = append(local, vm)
		}
	}
	if len(local) == 0 {
		return vms
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
