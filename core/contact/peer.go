package contact

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// sentSize is the number of datagrams sent to a peer whose send time is kept. It covers the
// lease term of 2 s with 4 regular heartbeats and the replies to new grants. An echo of
// an older datagram is ignored.
const sentSize = 32

// Sent is a datagram that this VM sent to a peer.
type Sent struct {
	// Seq is its sequence number.
	Seq uint64
	// At is when it was sent.
	At time.Time
	// Tag is the value that was passed to State.Next for it.
	Tag uint64
}

// Peer is the state of one other member of the cell.
type Peer struct {
	// VM is the member's entry in the list.
	VM member.VM
	// Instance is its process instance; 0 before the first heartbeat.
	Instance uint64
	// Since is when the first heartbeat of the instance was accepted.
	Since time.Time
	// Active is true once the instance has claimed or granted a shard, which it does
	// only after its start-up wait.
	Active bool
	// Unclaimed is true once the instance has reported that it had claimed no shard
	// before it received the first heartbeat of this process.
	Unclaimed bool
	// Echoed is the newest datagram of this VM that the instance has echoed.
	Echoed Sent
	// Leaving is the value in its last heartbeat.
	Leaving bool
	// ListVersion, Ticket, Digest and Load are the values in its last heartbeat that
	// carried them.
	ListVersion uint64
	Ticket      uint64
	Digest      uint32
	Load        uint32

	// Timeout is the age of an echoed datagram up to which the peer is in contact.
	Timeout time.Duration
	// keptUntil is until when the peer stays in contact after its Timeout was lowered.
	keptUntil time.Time
	// NextHeartbeat is when the next heartbeat to the peer is due.
	NextHeartbeat time.Time
	listed        bool
	removed       time.Time      // when it was removed from the list; valid while not listed
	received      uint64         // highest sequence number received from the instance
	seq           uint64         // sequence number of the last datagram sent to the peer
	sent          [sentSize]Sent // ring buffer; the index is Seq modulo sentSize
	candidate     candidate
}

// candidate is an instance that may have replaced the known one. It is accepted once it
// echoes a datagram that was sent after its own first one was received. An instance that
// has ended cannot do that, however late its datagrams arrive.
type candidate struct {
	instance   uint64
	sentBefore uint64 // last datagram sent to the peer when its first one was received
	received   uint64 // highest sequence number received from it
	latest     bool   // true when its last datagram came after the known instance's last
}

// InContact reports whether the peer echoed a datagram that was sent less than Timeout ago.
func (p *Peer) InContact(now time.Time) bool {
	return now.Before(p.ContactUntil())
}

// ContactUntil returns when contact ends unless another echo arrives. It returns the zero
// time for a peer that has not echoed any datagram.
func (p *Peer) ContactUntil() time.Time {
	if p.Echoed.Seq == 0 {
		return time.Time{}
	}
	until := p.Echoed.At.Add(p.Timeout)
	if p.keptUntil.After(until) {
		return p.keptUntil
	}
	return until
}

// KeepContact keeps a peer that is in contact so for d, although its Timeout is lowered now.
func (p *Peer) KeepContact(now time.Time, d time.Duration) {
	until, kept := p.ContactUntil(), now.Add(d)
	if kept.After(until) {
		kept = until
	}
	p.keptUntil = kept
}

// IsLeaving reports whether the peer leaves the fleet according to its last heartbeat or to
// the VM list.
func (p *Peer) IsLeaving() bool {
	return p.Leaving || p.VM.State == member.Leaving
}

// recordSent records a datagram to the peer and returns its sequence number.
func (p *Peer) recordSent(now time.Time, tag uint64) uint64 {
	p.seq++
	p.sent[p.seq%sentSize] = Sent{Seq: p.seq, At: now, Tag: tag}
	return p.seq
}

// sentDatagram returns the datagram with the given sequence number. ok is false when it is no
// longer kept.
func (p *Peer) sentDatagram(seq uint64) (Sent, bool) {
	s := p.sent[seq%sentSize]
	return s, seq != 0 && s.Seq == seq
}

// confirms reports whether a heartbeat of an instance other than the known one proves that
// this instance runs now. If not, it records the instance as the candidate.
func (p *Peer) confirms(h *Heartbeat, self uint64) bool {
	if p.Instance == 0 {
		return true
	}
	if p.candidate.instance != h.Instance {
		p.candidate = candidate{instance: h.Instance, sentBefore: p.seq}
	}
	if h.Seq <= p.candidate.received {
		return false
	}
	p.candidate.received = h.Seq
	p.candidate.latest = true
	return h.EchoInstance == uint32(self) && h.Echo > p.candidate.sentBefore && h.Echo <= p.seq
}

// echo returns the instance and sequence number that the next datagram echoes. It echoes the
// candidate when the known instance is out of contact and has sent nothing since.
// Otherwise two VMs that both restarted, and each know a former instance of the other from
// a delayed datagram, would never accept each other.
func (p *Peer) echo(now time.Time) (instance, seq uint64) {
	if p.candidate.latest && !p.InContact(now) {
		return p.candidate.instance, p.candidate.received
	}
	return p.Instance, p.received
}

// knowsSender reports whether the peer can be assumed to know this VM's instance, so that the
// next datagram may be brief.
func (p *Peer) knowsSender(now time.Time) bool {
	return p.InContact(now) && !p.candidate.latest && now.Sub(p.Since) >= fullPeriod
}

// adopt makes instance the known one and resets what was learned from the former one.
func (p *Peer) adopt(instance uint64, now time.Time) {
	p.Instance = instance
	p.Since = now
	p.Active = false
	p.Unclaimed = false
	p.Leaving = false
	p.ListVersion = 0
	p.Ticket = 0
	p.Digest = 0
	p.Load = 0
	p.Echoed = Sent{}
	p.keptUntil = time.Time{}
	p.received = 0
	p.candidate = candidate{}
}
