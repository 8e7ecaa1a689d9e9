package cell

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/lease"
	"github.com/galenasail/galenasail/core/member"
)

// message is a message to the actor.
type message interface{ isMessage() }

// heartbeatReceived holds a heartbeat from the transport.
type heartbeatReceived struct{ heartbeat *contact.Heartbeat }

// updateRequested makes the actor check its deadlines and the flags of Cell.
type updateRequested struct{}

// markReported holds a poison mark of this VM.
type markReported struct{ mark contact.PoisonMark }

func (heartbeatReceived) isMessage() {}
func (updateRequested) isMessage()   {}
func (markReported) isMessage()      {}

// statusRepeatPeriod is how long every heartbeat carries a changed status. A peer
// that receives none of them learns of the change from the next full heartbeat.
const statusRepeatPeriod = 3 * time.Second

// status is the configuration in effect as heartbeats carry it.
type status struct {
	ticket  uint64
	digest  uint32
	version uint64
}

// actorState is the state that the actor owns. Only its goroutine uses it.
type actorState struct {
	cell         *Cell
	agent        *lease.Agent
	contact      *contact.State // of agent
	lease        *lease.State   // of agent
	fullList     *member.List   // the VM list of the fleet; cellList is this cell's part of it
	cellList     *member.List
	leaveStarted bool
	marks        markStore
	recorded     eventState
	suspension   suspension
	// peersPublishedAt is when the entries of all peers were last published.
	peersPublishedAt time.Time

	status          status
	statusChangedAt time.Time
	// claimed holds the shards that this VM claimed at the last tick.
	claimed member.ShardSet
}

func newActorState(c *Cell) *actorState {
	id := c.cfg.Identity
	agent := lease.NewAgent(id.VM.ID, id.Instance, c.base, c.cfg.Lease)
	return &actorState{
		cell:     c,
		agent:    agent,
		contact:  agent.Contact,
		lease:    agent.Lease,
		marks:    newMarkStore(),
		recorded: newEventState(),
	}
}

func (r *actorState) handle(m message) {
	now := time.Now()
	switch m := m.(type) {
	case heartbeatReceived:
		r.receive(m.heartbeat, now)
	case markReported:
		r.marks.add(m.mark, now)
	case updateRequested:
		r.update(now)
	}
}

// update applies a new VM list, updates the leases and sends the heartbeats that are
// due.
func (r *actorState) update(now time.Time) {
	r.applyList(now)
	r.syncPlatform()
	if r.cell.leaving.Load() && !r.leaveStarted {
		r.leaveStarted = true
		r.agent.Leave(now)
	}
	if r.cellList == nil {
		return
	}
	r.endLeasesAfterSuspension(now)
	r.updateStatus(now)
	r.agent.SetReader(r.cell.cfg.IsReader(), now)
	due := r.agent.Tick(now, r.cell.announceAll.Swap(false))
	if r.cell.announceInDomain.Swap(false) {
		due = r.addDomainPeers(due)
	}
	r.claimed, _ = r.lease.Claims(now)
	r.publish(now)
	for _, p := range due {
		r.send(p, now)
	}
}

// addDomainPeers adds the peers in the VM's failure domain to due.
func (r *actorState) addDomainPeers(due []*contact.Peer) []*contact.Peer {
	domain := r.cell.cfg.Identity.VM.FailureDomain
	for _, p := range r.contact.Peers() {
		if p.VM.FailureDomain == domain && !slices.Contains(due, p) {
			due = append(due, p)
		}
	}
	return due
}

// send sends a heartbeat with the state as of now. Errors are ignored, because the
// protocol tolerates lost datagrams.
func (r *actorState) send(p *contact.Peer, now time.Time) {
	h := r.agent.Heartbeat(p, now)
	r.addStatus(&h, now)
	h.Leaving = h.Leaving || r.cell.cfg.System.Failed() > 0
	h.Marks = r.marks.pending(now)
	list, _ := r.cell.subs.quarantines()
	h.Quarantines = list(contact.MaxQuarantines)
	h.ReadAge = r.readAge(now)
	_ = r.cell.cfg.Transport.Send(p.VM, &h)
}

// readAge returns the age of the last own platform read that confirmed the ticket
// in the heartbeats, at least 1 ms; 0 when there is none or it is older than
// contact.ReadAgeMax.
func (r *actorState) readAge(now time.Time) time.Duration {
	ticket, at := r.cell.cfg.UpToDateByOwnReads()
	age := max(now.Sub(at), time.Millisecond)
	if at.IsZero() || ticket != r.status.ticket || age > contact.ReadAgeMax {
		return 0
	}
	return age
}

// addStatus adds ticket, list version and load to a full heartbeat, and to every
// heartbeat for statusRepeatPeriod after a change.
func (r *actorState) addStatus(h *contact.Heartbeat, now time.Time) {
	if h.From == 0 && now.Sub(r.statusChangedAt) >= statusRepeatPeriod {
		return
	}
	h.Ticket, h.Digest = r.status.ticket, r.status.digest
	h.ListVersion = r.status.version
	if r.cell.cfg.RosterDigest != nil {
		h.ListVersion = r.cell.cfg.RosterDigest()
	}
	h.Load = uint32(r.cell.cfg.Load())
}

// updateStatus sets the status and records when it changed.
func (r *actorState) updateStatus(now time.Time) {
	next := status{version: r.fullList.Version}
	if snapshot := r.cell.cfg.Configs.Snapshot(); snapshot != nil {
		next.ticket = snapshot.Ticket()
		next.digest = shortDigest(snapshot.Digest)
	}
	if next != r.status {
		r.status = next
		r.statusChangedAt = now
	}
}

// receive processes a heartbeat, sends the replies and passes its content on.
func (r *actorState) receive(h *contact.Heartbeat, now time.Time) {
	p, reply, verdict := r.agent.Receive(h, now)
	if verdict == contact.UnknownSender {
		r.cell.cfg.OnUnknownSender()
	}
	if p == nil {
		return
	}
	r.publishPeer(p)
	r.recordLastSeen(p, now)
	// A renewed lease can be published at the next tick, because the tick interval is
	// short compared to the lease term. A new lease is published at once.
	if r.acquiring(now) {
		r.publishViews(now)
	}
	for _, to := range reply {
		r.send(to, now)
	}
	r.cell.cfg.OnHeartbeat(PeerReport{
		VM: p.VM, Ticket: p.Ticket, Digest: p.Digest, ListVersion: p.ListVersion, PlatformAge: h.PlatformAge,
		ReadAge: h.ReadAge,
	})
	for _, mark := range r.marks.filterNew(h.Marks, now) {
		r.cell.subs.notify(mark)
	}
	_, learn := r.cell.subs.quarantines()
	for _, q := range h.Quarantines {
		learn(q)
	}
}

// acquiring reports whether this VM claims a shard that it does not hold
// exclusively.
func (r *actorState) acquiring(now time.Time) bool {
	for shard := range r.claimed.All {
		hold, ok := r.cell.leaseViews[shard].Load().At(now)
		if !ok || !hold.Exclusive {
			return true
		}
	}
	return false
}

// applyList applies a new VM list: the agent gets this cell's part of it.
func (r *actorState) applyList(now time.Time) {
	full := r.cell.cfg.Configs.List()
	if full == r.fullList {
		return
	}
	r.fullList = full
	r.cellList = member.CellMembers(full, r.cell.cfg.Identity.VM.ID)
	r.agent.SetList(r.cellList, now)
	r.publishTable()
}

// syncPlatform passes the newest platform response of this VM to the contact state.
func (r *actorState) syncPlatform() {
	if own := r.cell.platformResponse.Load(); own != never {
		r.contact.RecordPlatformResponse(r.cell.base.Add(time.Duration(own)))
	}
}

// shortDigest returns the first 32 bits of a hexadecimal digest; 0 when it is invalid.
func shortDigest(digest string) uint32 {
	raw, err := hex.DecodeString(digest[:min(8, len(digest))])
	if err != nil || len(raw) < 4 {
		return 0
	}
	return uint32(raw[0])<<24 | uint32(raw[1])<<16 | uint32(raw[2])<<8 | uint32(raw[3])
}

// recordLastSeen publishes when the last heartbeat of a peer was accepted.
func (r *actorState) recordLastSeen(p *contact.Peer, now time.Time) {
	if e, ok := r.cell.table.Load().entries[p.VM.ID]; ok {
		e.lastSeen.Store(r.cell.nanos(now))
	}
}
