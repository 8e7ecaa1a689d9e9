package roster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/roster"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// network delivers calls between the rosters of a test. Calls to VMs in down fail.
type network struct {
	mu   sync.Mutex
	vms  map[string]*Roster
	down map[string]bool
}

func (n *network) ExchangeMembers(ctx context.Context, address string, r *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error) {
	n.mu.Lock()
	target, down := n.vms[address], n.down[address]
	n.mu.Unlock()
	if target == nil || down {
		return nil, errors.New("no answer from " + address)
	}
	return target.ExchangeMembers(ctx, r)
}

type noEvents struct{ invariant.Discard }

func (noEvents) Record(event.Kind, string, string) {}

func (n *network) start(t *testing.T, i int, seeds ...string) *Roster {
	vm := member.VM{ID: fmt.Sprintf("vm-%d", i), Address: "a:1", PeerAddress: fmt.Sprint("p", i), FailureDomain: "d", State: member.Live}
	r := New(Config{
		Identity: node.Identity{VM: vm, Instance: uint64(i + 1)},
		Seeds:    seeds,
		Peer:     n,
		Events:   noEvents{},
		Contacts: func() []PeerContact { return nil },
		OnList:   func(*member.List) {},
	})
	n.mu.Lock()
	n.vms[vm.PeerAddress] = r
	n.mu.Unlock()
	r.Start()
	t.Cleanup(r.Stop)
	return r
}

// Guards against VMs that do not discover each other because a seed is stale, down or
// starts later, and against a VM that publishes a list of itself at once because it
// has received no answer yet.
func TestVMsFindEachOtherBySeeds(t *testing.T) {
	n := &network{vms: map[string]*Roster{}, down: map[string]bool{"p1": true}}
	var all []*Roster
	for i := range 6 {
		all = append(all, n.start(t, i, "p0", "p1", "stale"))
	}
	deadline := time.Now().Add(5 * time.Second)
	for _, r := range all {
		for r.List().Len() < 6 {
			if time.Now().After(deadline) {
				t.Fatalf("%d of 6 VMs known after 5 s", r.List().Len())
			}
			// Stands for heartbeats, which report the digest.
			r.ObserveDigest(member.VM{PeerAddress: "p0"}, n.vms["p0"].Digest())
			time.Sleep(20 * time.Millisecond)
		}
		if r.Digest() != all[0].Digest() {
			t.Fatal("VMs with the same list have different digests")
		}
	}
	isolated := n.start(t, 9, "stale")
	time.Sleep(500 * time.Millisecond)
	if isolated.List() != nil {
		t.Fatal("a VM that learned of no other VM published a list after 500 ms")
	}
	isolated.SetSeeds([]string{"p0"})
	for isolated.List().Len() < 7 {
		if time.Now().After(deadline) {
			t.Fatal("new seeds were not queried within 5 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against VMs of other cells that are removed although they are alive: a VM
// receives heartbeats only from its own cell, so it must query the others.
func TestVMsOfOtherCellsAreQueried(t *testing.T) {
	start := time.Now()
	vm := func(i int) member.VM {
		return member.VM{ID: fmt.Sprintf("vm-%02d", i), Address: "a:1", PeerAddress: fmt.Sprint("p", i), FailureDomain: "d", State: member.Live}
	}
	r := New(Config{Identity: node.Identity{VM: vm(0), Instance: 1}, CellSize: 6, Events: noEvents{}, OnList: func(*member.List) {}})
	if address := r.nextRefreshAddress(start); address != "" {
		t.Fatalf("%s is queried although there is only one cell", address)
	}
	var all []roster.MemberRecord
	for i := 1; i < 24; i++ {
		all = append(all, roster.MemberRecord{VM: vm(i), Instance: uint64(i)})
	}
	r.merge(all)
	own := member.CellMembers(r.List(), "vm-00")
	for turn := range 20 {
		at := start.Add(time.Duration(turn+1) * refreshInterval)
		address := r.nextRefreshAddress(at)
		if address == "" {
			t.Fatalf("turn %d: no VM is queried", turn)
		}
		for _, o := range own.VMs {
			if o.PeerAddress == address {
				t.Fatalf("turn %d: %s of the own cell is queried", turn, o.ID)
			}
		}
		if again := r.nextRefreshAddress(at.Add(refreshInterval / 2)); again != "" {
			t.Fatalf("turn %d: queried again after %v", turn, refreshInterval/2)
		}
	}
}

// Guards against VMs that start at the same time and learn of each other late. The
// heartbeat of a VM that is not listed yet shortens the interval of seed queries, but
// only within startPeriod.
func TestUnknownSenderShortensSeedInterval(t *testing.T) {
	r := New(Config{Identity: node.Identity{VM: member.VM{ID: "vm-0"}, Instance: 1}, Seeds: []string{"p1"}})
	r.core.Merge([]roster.MemberRecord{{VM: member.VM{ID: "vm-1", Address: "a:1", PeerAddress: "p1", FailureDomain: "d", State: member.Live}, Instance: 2}}, r.start)
	if p := r.seedQueryInterval(r.start); p != startSeedInterval {
		t.Fatalf("interval without an unknown sender: got %v, want startSeedInterval", p)
	}
	r.ObserveUnknownSender()
	if p := r.seedQueryInterval(r.start); p != tickInterval {
		t.Errorf("interval after the heartbeat of an unknown sender: got %v, want tickInterval", p)
	}
	r.dueExchanges(r.start.Add(tickInterval))
	if p := r.seedQueryInterval(r.start); p != startSeedInterval {
		t.Errorf("interval after the query: got %v, want startSeedInterval", p)
	}
	r.ObserveUnknownSender()
	if p := r.seedQueryInterval(r.start.Add(startPeriod)); p != seedInterval {
		t.Errorf("interval after startPeriod: got %v, want seedInterval", p)
	}
}

// Guards against a VM that restarts cut off from its peers and then uses the whole of each rate,
// and against one that counts itself, under another address, or a repeated address as a peer.
func TestIsolatedVMCountsItsSeeds(t *testing.T) {
	n := &network{vms: map[string]*Roster{}, down: map[string]bool{"p1": true, "p2": true}}
	published := func(r *Roster) *member.List {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.start = time.Now().Add(-isolatedAfter)
		r.publish(time.Now())
		return r.List()
	}
	alone := n.start(t, 0, "p0", "p1", "p2", "p2")
	if l := published(alone); l.Len() != 1 || l.FleetLen() != 3 {
		t.Errorf("%d VMs listed and %d counted by a VM that reaches neither of 2 other seeds, want 1 and 3", l.Len(), l.FleetLen())
	}
	alone.SetSeeds([]string{"p0", "p1"})
	if l := published(alone); l.FleetLen() != 2 {
		t.Errorf("%d VMs counted after a change of the seeds, want 2", l.FleetLen())
	}
	sole := n.start(t, 4, "p4")
	if l := published(sole); l.FleetLen() != 1 {
		t.Errorf("%d VMs counted by a VM whose only seed is itself, want 1", l.FleetLen())
	}
	n.mu.Lock()
	n.vms["alias"] = sole
	n.mu.Unlock()
	sole.SetSeeds([]string{"p4", "alias"})
	for deadline := time.Now().Add(5 * time.Second); published(sole).FleetLen() != 1; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a VM that reached itself under another address counts two VMs after 5 s")
		}
	}
}
