package pool

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// newControlledCell starts a cell of n pools with overload control, whose service has
// ten targets and is placed by health estimates.
func newControlledCell(t *testing.T, n int, budget target.FleetRetryBudget) *testCell {
	s := service(10)
	s.Placement = document.ByHealthEstimate
	c := newTestCell(t, n, s)
	for i := range n {
		v := testVM{c, i}
		system := duty.NewSystem(slog.New(slog.DiscardHandler), v)
		instance, _ := v.InstanceOf(c.list.VMs[i].ID)
		p := New(Config{
			Identity: node.Identity{VM: c.list.VMs[i], Instance: instance},
			Configs:  v, Contact: v, Ownership: v, Peer: v, Events: v, System: system,
			FleetRetryBudget: budget, OverloadControl: true,
		})
		c.mu.Lock()
		former := c.pools[i]
		c.pools[i] = p
		c.mu.Unlock()
		former.Stop()
		t.Cleanup(func() { p.Stop(); system.Shutdown() })
	}
	return c
}

// request returns a request to the service of the cell.
func (c *testCell) request() node.PermitRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return node.PermitRequest{
		Service: c.snapshot.Services["citas"], Route: "r", Workspace: "w", MaxDuration: 2 * time.Second,
		DueAfter: time.Second, Objective: 600 * time.Millisecond,
	}
}

// exchange makes one call at the holder's VM, with an acquire unless a is nil, and releases
// a permit, 0 for none.
func (c *testCell) exchange(released uint64, a *peerv1.PermitAcquire) *peerv1.ExchangePermitsResponse {
	c.t.Helper()
	if a != nil {
		a.Workspace, a.Route, a.HoldMs, a.PatienceMs = "w", "r", 2000, 1000
	}
	r, err := c.pools[0].ExchangePermits(context.Background(), &peerv1.ExchangePermitsRequest{
		Vm: "vm-00", Instance: 1, Group: "citas#0", Acquire: a,
		Releases: []*peerv1.PermitRelease{{Permit: released, Outcome: peerv1.Outcome_OUTCOME_OK, LatencyUs: 10000}},
	})
	if err != nil {
		c.t.Error(err)
		return &peerv1.ExchangePermitsResponse{}
	}
	return r
}

// Guards against a refusal of a request that does not wait although slots are free: each
// one costs a call and counts as a failure of the group.
func TestControlGrantsFreeSlotsWithoutWait(t *testing.T) {
	c := newControlledCell(t, 1, target.FleetRetryBudget{})
	if r := c.exchange(0, &peerv1.PermitAcquire{}); r.Permit == 0 {
		t.Errorf("no permit with %d free slots", r.Free)
	}
}

// awaitRepeats waits until first requests pay for repeats at the new holders of the cell.
func (c *testCell) awaitRepeats() {
	time.Sleep(3 * tickInterval)
	if r := c.exchange(0, &peerv1.PermitAcquire{Repeat: true, Idempotent: true, WaitMs: 100}); r.Permit != 0 {
		c.t.Error("a new holder granted a repeat that no request of its own paid for")
	}
	time.Sleep(target.RepeatWait)
}

// Guards against a retry budget that is spent on callers that can return, and against a
// new holder that spends the reserve again: half of 20 requests may be repeated, and
// a part of that must remain for a request that cannot return in time.
func TestControlKeepsBudgetForRequestsWithLittleTime(t *testing.T) {
	c := newControlledCell(t, 1, target.FleetRetryBudget{Share: 0.5, Reserve: 1000})
	c.awaitRepeats()
	last := uint64(0)
	for range 20 {
		last = c.exchange(last, &peerv1.PermitAcquire{WaitMs: 100}).Permit
	}
	repeats := 0
	for range 20 {
		if c.exchange(0, &peerv1.PermitAcquire{Repeat: true, WaitMs: 100, ObjectiveMs: 1900}).Permit != 0 {
			repeats++
		}
	}
	if repeats == 0 || repeats > 8 {
		t.Errorf("%d repeats of requests whose callers can return, want 1 to 8 of a budget of 10", repeats)
	}
	late := c.exchange(0, &peerv1.PermitAcquire{Repeat: true, WaitMs: 100, ObjectiveMs: 10})
	if late.Permit == 0 {
		t.Error("a request that misses its objective by a return was not repeated")
	}
	time.Sleep(3 * tickInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.events[event.GroupOverloaded] == 0 {
		t.Error("no event says that repeats were withheld")
	}
}

// Guards against a waiting request that is lost, or that is refused with a wrong kind,
// when the holder changes while all slots are in use.
func TestControlWithHolderChange(t *testing.T) {
	c := newControlledCell(t, 3, target.FleetRetryBudget{})
	var held []node.Permit
	for range 30 {
		pt, err := c.pools[2].Acquire(context.Background(), c.request())
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, pt)
	}
	ended := make(chan error, 10)
	for range cap(ended) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			pt, err := c.pools[2].Acquire(ctx, c.request())
			if err == nil {
				pt.Release(node.OutcomeOK, time.Millisecond)
			}
			ended <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	c.setHolder(1)
	time.Sleep(100 * time.Millisecond)
	for _, pt := range held {
		pt.Release(node.OutcomeShed, 0)
	}
	for range cap(ended) {
		if err := <-ended; err != nil && fault.KindOf(err) != fault.Overloaded {
			t.Errorf("got %v, want a permit or an error of kind Overloaded", err)
		}
	}
}

// holderCall is a test's access to the state of the holder side, on the actor's goroutine.
type holderCall func(h *holderActor)

func (f holderCall) apply(h *holderActor) { f(h) }

// Guards against repeats beyond the retry budget that wait together: each was admitted while
// the budget had room, and all were granted when slots became free.
func TestWaitingRepeatsStayWithinTheBudget(t *testing.T) {
	c := newControlledCell(t, 1, target.FleetRetryBudget{Share: 0.1, Reserve: 10})
	c.awaitRepeats()
	for range 10 {
		c.exchange(0, &peerv1.PermitAcquire{WaitMs: 100})
	}
	waiters := make([]*waiter, 3)
	err := c.pools[0].actor.Send(holderCall(func(h *holderActor) {
		g := h.groups["citas#0"]
		for i := range waiters {
			w := &waiter{reply: make(chan *peerv1.ExchangePermitsResponse, 1)}
			w.acquire = target.AcquireRequest{Caller: target.Caller{VM: "vm-00", Instance: 1}, Hold: time.Second, Route: "r", Idempotent: true, Repeat: true}
			w.due = time.Now().Add(time.Second)
			g.queue.Push("w", w.due, w.due, w)
			waiters[i] = w
		}
		h.serveQueue(g)
	}))
	if err != nil {
		t.Fatal(err)
	}
	// The actor has filled waiters once it has answered a later message.
	c.exchange(0, nil)
	granted, refused := 0, 0
	for _, w := range waiters {
		switch r := <-w.reply; {
		case r.Permit != 0:
			granted++
		case r.RefusedMs > 0:
			refused++
		}
	}
	if granted != 1 || refused != 2 {
		t.Errorf("%d of 3 repeats granted and %d refused for 10 first requests, want 1 and 2", granted, refused)
	}
}

// Guards against repeats that no holder counts because their group has none.
func TestNoRepeatWithoutHolder(t *testing.T) {
	c := newControlledCell(t, 2, target.FleetRetryBudget{Share: 0.2, Reserve: 10})
	c.setHolder(-1)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r := c.request()
	if _, err := c.pools[1].Acquire(ctx, r); err != nil {
		t.Errorf("a first request without a holder: %v", err)
	}
	r.Retry = true
	if _, err := c.pools[1].Acquire(ctx, r); fault.KindOf(err) != fault.DeadlineNotRun {
		t.Errorf("a repeat without a holder: got %v, want an error of kind DeadlineNotRun", err)
	}
}
