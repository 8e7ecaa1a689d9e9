package contact

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

var start = time.Unix(1000, 0)

// newState returns the state of member i of a cell of n VMs.
func newState(i int, instance uint64, n int) *State {
	l := &member.List{Version: 1}
	for j := range n {
		l.VMs = append(l.VMs, member.VM{ID: fmt.Sprintf("vm-%d", j), State: member.Live})
	}
	s := New(l.VMs[i].ID, instance)
	s.SetList(l, start)
	return s
}

// next returns the next datagram of s to its first peer.
func next(s *State, at time.Time) Heartbeat { return s.Next(s.Peers()[0], at, 0) }

func receive(t *testing.T, s *State, h Heartbeat, at time.Time, want Verdict) Receipt {
	t.Helper()
	r, v := s.Receive(&h, at)
	if v != want {
		t.Fatalf("got verdict %d, want %d for %+v", v, want, h)
	}
	return r
}

// Guards against a contact timeout that starts at the receipt of the echo, which a delayed
// datagram could extend, and against contact while one direction is cut.
func TestContactNeedsRecentEcho(t *testing.T) {
	a, b := newState(0, 100, 3), newState(1, 200, 3)
	receive(t, b, next(a, start), start, Accepted)
	if b.Peers()[0].InContact(start) {
		t.Error("contact without an echo")
	}
	late := start.Add(time.Second)
	receive(t, a, next(b, start), late, Accepted)
	if !a.Peers()[0].InContact(late) {
		t.Error("no contact after an echo")
	}
	if end := start.Add(Timeout); a.Peers()[0].InContact(end) {
		t.Error("contact lasts longer than the timeout from when the datagram was sent")
	}
}

// Guards against old or duplicate datagrams that overwrite the effect of newer ones.
func TestStaleDatagramsAreIgnored(t *testing.T) {
	a, b := newState(0, 100, 3), newState(1, 200, 3)
	first, second := next(b, start), next(b, start)
	first.Leaving = true
	receive(t, a, second, start, Accepted)
	receive(t, a, first, start, Stale)
	receive(t, a, second, start, Stale)
	if a.Peers()[0].Leaving {
		t.Error("a stale datagram took effect")
	}
	second.From = 12345
	receive(t, a, second, start, UnknownSender)
}

// Guards against an echo of a datagram of this VM's former instance that is accepted as a round
// trip. When the instance in the echo is overwritten it must be accepted, which shows that the
// instance decides.
func TestEchoIsTiedToInstance(t *testing.T) {
	for _, overwritten := range []bool{false, true} {
		former, b := newState(0, 100, 2), newState(1, 200, 2)
		receive(t, b, next(former, start), start, Accepted)
		delayed := next(b, start)
		restarted := newState(0, 101, 2)
		next(restarted, start)
		if overwritten {
			delayed.EchoInstance = 101
		}
		r := receive(t, restarted, delayed, start, Accepted)
		if r.HasEcho != overwritten || restarted.Peers()[0].InContact(start) != overwritten {
			t.Errorf("got %+v with overwritten = %v, want contact only when overwritten", r, overwritten)
		}
	}
}

// Guards against a delayed datagram of a former instance that replaces the running one, and
// against a new instance that is never accepted.
func TestNewInstanceReplacesOld(t *testing.T) {
	a, former := newState(0, 100, 2), newState(1, 200, 2)
	receive(t, former, next(a, start), start, Accepted)
	receive(t, a, next(former, start), start, Accepted)
	receive(t, former, next(a, start), start, Accepted)
	delayed := []Heartbeat{next(former, start), next(former, start)}

	present := newState(1, 201, 2)
	receive(t, a, next(present, start), start, UnconfirmedInstance)
	receive(t, present, next(a, start), start, Accepted)
	receive(t, a, next(present, start), start, Accepted)
	for _, h := range delayed {
		receive(t, a, h, start, UnconfirmedInstance)
	}
	if peer := a.Peers()[0]; peer.Instance != 201 {
		t.Errorf("got instance %d, want 201, the new one", peer.Instance)
	}
}

// Guards against two VMs that both restarted and never accept each other, because each received
// a delayed datagram of the other's former instance first.
func TestBothRestarted(t *testing.T) {
	formerA, formerB := newState(0, 100, 2), newState(1, 200, 2)
	a, b := newState(0, 101, 2), newState(1, 201, 2)
	receive(t, a, next(formerB, start), start, Accepted)
	receive(t, b, next(formerA, start), start, Accepted)
	at := start
	for range 10 {
		at = at.Add(Interval)
		toB, toA := next(a, at), next(b, at)
		a.Receive(&toA, at)
		b.Receive(&toB, at)
	}
	if h := next(a, at.Add(1)); !a.Peers()[0].InContact(at) || !b.Peers()[0].InContact(at) || h.From != 0 {
		t.Errorf("no contact after 5 s, or the datagram is not brief: %+v", h)
	}
}

// Guards against a VM that continues to echo a former instance after it received datagrams of the
// running one, which then never sees a round trip.
func TestEchoFollowsLatestDatagram(t *testing.T) {
	a, former, b := newState(0, 100, 2), newState(1, 200, 2), newState(1, 201, 2)
	delayed := next(former, start)
	receive(t, a, next(b, start), start, Accepted)
	receive(t, a, delayed, start, UnconfirmedInstance)
	if h := next(a, start); h.EchoInstance != 200 {
		t.Errorf("the datagram echoes instance %d, want 200, the last one received", h.EchoInstance)
	}
	receive(t, a, next(b, start), start, Accepted)
	if h := next(a, start); h.EchoInstance != 201 || h.Echo != 2 {
		t.Errorf("the datagram echoes number %d of instance %d, want number 2 of instance 201", h.Echo, h.EchoInstance)
	}
}

// Guards against a platform response that looks newer than it is because the
// heartbeat that carries its age was delayed.
func TestPlatformAgeIsNotRefreshedByDelay(t *testing.T) {
	a, b := newState(0, 100, 3), newState(1, 200, 3)
	b.RecordPlatformResponse(start)
	receive(t, b, next(a, start), start, Accepted)
	h := next(b, start.Add(100*time.Millisecond))
	late := start.Add(10 * time.Second)
	receive(t, a, h, late, Accepted)
	if age := a.PlatformAge(late); age < 10*time.Second {
		t.Errorf("got platform age %v, want at least 10 s", age)
	}
	if !a.Deadline(late).Before(late) {
		t.Error("the contact rule holds because of an outdated platform response")
	}
}

// Guards against a contact rule that requires more or less than half of the cell, this VM
// included.
func TestRuleNeedsHalfOfCell(t *testing.T) {
	for members := 1; members <= 9; members++ {
		for peers := range members {
			s := newState(0, 100, members)
			for _, p := range s.Peers()[:peers] {
				p.Echoed = Sent{Seq: 1, At: start}
			}
			holds := start.Before(s.Deadline(start))
			if want := 2*(peers+1) >= members; holds != want {
				t.Errorf("%d of %d members in contact: the contact rule holds: got %v, want %v", peers+1, members, holds, want)
			}
		}
	}
	s := newState(0, 100, 4)
	s.RecordPlatformResponse(start)
	if end := start.Add(PlatformTimeout); !s.Deadline(start).Equal(end) {
		t.Errorf("the platform response satisfies the contact rule until %v, want %v", s.Deadline(start), end)
	}
}

// Guards against holders that give up shards to a VM that was started later and is still in its
// start-up wait. Only peers whose first heartbeat was received before this VM ended its own wait
// early are eligible at once.
func TestEligibleAfterSimultaneousStart(t *testing.T) {
	a, b := newState(0, 100, 2), newState(1, 200, 2)
	receive(t, b, next(a, start), start, Accepted)
	h := next(b, start)
	h.Unclaimed = true
	received := start.Add(50 * time.Millisecond)
	receive(t, a, h, received, Accepted)
	wait := time.Second
	for _, c := range []struct {
		waitEndedEarly time.Time
		eligible       bool
	}{
		{time.Time{}, false},
		{received.Add(-time.Millisecond), false},
		{received, true},
	} {
		status := a.MemberStatuses(received, wait, c.waitEndedEarly)[1]
		if !status.Unclaimed || status.Eligible != c.eligible {
			t.Errorf("own wait ended early at %v: got %+v, want eligible %v", c.waitEndedEarly, status, c.eligible)
		}
	}
}

// Guards against a report of having claimed nothing that is attributed to the successor of the
// process that sent it, or that was sent to an earlier process of this VM.
func TestUnclaimedIsTiedToInstances(t *testing.T) {
	a, b := newState(0, 100, 2), newState(1, 200, 2)
	receive(t, b, next(a, start), start, Accepted)
	h := next(b, start)
	h.Unclaimed = true
	restarted := newState(0, 101, 2)
	receive(t, restarted, h, start, Accepted)
	if restarted.Peers()[0].Unclaimed {
		t.Error("a report sent to the former process was accepted")
	}
	receive(t, a, h, start, Accepted)
	if !a.Peers()[0].Unclaimed {
		t.Fatal("the report of the peer was not accepted")
	}
	successor := newState(1, 201, 2)
	receive(t, a, next(successor, start), start, UnconfirmedInstance)
	receive(t, successor, next(a, start), start, Accepted)
	receive(t, a, next(successor, start), start, Accepted)
	if a.Peers()[0].Unclaimed {
		t.Error("the report of the former process was attributed to its successor")
	}
}
