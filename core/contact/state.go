package contact

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// forgetAfter is how long the sequence numbers of a removed member are kept.
// Without them a datagram delayed across its return could undo a newer one.
const forgetAfter = time.Minute

// Verdict says what became of a received heartbeat.
type Verdict uint8

// The verdicts.
const (
	// Accepted is a heartbeat that took effect.
	Accepted Verdict = iota
	// UnknownSender is a heartbeat of a VM outside the list.
	UnknownSender
	// Stale is a heartbeat that is older than one already accepted.
	Stale
	// Unproven is a heartbeat of another instance that has not yet shown that
	// it replaced the known one.
	Unproven
)

// Receipt is the effect of an accepted heartbeat.
type Receipt struct {
	// Peer is the sender.
	Peer *Peer
	// Echoed is the own datagram that the heartbeat echoes.
	Echoed Sent
	// WasInContact tells whether the sender's instance was in contact before.
	WasInContact bool
	// HasEcho is false when the heartbeat echoes no known datagram of this
	// instance. Echoed and the heartbeat's grants count only when it is true.
	HasEcho bool
}

// State is the state of all peers of one VM.
type State struct {
	self     string
	instance uint64
	list     *member.List
	peers    []*Peer
	byHash   map[uint64]*Peer
	// byInstance finds the senders of brief heartbeats. It holds the known
	// instance and the candidate of each peer.
	byInstance map[uint64]*Peer
	platform   time.Time
	known      bool
}

// New returns the state of the VM self with no peers.
func New(self string, instance uint64) *State {
	return &State{self: self, instance: instance, byHash: map[uint64]*Peer{}, byInstance: map[uint64]*Peer{}}
}

// SetList adopts the members of the cell. Members that stay keep their state.
func (s *State) SetList(l *member.List, now time.Time) {
	s.list = l
	for _, p := range s.peers {
		p.listed = false
		p.removed = now
	}
	s.peers = s.peers[:0]
	for i := 0; i < l.Len(); i++ {
		if vm := l.VMs[i]; vm.ID != s.self {
			s.peers = append(s.peers, s.enlist(vm))
		}
	}
	for hash, p := range s.byHash {
		if !p.listed && now.Sub(p.removed) > forgetAfter {
			delete(s.byHash, hash)
			delete(s.byInstance, p.Instance)
			delete(s.byInstance, p.candidate.instance)
		}
	}
}

func (s *State) enlist(vm member.VM) *Peer {
	hash := Hash(vm.ID)
	p, ok := s.byHash[hash]
	if !ok {
		p = &Peer{Timeout: Timeout}
		s.byHash[hash] = p
	}
	p.VM = vm
	p.listed = true
	return p
}

// Peers returns the other members in list order. The slice is valid until the
// next SetList.
func (s *State) Peers() []*Peer {
	return s.peers
}

// Listed tells whether this VM is a member of its own list.
func (s *State) Listed() bool {
	_, ok := s.list.Find(s.self)
	return ok
}

// Next returns the next heartbeat to p, full or brief, with sender, sequence
// number, echo and platform age filled in. The caller sends it after now. Mark comes back in
// the Receipt when p echoes the datagram.
func (s *State) Next(p *Peer, now time.Time, mark uint64) Heartbeat {
	instance, echo := p.echo(now)
	h := Heartbeat{
		Instance:     s.instance,
		Seq:          p.recordSent(now, mark),
		EchoInstance: uint32(instance),
		Echo:         echo,
		PlatformAge:  s.PlatformAge(now),
	}
	if h.Seq%fullEvery == 0 || !p.knowsSender(now) {
		h.From = Hash(s.self)
	}
	return h
}

// sender returns the listed peer that sent h.
func (s *State) sender(h *Heartbeat) (*Peer, bool) {
	p, ok := s.byHash[h.From]
	if h.From == 0 {
		p, ok = s.byInstance[h.Instance]
	}
	return p, ok && p.listed && h.Instance != 0
}

// replaced tells whether h proves that its instance runs in the place of the
// known one. It keeps byInstance up to date.
func (s *State) replaced(p *Peer, h *Heartbeat) bool {
	former := p.candidate.instance
	proven := p.replace(h, s.instance)
	if former != p.candidate.instance {
		delete(s.byInstance, former)
	}
	if proven {
		delete(s.byInstance, p.Instance)
	}
	s.byInstance[h.Instance] = p
	return proven
}

// Receive takes in a heartbeat. Only an Accepted one changes the peer.
func (s *State) Receive(h *Heartbeat, now time.Time) (Receipt, Verdict) {
	p, ok := s.sender(h)
	if !ok {
		return Receipt{}, UnknownSender
	}
	if h.Instance != p.Instance {
		if !s.replaced(p, h) {
			return Receipt{}, Unproven
		}
		p.adopt(h.Instance, now)
	}
	if h.Seq <= p.received {
		return Receipt{}, Stale
	}
	r := Receipt{Peer: p, WasInContact: p.InContact(now)}
	p.received = h.Seq
	p.candidate.newest = false
	s.note(p, h)
	if h.EchoInstance == uint32(s.instance) {
		r.Echoed, r.HasEcho = p.sentBy(h.Echo)
	}
	if r.HasEcho {
		s.noteEcho(p, h, r.Echoed)
	}
	return r, Accepted
}

func (s *State) note(p *Peer, h *Heartbeat) {
	p.Leaving = h.Leaving
	if h.ListVersion != 0 || h.Ticket != 0 {
		p.ListVersion = h.ListVersion
		p.Ticket = h.Ticket
		p.Digest = h.Digest
		p.Load = h.Load
	}
	if h.Claims.Len() > 0 || h.Granted.Len() > 0 {
		p.Active = true
	}
}

// noteEcho records round-trip evidence. The heartbeat left the peer after the
// echoed datagram was sent, so the platform response is at most PlatformAge
// older than that; a heartbeat that was delayed cannot make it look newer.
func (s *State) noteEcho(p *Peer, h *Heartbeat, echoed Sent) {
	if echoed.Seq > p.Echoed.Seq {
		p.Echoed = echoed
	}
	p.Unclaimed = p.Unclaimed || h.Unclaimed
	if h.PlatformAge < PlatformAgeMax {
		s.PlatformSeen(echoed.At.Add(-h.PlatformAge))
	}
}

// PlatformSeen records a platform response that arrived at the given time.
func (s *State) PlatformSeen(at time.Time) {
	if !s.known || at.After(s.platform) {
		s.platform = at
		s.known = true
	}
}

// PlatformAge returns the age of the newest known platform response, at most
// PlatformAgeMax.
func (s *State) PlatformAge(now time.Time) time.Duration {
	if !s.known {
		return PlatformAgeMax
	}
	return min(max(now.Sub(s.platform), 0), PlatformAgeMax)
}
