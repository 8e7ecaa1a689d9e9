package overload

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawRequest(t *rapid.T) Request {
	deadline := time.Duration(rapid.IntRange(10, 12000).Draw(t, "deadline ms")) * time.Millisecond
	return Request{
		Deadline: deadline, Rank: rapid.IntRange(0, 20).Draw(t, "rank"),
		Objective:    min(deadline, time.Duration(rapid.IntRange(0, 4000).Draw(t, "objective ms"))*time.Millisecond),
		Elapsed:      time.Duration(rapid.IntRange(0, 4000).Draw(t, "elapsed ms")) * time.Millisecond,
		ShowsReturns: rapid.Bool().Draw(t, "shows returns"),
		Answer:       time.Duration(rapid.IntRange(0, 1000).Draw(t, "answer ms")) * time.Millisecond,
	}
}

// Guards against delays that callers do not honour, that cost the objective although it
// can still be met, or that are equal for callers refused together.
func TestRetryDelayLeavesTimeForTheAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		first, last := RetryDelay(r, 0), RetryDelay(r, 0.999)
		if first <= 0 || 3*last > r.Deadline+3*time.Millisecond {
			t.Fatalf("delays from %v to %v with %v left", first, last, r.Deadline)
		}
		if r.Objective-r.Objective/2 >= 2*r.Answer && r.Objective > 4*minRetryDelay && last > r.Objective/2 {
			t.Fatalf("delay %v with %v left in the objective", last, r.Objective)
		}
		if r.Deadline >= time.Second && r.Elapsed >= 4*minRetryDelay && r.Objective == 0 && first == last {
			t.Fatalf("all callers return after %v", first)
		}
	})
}

// Guards against a budget that is spent on callers that can return, or on less urgent
// requests first.
func TestRepeatShareOrdersRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRequest(t)
		share := RepeatShare(r)
		if share <= 0 || share > 1 {
			t.Fatalf("share %v is not in (0, 1]", share)
		}
		lower := r
		lower.Rank++
		if RepeatShare(lower) > share {
			t.Fatalf("a lower rank may use %v of the budget, more than %v", RepeatShare(lower), share)
		}
		short := r
		short.Deadline = r.Answer / 2
		if RepeatShare(short) < share {
			t.Fatalf("with little time left %v of the budget, less than %v", RepeatShare(short), share)
		}
	})
}

// Guards against workspaces that count as above their usual demand because all have
// risen, and against one that does not although it alone has.
func TestExcessIsThatOfOneWorkspace(t *testing.T) {
	for _, one := range []bool{false, true} {
		var d Demand
		now := time.Unix(1000, 0)
		excess := map[string]int{}
		for step := range 2000 {
			now = now.Add(10 * time.Millisecond)
			for i := range 20 {
				name := fmt.Sprint(i)
				many := step >= 1500 && (!one || i == 0)
				if step%10 == i%10 || many {
					if d.Record(name, now) {
						excess[name]++
					}
				}
			}
		}
		if got := excess["0"] > 300; got != one {
			t.Errorf("one workspace risen: %v, but %d of its 500 requests are in excess", one, excess["0"])
		}
		delete(excess, "0")
		if len(excess) > 0 {
			t.Errorf("one workspace risen: %v, but others are in excess: %v", one, excess)
		}
	}
}

// Guards against a large workspace whose own rise counts as one of all workspaces and hides
// its excess, and against a workspace on its own that counts as in excess.
func TestExcessOfALargeWorkspace(t *testing.T) {
	for _, others := range []int{0, 1} {
		var d Demand
		now := time.Unix(1000, 0)
		excess := map[string]int{}
		for step := range 2000 {
			now = now.Add(10 * time.Millisecond)
			for i := range 1 + others {
				if (step%10 == i || step >= 1500 && i == 0) && d.Record(fmt.Sprint(i), now) {
					excess[fmt.Sprint(i)]++
				}
			}
		}
		if got := excess["0"] > 300; got != (others > 0) || excess["1"] > 0 {
			t.Errorf("%d other workspaces: requests in excess %v, want more than 300 of workspace 0 only beside others", others, excess)
		}
	}
}

// Guards against first requests that count as returning, against returning ones that do
// not, and against a few callers with longer deadlines that make all others count as
// returning.
func TestElapsedIsTheMissingTime(t *testing.T) {
	var d Deadlines
	now := time.Unix(1000, 0)
	for i := range 400 {
		now = now.Add(100 * time.Millisecond)
		first := d.Elapsed("r", 4*time.Second, now)
		returned := time.Duration(0)
		if i%3 != 0 {
			returned = d.Elapsed("r", 3*time.Second, now)
		}
		if i%10 == 0 {
			d.Elapsed("r", 10*time.Second, now)
		}
		if i < minDeadlines {
			continue
		}
		if first != 0 || i%3 != 0 && returned != time.Second || !d.ShowReturns("r", now) {
			t.Fatalf("request %d: elapsed %v and %v, want 0 and 1s", i, first, returned)
		}
	}
	d.Retain(func(string) bool { return false })
	if len(d.routes) != 0 {
		t.Errorf("%d routes kept, want none", len(d.routes))
	}
}

// Guards against refused callers that return together when slots become free.
func TestReturnsFollowEachOther(t *testing.T) {
	var s Returns
	now := time.Unix(1000, 0)
	previous := time.Duration(0)
	for i := range 50 {
		d := s.Delay(100*time.Millisecond, 20*time.Millisecond, time.Minute, 0.5, now)
		if d != previous+20*time.Millisecond && i > 0 {
			t.Fatalf("return %d after %v, want 20 ms after the previous one at %v", i, d, previous)
		}
		previous = d
	}
}

// Guards against a copy for a query that decides otherwise than the request that follows, or
// that changes what it was copied from.
func TestCopiesForQueriesDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var asked, other Order
		var deadlines Deadlines
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			a := Arrival{
				Workspace: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "workspace"),
				DueAfter:  time.Second, Deadline: time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second,
			}
			copied, known := asked.ForQuery(a.Workspace), deadlines.ForQuery("r")
			place, elapsed := copied.Arrive(a, now), known.Elapsed("r", a.Deadline, now)
			if got := asked.Arrive(a, now); got != place || got != other.Arrive(a, now) {
				t.Fatalf("place %+v, announced %+v", got, place)
			}
			if got := deadlines.Elapsed("r", a.Deadline, now); got != elapsed {
				t.Fatalf("elapsed %v, announced %v", got, elapsed)
			}
		}
	})
}
