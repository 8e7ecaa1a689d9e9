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

// never is a time in the past of every other.
const never = math.MinInt64

// table holds the members for readers. The map is immutable; the entries are
// updated in place, because a copy for each heartbeat would cost more than the
// heartbeat.
type memberTable struct {
	list    *member.List
	listed  bool
	leaving bool // by the VM list
	entries map[string]*peerEntry
}

// entry is a peer as readers see it.
type peerEntry struct {
	contactUntil    atomic.Int64 // end of contact, since Cell.base
	lastSeen        atomic.Int64 // last accepted heartbeat, since Cell.base
	instance        atomic.Uint64
	leaving         atomic.Bool
	reportedLeaving atomic.Bool // its last heartbeat said that it leaves
	status          atomic.Pointer[peerStatus]
}

// Check returns nil while this VM may accept new work, else an error of kind
// NotInContact, NotReady or ShuttingDown.
func (c *Cell) Check() error {
	if c.refusing.Load() {
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
		return fault.New(fault.ShuttingDown, "the VM list says that this VM is leaving")
	}
	if c.cfg.System.Failed() > 0 {
		return fault.New(fault.NotInContact, "a duty of this VM has failed")
	}
	now := c.nanos(time.Now())
	if now < c.contactDeadline.Load() {
		return nil
	}
	if seen := c.platformResponse.Load(); seen != never && now-seen < int64(contact.PlatformTimeout) {
		return nil
	}
	if c.cfg.ServeAlone {
		return nil
	}
	return fault.New(fault.NotInContact, "this VM is cut off from its cell and the platform")
}

// InContact tells whether the given VM answers heartbeats and is not leaving.
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

// Held returns this VM's lease on s at this moment.
func (c *Cell) Held(s member.Shard) (h node.Hold, ok bool) {
	hold, ok := c.views[s].Load().At(time.Now())
	return node.Hold(hold), ok
}

// Holder returns the member that is known to claim s, this VM included.
func (c *Cell) Holder(s member.Shard) (vm member.VM, ok bool) {
	holder := c.holders[s].Load()
	if holder == nil {
		return member.VM{}, false
	}
	if holder.ID == c.cfg.Identity.VM.ID {
		_, ok = c.views[s].Load().At(time.Now())
		return *holder, ok
	}
	return *holder, c.InContact(holder.ID)
}
