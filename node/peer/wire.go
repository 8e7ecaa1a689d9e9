// Package peer is the transport between the VMs of a fleet: heartbeats over
// UDP and signed calls over HTTP/2.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"hash/fnv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// MaxDatagram is the size limit of a heartbeat with its signature, in bytes. The
// heartbeat of a VM that claims and is granted all shards has about 500 bytes, and
// each poison mark or quarantine adds 20. The limit is below the minimum IPv6 MTU of 1280 bytes,
// so datagrams are not fragmented.
const MaxDatagram = 1200

// MaxMarks is the largest number of poison marks in one heartbeat.
const MaxMarks = 24

// signatureSize is the size of the truncated HMAC-SHA256 in bytes. A forged
// signature of 16 bytes is valid with a probability of 2^-128.
const signatureSize = 16

// checksumSize is the size in bytes of the FNV checksum that replaces the signature
// in a fleet without a shared key.
const checksumSize = 4

// heartbeatContext makes heartbeat signatures invalid for calls and vice versa.
const heartbeatContext = "galenasail heartbeat 1"

// Codec encodes and decodes signed heartbeats. It reuses its buffers and is not
// safe for concurrent use.
type Codec struct {
	mac     hash.Hash
	tagSize int // bytes of the signature or checksum at the end
	message peerv1.Heartbeat
	marks   []peerv1.PoisonMark
	// quarantines holds the messages of message.Quarantines.
	quarantines [contact.MaxQuarantines]peerv1.Quarantine
	sum         [sha256.Size]byte
}

// NewCodec returns a codec for the fleet's shared key. Without a key, datagrams
// carry a checksum, which detects damage but not forgery.
func NewCodec(key []byte) *Codec {
	if len(key) == 0 {
		return &Codec{mac: fnv.New32a(), tagSize: checksumSize, marks: make([]peerv1.PoisonMark, MaxMarks)}
	}
	return &Codec{mac: hmac.New(sha256.New, key), tagSize: signatureSize, marks: make([]peerv1.PoisonMark, MaxMarks)}
}

// sign returns the signature of body for the VM whose ID has the hash to. The
// signature covers the destination, which is not sent, so that a recorded datagram
// is not valid at another VM, where it would disturb the sequence numbers.
func (c *Codec) sign(to uint64, body []byte) []byte {
	c.mac.Reset()
	_, _ = c.mac.Write([]byte(heartbeatContext))
	var dest [8]byte
	binary.BigEndian.PutUint64(dest[:], to)
	_, _ = c.mac.Write(dest[:])
	_, _ = c.mac.Write(body)
	return c.mac.Sum(c.sum[:0])[:c.tagSize]
}

// Encode appends to buf the signed datagram of h for the VM whose ID has the hash
// to. It returns an error when the datagram exceeds MaxDatagram.
func (c *Codec) Encode(buf []byte, h *contact.Heartbeat, to uint64) ([]byte, error) {
	c.fill(h)
	start := len(buf)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, &c.message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	buf = append(buf, c.sign(to, buf[start:])...)
	if len(buf)-start > MaxDatagram {
		return nil, trace.LimitExceeded("heartbeat has %d bytes, the limit is %d", len(buf)-start, MaxDatagram)
	}
	return buf, nil
}

// fill copies h to the reused message and drops marks above MaxMarks.
func (c *Codec) fill(h *contact.Heartbeat) {
	m := &c.message
	m.From = h.From
	m.Instance = h.Instance
	m.Seq = h.Seq
	m.EchoInstance = h.EchoInstance
	m.Echo = h.Echo
	m.ListVersion = h.ListVersion
	m.Ticket = h.Ticket
	m.Digest = h.Digest
	m.PlatformAgeMs = uint32(min(h.PlatformAge, contact.PlatformAgeMax) / time.Millisecond)
	m.ReadAgeMs = uint32(h.ReadAge / time.Millisecond)
	m.Load = h.Load
	m.Leaving = h.Leaving
	m.Unclaimed = h.Unclaimed
	m.Claims = appendShards(m.Claims[:0], h.Claims)
	m.Held = appendShards(m.Held[:0], h.Held)
	m.Granted = appendShards(m.Granted[:0], h.Granted)
	m.Marks = m.Marks[:0]
	for i, mark := range h.Marks[:min(len(h.Marks), MaxMarks)] {
		c.marks[i].Fingerprint = mark.Fingerprint
		c.marks[i].Target = mark.Target
		m.Marks = append(m.Marks, &c.marks[i])
	}
	c.fillQuarantines(h)
}

// fillQuarantines copies the quarantines of h and drops those above contact.MaxQuarantines.
func (c *Codec) fillQuarantines(h *contact.Heartbeat) {
	c.message.Quarantines = c.message.Quarantines[:0]
	for i, q := range h.Quarantines[:min(len(h.Quarantines), contact.MaxQuarantines)] {
		encodeQuarantine(&c.quarantines[i], q)
		c.message.Quarantines = append(c.message.Quarantines, &c.quarantines[i])
	}
}

func appendShards(out []uint32, set member.ShardSet) []uint32 {
	for s := range set.All {
		out = append(out, uint32(s))
	}
	return out
}

// Decode checks the signature of a datagram for the VM whose ID has the hash to,
// and returns its heartbeat. It returns an error of type trace.AccessDenied for a
// datagram that is too large or has no valid signature, and of type
// trace.BadParameter for invalid content.
func (c *Codec) Decode(datagram []byte, to uint64) (*contact.Heartbeat, error) {
	if len(datagram) > MaxDatagram {
		return nil, trace.AccessDenied("datagram exceeds the limit of %d bytes", MaxDatagram)
	}
	split := len(datagram) - c.tagSize
	if split <= 0 || !hmac.Equal(c.sign(to, datagram[:split]), datagram[split:]) {
		return nil, trace.AccessDenied("datagram of %d bytes has no valid signature", len(datagram))
	}
	return c.parse(datagram[:split])
}

// parse decodes and checks a heartbeat without its signature.
func (c *Codec) parse(body []byte) (*contact.Heartbeat, error) {
	m := &c.message
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, m); err != nil {
		return nil, trace.BadParameter("heartbeat: %v", err)
	}
	if m.Instance == 0 || m.Seq == 0 {
		return nil, trace.BadParameter("heartbeat: instance and seq must not be 0")
	}
	if len(m.Marks) > MaxMarks {
		return nil, trace.BadParameter("heartbeat: %d marks, the limit is %d", len(m.Marks), MaxMarks)
	}
	if len(m.Quarantines) > contact.MaxQuarantines {
		return nil, trace.BadParameter("heartbeat: %d quarantines, the limit is %d", len(m.Quarantines), contact.MaxQuarantines)
	}
	h := &contact.Heartbeat{
		From:         m.From,
		Instance:     m.Instance,
		Seq:          m.Seq,
		EchoInstance: m.EchoInstance,
		Echo:         m.Echo,
		ListVersion:  m.ListVersion,
		Ticket:       m.Ticket,
		Digest:       m.Digest,
		PlatformAge:  min(time.Duration(m.PlatformAgeMs)*time.Millisecond, contact.PlatformAgeMax),
		ReadAge:      time.Duration(m.ReadAgeMs) * time.Millisecond,
		Load:         m.Load,
		Leaving:      m.Leaving,
		Unclaimed:    m.Unclaimed,
	}
	for _, mark := range m.Marks {
		h.Marks = append(h.Marks, contact.PoisonMark{Fingerprint: mark.Fingerprint, Target: mark.Target})
	}
	h.Quarantines = DecodeQuarantines(m.Quarantines)
	return h, c.parseShards(h)
}

// parseShards copies the shard sets of the decoded message to h.
func (c *Codec) parseShards(h *contact.Heartbeat) error {
	sets := []struct {
		name string
		from []uint32
		to   *member.ShardSet
	}{
		{"claims", c.message.Claims, &h.Claims},
		{"held", c.message.Held, &h.Held},
		{"granted", c.message.Granted, &h.Granted},
	}
	for _, set := range sets {
		for _, s := range set.from {
			if s >= member.ShardCount {
				return trace.BadParameter("heartbeat: %s: shard %d is above the highest shard %d", set.name, s, member.ShardCount-1)
			}
			set.to.Add(member.Shard(s))
		}
	}
	return nil
}
