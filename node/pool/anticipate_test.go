package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// anticipatingCell starts n pools that choose by expected load among 3 groups of 2 targets.
func anticipatingCell(t *testing.T, n int) (c *testCell, choices *sync.Map) {
	s := service(6)
	s.Placement, s.GroupSize = document.ByHealthEstimate, 2
	choices = &sync.Map{}
	c = newConfiguredCell(t, n, s, func(config *Config) {
		config.AnticipateLoad = true
		config.OnLoadChoice = func(r LoadChoice) {
			count, _ := choices.LoadOrStore(r, &atomic.Int64{})
			count.(*atomic.Int64).Add(1)
		}
	})
	return c, choices
}

// countingPeer counts acquires, and those that the holder refused.
type countingPeer struct {
	PermitPeer
	acquires, refused atomic.Int32
}

func (l *countingPeer) ExchangePermits(ctx context.Context, vm member.VM, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	resp, err := l.PermitPeer.ExchangePermits(ctx, vm, r)
	if r.Acquire != nil && err == nil {
		l.acquires.Add(1)
		l.refused.Add(int32(min(1, resp.RefusedMs)))
	}
	return resp, err
}

// awaitReports waits until the VM has reported to the holders of all groups. A report discards the
// permit of a call that is in flight, which is then made again.
func (c *testCell) awaitReports(vm int) {
	c.t.Helper()
	defer c.mustAcquire(vm).Release(node.OutcomeOK, time.Millisecond)
	deadline := time.Now().Add(10 * time.Second)
	for _, client := range c.pools[vm].allClients() {
		for !client.hasReported() {
			if time.Now().After(deadline) {
				c.t.Fatalf("group %s has no report after 10 s", client.name)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// hasReported reports whether the last report has been answered and no further one is due.
func (c *groupClient) hasReported() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportedTo.vm != "" && !c.reporting && !c.reportDue
}

// Guards against calls without a wait that the holder refuses although slots are free: each
// request then costs further calls, and the holder counts a failed request.
func TestAnticipationAsksOnceForFreeSlot(t *testing.T) {
	c, choices := anticipatingCell(t, 2)
	l := &countingPeer{PermitPeer: c.pools[1].config.Peer}
	c.pools[1].config.Peer = l
	c.awaitReports(1)
	l.acquires.Store(0)
	choices.Clear()
	for range 30 {
		c.mustAcquire(1).Release(node.OutcomeOK, time.Millisecond)
	}
	if l.acquires.Load() != 30 || l.refused.Load() != 0 {
		t.Errorf("30 requests on an idle fleet took %d acquires, %d of them refused, want 30 and 0", l.acquires.Load(), l.refused.Load())
	}
	if n, ok := choices.Load(ChoiceGranted); !ok || n.(*atomic.Int64).Load() != 30 {
		t.Errorf("%v choices were counted as granted, want 30", n)
	}
}

// Guards against the same calls without Config.AnticipateLoad, where requests ask two groups
// before they wait.
func TestFreeSlotIsGrantedWithoutWait(t *testing.T) {
	s := service(6)
	s.Placement, s.GroupSize = document.ByHealthEstimate, 2
	c := newTestCell(t, 2, s)
	l := &countingPeer{PermitPeer: c.pools[1].config.Peer}
	c.pools[1].config.Peer = l
	c.awaitReports(1)
	l.acquires.Store(0)
	for range 30 {
		c.mustAcquire(1).Release(node.OutcomeOK, time.Millisecond)
	}
	if l.acquires.Load() != 30 || l.refused.Load() != 0 {
		t.Errorf("30 requests on an idle fleet took %d acquires, %d of them refused, want 30 and 0", l.acquires.Load(), l.refused.Load())
	}
}

// Guards against a request that takes a free slot although its answer cannot come in time.
func TestRequestWithoutTimeForItsAnswerIsRefused(t *testing.T) {
	for _, control := range []bool{false, true} {
		s := service(6)
		s.Placement, s.GroupSize = document.ByHealthEstimate, 2
		c := newConfiguredCell(t, 2, s, func(p *Config) { p.OverloadControl = control })
		for range 60 {
			c.mustAcquire(1).Release(node.OutcomeOK, 100*time.Millisecond)
		}
		c.mu.Lock()
		r := node.PermitRequest{Service: c.snapshot.Services["citas"], Workspace: "w", MaxDuration: 20 * time.Millisecond, DueAfter: time.Second}
		c.mu.Unlock()
		if _, err := c.pools[1].Acquire(context.Background(), r); fault.KindOf(err) != fault.Overloaded {
			t.Errorf("control %t: got %v, want an error of kind Overloaded", control, err)
		}
	}
}

// Guards against requests that fail while many VMs choose at the same moment: concurrent
// requests for all slots, each of which is used for a short time.
func TestAnticipationServesBurst(t *testing.T) {
	c, _ := anticipatingCell(t, 3)
	var wg sync.WaitGroup
	for i := range 54 {
		wg.Go(func() {
			pt, err := c.acquire(i%3, 5*time.Second)
			if err != nil {
				t.Errorf("request %d of 54: %v", i, err)
				return
			}
			time.Sleep(5 * time.Millisecond)
			pt.Release(node.OutcomeOK, 5*time.Millisecond)
		})
	}
	wg.Wait()
}

// Guards against a client that keeps the load reported by a former holder, and against
// requests that fail after the holder has changed.
func TestAnticipationAfterChangeOfHolder(t *testing.T) {
	c, _ := anticipatingCell(t, 2)
	held := c.mustAcquire(1)
	cl := held.(*permitUse).client
	c.setHolder(1)
	c.mustAcquire(1).Release(node.OutcomeOK, time.Millisecond)
	held.Release(node.OutcomeOK, time.Millisecond)
	deadline := time.Now().Add(3 * time.Second)
	for {
		cl.mu.Lock()
		holder := cl.estimateOf.vm
		cl.mu.Unlock()
		if holder == "vm-01" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the load of the group is still attributed to %q, want the new holder vm-01", holder)
		}
		c.mustAcquire(1).Release(node.OutcomeOK, time.Millisecond)
	}
}

// Guards against a call that counts as a slot in use for good because its response was lost.
func TestAnticipationForgetsLostResponse(t *testing.T) {
	c, _ := anticipatingCell(t, 2)
	l := &lossyPeer{PermitPeer: c.pools[1].config.Peer}
	l.drop.Store(1)
	c.pools[1].config.Peer = l
	pt := c.mustAcquire(1)
	pt.Release(node.OutcomeOK, time.Millisecond)
	if l.drop.Load() > 0 {
		t.Fatal("no response was lost")
	}
	c.pools[1].entry.mu.Lock()
	defer c.pools[1].entry.mu.Unlock()
	for name, cl := range c.pools[1].entry.clients {
		cl.mu.Lock()
		pending := cl.estimate.Load(6, time.Now()).Unreported
		cl.mu.Unlock()
		if pending != 0 {
			t.Errorf("%d calls to group %s count as pending after all have ended, want 0", pending, name)
		}
	}
}
