package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// testCell is a few pools and what they depend on: the configuration, the
// leases and the calls between VMs.
type testCell struct {
	t        testing.TB
	mu       sync.Mutex
	snapshot *document.Snapshot
	list     *member.List
	holder   int // index of the holder of all shards, -1 for none
	epoch    uint64
	// down lists the VMs that no call reaches or leaves.
	down     map[string]bool
	pools    []*Pool
	events   map[event.Kind]int
	refusing map[string]bool // groups whose holder refuses requests immediately
	// refusalDelay is how long such a refusal takes to arrive.
	refusalDelay time.Duration
}

// testVM implements the dependencies of the pool of one VM.
type testVM struct {
	*testCell
	index int
}

func (v testVM) Snapshot() *document.Snapshot { v.mu.Lock(); defer v.mu.Unlock(); return v.snapshot }
func (v testVM) List() *member.List           { return v.list }
func (v testVM) Check() error                 { return nil }
func (v testVM) InContact(id string) bool     { v.mu.Lock(); defer v.mu.Unlock(); return !v.down[id] }
func (v testVM) InstanceOf(id string) (uint64, bool) {
	return member.Weight("instance", id), true
}

func (v testVM) Held(member.Shard) (node.HeldLease, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return node.HeldLease{Exclusive: true, Until: time.Now().Add(time.Second), Epoch: v.epoch}, v.holder == v.index
}

func (v testVM) Holder(member.Shard) (member.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.holder < 0 {
		return member.VM{}, false
	}
	return v.list.VMs[v.holder], true
}

func (v testVM) Record(k event.Kind, subject, detail string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.events[k]++
}

func (v testVM) Violated(n invariant.Name, subject, detail string) {
	v.t.Errorf("invariant %s violated for %s: %s", n, subject, detail)
}

// callee returns the pool of vm, or an error if the caller or vm is down.
func (v testVM) callee(vm member.VM) (*Pool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down[vm.ID] || v.down[v.list.VMs[v.index].ID] {
		return nil, fmt.Errorf("one of the VMs is down")
	}
	return v.pools[slices.Index(v.list.VMs, vm)], nil
}

func (v testVM) ExchangePermits(ctx context.Context, vm member.VM, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	p, err := v.callee(vm)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	refuse, delay := v.refusing[r.Group] && r.Acquire != nil, v.refusalDelay
	v.mu.Unlock()
	if refuse {
		time.Sleep(delay)
		return &peerv1.ExchangePermitsResponse{Holder: true, RefusedMs: 100}, nil
	}
	return p.ExchangePermits(ctx, r)
}

func (v testVM) ReportPermits(ctx context.Context, vm member.VM, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
	p, err := v.callee(vm)
	if err != nil {
		return nil, err
	}
	return p.ReportPermits(ctx, r)
}

// newTestCell starts n pools that share a service.
func newTestCell(t testing.TB, n int, s document.Service) *testCell {
	return newConfiguredCell(t, n, s, func(*Config) {})
}

// newConfiguredCell starts n pools that share a service, with configurations that change
// has changed.
func newConfiguredCell(t testing.TB, n int, s document.Service, change func(*Config)) *testCell {
	c := &testCell{t: t, down: map[string]bool{}, events: map[event.Kind]int{}, epoch: 1, list: &member.List{Version: 1}}
	for i := range n {
		c.list.VMs = append(c.list.VMs, member.VM{ID: fmt.Sprintf("vm-%02d", i), State: member.Live})
	}
	c.publish(s, 1)
	for i := range n {
		v := testVM{c, i}
		system := duty.NewSystem(slog.New(slog.DiscardHandler), v)
		instance, _ := v.InstanceOf(c.list.VMs[i].ID)
		config := Config{
			Identity: node.Identity{VM: c.list.VMs[i], Instance: instance},
			Configs:  v, Contact: v, Ownership: v, Peer: v, Events: v, System: system,
		}
		change(&config)
		p := New(config)
		c.mu.Lock()
		c.pools = append(c.pools, p)
		c.mu.Unlock()
		t.Cleanup(func() { p.Stop(); system.Shutdown() })
	}
	return c
}

// publish applies a ticket with the service s on all VMs.
func (c *testCell) publish(s document.Service, ticket uint64) {
	docs := document.Content{}
	service, _ := json.Marshal(s)
	docs["services/"+s.Name] = service
	docs["domains"] = []byte(`{"kind":"domains","domains":[{"name":"a","state":"in"},{"name":"b","state":"in"},{"name":"c","state":"out"}]}`)
	docs["routes/r"] = []byte(`{"kind":"routes","routes":[{"id":"r","pathPrefix":"/","service":"` + s.Name + `","timeoutMs":2000}]}`)
	ix := &document.Index{Ticket: ticket}
	for name, raw := range docs {
		ix.Documents = append(ix.Documents, document.IndexEntry{Name: name, Ticket: ticket, Digest: document.Digest(raw)})
	}
	snapshot, err := document.Build(ix, docs)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = snapshot
}

// setHolder makes VM i the holder of all shards under a new lease; -1 for none.
func (c *testCell) setHolder(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = i
	c.epoch++
}

// service returns a service with the given number of targets, each with 3
// slots.
func service(targets int) document.Service {
	s := document.Service{Kind: "service", Name: "citas", FloorPercent: 60, ColdSlots: 1, ColdRampMs: 100, ConnectionsPerTarget: 9}
	for i := range targets {
		s.Targets = append(s.Targets, document.Target{
			ID: fmt.Sprintf("t-%02d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
			FailureDomain: []string{"a", "b"}[i%2], Slots: 3, State: document.Active,
		})
	}
	return s
}

// acquire requests a permit on a VM and waits for it at most for wait.
func (c *testCell) acquire(vm int, wait time.Duration) (node.Permit, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	c.mu.Lock()
	s := c.snapshot.Services["citas"]
	c.mu.Unlock()
	return c.pools[vm].Acquire(ctx, node.PermitRequest{Service: s, Workspace: "w", MaxDuration: 2 * time.Second, DueAfter: time.Second})
}

// mustAcquire acquires a permit or fails the test.
func (c *testCell) mustAcquire(vm int) node.Permit {
	c.t.Helper()
	pt, err := c.acquire(vm, 5*time.Second)
	if err != nil {
		c.t.Fatal(err)
	}
	return pt
}

// warmUp sends requests through vm until the given number of targets are warm.
func (c *testCell) warmUp(vm, targets int) {
	c.t.Helper()
	for i := 0; i < 5000; i++ {
		pt := c.mustAcquire(vm)
		pt.Release(node.OutcomeOK, time.Millisecond)
		c.mu.Lock()
		warm := c.events[event.TargetWarm]
		c.mu.Unlock()
		if warm >= targets {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.t.Fatalf("not all targets became warm after 5000 requests: %+v", c.pools[0].State(context.Background()))
}

// Guards against permits that only the holder's own VM can get, and against a
// cold target that gets more requests than its cold slots when two VMs send to
// it.
func TestLocalAndRemotePermits(t *testing.T) {
	c := newTestCell(t, 2, service(2))
	first, second := c.mustAcquire(0), c.mustAcquire(1)
	if first.Target().ID == second.Target().ID {
		t.Fatalf("both requests got target %s, which is cold and has one slot", first.Target().ID)
	}
	_, err := c.acquire(1, 200*time.Millisecond)
	if k := fault.KindOf(err); k != fault.DeadlineNotRun {
		t.Fatalf("third request with all slots in use: got %v, want an error of kind DeadlineNotRun", err)
	}
	done := make(chan error, 1)
	go func() { _, err := c.acquire(1, 5*time.Second); done <- err }()
	time.Sleep(50 * time.Millisecond)
	first.Release(node.OutcomeOK, time.Millisecond)
	if err := <-done; err != nil {
		t.Fatalf("the waiting request did not get the released slot: %v", err)
	}
	second.Release(node.OutcomeOK, time.Millisecond)
}

// Guards against a new holder that grants slots which are still in use through
// permits of the previous holder.
func TestTakeoverCountsPermitsInUse(t *testing.T) {
	c := newTestCell(t, 3, service(2))
	c.warmUp(1, 2)
	var held []node.Permit
	for range 5 {
		held = append(held, c.mustAcquire(2))
	}
	c.setHolder(1)
	time.Sleep(700 * time.Millisecond)
	last := c.mustAcquire(0)
	if _, err := c.acquire(0, 200*time.Millisecond); err == nil {
		t.Fatal("a seventh permit was granted for six slots")
	}
	for _, pt := range append(held, last) {
		if err := pt.Check(); err != nil {
			t.Errorf("check of a permit in use after the takeover: %v", err)
		}
		pt.Release(node.OutcomeOK, time.Millisecond)
	}
}

// Guards against requests to a target that a ticket has set to draining, and
// against the reuse of an idle permit for it.
func TestDrainingTargetIsRefused(t *testing.T) {
	c := newTestCell(t, 2, service(2))
	c.warmUp(1, 2)
	held := c.mustAcquire(1)
	drained := service(2)
	for i := range drained.Targets {
		if drained.Targets[i].ID == held.Target().ID {
			drained.Targets[i].State = document.Draining
		}
	}
	c.publish(drained, 2)
	if err := held.Check(); fault.KindOf(err) != fault.NoCapacity {
		t.Fatalf("check of a permit for a draining target: got %v, want an error of kind NoCapacity", err)
	}
	held.Release(node.OutcomeUnused, 0)
	for range 20 {
		pt := c.mustAcquire(1)
		if pt.Target().ID == held.Target().ID {
			t.Fatal("a draining target got a new permit")
		}
		pt.Release(node.OutcomeOK, time.Millisecond)
	}
}

// Guards against a VM that sends more than one request per target, or any to a
// cold target, while no VM holds the group exclusively.
func TestDegradedModeSendsOneRequestPerWarmTarget(t *testing.T) {
	c := newTestCell(t, 2, service(4))
	c.mustAcquire(1).Release(node.OutcomeOK, time.Millisecond)
	c.setHolder(-1)
	if pt, err := c.acquire(1, 100*time.Millisecond); err == nil {
		t.Fatalf("cold target %s got a permit without a holder", pt.Target().ID)
	}
	c.setHolder(0)
	c.warmUp(1, 3)
	c.setHolder(-1)
	seen := map[string]bool{}
	for {
		pt, err := c.acquire(1, 100*time.Millisecond)
		if err != nil {
			break
		}
		if seen[pt.Target().ID] {
			t.Fatalf("target %s got two permits at once without a holder, want at most one", pt.Target().ID)
		}
		seen[pt.Target().ID] = true
	}
	if len(seen) < 3 {
		t.Fatalf("%d targets got a permit without a holder, want at least the 3 warm ones", len(seen))
	}
}
