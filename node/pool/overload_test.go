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

// exchange makes one acquire at the holder's VM and releases a permit, 0 for none.
func (c *testCell) exchange(released uint64, a *peerv1.PermitAcquire) *peerv1.ExchangePermitsResponse {
	c.t.Helper()
	a.Workspace, a.Route, a.HoldMs, a.PatienceMs = "w", "r", 2000, 1000
	r, err := c.pools[0].ExchangePermits(context.Background(), &peerv1.ExchangePermitsRequest{
		Vm: "vm-00", Instance: 1, Group: "citas#0", Acquire: a,
		Releases: []*peerv1.PermitRelease{{Permit: released, Outcome: peerv1.Outcome_OUTCOME_OK, LatencyUs: 10000}},
	})
	if err != nil {
		c.t.Fatal(err)
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

// Guards against a retry budget that is spent on callers that can return, and against a
// new holder that spends the reserve again: half of 20 requests may be repeated, and
// a part of that must remain for a request that cannot return in time.
func TestControlKeepsBudgetForRequestsWithLittleTime(t *testing.T) {
	c := newControlledCell(t, 1, target.FleetRetryBudget{Share: 0.5, Reserve: 1000})
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
