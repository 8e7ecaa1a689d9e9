package poison

import (
	"testing"
	"time"
)

// quarantinedAt returns a table with fingerprint 1 in quarantine since now.
func quarantinedAt(now time.Time) *Table {
	t := New(0)
	t.Mark(1, 10, now)
	t.Mark(1, 11, now)
	return t
}

// tell passes the announcements of one table to another, each way in turn.
func tell(from, to *Table, delay time.Duration, now time.Time) {
	for _, a := range from.Announcements(8, now) {
		to.Learn(a, now.Add(delay))
	}
}

// Guards against a quarantine that two VMs keep alive by telling each other, with any delay
// of their messages.
func TestAnnouncedQuarantineEnds(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 900 * time.Millisecond} {
		a, b := quarantinedAt(start), New(0)
		now := start
		for ; now.Before(start.Add(2 * Quarantine)); now = now.Add(time.Second) {
			tell(a, b, delay, now)
			tell(b, a, delay, now)
			if now.Before(start.Add(Quarantine)) && (allowed(a, now) || allowed(b, now.Add(delay))) {
				t.Fatalf("delay %v: allowed after %v", delay, now.Sub(start))
			}
		}
		for i, table := range []*Table{a, b} {
			if wait := table.Wait(1, noDelay, start.Add(Quarantine+time.Second)); wait > 0 {
				t.Errorf("delay %v: table %d refuses for %v more", delay, i, wait)
			}
		}
	}
}

// Guards against VMs that go on refusing a request after the probe of another VM was
// answered, and against a late announcement that begins the quarantine again.
func TestClearedQuarantineIsTold(t *testing.T) {
	a, b, c := quarantinedAt(start), New(0), New(0)
	tell(a, b, 0, start)
	old := a.Announcements(8, start.Add(Quarantine-time.Second))
	tell(a, c, 0, start.Add(Quarantine-time.Second))
	end := start.Add(Quarantine)
	if ok, probe, _ := a.Allow(1, noDelay, end); !ok || !probe {
		t.Fatal("no probe after the quarantine")
	}
	a.Clear(1, end)
	tell(a, b, 0, end)
	tell(b, c, 0, end)
	for i, table := range []*Table{a, b, c} {
		for range 2 {
			if !allowed(table, end) {
				t.Errorf("table %d refuses the request after the probe was answered", i)
			}
		}
		if table.Learn(old[0], end); !allowed(table, end) {
			t.Errorf("table %d: an earlier announcement began the quarantine again", i)
		}
	}
	if n := len(a.Announcements(8, end.Add(clearedPeriod))); n > 0 {
		t.Errorf("%d announcements of a quarantine that was cleared %v ago", n, clearedPeriod)
	}
}

// Guards against quarantines that do not become longer while probes crash targets, and
// against a VM that missed the mark of a probe and probes as well.
func TestRenewedQuarantineIsLongerAndTold(t *testing.T) {
	a, b := quarantinedAt(start), New(0)
	tell(a, b, 0, start)
	now := start.Add(Quarantine)
	for round, want := range []time.Duration{2 * Quarantine, 4 * Quarantine, 8 * Quarantine, 16 * Quarantine, 32 * Quarantine, MaxQuarantine, MaxQuarantine} {
		a.Allow(1, noDelay, now)
		if !a.Mark(1, 10, now) {
			t.Fatalf("round %d: the lost connection of the probe did not renew the quarantine", round)
		}
		tell(a, b, 0, now)
		if got := b.Wait(1, noDelay, now); got != want {
			t.Fatalf("round %d: the other VM refuses for %v, want %v", round, got, want)
		}
		now = now.Add(want)
	}
}

// Guards against an announcement that makes the table grow above its limit, evicts a
// quarantine, or lasts longer than a quarantine of its round may.
func TestAnnouncementsAreBounded(t *testing.T) {
	p := New(8)
	for i := range uint64(20) {
		p.Learn(Announcement{Fingerprint: i, Round: 1, Remaining: 100 * time.Hour}, start)
	}
	if p.Len() != 8 || len(p.Announcements(3, start)) != 3 {
		t.Errorf("%d entries, want 8; %d announcements, want 3", p.Len(), len(p.Announcements(3, start)))
	}
	for i := range uint64(8) {
		if wait := p.Wait(i, noDelay, start); wait != Quarantine {
			t.Errorf("fingerprint %d is refused for %v, want %v", i, wait, Quarantine)
		}
	}
	seen := map[uint64]bool{}
	for range 200 {
		for _, a := range p.Announcements(3, start) {
			seen[a.Fingerprint] = true
		}
	}
	if len(seen) != 8 {
		t.Errorf("%d of 8 quarantines are ever announced", len(seen))
	}
}

// Guards against several VMs that probe at the end of a quarantine, and against one that
// never may.
func TestProbeDelaysSpreadOverTheVMs(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	count := map[time.Duration]int{}
	for i, id := range ids {
		others := append(append([]string{}, ids[:i]...), ids[i+1:]...)
		count[ProbeDelay(7, id, others)]++
	}
	for slot, want := range []int{1, 1, 2, 4} {
		if got := count[time.Duration(slot)*probeSlot]; got != want {
			t.Errorf("%d VMs may probe after %d slots, want %d", got, slot, want)
		}
	}
	if ProbeDelay(7, "a", nil) != 0 {
		t.Error("a VM alone may not probe at once")
	}
}
