package cell

import (
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// PeerState is the state of another member of the cell as this VM last received it.
// Load, Ticket and ListVersion are at most 2 s old at the default heartbeat interval,
// because every fourth heartbeat is full; at a slow interval they are older.
type PeerState struct {
	// VM is the member's entry in the VM list.
	VM member.VM
	// Instance is its process instance; 0 before the first heartbeat.
	Instance uint64
	// InContact is true while the member has recently echoed a heartbeat of this VM.
	InContact bool
	// Leaving is true for a member that accepts no new work, by its last heartbeat or
	// by the VM list.
	Leaving bool
	// ReportedLeaving is true when its last heartbeat reported that it is leaving.
	// Unlike Leaving, it does not depend on the VM list.
	ReportedLeaving bool
	// LastSeen is when its last heartbeat was accepted.
	LastSeen time.Time
	// Load is the number of requests running on it.
	Load uint32
	// Ticket is the ticket in effect on it; 0 when unknown.
	Ticket uint64
	// ListVersion is the version of its VM list, or the digest of its roster when the
	// fleet manages its membership itself.
	ListVersion uint64
}

// peerStatus is the part of PeerState that rarely changes. It is immutable.
type peerStatus struct {
	load    uint32
	ticket  uint64
	version uint64
}

// publishStatus replaces the published status if it has changed.
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
			VM:              vm,
			Instance:        e.instance.Load(),
			InContact:       now < e.contactUntil.Load(),
			Leaving:         e.leaving.Load(),
			ReportedLeaving: e.reportedLeaving.Load(),
			LastSeen:        c.base.Add(time.Duration(e.lastSeen.Load())),
		}
		if s := e.status.Load(); s != nil {
			state.Load, state.Ticket, state.ListVersion = s.load, s.ticket, s.version
		}
		out = append(out, state)
	}
	return out
}

// Shed returns the number of messages dropped because the mailbox was full.
func (c *Cell) Shed() int64 {
	if a := c.actor.Load(); a != nil {
		return a.Shed()
	}
	return 0
}
