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

// network delivers calls between the rosters of a test; down VMs do not answer.
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
		Contacts: func() []Heard { return nil },
		OnList:   func(*member.List) {},
	})
	n.mu.Lock()
	n.vms[vm.PeerAddress] = r
	n.mu.Unlock()
	r.Start()
	t.Cleanup(r.Stop)
	return r
}

// Guards against VMs that do not find each other because a seed is stale or down,
// or started later, and against one that counts itself as the whole fleet.
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
				t.Fatalf("%d of 6 VMs known", r.List().Len())
			}
			// Heartbeats would show other digests.
			r.Differs(member.VM{PeerAddress: "p0"}, n.vms["p0"].Digest())
			time.Sleep(20 * time.Millisecond)
		}
		if r.Digest() != all[0].Digest() {
			t.Fatal("digests differ")
		}
	}
	alone := n.start(t, 9, "stale")
	time.Sleep(500 * time.Millisecond)
	if alone.List() != nil {
		t.Fatal("a VM that hears nobody publishes a list at once")
	}
	alone.SetSeeds([]string{"p0"})
	for alone.List().Len() < 7 {
		if time.Now().After(deadline) {
			t.Fatal("new seeds are not asked")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against VMs of other cells that are forgotten although they live, because a
// VM hears only those of its own cell.
func TestVMsOfOtherCellsAreAskedFor(t *testing.T) {
	start := time.Now()
	vm := func(i int) member.VM {
		return member.VM{ID: fmt.Sprintf("vm-%02d", i), Address: "a:1", PeerAddress: fmt.Sprint("p", i), FailureDomain: "d", State: member.Live}
	}
	r := New(Config{Identity: node.Identity{VM: vm(0), Instance: 1}, CellSize: 6, Events: noEvents{}, OnList: func(*member.List) {}})
	if address := r.toRenew(start); address != "" {
		t.Fatalf("%s is asked although there is one cell", address)
	}
	var all []roster.MemberRecord
	for i := 1; i < 24; i++ {
		all = append(all, roster.MemberRecord{VM: vm(i), Instance: uint64(i)})
	}
	r.merge(all)
	own := member.CellMembers(r.List(), "vm-00")
	for turn := range 20 {
		at := start.Add(time.Duration(turn+1) * renewEvery)
		address := r.toRenew(at)
		if address == "" {
			t.Fatalf("turn %d: nobody is asked", turn)
		}
		for _, o := range own.VMs {
			if o.PeerAddress == address {
				t.Fatalf("turn %d: %s of the own cell is asked", turn, o.ID)
			}
		}
		if again := r.toRenew(at.Add(renewEvery / 2)); again != "" {
			t.Fatalf("turn %d: asked again after %v", turn, renewEvery/2)
		}
	}
}

// Guards against VMs that start together and know each other late: the heartbeat of one
// that is not listed yet shortens the pause between questions to the seeds, for young
// VMs only.
func TestStrangerShortensThePause(t *testing.T) {
	r := New(Config{Identity: node.Identity{VM: member.VM{ID: "vm-0"}, Instance: 1}, Seeds: []string{"p1"}})
	r.core.Merge([]roster.MemberRecord{{VM: member.VM{ID: "vm-1", Address: "a:1", PeerAddress: "p1", FailureDomain: "d", State: member.Live}, Instance: 2}}, r.start)
	if p := r.pause(r.start); p != seedEvery {
		t.Fatalf("%v without a stranger", p)
	}
	r.Stranger()
	if p := r.pause(r.start); p != tickEvery {
		t.Errorf("%v after the heartbeat of a stranger", p)
	}
	r.due(r.start.Add(tickEvery))
	if p := r.pause(r.start); p != seedEvery {
		t.Errorf("%v after the question", p)
	}
	r.Stranger()
	if p := r.pause(r.start.Add(gatherTime)); p != confirmEvery {
		t.Errorf("%v for a VM that is no longer young", p)
	}
}
