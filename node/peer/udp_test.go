package peer

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/poison"
)

// heartbeats generates heartbeats with any content that the encoding can represent.
var heartbeats = rapid.Map(rapid.Make[contact.Heartbeat](), func(h contact.Heartbeat) *contact.Heartbeat {
	h.Instance, h.Seq = h.Instance|1, h.Seq|1
	h.PlatformAge = h.PlatformAge.Abs() % contact.PlatformAgeMax / time.Millisecond * time.Millisecond
	h.ReadAge = h.ReadAge.Abs() % contact.ReadAgeMax / time.Millisecond * time.Millisecond
	h.Marks = append([]contact.PoisonMark(nil), h.Marks[:min(len(h.Marks), MaxMarks)]...)
	h.Quarantines = append([]poison.Announcement(nil), h.Quarantines[:min(len(h.Quarantines), contact.MaxQuarantines)]...)
	for i := range h.Quarantines {
		h.Quarantines[i].Remaining = h.Quarantines[i].Remaining.Abs() % poison.MaxQuarantine / time.Millisecond * time.Millisecond
	}
	return &h
})

// Guards against content that encoding loses, datagrams above the size limit, and
// accepting datagrams that were altered or are addressed to another VM.
func TestHeartbeatsOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := heartbeats.Draw(t, "heartbeat")
		c := NewCodec(key)
		raw, err := c.Encode(nil, h, 7)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Decode(raw, 7)
		if err != nil || !reflect.DeepEqual(got, h) {
			t.Fatalf("%+v became %+v, %v", h, got, err)
		}
		if _, err := c.Decode(raw, 8); !trace.IsAccessDenied(err) {
			t.Fatalf("datagram for another VM: got %v, want access denied", err)
		}
		altered := bytes.Clone(raw)
		bit := rapid.IntRange(0, 8*len(raw)-1).Draw(t, "bit")
		altered[bit/8] ^= 1 << (bit % 8)
		if _, err := c.Decode(altered, 7); !trace.IsAccessDenied(err) {
			t.Fatalf("bit %d altered: got %v, want access denied", bit, err)
		}
	})
}

// Guards against a heartbeat that is dropped because it holds all that it may hold.
func TestLargestHeartbeatFitsIntoADatagram(t *testing.T) {
	h := &contact.Heartbeat{
		From: math.MaxUint64, Instance: math.MaxUint64, Seq: math.MaxUint64, EchoInstance: math.MaxUint32, Echo: math.MaxUint64,
		ListVersion: math.MaxUint64, Ticket: math.MaxUint64, Digest: math.MaxUint32, PlatformAge: contact.PlatformAgeMax,
		ReadAge: contact.ReadAgeMax, Load: math.MaxUint32, Leaving: true, Unclaimed: true,
	}
	for s := range member.Shard(member.ShardCount) {
		h.Claims.Add(s)
		h.Held.Add(s)
		h.Granted.Add(s)
	}
	for range MaxMarks + 1 {
		h.Marks = append(h.Marks, contact.PoisonMark{Fingerprint: math.MaxUint64, Target: math.MaxUint64})
	}
	for range contact.MaxQuarantines + 1 {
		h.Quarantines = append(h.Quarantines, poison.Announcement{Fingerprint: math.MaxUint64, Round: math.MaxUint32, Remaining: poison.MaxQuarantine})
	}
	c := NewCodec(key)
	raw, err := c.Encode(nil, h, 7)
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.Decode(raw, 7)
	if err != nil || len(got.Marks) != MaxMarks || len(got.Quarantines) != contact.MaxQuarantines {
		t.Errorf("%d marks and %d quarantines, error %v", len(got.Marks), len(got.Quarantines), err)
	}
}

// FuzzDecode guards against panics, and against content that Decode accepts but
// that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	c := NewCodec(key)
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := c.Decode(body, 7); err == nil {
			t.Fatal("an unsigned datagram was accepted")
		}
		h, err := c.Decode(append(bytes.Clone(body), c.sign(7, body)...), 7)
		if err != nil {
			return
		}
		raw, err := c.Encode(nil, h, 7)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := c.Decode(raw, 7); err != nil || !reflect.DeepEqual(again, h) {
			t.Fatalf("%+v became %+v, %v", h, again, err)
		}
	})
}

// Guards against a transport that passes on datagrams signed with another key, or
// does not count them.
func TestUDPRefusesForeignDatagrams(t *testing.T) {
	received := make(chan *contact.Heartbeat, 10)
	open := func(id string, key []byte) *UDP {
		u, err := NewUDP(UDPConfig{ID: id, Address: "127.0.0.1:0", Key: key})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = u.Close() })
		return u
	}
	foreign, a, b := open("c", bytes.Repeat([]byte{1}, 32)), open("a", key), open("b", key)
	b.Serve(func(h *contact.Heartbeat) { received <- h })
	to := member.VM{ID: "b", PeerAddress: b.Address()}
	failed := foreign.Send(to, &contact.Heartbeat{From: 1, Instance: 1, Seq: 1})
	if err := a.Send(to, &contact.Heartbeat{From: 1, Instance: 1, Seq: 2}); failed != nil || err != nil {
		t.Fatal(failed, err)
	}
	if h := <-received; h.Seq != 2 {
		t.Errorf("received the datagram with seq %d, want 2, which the member sent", h.Seq)
	}
	if b.traffic.Refused() != 1 || b.traffic.Received() != a.traffic.Sent()+foreign.traffic.Sent() {
		t.Errorf("%d datagrams refused, want 1; %d bytes received, want all bytes sent", b.traffic.Refused(), b.traffic.Received())
	}
}
