package fair

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against entries that are lost, served twice, served after their deadline
// or served after cancellation, against queues that exceed their limits, and against an
// announced result that differs from that of the push.
func TestEachEntryLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerFlow: rapid.IntRange(1, 6).Draw(t, "perFlow"), Total: rapid.IntRange(1, 12).Draw(t, "total")}
		q := New[int](limits)
		now, next := start, 0
		waiting := map[int]*Item[int]{}
		deadline := map[int]time.Time{}
		leave := func(v int) {
			if waiting[v] == nil {
				t.Fatalf("entry %d left the queue twice", v)
			}
			delete(waiting, v)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				life := time.Duration(rapid.IntRange(1, 60).Draw(t, "life")) * time.Millisecond
				e := Entry[int]{Flow: fmt.Sprint(step % 3), Value: next, Cost: 1 + step%2, Deadline: now.Add(life)}
				verdict := q.Verdict(e, now)
				it, v := q.Push(e, now)
				if v != verdict {
					t.Fatalf("push of entry %d: got %s, announced %s", next, v, verdict)
				}
				if v == Accepted {
					waiting[next], deadline[next] = it, e.Deadline
				}
				next++
			case 2:
				if v, ok := q.Pop(now); ok {
					leave(v)
					if !now.Before(deadline[v]) {
						t.Fatalf("entry %d served after its deadline", v)
					}
				}
			case 3:
				if v := step / 2; q.Cancel(waiting[v]) {
					leave(v)
				}
			}
			for _, d := range q.TakeDrops(now) {
				leave(d.Value)
			}
			if q.Len() != len(waiting) || q.Len() > limits.Total || q.FlowLen("0") > limits.PerFlow {
				t.Fatalf("got %d entries in the queue, want %d, limits %+v", q.Len(), len(waiting), limits)
			}
		}
	})
}

// Guards against a flow with a long queue that delays or displaces the others.
func TestLongFlowDoesNotDelayOthers(t *testing.T) {
	q := New[string](Limits{PerFlow: 100, Total: 100})
	for range 100 {
		q.Push(Entry[string]{Flow: "large", Value: "large"}, start)
	}
	for range 10 {
		if _, v := q.Push(Entry[string]{Flow: "small", Value: "small"}, start); v != Accepted {
			t.Fatalf("Push to the shorter flow: got %s, want accepted", v)
		}
	}
	if dropped := q.TakeDrops(start); len(dropped) != 10 || dropped[0].Value != "large" {
		t.Fatalf("dropped entries: got %v, want 10 of the large flow", dropped)
	}
	served := map[string]int{}
	for range 20 {
		v, _ := q.Pop(start)
		served[v]++
	}
	if served["small"] != 10 {
		t.Fatalf("served entries: got %v, want 10 of the small flow", served)
	}
}

// Guards against an entry that is queued although it would expire before its turn.
func TestEarlyRefusal(t *testing.T) {
	q := New[int](Limits{})
	for i := range 50 {
		q.Push(Entry[int]{Flow: "a", Value: i}, start)
	}
	now := start
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		q.Pop(now)
	}
	if _, v := q.Push(Entry[int]{Flow: "a", Deadline: now.Add(300 * time.Millisecond)}, now); v != Late {
		t.Fatalf("40 entries of 10 ms each ahead of a deadline in 300 ms: got %s, want late", v)
	}
	if _, v := q.Push(Entry[int]{Flow: "b", Deadline: now.Add(300 * time.Millisecond)}, now); v != Accepted {
		t.Fatalf("Push to a flow without entries: got %s, want accepted", v)
	}
}
