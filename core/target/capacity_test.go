package target

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// capacitySimulation plays one group whose targets differ in what they serve at once, in
// virtual time. Requests wait in order of arrival.
type capacitySimulation struct {
	holder  *Holder
	random  *rand.Rand
	now     time.Time
	kinds   []capacityKind // by target
	ends    []capacityEnd
	waiting []time.Time // arrival times
	// answered, hung and shed count outcomes, took is the time from arrival to answer.
	answered, hung, shed int
	took                 time.Duration
}

// capacityKind is how a target behaves.
type capacityKind struct {
	served   int     // requests that it serves at once
	speed    float64 // 1 is usual
	shedFull bool    // it sheds half of the requests that take its last slot
	gray     func(now time.Time) bool
	shedAll  func(now time.Time) bool // it sheds half of all requests
}

type capacityEnd struct {
	at      time.Time
	release Release
	arrived time.Time
	target  int
}

const capacitySlots = 4

var capacityStart = time.Unix(1000, 0)

func newCapacitySimulation(seed uint64, anticipate bool, kinds ...capacityKind) *capacitySimulation {
	service := &document.Service{Name: "citas", FloorPercent: 70, Placement: document.ByHealthEstimate}
	for i := range kinds {
		service.Targets = append(service.Targets, document.Target{
			ID: fmt.Sprintf("t%02d", i), Address: "a:1", FailureDomain: "a", Slots: capacitySlots, State: document.Active,
		})
	}
	view := &View{Service: service, Group: Group{Name: "citas#0", Service: "citas", Targets: service.Targets}, LongestHold: 3 * time.Second, GroupCount: 1}
	return &capacitySimulation{
		holder: NewHolder(Config{View: view, Members: []string{"vm-1"}, Anticipate: anticipate}, capacityStart),
		random: rand.New(rand.NewPCG(seed, 5)), now: capacityStart, kinds: kinds,
	}
}

// run plays d with the given number of requests per second.
func (w *capacitySimulation) run(d time.Duration, rate float64) {
	const step = 5 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.holder.Tick(w.now, func(string) bool { return true })
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.at.After(w.now) {
				kept = append(kept, e)
				continue
			}
			w.end(e)
		}
		w.ends = kept
		for p := rate * step.Seconds(); p > 0; p-- {
			if w.random.Float64() < p {
				w.waiting = append(w.waiting, w.now)
			}
		}
		for len(w.waiting) > 0 && w.grant(w.waiting[0]) {
			w.waiting = w.waiting[1:]
		}
	}
}

func (w *capacitySimulation) end(e capacityEnd) {
	switch e.release.Outcome {
	case OK:
		w.answered++
		w.took += e.at.Sub(e.arrived)
	case Shed:
		w.shed++
		w.waiting = append([]time.Time{e.arrived}, w.waiting...)
	default:
		w.hung++
	}
	w.holder.Release(grayCaller, []Release{e.release}, w.now)
}

// grant asks for a permit and starts the request; false when none is granted.
func (w *capacitySimulation) grant(arrived time.Time) bool {
	a := AcquireRequest{Caller: grayCaller, Hold: 2 * time.Second, Route: "book", Domain: "a", Idempotent: w.random.Float64() < 0.25, Overdue: w.now.Sub(arrived) > 600*time.Millisecond}
	g, ok := w.holder.Acquire(a, w.now)
	if !ok {
		return false
	}
	var i int
	_, _ = fmt.Sscanf(g.Target, "t%d", &i)
	kind, running := w.kinds[i], 1
	for _, e := range w.ends {
		if e.target == i {
			running++
		}
	}
	took := time.Duration(math.Exp(0.6*w.random.NormFloat64()) * 120 / kind.speed * max(1, float64(running)/float64(kind.served)) * float64(time.Millisecond))
	release := Release{Permit: g.Permit, Outcome: OK, Latency: took}
	switch {
	case kind.gray != nil && kind.gray(w.now) && w.random.Float64() < 0.75:
		took, release = 1500*time.Millisecond, Release{Permit: g.Permit, Outcome: Timeout}
	case kind.shedFull && running >= capacitySlots || kind.shedAll != nil && kind.shedAll(w.now):
		if w.random.Float64() < 0.5 {
			took, release = 2*time.Millisecond, Release{Permit: g.Permit, Outcome: Shed}
		}
	}
	w.ends = append(w.ends, capacityEnd{w.now.Add(took), release, arrived, i})
	return true
}

func (w *capacitySimulation) limit(i int) int {
	return w.holder.slotLimit(w.holder.targets[i], w.now)
}

// usual returns n targets that serve all their slots at once.
func usual(n int) []capacityKind {
	kinds := make([]capacityKind, n)
	for i := range kinds {
		kinds[i] = capacityKind{served: capacitySlots, speed: 1}
	}
	return kinds
}

// Guards against requests that wait inside a target which serves fewer at once than it has
// slots, and against limits on targets that are merely slow. The others must not be limited
// in more than 5% of the time.
func TestLimitFollowsWhatTargetServes(t *testing.T) {
	const queueing, slow, seeds, steps = 5, 6, 4, 600
	limited := make([]float64, 8)
	for seed := range uint64(seeds) {
		kinds := usual(8)
		kinds[queueing].served, kinds[slow].speed = 1, 0.5
		w := newCapacitySimulation(seed, true, kinds...)
		for range steps {
			w.run(100*time.Millisecond, 100)
			for i := range limited {
				if w.limit(i) < capacitySlots {
					limited[i] += 1.0 / (seeds * steps)
				}
			}
		}
		if w.holder.targets[slow].relativeSpeed() > 0.85 {
			t.Errorf("seed %d: the speed of the slow target is estimated as %.2f, want at most 0.85", seed, w.holder.targets[slow].relativeSpeed())
		}
	}
	t.Logf("share of the time with a limit: %.3f", limited)
	for i, share := range limited {
		if i == queueing && share < 0.1 {
			t.Errorf("the target that serves one request at once was limited in %.3f of the time, want at least 0.1", share)
		}
		if i != queueing && share > 0.05 {
			t.Errorf("target %d was limited in %.3f of the time, want at most 0.05", i, share)
		}
	}
}

// Guards against requests that a full target sheds again and again.
func TestLimitAvoidsShedsOfFullTarget(t *testing.T) {
	kinds := usual(8)
	kinds[0].shedFull = true
	before, after := newCapacitySimulation(1, false, kinds...), newCapacitySimulation(1, true, kinds...)
	before.run(30*time.Second, 150)
	after.run(30*time.Second, 150)
	t.Logf("shed %d without and %d with a limit, answered %d and %d", before.shed, after.shed, before.answered, after.answered)
	if before.shed < 20 || 2*after.shed > before.shed {
		t.Errorf("%d requests shed, want at most half of %d", after.shed, before.shed)
	}
}

// Guards against limits that confuse targets in a gray episode, or a service that sheds
// requests at any load, with full targets, and so reduce what the service completes.
func TestLimitIgnoresOtherCauses(t *testing.T) {
	gray, shedding := usual(8), usual(8)
	for i := range gray {
		if i%3 == 0 {
			gray[i].gray = func(now time.Time) bool { return now.Sub(capacityStart)%(8*time.Second) < 3*time.Second }
		}
		shedding[i].shedAll = func(now time.Time) bool { return now.Sub(capacityStart)%(16*time.Second) < 8*time.Second }
	}
	for name, kinds := range map[string][]capacityKind{"gray": gray, "shedding": shedding} {
		answered, hung := map[bool]int{}, map[bool]int{}
		for seed := range uint64(3) {
			for _, anticipate := range []bool{false, true} {
				w := newCapacitySimulation(seed, anticipate, kinds...)
				w.run(24*time.Second, 160)
				answered[anticipate] += w.answered
				hung[anticipate] += w.hung
			}
		}
		t.Logf("%s: answered %v, hung %v", name, answered, hung)
		if float64(answered[true]) < 0.95*float64(answered[false]) || float64(hung[true]) > 1.2*float64(hung[false]) {
			t.Errorf("%s: answered %d and hung %d with limits, want about the %d and %d without", name, answered[true], hung[true], answered[false], hung[false])
		}
	}
}

// granted returns how many requests the holder grants at once.
func (w *capacitySimulation) granted() int {
	n := 0
	for ; w.grant(w.now); n++ {
	}
	return n
}

// Guards against an idle fleet, or a new holder in the middle of an episode, that uses fewer
// slots than there are.
func TestLimitDoesNotReduceIdleFleet(t *testing.T) {
	w := newCapacitySimulation(1, true, usual(4)...)
	for _, s := range w.holder.targets {
		w.holder.lowerLimit(s, 1, "test", w.now)
		s.health.recordGrant(w.now)
	}
	if n := w.granted(); n != 4 {
		t.Fatalf("%d requests granted at a limit of 1 on each of 4 targets, want 4", n)
	}
	w.run(unusedRestore+2*time.Second, 0)
	if free, n := w.holder.FreeSlots(w.now), w.granted(); n != 4*capacitySlots || free != n {
		t.Fatalf("%d slots reported as free and %d granted after a pause, want all %d", free, n, 4*capacitySlots)
	}
	next := newCapacitySimulation(1, true, usual(4)...)
	if n := next.granted(); n != 4*capacitySlots {
		t.Fatalf("%d requests granted by a new holder, want all %d", n, 4*capacitySlots)
	}
}

// Guards against a target that gets all its slots at once after an episode, and against one
// that never gets them back.
func TestReturningTargetRisesWithAnswers(t *testing.T) {
	w := newCapacitySimulation(1, true, usual(1)...)
	s := w.holder.targets[0]
	s.health.target.set(0.9, w.now)
	w.holder.learnCapacity(&permit{target: s}, Release{Outcome: Timeout}, w.now)
	if n := w.granted(); n != capacitySlots/2 {
		t.Fatalf("%d requests granted to a target that returns, want %d", n, capacitySlots/2)
	}
	if _, ok := w.holder.Acquire(AcquireRequest{Caller: grayCaller, Hold: time.Second, Route: "book", Overdue: true}, w.now); !ok {
		t.Fatal("an overdue request waits for a returning target that has free slots")
	}
	w.run(5*time.Second, 20)
	if n := w.limit(0); n != capacitySlots {
		t.Fatalf("the limit is %d after 5 s of normal answers, want all %d slots", n, capacitySlots)
	}
}

// Guards against a report of free slots that the holder does not grant, because their targets
// are probably gray.
func TestReportedFreeSlotsAreGranted(t *testing.T) {
	w := newCapacitySimulation(1, true, usual(4)...)
	for _, s := range w.holder.targets[:2] {
		s.health.target.set(0.95, w.now)
		s.health.lastGrant = w.now
	}
	if free := w.holder.FreeSlots(w.now); free != 2*capacitySlots {
		t.Fatalf("%d free slots reported while two of four targets are gray, want %d", free, 2*capacitySlots)
	}
}
