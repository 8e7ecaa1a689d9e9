package target

import (
	"testing"
	"time"
)

// noTrial is the mayTrial function of a queue in which no request may be a trial.
func noTrial[T any](T) bool { return false }

// Guards against targets that stay idle while requests wait: only idempotent requests
// may use them, and these are due after more non-idempotent requests than one pass
// offers slots to (on 89 VMs 95 requests waited while most slots of the group were
// free, and less than 70% of the healthy targets had a request within 2 s).
func TestDueQueueOffersTrialsBehindOtherRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewDueQueue(1000, 1000, func(v string) bool { return v == "idempotent" })
	for range 50 {
		q.Push("a", now.Add(100*time.Millisecond), now.Add(time.Second), "unsafe")
	}
	q.Push("b", now.Add(3*time.Second), now.Add(4*time.Second), "idempotent")
	offered, served := 0, 0
	q.Serve(func(v string) bool {
		offered++
		if v == "idempotent" {
			served++
		}
		return v == "idempotent"
	})
	if served != 1 {
		t.Errorf("the idempotent request was not served; %d requests were offered a slot", offered)
	}
	if offered > 2*maxRefusals {
		t.Errorf("%d requests were offered a slot in one pass, want at most 2*maxRefusals", offered)
	}
}

// Guards against passing over the request that is due first in each pass because the
// oldest one cannot use a slot.
func TestDueQueueOffersTheFirstBesideTheOldest(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewDueQueue(10, 10, noTrial[string])
	q.served = oldestEvery - 1
	q.Push("a", now.Add(2*time.Second), now.Add(4*time.Second), "oldest")
	q.Push("b", now.Add(time.Second), now.Add(4*time.Second), "first")
	q.Serve(func(v string) bool { return v == "first" })
	if q.Len() != 1 {
		t.Fatal("the request that is due first was not offered a slot")
	}
}

// Guards against less urgent requests that starve and against urgent ones that wait
// behind them: at twice the load of the slots both must be served, the urgent ones
// more often.
func TestDueQueueServesBothUnderOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewDueQueue(1000, 1000, noTrial[string])
	served := map[string]int{}
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		q.Push("a", now.Add(300*time.Millisecond), now.Add(time.Second), "urgent")
		q.Push("b", now.Add(900*time.Millisecond), now.Add(time.Second), "patient")
		q.Expire(now, func(string) {})
		q.Serve(func(v string) bool {
			if served["now"] > 0 {
				return false
			}
			served["now"]++
			served[v]++
			return true
		})
		served["now"] = 0
	}
	if served["urgent"] <= served["patient"] || served["patient"] < served["urgent"]/10 {
		t.Fatalf("%d urgent and %d less urgent requests served, want more urgent ones and at least a tenth as many less urgent ones", served["urgent"], served["patient"])
	}
}

// Guards against a workspace whose many requests delay those of others.
func TestDueQueueIsFairBetweenWorkspaces(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewDueQueue(100, 100, noTrial[string])
	for range 50 {
		q.Push("many", now.Add(100*time.Millisecond), now.Add(time.Second), "many")
	}
	q.Push("one", now.Add(110*time.Millisecond), now.Add(time.Second), "one")
	position, servedAt := 0, 0
	q.Serve(func(v string) bool {
		position++
		if v == "one" {
			servedAt = position
		}
		return true
	})
	if servedAt == 0 || servedAt > 5 {
		t.Fatalf("served at position %d, want 1 to 5", servedAt)
	}
}

// Guards against room that is announced but not there, or there but not announced, in a full
// queue that gives up later requests and in one that does not.
func TestDueQueueAnnouncesRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, evicts := range []bool{false, true} {
		q := NewDueQueue(4, 6, noTrial[string])
		if evicts {
			q.SetRules(ServeRules[string]{Evicted: func(string) {}})
		}
		for i := range 40 {
			workspace, due := []string{"a", "b", "c"}[i%3], now.Add(time.Duration(400-7*i*(i%5))*time.Millisecond)
			announced, before := q.HasRoom(workspace, due), q.Len()
			if q.Len() != before || q.Push(workspace, due, now.Add(time.Second), workspace) != announced {
				t.Fatalf("evicts %v, request %d: announced room %v of %d requests", evicts, i, announced, q.Len())
			}
		}
	}
}
