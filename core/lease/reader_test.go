package lease

import (
	"testing"
	"time"
)

// Guards against a VM that replaces failed readers but reports its platform reads to most VMs so
// seldom that all of these read by themselves too.
func TestReaderSendsHeartbeatsAtFastRate(t *testing.T) {
	fast := Timing{Interval: 250 * time.Millisecond, Timeout: 800 * time.Millisecond}
	slow := Timing{Interval: 3 * time.Second, Timeout: 10 * time.Second}
	s := newSim(1, 40, 0, defects{})
	now := time.Unix(1000, 0)
	a := NewAgent(s.nodes[0].id, 1, now, Config{DynamicQuorum: true, Seats: 2, Term: time.Second, FastHeartbeats: fast, SlowHeartbeats: slow})
	a.SetList(s.list, now)
	a.Tick(now, true)
	for _, p := range a.Contact.Peers() {
		p.NextHeartbeat = now.Add(slow.Interval)
	}
	if got := a.interval(slow); got != slow.Interval {
		t.Errorf("got an interval of %v between heartbeats to a slow-rate peer, want that of the slow rate", got)
	}
	if due := a.Tick(now, false); len(due) > 0 {
		t.Errorf("%d heartbeats are due at once, want none", len(due))
	}
	a.SetReader(true, now)
	if due := a.Tick(now, false); len(due) != s.list.Len()-1 {
		t.Errorf("%d heartbeats are due when the VM becomes a reader, want %d", len(due), s.list.Len()-1)
	}
	if got := a.interval(slow); got != fast.Interval {
		t.Errorf("got an interval of %v between heartbeats of a reader to a slow-rate peer, want that of the fast rate", got)
	}
}
