package pool

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/explain"
)

// explainRequest returns the request that testCell.acquire makes.
func (c *testCell) explainRequest() node.PermitRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return node.PermitRequest{Service: c.snapshot.Services["citas"], Workspace: "w", MaxDuration: 2 * time.Second, DueAfter: time.Second}
}

// explain explains the request of testCell.acquire on a VM.
func (c *testCell) explain(vm int, from string) explain.Placement {
	return c.pools[vm].ExplainPlacement(context.Background(), c.explainRequest(), from)
}

// awaitExplained explains on a VM until ok.
func (c *testCell) awaitExplained(vm int, ok func(explain.Placement) bool) explain.Placement {
	c.t.Helper()
	for range 500 {
		if p := c.explain(vm, "a"); ok(p) {
			return p
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("not explained as expected: %+v", c.explain(vm, "a"))
	return explain.Placement{}
}

// mayGrant reports whether the first group is held here and may grant a target.
func mayGrant(p explain.Placement) bool {
	return len(p.Groups) > 0 && p.Groups[0].Held != nil && len(p.Groups[0].Held.Targets) > 0 && p.Groups[0].Held.Targets[0].Excluded == ""
}

// Guards against an explanation of another target than the one that gets the request, and
// against free slots in an explanation of a full group.
func TestExplainedTargetGetsTheRequest(t *testing.T) {
	c := newTestCell(t, 2, service(4))
	p := c.awaitExplained(0, mayGrant)
	for range 4 {
		want := p.Groups[0].Held.Targets[0].ID
		if got := c.mustAcquire(0).Target().ID; got != want || p.Groups[0].Held.Verdict != explain.Admitted {
			t.Fatalf("target %s got the request, explained %s, verdict %s", got, want, p.Groups[0].Held.Verdict)
		}
		p = c.explain(0, "a")
	}
	held := p.Groups[0].Held
	if held.Verdict != explain.Waits || held.Targets[0].Excluded != "full" || held.Targets[0].Idle != 0 || p.Refusal != nil {
		t.Fatalf("full group explained as %+v, refusal %+v", held, p.Refusal)
	}
	if g := c.explain(1, "a").Groups[0]; g.Holder != "vm-00" || g.HeldHere || g.Held != nil || g.Note == "" {
		t.Fatalf("group of another VM explained as %+v", g)
	}
}

// Guards against explanations that take permits, create state, or race with requests, on the
// holder, beside it and without a holder.
func TestExplanationChangesNoState(t *testing.T) {
	c := newTestCell(t, 2, service(4))
	c.warmUp(1, 4)
	c.setHolder(-1)
	// The response that lists the last warm target may still be on its way.
	c.awaitExplained(1, func(p explain.Placement) bool { return len(p.Groups[0].Degraded) == 4 && p.Refusal == nil })
	c.setHolder(0)
	c.awaitExplained(0, mayGrant)
	var running sync.WaitGroup
	for vm := range c.pools {
		running.Go(func() {
			for range 200 {
				c.explain(vm, "b")
			}
		})
	}
	for range 50 {
		c.mustAcquire(1).Release(node.OutcomeUnused, 0)
	}
	running.Wait()
	for _, p := range c.pools {
		p.entry.mu.Lock()
		if p.entry.lastDegradedID != 0 || len(p.entry.degradedInUse) != 0 || len(p.entry.clients) != 1 {
			t.Errorf("entry side after the explanations: %d permits without a holder, %d clients", p.entry.lastDegradedID, len(p.entry.clients))
		}
		p.entry.mu.Unlock()
	}
	for range 100 {
		inUse := 0
		for _, s := range c.pools[0].State(context.Background())[0].Targets {
			inUse += s.InUse
		}
		if inUse == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("permits are in use although each was released")
}

// Guards against a refusal that differs from the one that a request gets, or that is missing.
func TestExplainedRefusals(t *testing.T) {
	draining, out, none := service(2), service(2), service(0)
	for i := range draining.Targets {
		draining.Targets[i].State = document.Draining
		out.Targets[i].FailureDomain = "c"
	}
	for name, s := range map[string]document.Service{"draining": draining, "domain out": out, "no targets": none} {
		c := newTestCell(t, 1, s)
		c.awaitExplained(0, func(p explain.Placement) bool { return p.Rule != "" })
		_, err := c.acquire(0, time.Second)
		got := c.explain(0, "a").Refusal
		if got == nil || *got != *explain.NewRefusal(explain.StepTarget, err) || got.Kind != fault.NoCapacity.String() {
			t.Errorf("%s: explained %+v, the request got %v", name, got, err)
		}
	}
	c := newTestCell(t, 1, service(2))
	c.setHolder(-1)
	p := c.awaitExplained(0, func(p explain.Placement) bool { return p.Refusal != nil })
	if _, err := c.acquire(0, 100*time.Millisecond); p.Refusal.Kind != fault.KindOf(err).String() || p.Refusal.AfterMs != 2000 || p.Groups[0].Holder != "" {
		t.Errorf("without a holder: explained %+v, the request got %v", p.Refusal, err)
	}
	c.mu.Lock()
	c.snapshot = nil
	c.mu.Unlock()
	empty := &Pool{config: c.pools[0].config}
	if p := empty.ExplainPlacement(context.Background(), node.PermitRequest{}, "a"); p.Refusal == nil || p.Refusal.Kind != fault.NoCapacity.String() {
		t.Errorf("without a configuration: explained %+v", p)
	}
}

// Guards against a missing or different refusal of a request that its holder does not admit,
// with and without overload control, and against a count of it at the holder.
func TestExplainedRefusalOfTheHolder(t *testing.T) {
	for _, control := range []bool{false, true} {
		s := service(2)
		s.Placement = document.ByHealthEstimate
		c := newConfiguredCell(t, 1, s, func(p *Config) { p.OverloadControl, p.AnticipateLoad = control, control })
		c.awaitExplained(0, mayGrant)
		r := c.explainRequest()
		r.MaxDuration, r.Route = time.Millisecond, "r"
		for range 20 {
			p := c.pools[0].ExplainPlacement(context.Background(), r, "a")
			if p.Refusal == nil || p.Refusal.Kind != fault.Overloaded.String() || p.Refusal.RetryAfterMs <= 0 || p.Groups[0].Held.Verdict != explain.Refused {
				t.Fatalf("control %v: explained %+v", control, p)
			}
		}
		failing := make(chan bool, 1)
		_ = c.pools[0].actor.Send(inspect(func(h *holderActor) {
			g := h.groups["citas#0"]
			failing <- g.control != nil && g.control.refused > 0
		}))
		if <-failing {
			t.Errorf("control %v: explanations count as refused requests", control)
		}
	}
}

// Guards against an explanation of a call without a wait that differs from what the request
// gets: it is refused only when its answer cannot come in time.
func TestExplainedCallWithoutAWait(t *testing.T) {
	for _, anticipate := range []bool{false, true} {
		for _, duration := range []time.Duration{time.Millisecond, 2 * time.Second} {
			s := service(6)
			s.Placement, s.GroupSize = document.ByHealthEstimate, 1
			c := newConfiguredCell(t, 1, s, func(p *Config) { p.AnticipateLoad = anticipate })
			c.awaitExplained(0, mayGrant)
			r := c.explainRequest()
			r.MaxDuration = duration
			p := c.pools[0].ExplainPlacement(context.Background(), r, "a")
			_, err := c.pools[0].Acquire(context.Background(), r)
			granted := duration > time.Second
			if (p.Refusal == nil) != granted || (err == nil) != granted || (p.Groups[0].Held.Verdict == explain.Admitted) != granted {
				t.Errorf("anticipate %v, %v: explained %+v, the request got %v", anticipate, duration, p.Refusal, err)
			}
		}
	}
}

// inspect runs a function on the holder side.
type inspect func(h *holderActor)

func (f inspect) apply(h *holderActor) { f(h) }

// Guards against an order of groups that ignores the failure domain of the request, and
// against an explanation whose work grows with the service.
func TestExplainedOrderOfGroups(t *testing.T) {
	for _, anticipate := range []bool{false, true} {
		s := service(4)
		s.GroupByDomain = true
		c := newConfiguredCell(t, 2, s, func(p *Config) { p.LocalDomains, p.AnticipateLoad = []string{"a", "b"}, anticipate })
		c.awaitExplained(1, func(p explain.Placement) bool { return len(p.Groups) == 2 })
		for _, from := range []string{"a", "b"} {
			p := c.explain(1, from)
			if p.Groups[0].FailureDomain != from || p.Groups[0].Remote || !p.Groups[1].Remote || p.Random {
				t.Errorf("from %s: %+v", from, p)
			}
		}
	}
	s := service(40)
	s.GroupSize = 1
	c := newTestCell(t, 1, s)
	p := c.awaitExplained(0, func(p explain.Placement) bool { return p.Rule != "" })
	if len(p.Groups) != MaxExplainedGroups || p.Omitted != 40-MaxExplainedGroups || !p.Random {
		t.Errorf("%d groups explained, %d omitted, random %v", len(p.Groups), p.Omitted, p.Random)
	}
}
