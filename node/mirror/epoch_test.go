package mirror

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/registry"
)

// copyAge is the age of the copy that the store returns from.
const copyAge = 5 * time.Second

var seedsFlag = flag.Uint64("mirror.seeds", 20, "number of seeds of each randomised test; at most 3 with -short")

// seeds returns the number of seeds of each test.
func seeds() uint64 {
	if testing.Short() {
		return min(*seedsFlag, 3)
	}
	return *seedsFlag
}

// afterCopy changes everything that a return must not revert: a target leaves, one
// drains, one is new, a domain goes out, and a new configuration withdraws a key. In half
// of the fleets the copy has that configuration.
func (f *fleet) afterCopy() copied {
	if f.rand.IntN(2) == 0 {
		f.configure(6, "key-6")
		f.advance(applyBound)
	}
	c := f.store.copy()
	f.leave("t1")
	f.targets["t2"] = document.Draining
	f.targets["t9"] = document.Active
	f.setDomain("b", true)
	f.configure(6, "key-6")
	f.advance(copyAge)
	f.converged("before the return")
	return c
}

// checkNothingReverts fails the test at each VM that loses what was known before the
// return.
func (f *fleet) checkNothingReverts() { f.checkNothingRevertsExceptOn(nil) }

// checkNothingRevertsExceptOn is checkNothingReverts for all VMs but one.
func (f *fleet) checkNothingRevertsExceptOn(excepted *vm) {
	f.check = func(v *vm, s *document.Snapshot) {
		f.t.Helper()
		if v == excepted {
			return
		}
		targets := states(s)
		_, returned := targets["t1"]
		if returned || targets["t2"] != document.Draining || len(targets) != len(f.targets) {
			f.t.Errorf("%v: %s has targets %v, want %v", f.now.Unix(), v.id, targets, f.targets)
		}
		_, withdrawn := s.WorkspaceByKey("key-5")
		if !s.DomainIsOut("b") || withdrawn || s.ConfigVersion() != 6 {
			f.t.Errorf("%v: %s has version %d and domains %v; key of version 5 accepted: %t", f.now.Unix(), v.id, s.ConfigVersion(), s.Domains, withdrawn)
		}
		if f.t.Failed() {
			f.t.FailNow()
		}
	}
}

// repeatWrites lets the operator repeat its writes.
func (f *fleet) repeatWrites() {
	f.configure(6, "key-6")
	f.setDomain("b", true)
}

// Guards against a fleet that reverts, or follows the store no longer, after the store
// returned from an older copy while only half of the VMs reach it.
func TestReturnWhileHalfOfTheFleetReachesTheStore(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 8)
		c := f.afterCopy()
		for i, v := range f.vms {
			v.cutOff = i%2 == 0
		}
		f.checkNothingReverts()
		f.restore(c)
		f.advance(applyBound + backAfter)
		f.repeatWrites()
		f.advance(12 * time.Second)
		f.converged("12 s after the return")
		f.targets["t9"] = document.Draining
		f.write("t9")
		f.advance(applyBound)
		f.converged("after a change in the new epoch")
	}
}

// Guards against a reader that does not see the return and whose configuration replaces
// that of the new epoch, also where its revision is the same or higher.
func TestReaderThatRelaysTheOldEpoch(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		c := f.afterCopy()
		f.checkNothingReverts()
		old := *f.store
		for _, v := range f.vms[:2] {
			v.frozen = &old
		}
		f.restore(c)
		f.advance(time.Second)
		old.put("domain/a", registry.Change{Domain: "a", DomainOut: true})
		f.advance(3 * time.Second)
		for _, v := range f.vms {
			if s := v.machine.Snapshot(); s.DomainIsOut("a") || registry.EpochOf(s.Ticket()) != 1 {
				t.Fatalf("seed %d: %s has ticket %d with a change of the old epoch, want epoch 1", seed, v.id, s.Ticket())
			}
		}
		for _, v := range f.vms {
			v.frozen = nil
		}
		f.repeatWrites()
		f.advance(12 * time.Second)
		f.converged("12 s after the return")
	}
}

// Guards against a VM that restarts right after the return and publishes the content of
// the copy, because it does not know what the fleet knew.
func TestRestartAfterTheReturn(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		c := f.afterCopy()
		f.checkNothingReverts()
		f.restore(c)
		for _, v := range f.vms[:5] {
			f.advance(time.Duration(f.rand.IntN(20)) * step)
			f.start(v)
		}
		f.advance(backAfter)
		f.repeatWrites()
		f.advance(12 * time.Second)
		f.converged("12 s after the return")
	}
}

// Guards against a second return that brings back what the first one did not.
func TestTwoReturnsWithinTenSeconds(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		c := f.afterCopy()
		f.checkNothingReverts()
		f.restore(c)
		f.advance(time.Duration(f.rand.IntN(160)) * step)
		f.restore(c)
		f.advance(backAfter)
		f.repeatWrites()
		f.advance(14 * time.Second)
		f.converged("14 s after the second return")
	}
}

// Guards against a reader that first sees the new epoch in a peer's ticket and then
// applies an answer of the former one, or carries less than the peer.
func TestEpochSeenFirstThroughAPeer(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		c := f.afterCopy()
		f.checkNothingReverts()
		for _, v := range f.vms[1:] {
			v.cutOff = true
		}
		f.restore(c)
		f.advance(3 * time.Second)
		for _, v := range f.vms {
			if epoch := registry.EpochOf(v.machine.Snapshot().Ticket()); epoch != 1 {
				t.Fatalf("seed %d: %s is in epoch %d 3 s after the return, want 1", seed, v.id, epoch)
			}
			v.cutOff = v == f.vms[0]
		}
		f.repeatWrites()
		f.advance(14 * time.Second)
		f.converged("14 s after the return")
	}
}

// Guards against a VM that started alone in the new epoch, has the copy's content under a
// higher ticket and keeps it, or imposes it on the fleet.
func TestVMThatStartsAloneTakesTheFleetsConfiguration(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		c := f.afterCopy()
		lone := f.vms[f.rand.IntN(len(f.vms))]
		f.checkNothingRevertsExceptOn(lone)
		lone.side = 1
		f.restore(c)
		f.start(lone)
		f.advance(3*time.Second + time.Duration(f.rand.IntN(200))*step)
		if s := lone.machine.Snapshot(); s.DomainIsOut("b") {
			t.Fatalf("seed %d: the VM alone knows that domain b is out, want the state of the copy", seed)
		}
		lone.side = 0
		f.advance(2 * applyBound)
		if s := lone.machine.Snapshot(); s.ConfigVersion() != 6 || !s.DomainIsOut("b") || s.Unverified() {
			t.Fatalf("seed %d: got version %d and domains %v on the VM that started alone, want the fleet's", seed, s.ConfigVersion(), s.Domains)
		}
		f.repeatWrites()
		f.advance(4 * time.Second)
		f.converged("9 s after the VM met the fleet")
	}
}

// Guards against a VM that was cut off from all others and from the store since before
// the changes and the return, and then carries its old knowledge into the new epoch.
func TestVMThatWasCutOffDoesNotCarryItsOldKnowledge(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		cut := f.vms[f.rand.IntN(len(f.vms))]
		cut.side, cut.cutOff = 1, true
		c := f.store.copy()
		f.leave("t1")
		f.targets["t2"] = document.Draining
		f.setDomain("b", true)
		f.configure(6, "key-6")
		f.advance(copyAge)
		f.checkNothingRevertsExceptOn(cut)
		f.restore(c)
		f.advance(backAfter)
		f.repeatWrites()
		f.advance(time.Duration(f.rand.IntN(600)) * step)
		cut.side, cut.cutOff = 0, false
		f.advance(2 * applyBound)
		f.converged("5 s after the VM met the fleet")
	}
}

// Guards against a half of a split fleet that brings targets back which left while it
// could reach neither the store nor the other half.
func TestSplitFleetOfWhichHalfReachesTheStore(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 8)
		c := f.afterCopy()
		f.checkNothingReverts()
		for i, v := range f.vms {
			v.side, v.cutOff = i%2, i%2 == 1
		}
		f.restore(c)
		f.advance(backAfter + writeInterval)
		f.check = func(*vm, *document.Snapshot) {}
		f.repeatWrites()
		f.leave("t3")
		f.advance(applyBound + time.Duration(f.rand.IntN(200))*step)
		for _, v := range f.vms {
			v.side, v.cutOff = 0, false
		}
		f.advance(applyBound)
		f.converged("2.5 s after the halves met")
	}
}

// Guards against a fleet without knowledge that serves late, that follows changes late,
// or that counts as such for good.
func TestRestartOfAllVMsInALaterEpoch(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		f.restore(f.store.copy())
		f.advance(backAfter + applyBound)
		for _, v := range f.vms {
			f.start(v)
		}
		f.advance(2 * time.Second)
		f.converged("2 s after the restart")
		f.targets["t9"] = document.Active
		f.configure(6, "key-6")
		f.write("t9")
		f.advance(applyBound)
		f.converged("after a change")
		for _, v := range f.vms {
			if s := v.machine.Snapshot(); !v.machine.Ready() || s.ConfigVersion() != 6 || !s.Unverified() {
				t.Errorf("seed %d: %s is ready: %t, with version %d, unverified: %t", seed, v.id, v.machine.Ready(), s.ConfigVersion(), s.Unverified())
			}
		}
		f.advance(time.Minute)
		f.converged("a minute after the restart")
		for _, v := range f.vms {
			if v.machine.Snapshot().Unverified() {
				t.Errorf("seed %d: the configuration of %s is still unverified", seed, v.id)
			}
		}
	}
}

// Guards against a reader that misses the return and reads on from its old revision once
// the store has passed that revision again.
func TestReaderThatMissesTheReturn(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 3)
		c := f.afterCopy()
		f.advance(step)
		missed := f.vms[f.rand.IntN(len(f.vms))]
		missed.cutOff, missed.side = true, 1
		f.restore(c)
		for range 100 {
			f.store.put("none", registry.Change{})
		}
		missed.cutOff = false
		f.advance(applyBound)
		if epoch := registry.EpochOf(missed.machine.Snapshot().Ticket()); epoch != 1 {
			t.Fatalf("seed %d: %s is in epoch %d, want 1", seed, missed.id, epoch)
		}
	}
}

// Guards against tickets of one revision that are the same before and after the return
// although the contents differ, and against a change of the new epoch that is late.
func TestTwoContentsUnderOneRevision(t *testing.T) {
	for seed := range seeds() {
		f := newFleet(t, seed, 6)
		c := f.store.copy()
		f.targets["t9"] = document.Active
		f.write("t9")
		f.advance(applyBound)
		f.restore(c)
		f.advance(time.Second) // a write before the first read looks like part of the copy
		delete(f.targets, "t9")
		f.targets["t8"] = document.Active
		f.write("t8")
		f.configure(7, "key-7")
		f.advance(applyBound)
		for _, v := range f.vms {
			if _, ok := v.machine.Snapshot().WorkspaceByKey("key-7"); !ok {
				t.Fatalf("seed %d: %s lacks the configuration written in the new epoch %v ago", seed, v.id, applyBound)
			}
			if _, ok := states(v.machine.Snapshot())["t8"]; !ok {
				t.Fatalf("seed %d: %s lacks the target that registered in the new epoch %v ago", seed, v.id, applyBound)
			}
		}
		f.advance(12 * time.Second)
		f.converged("after the retention period")
	}
}

// Guards against an answer of a former epoch that is applied, or that counts as a
// confirmation, although a peer has reported the next one.
func TestAnswerOfAFormerEpochFails(t *testing.T) {
	f := newFleet(t, 1, 3)
	v := f.vms[0]
	if got := v.mirror.Read(context.Background(), indexKey); got.Status != config.Found {
		t.Fatalf("got status %v, want an index", got.Status)
	}
	v.machine.ReceiveReport(f.now, "vm-01", config.Report{Ticket: 1<<40 | 3, Digest: 1})
	f.write("t1")
	read, watch := v.mirror.Read(context.Background(), indexKey), v.mirror.Watch(context.Background(), indexKey, 0, step)
	if read.Status != config.Failed || watch.Status != config.Failed {
		t.Errorf("got status %v of a read and %v of a watch in the former epoch, want failed", read.Status, watch.Status)
	}
}
