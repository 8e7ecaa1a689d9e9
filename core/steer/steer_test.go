package steer

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

func candidates(n, domains int) []Candidate {
	var all []Candidate
	for i := range n {
		vm := member.VM{ID: fmt.Sprintf("vm-%02d", i), FailureDomain: fmt.Sprintf("d%d", i%domains), State: member.Live}
		all = append(all, Candidate{VM: vm, InContact: true})
	}
	return all
}

func none(string) bool { return false }

// Guards against addresses of VMs that cannot serve requests, too few addresses, and
// addresses that are not spread evenly over the failure domains.
func TestChoiceIsUsableAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		all := candidates(rapid.IntRange(0, 48).Draw(t, "vms"), domains)
		usable := map[string]int{}
		for i := range all {
			all[i].InContact = rapid.IntRange(0, 3).Draw(t, "contact") > 0
			if rapid.IntRange(0, 5).Draw(t, "leaving") == 0 {
				all[i].VM.State = member.Leaving
			}
			if all[i].InContact && all[i].VM.State == member.Live && all[i].VM.FailureDomain != "d1" {
				usable[all[i].VM.FailureDomain]++
			}
		}
		w := &document.Workspace{ID: "clinic", RatePerSecond: rapid.Float64Range(1, 2000).Draw(t, "rate")}
		got := Choose(w, all, func(d string) bool { return d == "d1" })
		total, perDomain, seen := 0, map[string]int{}, map[string]bool{}
		for _, n := range usable {
			total += n
		}
		if len(got) != min(total, Count(w.RatePerSecond)) {
			t.Fatalf("got %d addresses of %d usable VMs", len(got), total)
		}
		for _, vm := range got {
			if seen[vm.ID] || usable[vm.FailureDomain] == 0 || vm.State != member.Live {
				t.Fatalf("got unusable or duplicate VM %v", vm)
			}
			seen[vm.ID] = true
			perDomain[vm.FailureDomain]++
		}
		for a := range usable {
			for b := range usable {
				if perDomain[a] > perDomain[b]+1 && perDomain[b] < usable[b] {
					t.Fatalf("addresses are spread unevenly: got %v per failure domain, usable are %v", perDomain, usable)
				}
			}
		}
	})
}

// Guards against the loss of one VM that removes the addresses of other VMs from the
// answer.
func TestLossOfOneVMChangesOneAddress(t *testing.T) {
	all := candidates(48, 4)
	for i := range 200 {
		w := &document.Workspace{ID: fmt.Sprint("w", i), RatePerSecond: 400}
		before := Choose(w, all, none)
		lost := before[i%len(before)].ID
		rest := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.VM.ID == lost })
		after := Choose(w, rest, none)
		for _, vm := range before {
			if vm.ID != lost && !slices.Contains(after, vm) {
				t.Fatalf("workspace %s: address of %s was removed after the loss of %s", w.ID, vm.ID, lost)
			}
		}
	}
}
