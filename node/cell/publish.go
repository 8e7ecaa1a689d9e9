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

// shedEventInterval spaces the events about shed messages, which would
// otherwise fill the ring during an overload.
const shedEventInterval = time.Second

// noted is what the events have said last.
type noted struct {
	inContact map[string]bool
	contact   bool
	exclusive member.ShardSet
}

func newNoted() noted {
	return noted{inContact: map[string]bool{}}
}

// publish updates the readers' snapshots and records what changed.
func (r *runtime) publish(now time.Time) {
	r.publishViews(now)
	r.publishHolders(now)
	for _, p := range r.contact.Peers() {
		r.publishPeer(p)
		r.notePeer(p, now)
	}
	r.noteContact()
	r.noteLeases(now)
}

// publishTable replaces the table of members and keeps known entries.
func (r *runtime) publishTable() {
	former := r.cell.table.Load()
	self, listed := r.full.Find(r.cell.cfg.Identity.VM.ID)
	next := &table{
		list:    r.full,
		listed:  listed,
		leaving: self.State == member.Leaving,
		entries: map[string]*entry{},
	}
	for _, p := range r.contact.Peers() {
		e, ok := former.entries[p.VM.ID]
		if !ok {
			e = &entry{}
			e.until.Store(never)
		}
		next.entries[p.VM.ID] = e
	}
	r.cell.table.Store(next)
	for id := range r.noted.inContact {
		if _, ok := next.entries[id]; !ok {
			delete(r.noted.inContact, id)
		}
	}
}

func (r *runtime) publishPeer(p *contact.Peer) {
	e, ok := r.cell.table.Load().entries[p.VM.ID]
	if !ok {
		return
	}
	until := int64(never)
	if p.Echoed.Seq != 0 {
		until = r.cell.nanos(p.ContactUntil())
	}
	e.until.Store(until)
	e.instance.Store(p.Instance)
	e.leaving.Store(p.IsLeaving())
	e.said.Store(p.Leaving)
	e.publishStatus(p)
}

func (r *runtime) publishViews(now time.Time) {
	var changed member.ShardSet
	for shard := range r.lease.TakeDirty().All {
		r.cell.views[shard].Store(r.lease.View(shard, now))
		changed.Add(shard)
	}
	r.noteShards(changed, now)
	if deadline := r.contact.Deadline(now); deadline.IsZero() {
		r.cell.deadline.Store(never)
	} else {
		r.cell.deadline.Store(r.cell.nanos(deadline))
	}
	if age := r.contact.PlatformAge(now); age < contact.PlatformAgeMax {
		r.cell.PlatformSeen(now.Add(-age))
	}
}

func (r *runtime) publishHolders(now time.Time) {
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

func (r *runtime) notePeer(p *contact.Peer, now time.Time) {
	in := p.InContact(now)
	if in == r.noted.inContact[p.VM.ID] {
		return
	}
	r.noted.inContact[p.VM.ID] = in
	if in {
		r.cell.cfg.Events.Record(event.PeerBack, p.VM.ID, fmt.Sprintf("instance %016x echoes heartbeats", p.Instance))
		return
	}
	r.cell.cfg.Events.Record(event.PeerLost, p.VM.ID, fmt.Sprintf("no heartbeat echoed for %v", contact.Timeout))
}

func (r *runtime) noteContact() {
	err := r.cell.Check()
	in := err == nil
	if in == r.noted.contact {
		return
	}
	r.noted.contact = in
	if in {
		r.cell.cfg.Events.Record(event.ContactBack, r.cell.cfg.Identity.VM.ID, "the contact rule holds")
		return
	}
	r.cell.cfg.Events.Record(event.ContactLost, r.cell.cfg.Identity.VM.ID, fault.From(err).Detail)
}

// noteLeases records leases that ended by time.
func (r *runtime) noteLeases(now time.Time) {
	r.noteShards(r.noted.exclusive, now)
}

// shardEvents is the number of shards up to which each gets an event of its own.
const shardEvents = 4

// noteShards records which of the shards are now held or lost.
func (r *runtime) noteShards(shards member.ShardSet, now time.Time) {
	var held, lost member.ShardSet
	var hold lease.Hold
	for shard := range shards.All {
		h, ok := r.cell.views[shard].Load().At(now)
		exclusive := ok && h.Exclusive
		switch {
		case exclusive == r.noted.exclusive.Has(shard):
		case exclusive:
			held.Add(shard)
			r.noted.exclusive.Add(shard)
			hold = h
		default:
			lost.Add(shard)
			r.noted.exclusive.Remove(shard)
		}
	}
	r.recordShards(event.LeaseHeld, held, fmt.Sprintf("%d grants of %d members", hold.Grants, hold.Members))
	r.recordShards(event.LeaseLost, lost, "fewer grants than the quorum")
}

func (r *runtime) recordShards(k event.Kind, shards member.ShardSet, detail string) {
	if n := shards.Len(); n > shardEvents {
		r.cell.cfg.Events.Record(k, fmt.Sprintf("%d shards", n), detail)
		return
	}
	for shard := range shards.All {
		r.cell.cfg.Events.Record(k, member.ShardKey(shard), detail)
	}
}

// noteShed records that the mailbox was full.
func (c *Cell) noteShed(err error) {
	now := c.nanos(time.Now())
	last := c.shedAt.Load()
	if last != never && now-last < int64(shedEventInterval) {
		return
	}
	if c.shedAt.CompareAndSwap(last, now) {
		c.cfg.Events.Record(event.MessageShed, "cell", fault.From(err).Detail)
	}
}
