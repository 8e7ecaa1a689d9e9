package target

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/document"
)

// explainedView returns a group of six targets in two failure domains, one of them
// draining and one in a domain that is out.
func explainedView(p document.Placement) *View {
	s := serviceOf("s", 6, 3, 2)
	s.Placement, s.ColdPerSecond, s.ColdRampMs = p, 4, 200
	s.Targets[4].State = document.Draining
	s.Targets[5].FailureDomain = "out"
	s.Targets[3].ColdMs = 700
	return &View{
		Service: &s, Group: Group{Name: "s#0", Service: "s", Targets: s.Targets}, OutDomains: map[string]bool{"out": true},
		EjectableSlots: 3, LongestHold: time.Second, GroupCount: 1,
	}
}

// comparable removes from a holder what does not belong to its state: the function for
// events and sums of histograms that are computed when they are read.
func (h *Holder) comparable() *Holder {
	h.emit = nil
	for _, t := range h.answerTimes {
		t.refresh()
	}
	return h
}

// runningPermit is a permit in use in a test of explanations.
type runningPermit struct {
	caller Caller
	grant  Grant
	since  time.Time
}

// earlier returns the targets with permits that were issued before now. The gray
// probability of a target with requests of several ages depends on the order in which a map
// is read, so that two holders with the same requests may choose differently.
func earlier(all []runningPermit, now time.Time) (targets []string) {
	for _, r := range all {
		if r.since.Before(now) {
			targets = append(targets, r.grant.Target)
		}
	}
	return targets
}

// Guards against an explanation that names another target than the one that gets the
// request, and against one that changes a holder: of two holders with the same requests,
// only one explains them, and both must make the same grants and end in the same state.
func TestExplanationMatchesChoiceAndChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := explainedView(rapid.SampledFrom([]document.Placement{document.ByOutlierDetection, document.ByHealthEstimate}).Draw(t, "placement"))
		c := Config{View: view, Members: []string{"a", "b"}, Anticipate: rapid.Bool().Draw(t, "anticipate"), OverloadControl: rapid.Bool().Draw(t, "control")}
		now := time.Unix(1000, 0)
		asked, other := NewHolder(c, now), NewHolder(c, now)
		both := []*Holder{asked, other}
		callers := []Caller{{"a", 1}, {"b", 2}}
		if asked.placesByHealth() {
			callers = callers[:1]
		}
		var all []runningPermit
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(max(0, rapid.IntRange(-60, 120).Draw(t, "ms"))) * time.Millisecond)
			caller := rapid.SampledFrom(callers).Draw(t, "caller")
			switch kind := rapid.IntRange(0, 9).Draw(t, "step"); {
			case kind == 0:
				for _, h := range both {
					h.Tick(now, func(string) bool { return true })
				}
			case kind < 4 && len(all) > 0:
				i := rapid.IntRange(0, len(all)-1).Draw(t, "permit")
				o := rapid.SampledFrom([]Outcome{OK, OK, OK, Error, Shed, Unreachable, Lost, Timeout}).Draw(t, "outcome")
				for _, h := range both {
					h.Release(all[i].caller, []Release{{all[i].grant.Permit, o, now.Sub(all[i].since)}}, now)
				}
				all = slices.Delete(all, i, i+1)
			default:
				a := AcquireRequest{
					Caller: caller, Hold: time.Second, Route: "r", Domain: "domain-1",
					Idempotent: rapid.Bool().Draw(t, "idempotent"), Failing: rapid.Bool().Draw(t, "failing"),
					Avoid: rapid.SampledFrom([][]string{nil, {"s-01"}}).Draw(t, "avoid"),
				}
				if asked.placesByHealth() {
					a.Avoid = append(earlier(all, now), a.Avoid...)
				}
				choices := asked.ExplainChoice(a, now)
				got, ok := asked.Acquire(a, now)
				want, wantOK := other.Acquire(a, now)
				if got != want || ok != wantOK {
					t.Fatalf("grant %+v after an explanation, %+v without", got, want)
				}
				checkChoices(t, choices, got, ok)
				if ok {
					all = append(all, runningPermit{caller, got, now})
				}
			}
		}
		// Nothing follows this explanation that would bring the other holder to the same time.
		asked.ExplainChoice(AcquireRequest{Caller: callers[0], Failing: true}, now.Add(2*time.Second))
		if !reflect.DeepEqual(asked.comparable(), other.comparable()) {
			t.Fatal("the explanations changed the state of the holder")
		}
	})
}

// checkChoices checks that choices lists all targets and the granted one first.
func checkChoices(t *rapid.T, choices []TargetChoice, g Grant, ok bool) {
	if len(choices) != 6 {
		t.Fatalf("%d targets explained, want 6", len(choices))
	}
	if ok != (choices[0].Excluded == NotExcluded) || ok && choices[0].Target != g.Target {
		t.Fatalf("granted %v %q, explained %+v", ok, g.Target, choices)
	}
	for _, c := range choices {
		if c.Target == "s-04" && c.Excluded != ExcludedDraining && c.Excluded != ExcludedTakeover ||
			c.Target == "s-05" && c.Excluded != ExcludedDomainOut && c.Excluded != ExcludedTakeover {
			t.Fatalf("closed target explained as %+v", c)
		}
	}
}

// Guards against a ranking of groups that differs from the order in which requests ask
// them: with two groups, or with remote ones, the order has no random part.
func TestRankingMatchesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		remote := rapid.Bool().Draw(t, "remote")
		n := 2
		if remote {
			n = rapid.IntRange(1, 6).Draw(t, "groups")
		}
		loads := make([]EstimatedLoad, n)
		for i := range loads {
			var e LoadEstimate
			if rapid.Bool().Draw(t, "known") {
				e.Record(1, rapid.IntRange(0, 9).Draw(t, "free"), rapid.IntRange(0, 9).Draw(t, "queued"), 9, now)
			}
			loads[i] = e.Load(9, now.Add(100*time.Millisecond))
			loads[i].Remote = remote && i > 0
			loads[i].Unreachable = rapid.IntRange(0, 5).Draw(t, "unreachable") == 0
		}
		got := RankEstimated(loads, 0)
		want := OrderGroups(loads, 0, func() float64 { return 0 })
		rooms := ExpectedRooms(loads, 0)
		for i, r := range got.Ranks {
			if got.Drawn || rooms[r.Group] != rooms[want.Order[i]] {
				t.Fatalf("ranking %+v, order %v by rooms %v", got, want.Order, rooms)
			}
			if r.Last != loads[r.Group].Unreachable || math.IsInf(r.Room, 0) {
				t.Fatalf("group %+v, unreachable: %v", r, loads[r.Group].Unreachable)
			}
		}
		if got.Ranks[0].FreeSlot != want.HasRoom {
			t.Fatalf("free slot %v, want %v", got.Ranks[0].FreeSlot, want.HasRoom)
		}
	})
}

// Guards against an unreachable or full group that is explained as the preferred one, and
// against a ranking that is given as certain although groups are drawn at random.
func TestRankingByReports(t *testing.T) {
	loads := []GroupLoad{{Free: 9, Slots: 9, Unreachable: true}, {Free: 1, Slots: 9}, {Free: 3, Slots: 9}, {Free: 0, Slots: 9, Outdated: true}}
	groups := func(r GroupRanking) (order []int) {
		for _, rank := range r.Ranks {
			order = append(order, rank.Group)
		}
		return order
	}
	r := RankReported(loads, nil)
	if got := groups(r); !slices.Equal(got, []int{2, 1, 3, 0}) || !r.Drawn || r.Ranks[3].FreeSlot || !r.Ranks[3].Last {
		t.Errorf("order %v, drawn %v", got, r.Drawn)
	}
	r = RankReported(loads, []bool{false, false, true, true})
	if got := groups(r); !slices.Equal(got, []int{3, 1, 2, 0}) || r.Drawn {
		t.Errorf("with domains: order %v, drawn %v", got, r.Drawn)
	}
}
