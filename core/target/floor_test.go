package target

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// newFailingSimulation returns a simulation in which half of the targets hang for
// good. longestUnused makes others look gray for no reason, so that many requests
// fail and healthy targets are avoided.
func newFailingSimulation(seed uint64, idempotent float64) *graySimulation {
	w := newGraySimulation(seed, document.ByHealthEstimate, 24)
	w.idempotent = idempotent
	for i, s := range w.holder.targets {
		if i < 12 {
			w.episodes[s.doc.ID] = w.now.Add(time.Hour)
		}
	}
	return w
}

// longestUnused runs w. It returns the longest time that a target had no request, and
// the largest share of targets that had none for 2 s.
func longestUnused(w *graySimulation, run time.Duration) (worst time.Duration, unused float64) {
	end := w.now.Add(run)
	settled := w.now.Add(4 * time.Second)
	for w.now.Before(end) {
		// A gray estimate that no failure of the target explains, as after failures of the
		// paths to it.
		for _, s := range w.holder.targets[12:20] {
			s.health.target.set(0.95, w.now)
		}
		w.step()
		if w.now.Before(settled) {
			continue
		}
		without := 0
		for _, s := range w.holder.targets {
			idle := w.now.Sub(s.health.lastGrant)
			worst = max(worst, idle)
			if idle > 2*time.Second {
				without++
			}
		}
		unused = max(unused, float64(without)/float64(len(w.holder.targets)))
	}
	return worst, unused
}

// Guards against a service that falls below its floor while requests fail: less than
// 70% of its healthy targets get requests within 2 s because they are estimated as
// gray (on 138 VMs 11 of 31 healthy targets had none).
func TestEachTargetIsUsedWhileRequestsFail(t *testing.T) {
	for seed := range uint64(5) {
		w := newFailingSimulation(seed, 0.25)
		if worst, _ := longestUnused(w, 20*time.Second); worst > 2*time.Second {
			t.Errorf("seed %d: a target had no request for %v, want at most 2 s", seed, worst)
		}
	}
}

// Guards against the same failure for a service without idempotent requests: at most
// 30% of its targets may be without a request for 2 s.
func TestFloorHoldsWithoutIdempotentRequests(t *testing.T) {
	for seed := range uint64(5) {
		w := newFailingSimulation(seed, 0)
		if _, unused := longestUnused(w, 20*time.Second); unused > 0.3 {
			t.Errorf("seed %d: a share of %.2f of the targets had no request for 2 s, want at most 0.3", seed, unused)
		}
	}
}

// Guards against requests that the floor does not require: a single hanging target
// must not make the holder use each target.
func TestSingleHangingTargetDoesNotTriggerFloor(t *testing.T) {
	w := newGraySimulation(1, document.ByHealthEstimate, 24)
	w.episodes["t00"] = w.now.Add(time.Hour)
	for range 2000 {
		w.step()
		for id := range w.episodes {
			if id != "t00" {
				delete(w.episodes, id)
			}
		}
	}
	if w.holder.failures.aboveLimit(w.now) {
		t.Fatal("one hanging target of 24 exceeds the limit of failed requests")
	}
}

// Guards against a service that falls below its floor while many requests for it are refused
// before they reach a holder: the holder itself sees few failures then, and leaves targets
// unused that it estimates as gray for no reason.
func TestFloorHoldsWhileEntryVMsSeeFailures(t *testing.T) {
	for seed := range uint64(5) {
		w := newGraySimulation(seed, document.ByHealthEstimate, 24)
		w.idempotent = 0
		w.failing = true
		if _, unused := longestUnused(w, 20*time.Second); unused > 0.3 {
			t.Errorf("seed %d: a share of %.2f of the targets had no request for 2 s, want at most 0.3", seed, unused)
		}
	}
}

// Guards against targets without a request for 2 s because the requests that the floor
// requires go to a VM that cannot reach them: they must count as unused, and go to others.
func TestFloorRequiresRequestsOfVMsThatReachTheTarget(t *testing.T) {
	w := newGraySimulation(1, document.ByHealthEstimate, 6)
	cutOff := map[string]bool{"t00": true, "t01": true, "t02": true}
	arrived := map[string]time.Time{}
	for i := range 4000 {
		w.now = w.now.Add(5 * time.Millisecond)
		caller := Caller{VM: "reaches-all", Instance: 1}
		if i%2 == 0 {
			caller = Caller{VM: "cut-off", Instance: 2}
		}
		g, ok := w.holder.Acquire(AcquireRequest{Caller: caller, Hold: time.Second, Failing: true}, w.now)
		if !ok {
			continue
		}
		r := Release{Permit: g.Permit, Outcome: OK, Latency: 4 * time.Millisecond}
		if caller.VM == "cut-off" && cutOff[g.Target] {
			r = Release{Permit: g.Permit, Outcome: Unreachable}
		} else {
			arrived[g.Target] = w.now
		}
		w.holder.Release(caller, []Release{r}, w.now.Add(4*time.Millisecond))
		for id, at := range arrived {
			if idle := w.now.Sub(at); i > 1000 && idle > 2*time.Second {
				t.Fatalf("no request reached target %s for %v, want at most 2 s", id, idle)
			}
		}
	}
	if len(arrived) != 6 {
		t.Fatalf("requests reached %d of 6 targets", len(arrived))
	}
}

// Guards against a count of refusals that ends too late or never: a service whose requests are
// served again must not keep its gray targets in use.
func TestServiceFailuresEndWithTheWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewServiceFailures()
	for i := range 100 {
		f.Record(i%10 != 0, now)
	}
	if !f.Failing(now) {
		t.Error("a tenth of the requests is not served, and the service does not count as failing")
	}
	if now = now.Add(failureWindow + failureWindow/windowBuckets); f.Failing(now) {
		t.Error("the service counts as failing after the window has passed")
	}
}
