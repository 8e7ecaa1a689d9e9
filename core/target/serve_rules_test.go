package target

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// Guards against a queue full of requests that are due late, which takes no urgent ones,
// and against one that drops urgent requests for others.
func TestFullQueueEvictsTheRequestDueLast(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewDueQueue(10, 4, noTrial[string])
	var evicted []string
	q.SetRules(ServeRules[string]{Evicted: func(v string) { evicted = append(evicted, v) }})
	for _, v := range []string{"late 1", "late 2", "late 3", "latest"} {
		due := 3 * time.Second
		if v == "latest" {
			due = 4 * time.Second
		}
		q.Push(v, now.Add(due), now.Add(time.Minute), v)
	}
	if q.Push("later", now.Add(5*time.Second), now.Add(time.Minute), "later") {
		t.Error("the queue took a request that is due after all others")
	}
	if !q.Push("urgent", now.Add(time.Second), now.Add(time.Minute), "urgent") {
		t.Error("the queue did not take an urgent request")
	}
	if len(evicted) != 1 || evicted[0] != "latest" || q.Len() != 4 {
		t.Errorf("evicted %q, %d requests wait; want the one due last and 4", evicted, q.Len())
	}
}

// Guards against requests that are served before their turn more often than the rules
// allow.
func TestProgressRuleLimitsServiceBeforeTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewDueQueue(1000, 1000, noTrial[string])
	progress := 1
	q.SetRules(ServeRules[string]{
		MayProgress: func(string) bool { return progress > 0 },
		Progressed:  func(string) { progress-- },
	})
	for range 5 {
		q.Push("a", now.Add(time.Hour), now.Add(2*time.Hour), "late")
	}
	for range 40 {
		q.Push("b", now.Add(time.Second), now.Add(2*time.Hour), "urgent")
	}
	var served []string
	q.Serve(func(v string) bool {
		if len(served) == 20 {
			return false
		}
		served = append(served, v)
		return true
	})
	late := 0
	for _, v := range served {
		if v == "late" {
			late++
		}
	}
	if late != 1 || progress != 0 {
		t.Errorf("%d requests served before their turn, want 1", late)
	}
}

// Guards against a group in which all targets shed and each of them is taken for gray,
// and against one target that sheds alone and is not.
func TestShedByAllTargetsIsNoEvidenceAgainstOne(t *testing.T) {
	for _, all := range []bool{false, true} {
		w := newGraySimulation(1, document.ByHealthEstimate, 6)
		h := NewHolder(Config{View: w.holder.view, OverloadControl: true}, w.now)
		for i := range 240 {
			now := w.now.Add(time.Duration(i) * 10 * time.Millisecond)
			s := h.targets[i%len(h.targets)]
			o := OK
			if i/len(h.targets)%2 == 0 && (all || s == h.targets[0]) {
				o = Shed
			}
			h.updateHealth(&permit{target: s, vm: "vm-1", issuedAt: now.Add(-2 * time.Millisecond)}, Release{Outcome: o, Latency: 100 * time.Millisecond}, now)
		}
		now := w.now.Add(2400 * time.Millisecond)
		shedding, changed := h.UpdateShedding(now)
		if shedding != all || changed != all {
			t.Errorf("all targets shed: %v, but the group counts as shedding: %v", all, shedding)
		}
		if ratio := h.shedLikelihoodRatio(h.targets[0], now); (ratio == 1) != all {
			t.Errorf("all targets shed: %v, likelihood ratio of a shed %.2f", all, ratio)
		}
		if shedding, changed = h.UpdateShedding(now.Add(2 * shedWindow)); shedding || changed != all {
			t.Errorf("all targets shed: %v, but the group counts as shedding after the end", all)
		}
	}
}
