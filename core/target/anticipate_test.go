package target

import (
	"math/rand/v2"
	"testing"
	"time"
)

// spreadResult holds the results of a run of spread.
type spreadResult struct {
	// peak is the mean over windows of the highest work of a target over the mean of all
	// targets, idle the share of the slot time that idled while requests waited elsewhere,
	// calls the number of calls per served request.
	peak, idle, calls float64
}

func (r *spreadResult) add(o spreadResult) {
	r.peak += o.peak
	r.idle += o.idle
	r.calls += o.calls
}

// spreadRun plays one run.
func spreadRun(seed uint64, deciders int, load float64, c spreadChoice) spreadResult {
	w := newSpread(seed, deciders, load, c)
	w.run()
	s := w.samples
	return spreadResult{s.peak / s.peaks, s.idle / s.slots, float64(w.calls) / float64(w.served)}
}

// Guards against groups that are overloaded in turn while others idle: many deciders with
// unequal demand choose among unequal groups with delayed reports. At high load the excess
// of the busiest target over the mean must be at least a quarter below that of the choice
// without anticipation with each seed, and so must the slot time that idles while requests
// wait over all seeds, without more calls. At half load, where nothing waits, the load must
// not be less even by more than 5%.
func TestAnticipationSpreadsLoad(t *testing.T) {
	for _, deciders := range []int{30, 100, 300} {
		if testing.Short() && deciders != 100 {
			continue
		}
		var sumBefore, sumAfter spreadResult
		for seed := range uint64(4) {
			before, after := spreadRun(seed, deciders, 0.9, presentChoice), spreadRun(seed, deciders, 0.9, builtChoice)
			if after.peak-1 > 0.75*(before.peak-1) {
				t.Errorf("%d deciders, seed %d: peak over mean is %.3f, want a quarter less excess than %.3f", deciders, seed, after.peak, before.peak)
			}
			sumBefore.add(before)
			sumAfter.add(after)
		}
		t.Logf("%d deciders, peak over mean, idle share and calls per request, sums over 4 seeds: present %.4f, built %.4f", deciders, sumBefore, sumAfter)
		if sumAfter.idle > 0.75*sumBefore.idle || sumAfter.calls > sumBefore.calls {
			t.Errorf("%d deciders: peak over mean, idle share and calls are %.4f, want a quarter less idle share than %.4f, and no more calls", deciders, sumAfter, sumBefore)
		}
		before, after := spreadRun(1, deciders, 0.5, presentChoice), spreadRun(1, deciders, 0.5, builtChoice)
		if after.peak > 1.05*before.peak {
			t.Errorf("%d deciders at half load: peak over mean is %.3f, want at most 5%% above %.3f", deciders, after.peak, before.peak)
		}
	}
}

// TestMeasureSpread prints the results of the choices that were weighed.
func TestMeasureSpread(t *testing.T) {
	skipUnlessMeasuring(t)
	choices := []spreadChoice{
		presentChoice,
		{name: "present, immediate calls refused", policy: spreadPresent, tries: 2, refused: true},
		{name: "present, order as built", policy: spreadPresent, tries: 1, reorder: true},
		{name: "power of two of fresh reports", policy: spreadFresh, tries: 1, reorder: true},
		{name: "own decisions", policy: spreadOwn, tries: 1, reorder: true},
		{name: "shares of free slots", policy: spreadShares, tries: 1, reorder: true},
		{name: "age-weighted", policy: spreadAged, tries: 1, reorder: true},
		builtChoice,
		{name: "built, no immediate call", policy: spreadBuilt, reorder: true},
		{name: "built, two immediate calls", policy: spreadBuilt, tries: 2, reorder: true},
	}
	const seeds = 5
	for _, load := range []float64{0.5, 0.8, 0.9} {
		for _, deciders := range []int{30, 100, 300} {
			for _, c := range choices {
				var sum spreadResult
				for seed := range uint64(seeds) {
					sum.add(spreadRun(seed+10, deciders, load, c))
				}
				t.Logf("load %.1f, %3d deciders, %-31s peak/mean %.2f, idle %.2f%%, calls %.2f", load, deciders, c.name, sum.peak/seeds, 100*sum.idle/seeds, sum.calls/seeds)
			}
		}
	}
}

// loadAt returns an estimate of a group of 10 slots with one response.
func loadAt(free, queued int, now time.Time) *LoadEstimate {
	e := &LoadEstimate{}
	e.Record(e.StartCall(), free, queued, 10, now)
	e.EndCall(1)
	return e
}

// Guards against a group that stays the last choice because the response of one call was
// lost: the call counts until it has ended, and not after that.
func TestLostResponseIsNotCountedForever(t *testing.T) {
	now := time.Unix(100, 0)
	e := loadAt(5, 0, now)
	call := e.StartCall()
	if l := e.Load(10, now); l.Unreported != 1 {
		t.Fatalf("%d calls count as not reported while one is in flight, want 1", l.Unreported)
	}
	e.EndCall(call)
	if l := e.Load(10, now); l.Unreported != 0 {
		t.Fatalf("%d calls count as not reported after the response was lost, want 0", l.Unreported)
	}
	first, second := e.StartCall(), e.StartCall()
	e.Record(second, 3, 0, 10, now)
	if l := e.Load(10, now); l.Unreported != 0 {
		t.Fatalf("%d calls count although the response to a later call includes them, want 0", l.Unreported)
	}
	e.EndCall(first)
}

// Guards against a new holder that is judged by the load that its predecessor reported,
// and against a late response of the predecessor.
func TestChangeOfHolderDropsOldLoad(t *testing.T) {
	now := time.Unix(100, 0)
	full, other := loadAt(0, 10, now), loadAt(5, 0, now)
	late := full.StartCall()
	full.Forget()
	full.Record(late, 0, 10, 10, now)
	rooms := ExpectedRooms([]EstimatedLoad{full.Load(10, now), other.Load(10, now)}, time.Second)
	if rooms[0] != rooms[1] {
		t.Fatalf("expected room is %.2f after a change of the holder, want that of the other groups, %.2f", rooms[0], rooms[1])
	}
}

// Guards against requests to a group whose last target has left, and to an unreachable
// holder, while another group has slots.
func TestEmptyGroupIsLast(t *testing.T) {
	now := time.Unix(100, 0)
	random := rand.New(rand.NewPCG(1, 1))
	empty, lost, busy := loadAt(10, 0, now).Load(0, now), loadAt(10, 0, now).Load(10, now), loadAt(0, 5, now).Load(10, now)
	lost.Unreachable = true
	for range 100 {
		order := OrderGroups([]EstimatedLoad{empty, lost, busy}, time.Second, random.Float64).Order
		if order[0] != 2 {
			t.Fatalf("the order is %v, want the reachable group with slots first", order)
		}
	}
}

// Guards against a decider that acts on the load from before a pause: a group that was full
// then is expected to be as loaded as the others, and not avoided.
func TestPausedDeciderForgetsOldLoad(t *testing.T) {
	now := time.Unix(100, 0)
	full, other := loadAt(0, 20, now), loadAt(9, 0, now)
	now = now.Add(30 * time.Second)
	other.Record(other.StartCall(), 4, 0, 10, now)
	other.EndCall(other.LastCall())
	rooms := ExpectedRooms([]EstimatedLoad{full.Load(10, now), other.Load(10, now)}, 200*time.Millisecond)
	if rooms[0] < 0.3 {
		t.Fatalf("expected room of the group is %.2f after a pause of 30 s, want at least 0.3", rooms[0])
	}
}
