package registry

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// returned returns a registry whose store has returned in epoch 1, at revision 5, from a
// copy with the targets 1 (active) and 2 (active, known as draining) and 3 (known to be
// gone). The fleet knows target 4 too and that domain b is out.
func returned(t *testing.T, now time.Time) (*Registry, Known) {
	before := New([]string{"a"})
	before.Reset([]Change{
		configuration(), target("1", document.Active), target("2", document.Draining), target("4", document.Active), {Domain: "b", DomainOut: true},
	}, answer(9, Outage{}, now))
	index, content, err := before.Build(Known{}, now)
	if err != nil {
		t.Fatal(err)
	}
	applied, err := document.Build(index, content)
	if err != nil {
		t.Fatal(err)
	}
	known := Known{Applied: applied, NewestTicket: applied.Ticket(), HearsPeers: true}
	r := New([]string{"a"})
	r.Reset([]Change{configuration(), target("1", document.Active), target("2", document.Active), target("3", document.Active)}, inEpoch(5, known, now))
	return r, known
}

func inEpoch(revision uint64, known Known, now time.Time) Answer {
	return Answer{At: Position{Epoch: 1, Revision: revision}, Known: known, Now: now}
}

// written returns a change at a revision.
func written(c Change, revision uint64) Change {
	c.Revision = revision
	return c
}

// targetIDs returns the IDs of the targets, those of draining ones in parentheses.
func targetIDs(r *Registry) string {
	ids := ""
	for _, t := range r.targets("citas") {
		if t.State == document.Draining {
			t.ID = "(" + t.ID + ")"
		}
		ids += t.ID
	}
	return ids
}

// Guards against knowledge that ends before the store reports a write, that outlasts a
// write, or that outlasts its period.
func TestKnowledgeIsCarriedKeyByKey(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		change Change
		after  time.Duration
		want   string
	}{
		"nothing written":                  {Change{}, 0, "1(2)4"},
		"a write of another time":          {written(target("3", document.Active), 5), 0, "1(2)4"},
		"a target registers again":         {written(target("3", document.Active), 6), 0, "1(2)34"},
		"a draining target is active":      {written(target("2", document.Active), 6), 0, "124"},
		"a registration lapses":            {written(Change{Key: "1"}, 6), 0, "1(2)4"},
		"it does not register again":       {written(Change{Key: "1"}, 6), retentionPeriod, "(2)4"},
		"a draining target leaves":         {written(Change{Key: "2"}, 6), 0, "14"},
		"a target that never registers":    {Change{}, carryPeriod, "1(2)"},
		"entries of the copy for too long": {Change{}, overridePeriod, "123"},
	}
	for name, c := range cases {
		r, known := returned(t, now)
		r.Apply([]Change{c.change}, inEpoch(6, known, now))
		r.Expire(now.Add(c.after))
		if got := targetIDs(r); got != c.want {
			t.Errorf("%s: got targets %s, want %s", name, got, c.want)
		}
	}
	r, known := returned(t, now)
	r.Apply([]Change{{Domain: "b", Revision: 6}}, inEpoch(6, known, now))
	if r.outDomains()["b"] {
		t.Error("domain b is still out after it was brought back in the new epoch")
	}
}

// Guards against registrations that a full read no longer contains and that are carried
// on, and against targets listed twice after an outage.
func TestFullReadReleasesWhatItLacks(t *testing.T) {
	now := time.Unix(1000, 0)
	r, known := returned(t, now)
	a := inEpoch(8, known, now)
	a.Outage = storeOutage
	r.Reset([]Change{configuration(), written(target("1", document.Active), 7)}, a)
	if got := targetIDs(r); got != "14" {
		t.Errorf("got targets %s, want 1 (registered) and 4 (carried) once each, 2 has left", got)
	}
}

// Guards against readers that never agree again: once nothing is carried, the ticket
// says so without a change of the documents, and a VM that becomes a reader then carries
// nothing.
func TestCarryingEndsForTheFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	r, known := returned(t, now)
	first, _, err := r.Build(known, now)
	if err != nil || !isProvisional(first.Ticket) || first.Unverified {
		t.Fatalf("got index %+v (error %v), want a verified one with an even ticket", first, err)
	}
	all := []Change{
		written(target("1", document.Active), 6), written(target("2", document.Draining), 7), written(target("4", document.Active), 8),
		{Domain: "b", DomainOut: true, Revision: 9}, written(Change{Key: "3"}, 10),
	}
	r.Apply(all, inEpoch(10, known, now))
	index, content, _ := r.Build(known, now)
	if isProvisional(index.Ticket) || index.Ticket <= first.Ticket {
		t.Fatalf("got ticket %d after ticket %d, want a higher odd one", index.Ticket, first.Ticket)
	}
	s, err := document.Build(index, content)
	if err != nil {
		t.Fatal(err)
	}
	next := New([]string{"a"})
	next.Reset(append(all[:1:1], configuration()), inEpoch(12, Known{Applied: s, NewestTicket: s.Ticket()}, now))
	if got := targetIDs(next); got != "1" || next.provisional() {
		t.Errorf("a new reader has targets %s, want only target 1 of the store", got)
	}
	if again, _, _ := next.Build(Known{Applied: s}, now); again.Unverified {
		t.Error("the index of a reader that has the settled configuration is unverified")
	}
	twin := New([]string{"a"})
	known = Known{Applied: s, NewestTicket: s.Ticket()}
	twin.Reset(append(all[:4:4], configuration()), inEpoch(12, known, now))
	if same, _, _ := twin.Build(known, now); same.Ticket != index.Ticket {
		t.Errorf("a new reader gives the unchanged documents ticket %d, want %d kept", same.Ticket, index.Ticket)
	}
}

// Guards against two readers that replace each other's documents without end, and
// against a reader with older knowledge whose documents stay in force.
func TestOnlySettledDocumentsReplaceOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, settled := range []bool{false, true} {
		r, known := returned(t, now)
		if settled {
			r.Expire(now.Add(overridePeriod))
		}
		own, _, _ := r.Build(known, now)
		r.Apply(nil, inEpoch(20, known, now))
		other := &document.Index{Ticket: Position{Epoch: 1, Revision: 9}.ticket(true)}
		known.Applied = &document.Snapshot{Index: other}
		index, _, _ := r.Build(known, now)
		if settled && index.Ticket <= other.Ticket || !settled && index.Ticket != own.Ticket {
			t.Errorf("settled %t: got ticket %d after the own ticket %d and ticket %d of another reader", settled, index.Ticket, own.Ticket, other.Ticket)
		}
	}
}

// Guards against tickets that order by revision alone, or that change where the store
// has no epoch.
func TestTicketsOrderByEpochAndRevision(t *testing.T) {
	if got := (Position{Revision: 7}).ticket(false); got != 15 {
		t.Errorf("got ticket %d at revision 7 without an epoch, want 15", got)
	}
	last, err := NewPosition(3, MaxRevision)
	first := Position{Epoch: 4, Revision: 1}
	if err != nil || last.ticket(false) >= first.ticket(true) || !last.Before(first) || EpochOf(last.ticket(false)) != 3 {
		t.Errorf("got tickets %d and %d (error %v), want the second higher", last.ticket(false), first.ticket(true), err)
	}
	if p, err := NewPosition(0, 1<<50); err != nil || p.ticket(true) != 1<<51 {
		t.Errorf("got ticket %d (error %v) of a high revision without an epoch, want %d", p.ticket(true), err, uint64(1<<51))
	}
	for _, p := range []Position{{MaxEpoch + 1, 1}, {1, MaxRevision + 1}} {
		if _, err := NewPosition(p.Epoch, p.Revision); err == nil {
			t.Errorf("position %+v is accepted, want an error", p)
		}
	}
}
