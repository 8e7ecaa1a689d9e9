package cell

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
)

// never is earlier than every other time since Cell.base. It marks an unset time.
const never = math.MinInt64

// memberTable holds the members for concurrent readers. The map is immutable. The
// entries are updated in place, because copying them for each heartbeat would cost
// more than processing the heartbeat.
type memberTable struct {
	list    *member.List
	listed  bool // this VM is in list
	leaving bool // list has this VM as leaving
	entries map[string]*peerEntry
}

// peerEntry is the published state of a peer.
type peerEntry struct {
	contactUntil    atomic.Int64 // end of contact, in ns since Cell.base
	lastSeen        atomic.Int64 // last accepted heartbeat, in ns since Cell.base
	instance        atomic.Uint64
	leaving         atomic.Bool
	reportedLeaving atomic.Bool // its last heartbeat reported that it is leaving
	status          atomic.Pointer[peerStatus]
}

// Check returns nil while this VM may accept new work, otherwise an error of kind
// NotInContact, NotReady or ShuttingDown.
func (c *Cell) Check() error {
	if c.shuttingDown.Load() {
		return fault.New(fault.ShuttingDown, "this VM is shutting down")
	}
	t := c.table.Load()
	if t.list == nil || c.cfg.Configs.Snapshot() == nil {
		return fault.New(fault.NotReady, "no configuration is in force yet")
	}
	if !t.listed {
		return fault.New(fault.NotReady, "this VM is not in the VM list")
	}
	if t.leaving {
		return fault.New(fault.ShuttingDown, "the VM list has this VM in the state leaving")
	}
	if c.cfg.System.Failed() > 0 {
		return fault.New(fault.NotInContact, "a background task (duty) of this VM has failed")
	}
	now := c.nanos(time.Now())
	if now < c.contactDeadline.Load() {
		return nil
	}
	if seen := c.platformResponse.Load(); seen != never && now-seen < int64(contact.PlatformTimeout) {
		return nil
	}
	if c.cfg.ServeIsolated {
		return nil
	}
	return fault.New(fault.NotInContact, "this VM is in contact with less than half of its cell and has no recent platform response")
}

// InContact reports whether the given VM answers heartbeats and is not leaving;
// for this VM itself, whether Check returns nil and it is not leaving.
func (c *Cell) InContact(id string) bool {
	if id == c.cfg.Identity.VM.ID {
		return !c.leaving.Load() && c.Check() == nil
	}
	e, ok := c.table.Load().entries[id]
	return ok && !e.leaving.Load() && c.nanos(time.Now()) < e.contactUntil.Load()
}

// InstanceOf returns the last known process instance of a VM.
func (c *Cell) InstanceOf(id string) (instance uint64, ok bool) {
	if id == c.cfg.Identity.VM.ID {
		return c.cfg.Identity.Instance, true
	}
	e, ok := c.table.Load().entries[id]
	if !ok {
		return 0, false
	}
	instance = e.instance.Load()
	return instance, instance != 0
}

// Held returns this VM's lease on s as of now; ok is false when it has none.
func (c *Cell) Held(s member.Shard) (h node.HeldLease, ok bool) {
	hold, ok := c.leaseViews[s].Load().At(time.Now())
	return node.HeldLease(hold), ok
}

// Holder returns the member that is known to claim s, which may be this VM. ok is
// false when there is none, or when it has lost its lease or contact.
func (c *Cell) Holder(s member.Shard) (vm member.VM, ok bool) {
	holder := c.holders[s].Load()
	if holder == nil {
		return member.VM{}, false
	}
	if holder.ID == c.cfg.Identity.VM.ID {
		_, ok = c.leaseViews[s].Load().At(time.Now())
		return *holder, ok
	}
	return *holder, c.InContact(holder.ID)
}
