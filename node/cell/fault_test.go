package cell

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
)

// droppingTransport is a transport that loses the sent datagrams while dropping is
// true.
type droppingTransport struct {
	Transport
	dropping *atomic.Bool
}

func (m droppingTransport) Send(to member.VM, h *contact.Heartbeat) error {
	if m.dropping.Load() {
		return nil
	}
	return m.Transport.Send(to, h)
}

// Guards against a VM that still accepts work or holds leases although the heartbeats
// it sends are lost, and against a cell that does not recover afterwards.
func TestOneWayCut(t *testing.T) {
	t.Parallel()
	var dropping atomic.Bool
	vms := startCell(t, 4, func(c *Config) {
		if c.Identity.VM.ID == "vm-00" {
			c.Transport = droppingTransport{c.Transport, &dropping}
		}
	})
	cut := vms[0]
	dropping.Store(true)
	eventually(t, 5*time.Second, "both sides detect the loss of contact", func() bool {
		return fault.KindOf(cut.Check()) == fault.NotInContact && !cut.InContact("vm-01") && !vms[1].InContact("vm-00")
	})
	eventually(t, 5*time.Second, "the others take over", func() bool { return agreeOnHolders(vms[1:]) })
	cut.RecordPlatformResponse(time.Now())
	if err := cut.Check(); err != nil || !cut.InContact("vm-00") {
		t.Errorf("with a recent platform response: got %v, want no error", err)
	}
	if age := vms[1].PlatformAge(); age != contact.PlatformAgeMax {
		t.Errorf("a peer learned of a platform response of age %v although heartbeats are lost", age)
	}
	dropping.Store(false)
	eventually(t, 10*time.Second, "the cell recovers", func() bool { return agreeOnHolders(vms) })
	for _, k := range []event.Kind{event.PeerLost, event.PeerBack, event.ContactLost, event.ContactBack} {
		if cut.events.count(k) == 0 {
			t.Errorf("no event of kind %v", k)
		}
	}
}

// Guards against peers that do not accept a VM restarted at the same address, or that
// keep the instance of its former process.
func TestRestartAtSameAddress(t *testing.T) {
	t.Parallel()
	vms := startCell(t, 3)
	former, _ := vms[1].InstanceOf("vm-00")
	list := vms[0].configs.List()
	vms[0].close()
	vms[0] = startVM(t, 0, vms[0].vm.PeerAddress)
	vms[0].configs.list.Store(list)
	eventually(t, 10*time.Second, "the new instance is known and holds its shards", func() bool {
		instance, ok := vms[1].InstanceOf("vm-00")
		return ok && instance != former && agreeOnHolders(vms)
	})
}

// Guards against tickets, platform responses and poison marks that do not reach the
// peers, and against marks that are passed on twice.
func TestStatusAndMarksReachPeers(t *testing.T) {
	t.Parallel()
	vms := startCell(t, 3, func(c *Config) { c.Load = func() int { return 7 } })
	var own, received atomic.Int32
	vms[0].Subscribe(func(node.PoisonMark) { own.Add(1) })
	vms[1].Subscribe(func(m node.PoisonMark) { received.Add(int32(10*m.Fingerprint + m.Target)) })
	vms[0].Report(node.PoisonMark{Fingerprint: 5, Target: 6})
	vms[0].RecordPlatformResponse(time.Now())
	vms[0].configs.setTicket(2)
	vms[0].Announce()
	if n := <-vms[1].reports; n.VM.ID != "vm-00" || n.Ticket != 2 {
		t.Errorf("got report %+v, want ticket 2 of vm-00", n)
	}
	if p := vms[1].Peers()[0]; p.VM.ID != "vm-00" || !p.InContact || p.Ticket != 2 || p.ListVersion != 1 || p.Load != 7 {
		t.Errorf("got peer state %+v, want vm-00 in contact with ticket 2, list version 1 and load 7", p)
	}
	eventually(t, 5*time.Second, "the peer learns of the platform response", func() bool {
		return vms[1].PlatformAge() < contact.PlatformAgeMax
	})
	time.Sleep(markSendPeriod + contact.Interval)
	if own.Load() != 0 || received.Load() != 56 {
		t.Errorf("the mark was passed on %d times on the reporting VM and its sum on a peer is %d, want 0 and 56", own.Load(), received.Load())
	}
}

// Guards against a VM that starts after a request was quarantined and never learns of it, because
// marks are sent for a few seconds only.
func TestVMThatStartsLaterLearnsQuarantines(t *testing.T) {
	t.Parallel()
	vms := startCell(t, 3)
	want := poison.Announcement{Fingerprint: 5, Round: 2, Remaining: 40 * time.Second}
	vms[1].ExchangeQuarantines(func(limit int) []poison.Announcement { return []poison.Announcement{want}[:min(1, limit)] }, func(poison.Announcement) {})
	list := vms[0].configs.List()
	vms[0].close()
	vms[0] = startVM(t, 0, vms[0].vm.PeerAddress)
	var learned atomic.Pointer[poison.Announcement]
	vms[0].ExchangeQuarantines(func(int) []poison.Announcement { return nil }, func(a poison.Announcement) { learned.Store(&a) })
	vms[0].configs.list.Store(list)
	eventually(t, 3*time.Second, "the quarantine is learned", func() bool {
		a := learned.Load()
		return a != nil && *a == want
	})
}

// Guards against a VM that accepts work although one of its duties (background tasks)
// failed, before it has a VM list, or while the list has it as leaving; against
// messages that are dropped without an event; and against leases and contact that
// do not expire while the actor is blocked.
func TestFailedDutyAndFullMailbox(t *testing.T) {
	t.Parallel()
	lone := startVM(t, 9, "127.0.0.1:0")
	if kind := fault.KindOf(lone.Check()); kind != fault.NotReady {
		t.Errorf("Check of a VM without a list: got %v, want NotReady", kind)
	}
	leaving := lone.vm
	leaving.State = member.Leaving
	lone.configs.list.Store(&member.List{Version: 1, VMs: []member.VM{leaving}})
	eventually(t, 5*time.Second, "a VM that the list has as leaving refuses work", func() bool {
		return fault.KindOf(lone.Check()) == fault.ShuttingDown
	})
	blocked := make(chan struct{})
	vms := startCell(t, 3, func(c *Config) {
		if c.Identity.VM.ID == "vm-01" {
			c.OnHeartbeat = func(n PeerReport) {
				if n.Ticket > 1 {
					<-blocked
				}
			}
		}
	})
	failing := duty.Spawn(vms[0].system, "failing", 1, func(int) { panic("deliberate") })
	_ = failing.Send(1)
	eventually(t, 5*time.Second, "the VM with the failed duty loses contact", func() bool {
		return fault.KindOf(vms[0].Check()) == fault.NotInContact && !vms[2].InContact("vm-00")
	})
	vms[0].configs.setTicket(2)
	vms[0].Announce()
	eventually(t, 5*time.Second, "the full mailbox is recorded, and contact and leases expire while the actor is blocked", func() bool {
		held := false
		for shard := range member.Shard(member.ShardCount) {
			vms[1].enqueue(updateRequested{})
			_, ok := vms[1].Held(shard)
			held = held || ok
		}
		return vms[1].events.count(event.MessageShed) > 0 && !held && fault.KindOf(vms[1].Check()) == fault.NotInContact
	})
	close(blocked)
}
