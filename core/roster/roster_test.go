package roster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/member"
)

func vm(i int) member.VM {
	return member.VM{ID: fmt.Sprintf("vm-%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), PeerAddress: fmt.Sprintf("10.0.0.%d:2", i), FailureDomain: "a"}
}

// Guards against rosters that still differ, or that have different digests for the same VMs,
// after each pair exchanged its records.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "vms")
		now := time.Unix(1000, 0)
		var all []*Roster
		for i := range n {
			all = append(all, New(vm(i), uint64(i+1), 0))
		}
		// Each VM first exchanges records with a random earlier one, its seed, and then
		// with all others.
		for i := 1; i < n; i++ {
			seed := all[rapid.IntRange(0, i-1).Draw(t, "seed")]
			seed.Merge(all[i].Export(now), now)
			all[i].Merge(seed.Export(now), now)
		}
		for range 2 {
			for i := range n {
				for k := range n {
					now = now.Add(time.Millisecond)
					all[i].Merge(all[k].Export(now), now)
				}
			}
		}
		for _, r := range all {
			if r.Len() != n || r.Digest() != all[0].Digest() {
				t.Fatalf("got %d of %d VMs and digest %x, want digest %x", r.Len(), n, r.Digest(), all[0].Digest())
			}
		}
	})
}

// Guards against giving away the shares of an unreachable VM while it may still use them, and
// against a VM that is never removed.
func TestUnreachableVMStaysForAMinute(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(vm(0), 1, 0)
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 2}}, now)
	r.Expire(now.Add(ExpireAfter - time.Second))
	if r.Len() != 2 {
		t.Fatal("the VM was removed before ExpireAfter")
	}
	r.Expire(now.Add(ExpireAfter))
	if r.Len() != 1 {
		t.Fatal("the VM was not removed after ExpireAfter")
	}
	// A third VM may still send an old record of the VM, which must not add it again.
	if r.Merge([]MemberRecord{{VM: vm(1), Instance: 2, Age: ExpireAfter}}, now.Add(ExpireAfter)) {
		t.Fatal("the VM was added again by an expired record")
	}
}

// Guards against an announced departure that does not end the membership, and against a process
// started later that is still regarded as leaving.
func TestLeaveAndReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(vm(0), 1, 0)
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 2}}, now)
	r.RecordHeartbeat("vm-01", 2, true, now)
	if got, _ := r.List().Find("vm-01"); got.State != member.Leaving {
		t.Fatalf("got state %q after the departure, want leaving", got.State)
	}
	later := now.Add(time.Second)
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 3}}, later)
	if got, _ := r.List().Find("vm-01"); got.State != member.Live {
		t.Fatalf("got state %q after the restart, want live", got.State)
	}
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 2, Age: 2 * time.Second, Left: true}}, later)
	if got, _ := r.List().Find("vm-01"); got.State != member.Live {
		t.Fatal("an older record of the departure took effect")
	}
	r.RecordHeartbeat("vm-01", 3, true, later.Add(time.Second))
	r.Expire(later.Add(time.Second + leftRetention))
	if r.Len() != 1 {
		t.Fatal("the VM is still in the list after its departure")
	}
}

// Guards against a list that changes back and forth: a former process that is still in contact
// must not replace the one from which peers have received heartbeats since.
func TestFormerProcessDoesNotReplaceSuccessor(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(vm(0), 1, 0)
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 2}}, now)
	r.RecordHeartbeat("vm-01", 2, true, now.Add(time.Second))
	later := now.Add(3 * time.Second)
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 3}}, later)
	version := r.List().Version
	r.RecordHeartbeat("vm-01", 2, true, now.Add(time.Second))
	if got, _ := r.List().Find("vm-01"); got.State != member.Live || r.List().Version != version {
		t.Fatalf("got state %q and list version %d, want live and %d", got.State, r.List().Version, version)
	}
}
