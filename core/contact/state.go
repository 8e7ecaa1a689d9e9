package contact

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// removedRetention is how long the state of a removed member is kept. Without its sequence
// numbers, a datagram that was delayed until after the member's return could overwrite a
// newer one.
const removedRetention = time.Minute

// Verdict is the result of the checks of a received heartbeat.
type Verdict uint8

// Values of Verdict.
const (
	// Accepted is the verdict for a heartbeat that was applied.
	Accepted Verdict = iota
	// UnknownSender is the verdict for a heartbeat of a VM that is not on the list.
	UnknownSender
	// Stale is the verdict for a heartbeat that is not newer than the last accepted one.
	Stale
	// UnconfirmedInstance is the verdict for a heartbeat of another instance that has
	// not yet proved that it replaced the known one.
	UnconfirmedInstance
)

// Receipt describes an accepted heartbeat.
type Receipt struct {
	// Peer is the sender.
	Peer *Peer
	// Echoed is the datagram of this VM that the heartbeat echoes.
	Echoed Sent
	// WasInContact reports whether the sender's instance was in contact before.
	WasInContact bool
	// HasEcho is false when the heartbeat echoes no known datagram of this instance.
	// Echoed and the heartbeat's grants are valid only when it is true.
	HasEcho bool
}

// State is the state of all peers of one VM.
type State struct {
	self     string
	instance uint64
	list     *member.List
	peers    []*Peer
	byHash   map[uint64]*Peer
	// byInstance maps the known instance and the candidate of each peer to the peer, to
	// identify the senders of brief heartbeats.
	byInstance    map[uint64]*Peer
	platformAt    time.Time
	platformKnown bool
}

// New returns the state of a VM without peers. Self is its ID, and instance identifies its
// process.
func New(self string, instance uint64) *State {
	return &State{self: self, instance: instance, byHash: map[uint64]*Peer{}, byInstance: map[uint64]*Peer{}}
}

// SetList replaces the member list of the cell. Members that stay on it keep their state.
func (s *State) SetList(l *member.List, now time.Time) {
	s.list = l
	for _, p := range s.peers {
		p.listed = false
		p.removed = now
	}
	s.peers = s.peers[:0]
	for i := 0; i < l.Len(); i++ {
		if vm := l.VMs[i]; vm.ID != s.self {
			s.peers = append(s.peers, s.addPeer(vm))
		}
	}
	for hash, p := range s.byHash {
		if !p.listed && now.Sub(p.removed) > removedRetention {
			delete(s.byHash, hash)
			delete(s.byInstance, p.Instance)
			delete(s.byInstance, p.candidate.instance)
		}
	}
}

// addPeer returns the peer for a listed VM. It reuses the state of a former entry.
func (s *State) addPeer(vm member.VM) *Peer {
	hash := HashVMID(vm.ID)
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

// Listed reports whether this VM is on its own list.
func (s *State) Listed() bool {
	_, ok := s.list.Find(s.self)
	return ok
}

// Next returns the next heartbeat to p, full or brief, with sender, sequence number, echo and
// platform age set. The caller sends it no earlier than now. When p echoes the datagram,
// the Receipt returns the tag.
func (s *State) Next(p *Peer, now time.Time, tag uint64) Heartbeat {
	instance, echo := p.echo(now)
	h := Heartbeat{
		Instance:     s.instance,
		Seq:          p.recordSent(now, tag),
		EchoInstance: uint32(instance),
		Echo:         echo,
		PlatformAge:  s.PlatformAge(now),
	}
	if h.Seq%fullEvery == 0 || !p.knowsSender(now) {
		h.From = HashVMID(s.self)
	}
	return h
}

// sender returns the listed peer that sent h. ok is false for any other sender.
func (s *State) sender(h *Heartbeat) (*Peer, bool) {
	p, ok := s.byHash[h.From]
	if h.From == 0 {
		p, ok = s.byInstance[h.Instance]
	}
	return p, ok && p.listed && h.Instance != 0
}

// confirmsInstance reports whether h proves that its instance replaced the known one. It
// updates byInstance.
func (s *State) confirmsInstance(p *Peer, h *Heartbeat) bool {
	former := p.candidate.instance
	confirmed := p.confirms(h, s.instance)
	if former != p.candidate.instance {
		delete(s.byInstance, former)
	}
	if confirmed {
		delete(s.byInstance, p.Instance)
	}
	s.byInstance[h.Instance] = p
	return confirmed
}

// Receive processes a heartbeat. The Receipt is set only for the verdict Accepted. A
// heartbeat with another verdict changes nothing but the record of a candidate instance.
func (s *State) Receive(h *Heartbeat, now time.Time) (Receipt, Verdict) {
	p, ok := s.sender(h)
	if !ok {
		return Receipt{}, UnknownSender
	}
	if h.Instance != p.Instance {
		if !s.confirmsInstance(p, h) {
			return Receipt{}, UnconfirmedInstance
		}
		p.adopt(h.Instance, now)
	}
	if h.Seq <= p.received {
		return Receipt{}, Stale
	}
	r := Receipt{Peer: p, WasInContact: p.InContact(now)}
	p.received = h.Seq
	p.candidate.latest = false
	s.recordStatus(p, h)
	if h.EchoInstance == uint32(s.instance) {
		r.Echoed, r.HasEcho = p.sentDatagram(h.Echo)
	}
	if r.HasEcho {
		s.recordEcho(p, h, r.Echoed)
	}
	return r, Accepted
}

// recordStatus copies the sender's status from h.
func (s *State) recordStatus(p *Peer, h *Heartbeat) {
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

// recordEcho records a round trip. The peer sent the heartbeat after the echoed datagram was
// sent, so the platform response that it reports is at most PlatformAge older than that
// time. A delay of the heartbeat therefore cannot make the response look newer.
func (s *State) recordEcho(p *Peer, h *Heartbeat, echoed Sent) {
	if echoed.Seq > p.Echoed.Seq {
		p.Echoed = echoed
	}
	p.Unclaimed = p.Unclaimed || h.Unclaimed
	if h.PlatformAge < PlatformAgeMax {
		s.RecordPlatformResponse(echoed.At.Add(-h.PlatformAge))
	}
}

// RecordPlatformResponse records a platform response that was received at the given time,
// unless a newer one is known.
func (s *State) RecordPlatformResponse(at time.Time) {
	if !s.platformKnown || at.After(s.platformAt) {
		s.platformAt = at
		s.platformKnown = true
	}
}

// PlatformAge returns the age of the newest known platform response, PlatformAgeMax when it
// is older or none is known.
func (s *State) PlatformAge(now time.Time) time.Duration {
	if !s.platformKnown {
		return PlatformAgeMax
	}
	return min(max(now.Sub(s.platformAt), 0), PlatformAgeMax)
}
