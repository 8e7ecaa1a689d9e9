package contact

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// sentSize is the number of own datagrams per peer whose send time is kept.
// It covers the lease term of 2 s at 4 regular heartbeats plus replies to new
// grants. An echo of an older datagram proves nothing.
const sentSize = 32

// Sent is an own datagram that a peer echoed.
type Sent struct {
	// Seq is its sequence number.
	Seq uint64
	// At is when it was sent.
	At time.Time
	// Mark is the value that the caller of Next attached to it.
	Mark uint64
}

// Peer is what is known about one other member.
type Peer struct {
	// VM is the member's entry in the list.
	VM member.VM
	// Instance is its process instance; 0 before the first heartbeat.
	Instance uint64
	// Since is when the first heartbeat of the instance was accepted.
	Since time.Time
	// Active is true once the instance has claimed or granted a shard, which
	// it does only after its start-up wait.
	Active bool
	// Unclaimed is true once the instance has said that it claimed no shard before it
	// first heard this process.
	Unclaimed bool
	// Echoed is the newest own datagram that the instance has echoed.
	Echoed Sent
	// Leaving is what its last heartbeat said.
	Leaving bool
	// ListVersion, Ticket, Digest and Load are what its last heartbeat that
	// carried them said.
	ListVersion uint64
	Ticket      uint64
	Digest      uint32
	Load        uint32

	// Timeout is the age of an echo up to which the peer is in contact.
	Timeout time.Duration
	// NextBeat is when the next heartbeat to the peer is due.
	NextBeat  time.Time
	listed    bool
	removed   time.Time
	received  uint64
	seq       uint64
	sent      [sentSize]Sent
	candidate candidate
}

// candidate is an instance that may have replaced the known one. It is
// accepted once it echoes a datagram sent after it was first heard, because an
// instance that is gone cannot do that, however late its datagrams arrive.
type candidate struct {
	instance uint64
	after    uint64 // last own datagram when it was first heard
	received uint64 // its highest sequence number
	newest   bool   // true when it was heard after the known instance
}

// InContact tells whether the peer echoed a datagram sent at most Timeout ago.
func (p *Peer) InContact(now time.Time) bool {
	return now.Before(p.ContactUntil())
}

// ContactUntil returns when contact ends unless another echo arrives. It is in
// the past for a peer that never echoed.
func (p *Peer) ContactUntil() time.Time {
	if p.Echoed.Seq == 0 {
		return time.Time{}
	}
	return p.Echoed.At.Add(p.Timeout)
}

// IsLeaving tells whether the peer or the VM list says that it leaves.
func (p *Peer) IsLeaving() bool {
	return p.Leaving || p.VM.State == member.Leaving
}

func (p *Peer) recordSent(now time.Time, mark uint64) uint64 {
	p.seq++
	p.sent[p.seq%sentSize] = Sent{Seq: p.seq, At: now, Mark: mark}
	return p.seq
}

func (p *Peer) sentBy(seq uint64) (Sent, bool) {
	s := p.sent[seq%sentSize]
	return s, seq != 0 && s.Seq == seq
}

// replace tells whether a heartbeat of an instance other than the known one
// proves that the instance runs now, and remembers it as a candidate if not.
func (p *Peer) replace(h *Heartbeat, self uint64) bool {
	if p.Instance == 0 {
		return true
	}
	if p.candidate.instance != h.Instance {
		p.candidate = candidate{instance: h.Instance, after: p.seq}
	}
	if h.Seq <= p.candidate.received {
		return false
	}
	p.candidate.received = h.Seq
	p.candidate.newest = true
	return h.EchoInstance == uint32(self) && h.Echo > p.candidate.after && h.Echo <= p.seq
}

// echo returns what the next datagram echoes. A candidate is echoed when the
// known instance is out of contact and was not heard since. Otherwise two VMs
// that both restarted, and each know a former instance of the other from a
// delayed datagram, would never prove themselves to each other.
func (p *Peer) echo(now time.Time) (instance, seq uint64) {
	if p.candidate.newest && !p.InContact(now) {
		return p.candidate.instance, p.candidate.received
	}
	return p.Instance, p.received
}

// knowsSender tells whether the peer can be assumed to know this VM's instance,
// so that the next datagram may be brief.
func (p *Peer) knowsSender(now time.Time) bool {
	return p.InContact(now) && !p.candidate.newest && now.Sub(p.Since) >= fullFor
}

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
	p.received = 0
	p.candidate = candidate{}
}
