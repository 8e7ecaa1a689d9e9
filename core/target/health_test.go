package target

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// graySimulation plays a service whose targets have episodes of hanging requests, in
// virtual time. It counts the requests that hang.
type graySimulation struct {
	holder   *Holder
	random   *rand.Rand
	now      time.Time
	episodes map[string]time.Time // end of the last episode by target
	ends     []grayEnd
	sent     int
	hung     int
	// idempotent is the share of idempotent requests.
	idempotent float64
	// failing is what the entry VM reports with each request.
	failing bool
}

type grayEnd struct {
	at      time.Time
	release Release
}

var grayCaller = Caller{VM: "vm-1", Instance: 1}

func newGraySimulation(seed uint64, placement document.Placement, targets int) *graySimulation {
	service := &document.Service{Name: "citas", FloorPercent: 70, ColdSlots: 3, Placement: placement}
	for i := range targets {
		service.Targets = append(service.Targets, document.Target{
			ID: fmt.Sprintf("t%02d", i), Address: "a:1", FailureDomain: "a", Slots: 3, State: document.Active,
		})
	}
	view := &View{
		Service: service, Group: Group{Name: "citas#0", Service: "citas", Targets: service.Targets},
		EjectableSlots: 3 * targets * 30 / 100, LongestHold: 3 * time.Second, GroupCount: 1,
	}
	now := time.Unix(1000, 0)
	return &graySimulation{
		holder:   NewHolder(Config{View: view, Members: []string{"vm-1"}}, now),
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      now,
		episodes: map[string]time.Time{},

		idempotent: 0.25,
	}
}

// step advances by 10 ms: episodes begin, requests end and about one request arrives.
func (w *graySimulation) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	for _, s := range w.holder.targets {
		// About 30% of the targets are gray at any time: episodes of 3 s about every 10 s.
		if w.now.After(w.episodes[s.doc.ID].Add(2*time.Second)) && w.random.Float64() < 0.01/5 {
			w.episodes[s.doc.ID] = w.now.Add(3 * time.Second)
		}
	}
	w.holder.Tick(w.now, func(string) bool { return true })
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.at.After(w.now) {
			kept = append(kept, e)
			continue
		}
		w.holder.Release(grayCaller, []Release{e.release}, w.now)
	}
	w.ends = kept
	if w.random.Float64() < 0.8 {
		w.request()
	}
}

// request sends one request, idempotent with the probability w.idempotent.
func (w *graySimulation) request() {
	a := AcquireRequest{Caller: grayCaller, Hold: 2 * time.Second, Route: "book", Domain: "a", Idempotent: w.random.Float64() < w.idempotent, Failing: w.failing}
	g, ok := w.holder.Acquire(a, w.now)
	if !ok {
		return
	}
	took := time.Duration(w.random.ExpFloat64()*60+60) * time.Millisecond
	release := Release{Permit: g.Permit, Outcome: OK, Latency: took}
	hangs := w.now.Before(w.episodes[g.Target]) && w.random.Float64() < 0.75
	if hangs {
		took = 1500 * time.Millisecond
		release = Release{Permit: g.Permit, Outcome: Timeout}
	}
	if !a.Idempotent {
		w.sent++
		if hangs {
			w.hung++
		}
	}
	w.ends = append(w.ends, grayEnd{w.now.Add(took), release})
}

// Guards against a placement that sends non-idempotent requests to targets in a gray
// episode. At any time 30% of the targets hang on 75% of their requests; placement by
// health estimates must lose at most half of what outlier detection loses.
func TestHealthPlacementLosesLessThanOutlierDetection(t *testing.T) {
	lost := map[document.Placement]float64{}
	for _, placement := range []document.Placement{document.ByOutlierDetection, document.ByHealthEstimate} {
		sent, hung := 0, 0
		for seed := range uint64(5) {
			w := newGraySimulation(seed, placement, 20)
			for range 6000 {
				w.step()
			}
			sent += w.sent
			hung += w.hung
		}
		lost[placement] = float64(hung) / float64(sent)
		t.Logf("placement %q: %d of %d non-idempotent requests hung (%.1f%%)", placement, hung, sent, 100*lost[placement])
	}
	if lost[document.ByHealthEstimate] > lost[document.ByOutlierDetection]/2 {
		t.Fatalf("%.3f of the requests hang with health estimates, want at most half of the %.3f with outlier detection", lost[document.ByHealthEstimate], lost[document.ByOutlierDetection])
	}
}

// Guards against avoiding a target for good after one gray episode.
func TestHealthPlacementReturnsToRecoveredTarget(t *testing.T) {
	w := newGraySimulation(3, document.ByHealthEstimate, 6)
	s := w.holder.targets[0]
	s.health.target.set(1, w.now)
	for range 1500 {
		w.step()
		for id := range w.episodes {
			delete(w.episodes, id)
		}
	}
	if p := w.holder.grayProbability(s, grayCaller.VM, w.now); p > priorGray {
		t.Fatalf("gray probability is %.2f after 15 s without a failure, want at most the prior", p)
	}
	if idle := w.now.Sub(s.health.lastGrant); idle > 2*time.Second {
		t.Fatalf("the target got no request for %v, want at most 2 s", idle)
	}
}

// Guards against sending more requests per second to a cold target than its rate
// limit.
func TestHealthPlacementKeepsColdRateLimit(t *testing.T) {
	w := newGraySimulation(4, document.ByHealthEstimate, 1)
	w.holder.view.Service.ColdPerSecond = 20
	w.holder.targets[0].doc.Slots = 100
	w.holder.targets[0].health.setColdUntil(document.Target{ColdMs: 60_000}, w.now)
	var grants []time.Time
	for range 3000 {
		w.now = w.now.Add(time.Millisecond)
		if g, ok := w.holder.Acquire(AcquireRequest{Caller: grayCaller, Hold: time.Second}, w.now); ok {
			grants = append(grants, w.now)
			w.holder.Release(grayCaller, []Release{{Permit: g.Permit, Outcome: OK, Latency: time.Millisecond}}, w.now)
		}
	}
	for i := range grants {
		n := 0
		for _, g := range grants[i:] {
			if g.Sub(grants[i]) < time.Second {
				n++
			}
		}
		if n > 20 {
			t.Fatalf("%d requests within a second, want at most 20", n)
		}
	}
	if len(grants) < 20 {
		t.Fatalf("%d requests in 3 s, want at least 20", len(grants))
	}
}

// Guards against holders on both sides of a network partition that together send a target which
// turned cold without announcing it more than it bears: without a recent success it is treated
// as cold, and each holder used the whole limit.
func TestUnverifiedTargetGetsShareOfColdLimit(t *testing.T) {
	const bound = 20
	sum := 0
	for seed := range uint64(2) {
		w := newGraySimulation(seed, document.ByHealthEstimate, 1)
		w.holder.view.Service.ColdPerSecond = bound
		w.holder.targets[0].doc.Slots = 100
		w.holder.SetShare(0.5)
		for range 900 {
			w.now = w.now.Add(time.Millisecond)
			if g, ok := w.holder.Acquire(AcquireRequest{Caller: grayCaller, Hold: time.Second}, w.now); ok {
				sum++
				w.holder.Release(grayCaller, []Release{{Permit: g.Permit, Outcome: Error, Latency: time.Millisecond}}, w.now)
			}
		}
	}
	if sum > bound {
		t.Errorf("two holders with half of the grants each sent %d requests within a second, want at most %d", sum, bound)
	}
}

// Guards against sending non-idempotent requests to a target that is known to be gray
// because the healthy ones are busy for a moment.
func TestHealthPlacementWaitsForHealthyTarget(t *testing.T) {
	w := newGraySimulation(5, document.ByHealthEstimate, 4)
	for _, s := range w.holder.targets[1:] {
		s.health.target.set(1, w.now)
	}
	w.holder.targets[0].health.target.set(0, w.now)
	w.holder.Tick(w.now, func(string) bool { return true })
	a := AcquireRequest{Caller: grayCaller, Hold: time.Second, Route: "book", Domain: "a"}
	granted := 0
	for range 10 {
		if g, ok := w.holder.Acquire(a, w.now); ok {
			granted++
			if g.Target != "t00" {
				t.Fatalf("gray target %s got a request, want only t00", g.Target)
			}
		}
	}
	if granted != 3 {
		t.Fatalf("%d requests granted, want 3 for the slots of the healthy target", granted)
	}
	for _, s := range w.holder.targets {
		s.health.target.set(1, w.now)
	}
	if _, ok := w.holder.Acquire(a, w.now); !ok {
		t.Fatal("no target got a request although all have the same gray probability")
	}
}

// Guards against treating a target as gray for all entry VMs when only one of them
// cannot reach it: a VM that can must keep using it.
func TestHealthEstimateDistinguishesPathsFromTargets(t *testing.T) {
	w := newGraySimulation(6, document.ByHealthEstimate, 1)
	s := w.holder.targets[0]
	for i := range 12 {
		w.now = w.now.Add(150 * time.Millisecond)
		s.health.update("vm-1", 1/0.3, w.now)
		if i%3 == 2 {
			s.health.update("vm-1", grayFailureShare/healthyFailureShare, w.now)
		}
		s.health.update("vm-2", (1-grayFailureShare)/(1-healthyFailureShare), w.now)
	}
	reached, unreached := w.holder.grayProbability(s, "vm-2", w.now), w.holder.grayProbability(s, "vm-1", w.now)
	if reached > 0.2 || unreached < grayLimit {
		t.Fatalf("gray probability is %.2f for the VM that reaches the target, want at most 0.2; %.2f for the VM that does not, want at least grayLimit", reached, unreached)
	}
}

// BenchmarkBeliefAcquire runs one placement decision among 24 targets with requests
// running on each.
func BenchmarkBeliefAcquire(b *testing.B) {
	w := newGraySimulation(7, document.ByHealthEstimate, 24)
	for range 600 {
		w.step()
	}
	a := AcquireRequest{Caller: grayCaller, Hold: time.Second, Route: "book", Domain: "a"}
	b.ReportAllocs()
	for b.Loop() {
		w.holder.chooseByHealth(a, w.now)
	}
}
