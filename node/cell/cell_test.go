package cell

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer"
)

// configs is a fake node.Configs whose content tests can replace.
type configs struct {
	snapshot atomic.Pointer[document.Snapshot]
	list     atomic.Pointer[member.List]
}

func (c *configs) Snapshot() *document.Snapshot { return c.snapshot.Load() }
func (c *configs) List() *member.List           { return c.list.Load() }

func (c *configs) setTicket(ticket uint64) {
	c.snapshot.Store(&document.Snapshot{Index: &document.Index{Ticket: ticket}, Digest: fmt.Sprintf("%064x", ticket)})
}

// events is a fake node.Events that counts events by kind.
type events [256]atomic.Int64

func (e *events) Record(k event.Kind, _, _ string)        { e[k].Add(1) }
func (e *events) Violated(invariant.Name, string, string) {}
func (e *events) count(k event.Kind) int64                { return e[k].Load() }

// vm is a Cell on a real UDP socket.
type vm struct {
	*Cell
	vm      member.VM
	configs *configs
	events  *events
	udp     *peer.UDP
	system  *duty.System
	traffic *peer.Traffic
	reports chan PeerReport
}

var key = []byte("0123456789abcdef0123456789abcdef")

// onHeartbeat queues reports of a newer ticket.
func (v *vm) onHeartbeat(n PeerReport) {
	if n.Ticket <= v.configs.Snapshot().Ticket() {
		return
	}
	select {
	case v.reports <- n:
	default:
	}
}

// startVM starts the VM with number i on address. It has no VM list yet.
func startVM(t testing.TB, i int, address string, adjust ...func(*Config)) *vm {
	v := &vm{configs: &configs{}, events: &events{}, traffic: &peer.Traffic{}, reports: make(chan PeerReport, 10000)}
	v.configs.setTicket(1)
	id := fmt.Sprintf("vm-%02d", i)
	udp, err := peer.NewUDP(peer.UDPConfig{ID: id, Address: address, Key: key, Traffic: v.traffic})
	if err != nil {
		t.Fatal(err)
	}
	v.udp = udp
	v.vm = member.VM{ID: id, Address: "127.0.0.1:1", PeerAddress: udp.Address(), FailureDomain: "d", State: member.Live}
	v.system = duty.NewSystem(slog.New(slog.DiscardHandler), v.events)
	cfg := Config{
		Identity:    node.Identity{VM: v.vm, Instance: uint64(time.Now().UnixNano()) + uint64(i)},
		Configs:     v.configs,
		Events:      v.events,
		System:      v.system,
		Transport:   udp,
		OnHeartbeat: v.onHeartbeat,
	}
	for _, f := range adjust {
		f(&cfg)
	}
	v.Cell = New(cfg)
	v.Start()
	t.Cleanup(v.close)
	return v
}

func (v *vm) close() {
	_ = v.udp.Close()
	v.Stop()
}

// startCell starts n VMs and waits until they agree on the holder of each shard.
func startCell(t testing.TB, n int, adjust ...func(*Config)) []*vm {
	var vms []*vm
	list := &member.List{Version: 1}
	for i := range n {
		v := startVM(t, i, "127.0.0.1:0", adjust...)
		vms = append(vms, v)
		list.VMs = append(list.VMs, v.vm)
	}
	for _, v := range vms {
		v.configs.list.Store(list)
	}
	eventually(t, 20*time.Second, "all VMs agree on the holders", func() bool { return agreeOnHolders(vms) })
	return vms
}

// agreeOnHolders reports whether all VMs may accept work and each shard has one
// exclusive holder, on which all VMs agree.
func agreeOnHolders(vms []*vm) bool {
	for shard := range member.Shard(member.ShardCount) {
		first, _ := vms[0].Holder(shard)
		for _, v := range vms {
			h, _ := v.Held(shard)
			if holder, ok := v.Holder(shard); v.Check() != nil || !ok || holder.ID != first.ID || h.Exclusive != (v.vm.ID == first.ID) {
				return false
			}
		}
	}
	return true
}

// eventually fails the test unless ok returns true within the given time.
func eventually(t testing.TB, within time.Duration, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against VMs that do not agree on the shard holders over real datagrams, and
// against a VM that still holds shards after its graceful shutdown.
func TestCellAgreesOnHolders(t *testing.T) {
	t.Parallel()
	vms := startCell(t, 5)
	// The VMs may agree before a VM that starts late has its first lease.
	eventually(t, 10*time.Second, "the VM that shuts down holds leases", func() bool {
		return vms[0].events.count(event.LeaseHeld) > 0 && agreeOnHolders(vms)
	})
	vms[0].BeginShutdown()
	if kind := fault.KindOf(vms[0].Check()); kind != fault.ShuttingDown {
		t.Errorf("Check of a VM that shuts down: got %v, want ShuttingDown", kind)
	}
	eventually(t, 5*time.Second, "the others take over", func() bool { return agreeOnHolders(vms[1:]) })
	eventually(t, time.Second, "events record the move of the leases", func() bool {
		return vms[0].events.count(event.LeaseLost) > 0 && vms[1].events.count(event.LeaseHeld) > 0
	})
}
