package lease

import (
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// unclaimedReportPeriod is how long heartbeats to a new instance report that this process
// had claimed no shard before it learned of the instance. It is longer than any start-up wait.
const unclaimedReportPeriod = 4 * time.Second

// Agent drives the contact and lease state of one VM from the heartbeats that it receives,
// and selects the peers that are due for a heartbeat.
type Agent struct {
	// Contact is the state of the peers. Only the agent changes it, except that
	// the caller records platform responses.
	Contact *contact.State
	// Lease is the lease state. Only the agent changes it.
	Lease *State

	cfg        Config
	lastClaims member.ShardSet
	// reader is true while this VM reads the platform on behalf of the others.
	reader bool
}

// NewAgent returns the agent of a process that is started at now. Instance identifies the
// process among those that ran on the VM id.
func NewAgent(id string, instance uint64, now time.Time, cfg Config) *Agent {
	return &Agent{
		Contact: contact.New(id, instance),
		Lease:   New(id, instance, now, cfg),
		cfg:     cfg.withDefaults(),
	}
}

// SetList replaces the member list of the cell. Heartbeats to new members are due at the next
// Tick.
func (a *Agent) SetList(l *member.List, now time.Time) {
	a.Contact.SetList(l, now)
	a.Lease.SetList(l, now)
}

// Leave gives up all claims permanently. Heartbeats to all peers are due at the next Tick.
func (a *Agent) Leave(now time.Time) {
	a.Lease.Leave()
	for _, p := range a.Contact.Peers() {
		p.NextHeartbeat = now
	}
}

// SetReader sets whether this VM reads the platform on behalf of the others. A reader sends
// all peers heartbeats at the fast rate, so that they learn soon that their configuration
// is up to date.
func (a *Agent) SetReader(reader bool, now time.Time) {
	if reader && !a.reader {
		for _, p := range a.Contact.Peers() {
			p.NextHeartbeat = now
		}
	}
	a.reader = reader
}

// Tick updates the leases and returns the peers to send a heartbeat to at now: those whose
// interval has elapsed and those that got a new grant. It returns all peers when all is
// true and when the claims of this VM changed, so that a shard is handed over within one
// round trip.
func (a *Agent) Tick(now time.Time, all bool) []*contact.Peer {
	newGrants := a.Lease.Update(a.Contact.MemberStatuses(now, a.cfg.Wait, a.Lease.waitEndedEarly), now)
	claims, _ := a.Lease.Claims(now)
	changed := claims != a.lastClaims
	a.lastClaims = claims
	var due []*contact.Peer
	for _, p := range a.Contact.Peers() {
		t := a.heartbeatTiming(p)
		a.setTimeout(p, t.Timeout, now)
		if all || changed || !now.Before(p.NextHeartbeat) || slices.Contains(newGrants, p.VM.ID) {
			p.NextHeartbeat = now.Add(a.interval(t))
			due = append(due, p)
		}
	}
	return due
}

// interval returns the time until the next heartbeat to a peer with timing t. A reader sends
// more often; the timeout for the peer's own heartbeats stays that of t.
func (a *Agent) interval(t Timing) time.Duration {
	if a.reader {
		return min(t.Interval, a.cfg.FastHeartbeats.Interval)
	}
	return t.Interval
}

// setTimeout sets the contact timeout of a peer. A peer in contact at the slow rate that begins
// to claim shards stays in contact until its heartbeats at the fast rate have to arrive.
func (a *Agent) setTimeout(p *contact.Peer, timeout time.Duration, now time.Time) {
	if timeout < p.Timeout && a.Lease.claims(p.VM.ID) {
		p.KeepContact(now, timeout)
	}
	p.Timeout = timeout
}

// heartbeatTiming returns the fast rate for a peer that needs fast heartbeats, and in the
// start-up wait for each peer that has not yet reported whether it may hold a grant of an
// earlier process of this VM; else the slow rate.
func (a *Agent) heartbeatTiming(p *contact.Peer) Timing {
	awaited := a.Lease.starting && !p.Unclaimed
	if awaited || a.lastClaims.Len() > 0 || a.Lease.needsFastHeartbeats(p.VM.ID) {
		return a.cfg.FastHeartbeats
	}
	return a.slowTiming()
}

const (
	// slowCellSize is the number of VMs up to which the slow rate is that of the
	// configuration. In larger cells the interval grows with the number of VMs, so that
	// a VM sends no more heartbeats.
	slowCellSize = 48
	// maxSlowFactor bounds that growth: a VM from which no heartbeat arrives for 60 s
	// leaves the list, so several of them must fit into this time.
	maxSlowFactor = 3.5
)

// slowTiming returns the timing of slow heartbeats for the number of VMs of the cell.
func (a *Agent) slowTiming() Timing {
	factor := min(maxSlowFactor, max(1, float64(len(a.Contact.Peers()))/slowCellSize))
	slow := a.cfg.SlowHeartbeats
	if a.cfg.Seats == 0 {
		return slow
	}
	return Timing{
		Interval: time.Duration(factor * float64(slow.Interval)),
		Timeout:  time.Duration(factor * float64(slow.Timeout)),
	}
}

// Heartbeat returns the next heartbeat to p. The caller adds the configuration status and
// the poison marks, and sends it no earlier than now.
func (a *Agent) Heartbeat(p *contact.Peer, now time.Time) contact.Heartbeat {
	h := a.Contact.Next(p, now, a.Lease.Epoch())
	h.Claims, h.Held = a.Lease.Claims(now)
	h.Granted = a.Lease.GrantsTo(p.VM.ID, h.EchoInstance, now)
	h.Leaving = a.Lease.leaving
	// For a candidate instance the time of its first heartbeat is not recorded.
	confirmed := h.EchoInstance == uint32(p.Instance) && p.Instance != 0
	h.Unclaimed = confirmed && now.Sub(p.Since) < unclaimedReportPeriod && a.Lease.unclaimedBefore(p.Since)
	return h
}

// Receive processes a heartbeat. It returns the sender and the peers to answer with a
// heartbeat at once, such as those with a new grant. For a heartbeat that is not accepted
// both are nil and the verdict gives the reason.
func (a *Agent) Receive(h *contact.Heartbeat, now time.Time) (from *contact.Peer, reply []*contact.Peer, verdict contact.Verdict) {
	r, verdict := a.Contact.Receive(h, now)
	if verdict != contact.Accepted {
		return nil, nil, verdict
	}
	from = r.Peer
	unconfirmed := h.Claims.Len() > 0 && !from.InContact(now)
	newContact := a.Lease.starting && !r.WasInContact
	claim := Claim{ID: from.VM.ID, Instance: h.Instance, Claims: h.Claims, Held: h.Held}
	newGrants := a.Lease.ReceiveClaim(claim, from.InContact(now), now)
	if r.HasEcho {
		grant := Grant{ID: claim.ID, Shards: h.Granted, SentAt: r.Echoed.At, Epoch: r.Echoed.Tag}
		a.Lease.ReceiveGrants(grant, now)
	}
	if (unconfirmed || newContact) && !slices.Contains(newGrants, from.VM.ID) {
		// Reply at once: a claimant must echo a recent heartbeat before it gets a grant,
		// and VMs that are started at the same time wait for each other's echoes.
		newGrants = append(newGrants, from.VM.ID)
	}
	return from, a.peersByID(newGrants), verdict
}

func (a *Agent) peersByID(ids []string) []*contact.Peer {
	if len(ids) == 0 {
		return nil
	}
	var out []*contact.Peer
	for _, p := range a.Contact.Peers() {
		for _, id := range ids {
			if p.VM.ID == id {
				out = append(out, p)
				break
			}
		}
	}
	return out
}
