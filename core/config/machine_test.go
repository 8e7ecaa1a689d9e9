package config

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// Guards against a paused process that treats an old response as recent: the age counts
// from the earliest time at which the platform can have answered.
func TestResponseAfterPause(t *testing.T) {
	start := time.Unix(1000, 0)
	m := New(Params{Self: "a", Rand: rand.New(rand.NewPCG(1, 1))}, start)
	resumed := start.Add(time.Minute)
	m.PlatformDone(resumed, Op{Kind: Watch, Key: indexKey, Wait: time.Second, Sent: start}, Value{Status: Unchanged})
	if age := resumed.Sub(m.LastOwnResponse()); age != 59*time.Second {
		t.Errorf("got response age %v after a pause, want 59 s", age)
	}
	m.PlatformDone(resumed, Op{Kind: Read, Key: indexKey, Sent: resumed.Add(-2 * time.Second)}, Value{Status: Missing})
	if age := resumed.Sub(m.LastOwnResponse()); age != 2*time.Second {
		t.Errorf("got response age %v for a read sent 2 s ago, want 2 s", age)
	}
}

// Guards against a cell that stays behind because its three readers cannot read while
// other VMs can: one of these must read directly and relay what it read.
func TestStandbyReadsDirectly(t *testing.T) {
	s := newSim(7, 9)
	s.platform.publish(map[string]json.RawMessage{"domains": domains("in")})
	for _, v := range s.vms {
		s.restart(v)
	}
	s.advance(10 * time.Second)
	for _, id := range liveMembers(s.list, member.Rank(s.list, readerKey))[:Readers] {
		s.byID[id].view = refusing
	}
	s.advance(10 * time.Second)
	s.platform.publish(map[string]json.RawMessage{"domains": domains("out")})
	s.advance(PlatformSilenceTimeout + directReadSpread + time.Second)
	if n := s.behindCount(); n > 0 {
		t.Errorf("%d of 9 VMs lack the newest ticket, want 0", n)
	}
}

// outageReported reports whether any VM emits PlatformLost while the platform refuses
// all calls for d.
func outageReported(seed uint64, d time.Duration) bool {
	s := newSim(seed, 5)
	s.loss, s.fetchLoss = 0.2, 0.1
	s.maxDelay = 400 * time.Millisecond
	s.platform.publish(map[string]json.RawMessage{"domains": domains("in")})
	for _, v := range s.vms {
		s.restart(v)
	}
	s.advance(10*time.Second + time.Duration(s.rand.Int64N(int64(5*time.Second))))
	lost := 0
	s.onEffect = func(_ *simVM, e Effect) {
		if e.Kind == PlatformLost {
			lost++
		}
	}
	for _, v := range s.vms {
		v.view = refusing
	}
	s.advance(d)
	return lost > 0
}

// Guards against readers that do not detect a platform that refuses all calls for 4 s:
// each reader calls it at least once per second and must report it as lost after 1.5 s.
func TestReadersDetectRefusingPlatform(t *testing.T) {
	for seed := range uint64(200) {
		if !outageReported(seed, 4*time.Second) {
			t.Errorf("seed %d: got no PlatformLost effect in 4 s of refused calls, want at least one", seed)
		}
	}
}
