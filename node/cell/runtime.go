package cell

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/lease"
	"github.com/galenasail/galenasail/core/member"
)

// message is handled by the actor.
type message interface{ isMessage() }

// received is a heartbeat from the transport.
type received struct{ heartbeat *contact.Heartbeat }

// wake makes the actor check its deadlines and flags.
type wake struct{}

// reported is a poison mark of this VM.
type reported struct{ mark contact.PoisonMark }

func (received) isMessage() {}
func (wake) isMessage()     {}
func (reported) isMessage() {}

// statusRepeat is how long all heartbeats carry a changed status. Should a peer
// lose all of them, it learns of the change from the next full heartbeat.
const statusRepeat = 3 * time.Second

// status is the configuration in force as heartbeats carry it.
type status struct {
	ticket  uint64
	digest  uint32
	version uint64
}

// runtime is the state that the actor owns.
type runtime struct {
	cell       *Cell
	agent      *lease.Agent
	contact    *contact.State // of agent
	lease      *lease.State   // of agent
	full       *member.List   // the whole list; agent uses the cell's part
	cellList   *member.List
	left       bool
	marks      markStore
	noted      noted
	suspension suspension

	status    status
	changedAt time.Time
	// claimed holds the shards that this VM claimed at the last tick.
	claimed member.ShardSet
}

func newRuntime(c *Cell) *runtime {
	id := c.cfg.Identity
	agent := lease.NewAgent(id.VM.ID, id.Instance, c.base, c.cfg.Lease)
	return &runtime{
		cell:    c,
		agent:   agent,
		contact: agent.Contact,
		lease:   agent.Lease,
		marks:   newMarkStore(),
		noted:   newNoted(),
	}
}

func (r *runtime) handle(m message) {
	now := time.Now()
	switch m := m.(type) {
	case received:
		r.receive(m.heartbeat, now)
	case reported:
		r.marks.add(m.mark, now)
	case wake:
		r.wake(now)
	}
}

// wake adopts a new list, updates the leases and sends heartbeats that are due.
func (r *runtime) wake(now time.Time) {
	r.adoptList(now)
	r.syncPlatform()
	if r.cell.leaving.Load() && !r.left {
		r.left = true
		r.agent.Leave(now)
	}
	if r.cellList == nil {
		return
	}
	r.endAfterSuspension(now)
	r.readStatus(now)
	r.agent.SetReader(r.cell.cfg.Reads(), now)
	due := r.agent.Tick(now, r.cell.announce.Swap(false))
	if r.cell.announceNear.Swap(false) {
		due = r.withDomain(due)
	}
	r.claimed, _ = r.lease.Claims(now)
	r.publish(now)
	for _, p := range due {
		r.send(p, now)
	}
}

// withDomain adds the peers of the VM's failure domain.
func (r *runtime) withDomain(due []*contact.Peer) []*contact.Peer {
	domain := r.cell.cfg.Identity.VM.FailureDomain
	for _, p := range r.contact.Peers() {
		if p.VM.FailureDomain == domain && !slices.Contains(due, p) {
			due = append(due, p)
		}
	}
	return due
}

// send sends a heartbeat that is dated now. A datagram that fails to leave is
// like a lost one.
func (r *runtime) send(p *contact.Peer, now time.Time) {
	h := r.agent.Heartbeat(p, now)
	r.addStatus(&h, now)
	h.Leaving = h.Leaving || r.cell.cfg.System.Failed() > 0
	h.Marks = r.marks.current(now)
	h.ReadAge = r.readAge(now)
	_ = r.cell.cfg.Transport.Send(p.VM, &h)
}

// readAge returns the age of this VM's own reading for the ticket that heartbeats carry,
// 0 without a recent one.
func (r *runtime) readAge(now time.Time) time.Duration {
	ticket, at := r.cell.cfg.ReadAt()
	age := max(now.Sub(at), time.Millisecond)
	if at.IsZero() || ticket != r.status.ticket || age > contact.ReadAgeMax {
		return 0
	}
	return age
}

// addStatus adds ticket, list version and load to full heartbeats, and to all
// for statusRepeat after a change.
func (r *runtime) addStatus(h *contact.Heartbeat, now time.Time) {
	if h.From == 0 && now.Sub(r.changedAt) >= statusRepeat {
		return
	}
	h.Ticket, h.Digest = r.status.ticket, r.status.digest
	h.ListVersion = r.status.version
	if r.cell.cfg.Roster != nil {
		h.ListVersion = r.cell.cfg.Roster()
	}
	h.Load = uint32(r.cell.cfg.Load())
}

// readStatus notices a new ticket or list.
func (r *runtime) readStatus(now time.Time) {
	next := status{version: r.full.Version}
	if snapshot := r.cell.cfg.Configs.Snapshot(); snapshot != nil {
		next.ticket = snapshot.Ticket()
		next.digest = shortDigest(snapshot.Digest)
	}
	if next != r.status {
		r.status = next
		r.changedAt = now
	}
}

func (r *runtime) receive(h *contact.Heartbeat, now time.Time) {
	p, reply, verdict := r.agent.Receive(h, now)
	if verdict == contact.UnknownSender {
		r.cell.cfg.Stranger()
	}
	if p == nil {
		return
	}
	r.publishPeer(p)
	r.noteHeard(p, now)
	// A renewal may wait for the next tick, which is short against the lease; a
	// new lease is made known at once.
	if r.acquiring(now) {
		r.publishViews(now)
	}
	for _, to := range reply {
		r.send(to, now)
	}
	r.cell.cfg.Heard(News{
		VM: p.VM, Ticket: p.Ticket, Digest: p.Digest, ListVersion: p.ListVersion, PlatformAge: h.PlatformAge,
		ReadAge: h.ReadAge,
	})
	for _, mark := range r.marks.hear(h.Marks, now) {
		r.cell.subs.notify(mark)
	}
}

// acquiring tells whether this VM claims a shard that it does not hold
// exclusively.
func (r *runtime) acquiring(now time.Time) bool {
	for shard := range r.claimed.All {
		hold, ok := r.cell.views[shard].Load().At(now)
		if !ok || !hold.Exclusive {
			return true
		}
	}
	return false
}

// adoptList takes over the cell's part of a new VM list.
func (r *runtime) adoptList(now time.Time) {
	full := r.cell.cfg.Configs.List()
	if full == r.full {
		return
	}
	r.full = full
	r.cellList = member.CellMembers(full, r.cell.cfg.Identity.VM.ID)
	r.agent.SetList(r.cellList, now)
	r.publishTable()
}

// syncPlatform exchanges the newest platform response with the readers' copy.
func (r *runtime) syncPlatform() {
	if own := r.cell.platform.Load(); own != never {
		r.contact.RecordPlatformResponse(r.cell.base.Add(time.Duration(own)))
	}
}

func shortDigest(digest string) uint32 {
	raw, err := hex.DecodeString(digest[:min(8, len(digest))])
	if err != nil || len(raw) < 4 {
		return 0
	}
	return uint32(raw[0])<<24 | uint32(raw[1])<<16 | uint32(raw[2])<<8 | uint32(raw[3])
}

// noteHeard notes when a peer was heard.
func (r *runtime) noteHeard(p *contact.Peer, now time.Time) {
	if e, ok := r.cell.table.Load().entries[p.VM.ID]; ok {
		e.heard.Store(r.cell.nanos(now))
	}
}
