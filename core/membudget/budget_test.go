package membudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// open opens an account that must fit.
func open(t *testing.T, b *Budget, name string, bytes int64, now time.Time) *Account {
	t.Helper()
	a, _, ok := b.Open(name, bytes, now)
	if !ok {
		t.Fatalf("no room for %d bytes of %s", bytes, name)
	}
	return a
}

// Guards against a limit that is off by one byte or one connection.
func TestLimitsAreExact(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 2})
	a := open(t, b, "x", 99, start)
	if _, ok := b.Charge(a, 1, start); !ok {
		t.Error("the last byte within the limit was refused")
	}
	if _, ok := b.Charge(a, 1, start); ok {
		t.Error("a byte above the limit was granted")
	}
	b.Release(a, 50)
	open(t, b, "x", 1, start)
	if _, _, ok := b.Open("x", 1, start); ok {
		t.Error("a connection above the limit was opened")
	}
	if _, _, ok := b.Open("x", 101, start); ok || b.Connections() != 2 {
		t.Error("a demand above the whole budget was granted or closed others")
	}
}

// Guards against closing a connection before the grace of its phase, and against keeping it
// afterwards while there is no room.
func TestStalledConnectionsAreClosedFirst(t *testing.T) {
	for phase, grace := range map[Phase]time.Duration{Header: activeGrace, Body: activeGrace, Writing: activeGrace, Unproven: activeGrace, Idle: idleGrace} {
		for _, late := range []bool{false, true} {
			b := New(Limits{Bytes: 100, Connections: 10})
			stalled := open(t, b, "big", 60, start)
			b.Progress(stalled, phase, start)
			busy := open(t, b, "big", 40, start)
			b.Progress(busy, Running, start)
			now := start.Add(grace)
			if late {
				now = now.Add(time.Nanosecond)
			}
			_, _, ok := b.Open("big", 20, now)
			if stalled.Closed() != late || ok != late || busy.Closed() {
				t.Errorf("phase %d, late %v: stalled closed %v, granted %v, running closed %v", phase, late, stalled.Closed(), ok, busy.Closed())
			}
		}
	}
}

// Guards against a header, or a connection without an authenticated request, that never counts as
// stalled because a byte arrives now and then.
func TestSingleBytesDoNotRenewTheGrace(t *testing.T) {
	for _, phase := range []Phase{Header, Unproven} {
		b := New(Limits{Bytes: 100, Connections: 1})
		slow := open(t, b, "x", 10, start)
		b.Progress(slow, Running, start)
		b.Progress(slow, phase, start.Add(time.Second))
		b.Progress(slow, phase, start.Add(2*time.Second))
		if _, _, ok := b.Open("x", 10, start.Add(2*time.Second+time.Millisecond)); !ok || !slow.Closed() {
			t.Errorf("phase %d: granted %v, slow connection closed %v", phase, ok, slow.Closed())
		}
	}
}

// Guards against closing a connection that made progress later than another stalled one.
func TestLongestStalledIsClosedFirst(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	newer := open(t, b, "x", 50, start.Add(time.Second))
	older := open(t, b, "x", 50, start)
	open(t, b, "y", 10, start.Add(time.Minute))
	if !older.Closed() || newer.Closed() {
		t.Errorf("older closed %v, newer closed %v", older.Closed(), newer.Closed())
	}
}

// Guards against a flood from one address that takes the share of a workspace.
func TestLargestHolderLosesItsNewest(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	first, second := open(t, b, "flood", 40, start), open(t, b, "flood", 40, start)
	small := open(t, b, "small", 20, start)
	evicted, ok := b.Charge(small, 20, start)
	if !ok || len(evicted) != 1 || evicted[0] != second || first.Closed() {
		t.Errorf("granted %v, %d closed, first closed %v", ok, len(evicted), first.Closed())
	}
	if _, ok := b.Charge(first, 30, start); ok {
		t.Error("the largest holder got more at the cost of a smaller one")
	}
	b.Assign(first, "small")
	if len(b.holders) != 1 || b.holders["small"].bytes != b.Bytes() {
		t.Errorf("after the assignment: %d holders", len(b.holders))
	}
}

// Guards against a request at a target that is closed although one of the same holder that
// is not at a target could be.
func TestRunningRequestIsClosedLast(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	reading, running := open(t, b, "flood", 40, start), open(t, b, "flood", 40, start)
	b.Progress(running, Running, start)
	open(t, b, "small", 30, start)
	if !reading.Closed() || running.Closed() {
		t.Errorf("reading closed %v, running closed %v", reading.Closed(), running.Closed())
	}
}

// Guards against a request that a target runs, and whose connection is closed for a crowd of
// other holders, each of which holds less.
func TestRequestAtATargetIsNotClosed(t *testing.T) {
	for name, limits := range map[string]Limits{"bytes": {Bytes: 100, Connections: 100}, "connections": {Bytes: 1000, Connections: 10}} {
		b := New(limits)
		var atTargets []*Account
		for range 5 {
			a := open(t, b, "ordinary", 10, start)
			b.Progress(a, Running, start)
			b.AtTargets(a, 1)
			atTargets = append(atTargets, a)
		}
		served := 0
		for i := range 60 {
			if a, _, ok := b.Open(fmt.Sprint("crowd ", i%5), 10, start); ok {
				b.Progress(a, Running, start)
				served++
			}
		}
		for _, a := range atTargets {
			if a.Closed() {
				t.Errorf("%s: a request at a target was closed", name)
			}
		}
		if served < 5 {
			t.Errorf("%s: %d connections of the crowd were served, want those for which there is room", name, served)
		}
	}
}

// Guards against requests at targets that keep out all others after they have ended, and against
// one that begins although its connection is closed.
func TestRequestAtATargetEnds(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	a := open(t, b, "x", 90, start)
	if !b.AtTargets(a, 1) {
		t.Error("a request of an open account was not counted")
	}
	if _, _, ok := b.Open("y", 20, start); ok || a.Closed() {
		t.Error("a request at a target made room")
	}
	b.AtTargets(a, -1)
	if _, _, ok := b.Open("y", 20, start); !ok || !a.Closed() {
		t.Error("a request that has ended made no room")
	}
	if b.AtTargets(a, 1) {
		t.Error("a request of a closed account was counted")
	}
}

// Guards against an ordinary request that is closed while the same holder has an idle connection.
func TestIdleConnectionIsClosedFirst(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	idle, reading := open(t, b, "flood", 40, start), open(t, b, "flood", 40, start)
	b.Progress(idle, Idle, start)
	b.Progress(reading, Body, start)
	open(t, b, "small", 30, start)
	if !idle.Closed() || reading.Closed() {
		t.Errorf("idle closed %v, reading closed %v", idle.Closed(), reading.Closed())
	}
}

// Guards against a request that is refused because its holder has an older idle connection, while
// a newer one of the same holder could be closed.
func TestNewerConnectionOfTheSameHolderIsClosed(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	idle, requester, newer := open(t, b, "x", 30, start), open(t, b, "x", 30, start), open(t, b, "x", 30, start)
	b.Progress(idle, Idle, start)
	if _, ok := b.Charge(requester, 20, start); !ok || idle.Closed() || !newer.Closed() {
		t.Errorf("granted %v, idle closed %v, newer closed %v", ok, idle.Closed(), newer.Closed())
	}
}

// Guards against bytes in use that are not counted, or that a closed account keeps.
func TestHoldExceedsTheLimit(t *testing.T) {
	b := New(Limits{Bytes: 10, Connections: 1})
	a := open(t, b, "x", 10, start)
	b.Hold(a, 5, start)
	if b.Bytes() != 15 {
		t.Errorf("%d bytes held, want 15", b.Bytes())
	}
	b.Close(a)
	b.Close(a)
	b.Hold(a, 5, start)
	b.Release(a, 5)
	if _, ok := b.Charge(a, 1, start); ok || b.Bytes() != 0 || b.Connections() != 0 || len(b.holders) != 0 {
		t.Errorf("a closed account holds %d bytes", b.Bytes())
	}
}

// Guards against sums that differ from the accounts, limits that are exceeded, and the
// eviction of a holder that is within its share and makes progress.
func TestRandomCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1000, Connections: 12}
		b := New(limits)
		now := start
		var accounts []*Account
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			held := map[*Account]int64{}
			progressing := map[*Account]bool{}
			for _, a := range b.accounts {
				held[a], progressing[a] = a.holder.bytes, !a.stalled(now)
			}
			crowds := int64(len(b.holders) + 1)
			bytes := int64(rapid.IntRange(0, 400).Draw(t, "bytes"))
			var evicted []*Account
			var requester *Account
			demanding := "" // the holder whose demand is bytes
			if len(accounts) == 0 || rapid.Bool().Draw(t, "open") {
				demanding = fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "holder"))
				requester, evicted, _ = b.Open(demanding, bytes, now)
				if requester != nil {
					accounts = append(accounts, requester)
				}
			} else {
				requester = accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
				switch rapid.IntRange(0, 4).Draw(t, "action") {
				case 0:
					demanding = requester.holder.name
					evicted, _ = b.Charge(requester, bytes, now)
				case 1:
					b.Release(requester, bytes)
				case 2:
					b.Close(requester)
				case 3:
					b.Progress(requester, Phase(rapid.IntRange(0, int(Unproven)).Draw(t, "phase")), now)
				case 4:
					b.AtTargets(requester, 1)
				}
			}
			for _, a := range evicted {
				if a == requester {
					t.Fatal("the requester was closed to make room for itself")
				}
				if progressing[a] && a.atTargets > 0 {
					t.Fatal("a connection with a request at a target was closed")
				}
				full := len(held)+1 > limits.Connections
				needed := held[a]
				if a.holder.name == demanding {
					needed += bytes
				}
				if progressing[a] && needed < limits.Bytes/crowds/2 && !full {
					t.Fatalf("closed a connection of a holder with %d bytes and its demand", needed)
				}
			}
			checkSums(t, b, limits)
		}
	})
}

func checkSums(t *rapid.T, b *Budget, limits Limits) {
	var bytes int64
	byHolder := map[*holder]int64{}
	for i, a := range b.accounts {
		if a.position != i || a.closed {
			t.Fatal("a closed or misplaced account is listed")
		}
		bytes += a.bytes
		byHolder[a.holder] += a.bytes
	}
	if bytes != b.Bytes() || bytes > limits.Bytes || len(b.accounts) > limits.Connections || len(byHolder) != len(b.holders) {
		t.Fatalf("%d bytes in accounts, %d counted, %d accounts, %d of %d holders", bytes, b.Bytes(), len(b.accounts), len(byHolder), len(b.holders))
	}
	for h, n := range byHolder {
		if h.bytes != n {
			t.Fatalf("holder %s: %d bytes in accounts, %d counted", h.name, n, h.bytes)
		}
	}
}

// Guards against bytes that are charged as spare although others need them, and against closing a
// connection for them.
func TestSpareBytesLeaveRoomForOthers(t *testing.T) {
	b := New(Limits{Bytes: 100, Connections: 10})
	stalled := open(t, b, "x", 60, start)
	a := open(t, b, "x", 10, start)
	if !b.ChargeSpare(a, 5) || b.ChargeSpare(a, 1) {
		t.Errorf("%d bytes are held, want 75 of 100", b.Bytes())
	}
	if stalled.Closed() {
		t.Error("a connection was closed for spare bytes")
	}
	b.Close(a)
	if b.ChargeSpare(a, 1) || b.Bytes() != 60 {
		t.Errorf("a closed account was charged: %d bytes, want 60", b.Bytes())
	}
}
