package target

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
)

// Guards against ejectable slots of groups that add up to more than the floor allows,
// and against groups that omit or repeat targets or become too large.
func TestGroupsAndEjectableSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "targets")
		s := serviceOf("s", n, rapid.IntRange(1, 9).Draw(t, "slots"), rapid.IntRange(1, 5).Draw(t, "domains"))
		s.FloorPercent = rapid.IntRange(0, 100).Draw(t, "floor")
		s.Targets[0].Slots += rapid.IntRange(0, 9).Draw(t, "more")
		groups := Groups(&s)
		seen := map[string]bool{}
		for _, g := range groups {
			if len(g.Targets) > 2*GroupSize {
				t.Fatalf("%d targets in group %s, want at most twice the group size", len(g.Targets), g.Name)
			}
			for _, m := range g.Targets {
				if seen[m.ID] {
					t.Fatalf("target %s is in two groups", m.ID)
				}
				seen[m.ID] = true
			}
		}
		total, sum := 0, 0
		for _, m := range s.Targets {
			total += m.Slots
		}
		for _, share := range EjectableSlots(&s, groups, func(document.Target) bool { return true }) {
			sum += share
		}
		if len(seen) != n || 100*(total-sum) < total*s.FloorPercent {
			t.Fatalf("%d of %d targets grouped, %d of %d slots ejectable, floor %d%%", len(seen), n, sum, total, s.FloorPercent)
		}
	})
}

// Guards against a target added at the end of a failure domain that moves others to
// another group.
func TestAddedTargetMovesNoOther(t *testing.T) {
	before, after := serviceOf("s", 20, 3, 4), serviceOf("s", 21, 3, 4)
	groupOf := map[string]string{}
	for _, g := range Groups(&before) {
		for _, m := range g.Targets {
			groupOf[m.ID] = g.Name
		}
	}
	for _, g := range Groups(&after) {
		for _, m := range g.Targets {
			if old := groupOf[m.ID]; old != "" && old != g.Name {
				t.Errorf("target %s moved from group %s to %s", m.ID, old, g.Name)
			}
		}
	}
}

// Guards against a workspace that fills the queue and delays the others, and against room
// that is announced but not there.
func TestRoundRobinQueueIsFair(t *testing.T) {
	q := NewRoundRobinQueue[string](4, 10)
	now := time.Unix(0, 0)
	for range 9 {
		announced := q.HasRoom("big", now)
		if q.Push("big", now, now.Add(time.Second), "big") != announced {
			t.Fatalf("the queue of %d requests announced room: %v", q.Len(), announced)
		}
	}
	if !q.Push("small", now, now.Add(time.Second), "small") || q.Len() != 5 {
		t.Fatalf("%d requests wait, want 4 of the big and 1 of the small workspace", q.Len())
	}
	var order []string
	q.Serve(func(v string) bool { order = append(order, v); return len(order) < 3 })
	if order[1] != "small" {
		t.Fatalf("served in the order %v, want the small workspace second", order)
	}
	dropped := 0
	q.Expire(now.Add(time.Second), func(string) { dropped++ })
	if q.Len() != 0 || dropped != 3 {
		t.Fatalf("%d requests wait, %d expired, want 0 and 3", q.Len(), dropped)
	}
}

// readyHolder returns a holder of one group of five warm targets that two VMs, a and
// b, have reported as warm.
func readyHolder(tb testing.TB, now time.Time) (*Holder, map[event.Kind]int) {
	s := serviceOf("s", 5, 3, 5)
	w := newSimulation(options{service: s, vms: 1, workspaces: 1})
	events := map[event.Kind]int{}
	h := NewHolder(Config{View: w.layout.Groups["s#0"], Members: []string{"a", "b"}, Emit: func(e Event) { events[e.Kind]++ }}, now)
	var ids []string
	for _, m := range s.Targets {
		ids = append(ids, m.ID)
	}
	for i, vm := range []string{"a", "b"} {
		h.RecordReport(PermitReport{Caller: Caller{vm, uint64(i + 1)}, Ticket: 1, Warm: ids, WarmKnown: true}, now)
	}
	h.Tick(now, func(string) bool { return true })
	if len(h.WarmTargets()) != 5 {
		tb.Fatal(h.WarmTargets())
	}
	return h, events
}

// Guards against a broken path of one VM that ejects a target or keeps it cold while
// other VMs reach it.
func TestBadPathOfOneVMIsAvoided(t *testing.T) {
	now := time.Unix(0, 0)
	h, events := readyHolder(t, now)
	a, b := Caller{"a", 1}, Caller{"b", 2}
	used := 0
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		grantB, okB := h.Acquire(AcquireRequest{Caller: b, Hold: time.Second}, now)
		grantA, okA := h.Acquire(AcquireRequest{Caller: a, Hold: time.Second}, now.Add(time.Millisecond))
		now = now.Add(20 * time.Millisecond)
		if okA {
			o := OK
			if grantA.Target == "s-00" {
				o = Unreachable
				used++
			}
			h.Release(a, []Release{{grantA.Permit, o, 15 * time.Millisecond}}, now)
		}
		if okB {
			h.Release(b, []Release{{grantB.Permit, OK, 30 * time.Millisecond}}, now.Add(time.Millisecond))
		}
		h.Tick(now, func(string) bool { return true })
	}
	if events[event.PathAvoided] == 0 || events[event.TargetEjected] > 0 || used > 5 {
		t.Fatalf("events %v, the VM without a path used the target %d times in 16 s, want at most 5", events, used)
	}
}

// BenchmarkAcquireRelease runs the issue and release of one permit at the holder.
func BenchmarkAcquireRelease(b *testing.B) {
	now := time.Unix(0, 0)
	h, _ := readyHolder(b, now)
	c := Caller{"a", 1}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g, ok := h.Acquire(AcquireRequest{Caller: c, Hold: time.Second}, now)
		if !ok {
			b.Fatal("no permit issued")
		}
		h.Release(c, []Release{{g.Permit, OK, 10 * time.Millisecond}}, now)
	}
}

// BenchmarkTick runs Tick for one group of five targets.
func BenchmarkTick(b *testing.B) {
	now := time.Unix(0, 0)
	h, _ := readyHolder(b, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		h.Tick(now, func(string) bool { return true })
	}
}

// BenchmarkMemoryPerTarget reports the heap per target of the holders of 1,000 groups
// with one path of each of 44 VMs per target.
func BenchmarkMemoryPerTarget(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		now := time.Unix(0, 0)
		holders := make([]*Holder, 0, 1000)
		w := newSimulation(options{service: serviceOf("s", 5, 3, 5), vms: 1, workspaces: 1})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range 1000 {
			h := NewHolder(Config{View: w.layout.Groups["s#0"], Members: []string{"a"}}, now)
			for _, s := range h.targets {
				for vm := range 44 {
					s.path(fmt.Sprint(vm)).succeeded(now)
				}
			}
			holders = append(holders, h)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/5000, "B/target")
		runtime.KeepAlive(holders)
	}
}

// BenchmarkLayoutOfTargetSize divides 44,000 targets of 1,600 services with 32,000
// routes for a ticket that changes one of the services.
func BenchmarkLayoutOfTargetSize(b *testing.B) {
	s := &document.Snapshot{Index: &document.Index{Ticket: 1}, Services: map[string]*document.Service{}}
	for i := range 1600 {
		v := serviceOf(fmt.Sprintf("s%d", i), 27, 3, 8)
		s.Services[v.Name] = &v
		for range 20 {
			s.Routes = append(s.Routes, &document.Route{Service: v.Name, TimeoutMs: 1000})
		}
	}
	first := NewLayout(s, nil)
	changed := serviceOf("s7", 28, 3, 8)
	s.Services["s7"] = &changed
	b.ReportAllocs()
	for b.Loop() {
		NewLayout(s, first)
	}
}
