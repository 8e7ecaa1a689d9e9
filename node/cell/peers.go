package cell

import (
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// PeerState is what this VM knows about another member of its cell.
type PeerState struct {
	// VM is the member's entry in the list.
	VM member.VM
	// Instance is its process instance; 0 before the first heartbeat.
	Instance uint64
	// InContact is true while round trips are recent.
	InContact bool
	// Leaving is true for a member that takes no new work.
	Leaving bool
	// SaidLeaving is true when its last heartbeat said that it leaves; Leaving is also
	// true when the VM list says so.
	SaidLeaving bool
	// HeardAt is when its last heartbeat was accepted.
	HeardAt time.Time
	// Load is the number of requests running on it, up to 2 s old.
	Load uint32
	// Ticket is its ticket in force, up to 2 s old.
	Ticket uint64
	// ListVersion is the version of its VM list, up to 2 s old.
	ListVersion uint64
}

// peerStatus is the part of PeerState that seldom changes. It is immutable.
type peerStatus struct {
	load    uint32
	ticket  uint64
	version uint64
}

// publishStatus replaces the readers' copy when it has changed.
func (e *peerEntry) publishStatus(p *contact.Peer) {
	next := peerStatus{load: p.Load, ticket: p.Ticket, version: p.ListVersion}
	if known := e.status.Load(); known == nil || *known != next {
		e.status.Store(&next)
	}
}

// Peers returns the other members of the cell in list order.
func (c *Cell) Peers() []PeerState {
	t := c.table.Load()
	now := c.nanos(time.Now())
	out := make([]PeerState, 0, len(t.entries))
	for i := 0; i < t.list.Len(); i++ {
		vm := t.list.VMs[i]
		e, ok := t.entries[vm.ID]
		if !ok {
			continue
		}
		state := PeerState{
			VM:          vm,
			Instance:    e.instance.Load(),
			InContact:   now < e.contactUntil.Load(),
			Leaving:     e.leaving.Load(),
			SaidLeaving: e.reportedLeaving.Load(),
			HeardAt:     c.base.Add(time.Duration(e.lastSeen.Load())),
		}
		if s := e.status.Load(); s != nil {
			state.Load, state.Ticket, state.ListVersion = s.load, s.ticket, s.version
		}
		out = append(out, state)
	}
	return out
}

// Shed returns the number of messages dropped before the full mailbox.
func (c *Cell) Shed() int64 {
	if a := c.actor.Load(); a != nil {
		return a.Shed()
	}
	return 0
}
