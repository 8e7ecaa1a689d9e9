package cell

import (
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/lease"
	"github.com/galenasail/galenasail/core/member"
)

// shedEventInterval is the least time between two events about dropped messages.
// Without a limit they would displace all other events from the event buffer during
// an overload.
const shedEventInterval = time.Second

// publishPeersInterval is the period at which the entries of all peers are published. It only
// delays changes that come without a heartbeat: other timeouts, and events.
const publishPeersInterval = 200 * time.Millisecond

// eventState is the state that the events recorded last. An event is recorded when
// the actual state differs from it.
type eventState struct {
	inContact map[string]bool // by peer ID
	contact   bool            // Check returned nil: this VM accepts work
	exclusive member.ShardSet // shards that this VM holds exclusively
}

func newEventState() eventState {
	return eventState{inContact: map[string]bool{}}
}

// publish updates the published snapshots and records the changes as events.
func (r *actorState) publish(now time.Time) {
	r.publishViews(now)
	r.publishHolders(now)
	if now.Sub(r.peersPublishedAt) >= publishPeersInterval {
		r.peersPublishedAt = now
		r.publishPeers(now)
	}
	r.recordOwnContact()
	r.recordExpiredLeases(now)
}

// publishPeers publishes the entries of all peers and records whose contact began or ended.
// Heartbeats publish the entry of their sender at once.
func (r *actorState) publishPeers(now time.Time) {
	for _, p := range r.contact.Peers() {
		r.publishPeer(p)
		r.recordPeerContact(p, now)
	}
}

// publishTable replaces the published member table and keeps the entries of VMs that
// are still members.
func (r *actorState) publishTable() {
	former := r.cell.table.Load()
	self, listed := r.fullList.Find(r.cell.cfg.Identity.VM.ID)
	next := &memberTable{
		list:    r.fullList,
		listed:  listed,
		leaving: self.State == member.Leaving,
		entries: map[string]*peerEntry{},
	}
	for _, p := range r.contact.Peers() {
		e, ok := former.entries[p.VM.ID]
		if !ok {
			e = &peerEntry{}
			e.contactUntil.Store(never)
		}
		next.entries[p.VM.ID] = e
	}
	r.cell.table.Store(next)
	for id := range r.recorded.inContact {
		if _, ok := next.entries[id]; !ok {
			delete(r.recorded.inContact, id)
		}
	}
}

// publishPeer updates the published entry of p.
func (r *actorState) publishPeer(p *contact.Peer) {
	e, ok := r.cell.table.Load().entries[p.VM.ID]
	if !ok {
		return
	}
	until := int64(never)
	if p.Echoed.Seq != 0 {
		until = r.cell.nanos(p.ContactUntil())
	}
	e.contactUntil.Store(until)
	e.instance.Store(p.Instance)
	e.leaving.Store(p.IsLeaving())
	e.reportedLeaving.Store(p.Leaving)
	e.publishStatus(p)
}

// publishViews publishes the changed leases of this VM, the end of its contact and
// the newest platform response.
func (r *actorState) publishViews(now time.Time) {
	var changed member.ShardSet
	for shard := range r.lease.TakeDirty().All {
		r.cell.leaseViews[shard].Store(r.lease.View(shard, now))
		changed.Add(shard)
	}
	r.recordLeaseChanges(changed, now)
	if !r.cell.cfg.ServeIsolated {
		r.publishContactDeadline(now)
	}
	if age := r.contact.PlatformAge(now); age < contact.PlatformAgeMax {
		r.cell.RecordPlatformResponse(now.Add(-age))
	}
}

// publishContactDeadline publishes until when the contact rule is satisfied. A VM that serves
// without contact does not need it.
func (r *actorState) publishContactDeadline(now time.Time) {
	deadline := r.contact.Deadline(now)
	if deadline.IsZero() {
		r.cell.contactDeadline.Store(never)
		return
	}
	r.cell.contactDeadline.Store(r.cell.nanos(deadline))
}

// publishHolders publishes the member that claims each shard.
func (r *actorState) publishHolders(now time.Time) {
	for shard := range member.Shard(member.ShardCount) {
		id, ok := r.lease.Claimant(shard, now)
		known := r.cell.holders[shard].Load()
		switch {
		case !ok:
			r.cell.holders[shard].Store(nil)
		case known == nil || known.ID != id:
			vm, _ := r.cellList.Find(id)
			r.cell.holders[shard].Store(&vm)
		}
	}
}

// recordPeerContact records when contact to a peer begins or ends.
func (r *actorState) recordPeerContact(p *contact.Peer, now time.Time) {
	in := p.InContact(now)
	if in == r.recorded.inContact[p.VM.ID] {
		return
	}
	r.recorded.inContact[p.VM.ID] = in
	if in {
		r.cell.cfg.Events.Record(event.PeerBack, p.VM.ID, fmt.Sprintf("instance %016x echoes heartbeats of this VM", p.Instance))
		return
	}
	r.cell.cfg.Events.Record(event.PeerLost, p.VM.ID, fmt.Sprintf("peer has not echoed a heartbeat of this VM for %v", contact.Timeout))
}

// recordOwnContact records when this VM begins or ceases to accept work.
func (r *actorState) recordOwnContact() {
	err := r.cell.Check()
	in := err == nil
	if in == r.recorded.contact {
		return
	}
	r.recorded.contact = in
	if in {
		r.cell.cfg.Events.Record(event.ContactBack, r.cell.cfg.Identity.VM.ID, "contact rule is satisfied, this VM accepts work")
		return
	}
	r.cell.cfg.Events.Record(event.ContactLost, r.cell.cfg.Identity.VM.ID, fault.From(err).Detail)
}

// recordExpiredLeases records leases that expired without a change of the grants.
func (r *actorState) recordExpiredLeases(now time.Time) {
	r.recordLeaseChanges(r.recorded.exclusive, now)
}

// maxShardEvents is the largest number of shards for which each shard gets its own
// event; more are recorded as one event.
const maxShardEvents = 4

// recordLeaseChanges records which of the given shards this VM now holds
// exclusively, or no longer does.
func (r *actorState) recordLeaseChanges(shards member.ShardSet, now time.Time) {
	var held, lost member.ShardSet
	var hold lease.Hold
	for shard := range shards.All {
		h, ok := r.cell.leaseViews[shard].Load().At(now)
		exclusive := ok && h.Exclusive
		switch {
		case exclusive == r.recorded.exclusive.Has(shard):
		case exclusive:
			held.Add(shard)
			r.recorded.exclusive.Add(shard)
			hold = h
		default:
			lost.Add(shard)
			r.recorded.exclusive.Remove(shard)
		}
	}
	r.recordLeaseEvents(event.LeaseHeld, held, fmt.Sprintf("%d grants of %d members", hold.Grants, hold.Members))
	r.recordLeaseEvents(event.LeaseLost, lost, "number of valid grants is below the quorum")
}

// recordLeaseEvents records events of kind k for shards.
func (r *actorState) recordLeaseEvents(k event.Kind, shards member.ShardSet, detail string) {
	if n := shards.Len(); n > maxShardEvents {
		r.cell.cfg.Events.Record(k, fmt.Sprintf("%d shards", n), detail)
		return
	}
	for shard := range shards.All {
		r.cell.cfg.Events.Record(k, member.ShardKey(shard), detail)
	}
}

// recordShed records that a message was dropped because the mailbox was full, at
// most once per shedEventInterval.
func (c *Cell) recordShed(err error) {
	now := c.nanos(time.Now())
	last := c.lastShedEvent.Load()
	if last != never && now-last < int64(shedEventInterval) {
		return
	}
	if c.lastShedEvent.CompareAndSwap(last, now) {
		c.cfg.Events.Record(event.MessageShed, "cell", fault.From(err).Detail)
	}
}
