package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more repeats in some window than the budget allows, for any order of
// requests.
func TestRepeatsStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := FleetRetryBudget{Share: 0.2, Reserve: rapid.Float64Range(0, 50).Draw(t, "reserve")}
		r := newRepeatCounter()
		now := time.Unix(1000, 0)
		type arrival struct {
			at       time.Time
			repeated bool
		}
		var all []arrival
		for range rapid.IntRange(1, 400).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			repeated := rapid.Bool().Draw(t, "again")
			if repeated && !r.allows(bound, 1, now) {
				continue
			}
			r.record(repeated, now)
			all = append(all, arrival{now, repeated})
		}
		// The counter covers between repeatWindow less one bucket and repeatWindow, so it
		// counts all repeats within span together. The first requests that it counts with
		// them may be up to repeatWindow older.
		span := repeatWindow - repeatWindow/windowBuckets
		for i, from := range all {
			first, repeated := 0, 0
			for _, a := range all[i:] {
				if a.at.Sub(from.at) >= span {
					break
				}
				if a.repeated {
					repeated++
				}
			}
			for _, a := range all {
				if d := a.at.Sub(from.at); d >= -repeatWindow && d < span {
					if !a.repeated {
						first++
					}
				}
			}
			if float64(repeated) > bound.Share*float64(first)+bound.Reserve+1e-9 {
				t.Fatalf("%d repeats for %d first requests exceed the budget with a reserve of %.1f", repeated, first, bound.Reserve)
			}
		}
	})
}
