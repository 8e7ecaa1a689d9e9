package steer

import (
	"fmt"
	"testing"

	"github.com/galenasail/galenasail/core/member"
)

// localFleet returns 12 VMs of three failure domains, in each two large ones and two small
// ones, and as holders the first large one of each domain in holding.
func localFleet(holding ...string) (holders []member.VM, list *member.List) {
	list = &member.List{}
	for i := range 12 {
		vm := member.VM{ID: fmt.Sprintf("vm-%02d", i), FailureDomain: fmt.Sprint("d", i%3), State: member.Live, Capacity: 160}
		if i < 6 {
			vm.Capacity = 800
		}
		list.VMs = append(list.VMs, vm)
		for _, d := range holding {
			if i < 3 && vm.FailureDomain == d {
				holders = append(holders, vm)
			}
		}
	}
	return holders, list
}

// Guards against callers of a domain that get a single VM, or VMs that are too small, so that
// its loss or its broken paths to targets cut them off.
func TestCallersOfADomainGetTwoLargeVMs(t *testing.T) {
	holders, list := localFleet("d0", "d1", "d2")
	got := Local(holders, list, "d1", func(member.VM) bool { return true })
	if len(got) != 2 || got[0].ID != "vm-01" || got[1].ID != "vm-04" {
		t.Errorf("got %v, want the holder vm-01 and vm-04", got)
	}
	got = Local(holders, list, "d1", func(vm member.VM) bool { return vm.ID != "vm-04" })
	if len(got) != 1 || got[0].ID != "vm-01" {
		t.Errorf("got %v, want the holder alone while the other large VM is not usable", got)
	}
}

// Guards against callers without any VM when their domain has no holder or is not known.
func TestCallersOfADomainWithoutHolderGetAllHolders(t *testing.T) {
	holders, list := localFleet("d0", "d2")
	for _, domain := range []string{"d1", "unknown"} {
		if got := Local(holders, list, domain, func(member.VM) bool { return true }); len(got) != 2 {
			t.Errorf("domain %s: got %v, want the holders of d0 and d2", domain, got)
		}
	}
}
