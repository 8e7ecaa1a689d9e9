package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/document"
)

func target(id string, state document.TargetState) Change {
	return Change{Key: id, Registration: &Registration{
		Service: "citas",
		Target:  document.Target{ID: id, Address: "10.0.0.1:80", FailureDomain: "a", Slots: 3, State: state},
	}}
}

// storeOutage is an outage of the store itself.
var storeOutage = Outage{Own: 5 * time.Second, Fleet: 5 * time.Second, PeerReports: true}

// answer returns an answer of a store that never returned from an older copy.
func answer(revision uint64, outage Outage, now time.Time) Answer {
	return Answer{At: Position{Revision: revision}, Outage: outage, Now: now}
}

func configuration() Change {
	service := document.Service{Kind: "service", Name: "citas", ColdSlots: 1, ConnectionsPerTarget: 10}
	return Change{Configuration: &Configuration{
		Services:   []document.Service{service},
		Workspaces: []document.Workspace{},
		Routes:     []document.Route{},
	}}
}

// snapshot builds the configuration and fails the test when it is invalid.
func snapshot(t *rapid.T, r *Registry) *document.Snapshot {
	index, content, err := r.Build(Known{}, time.Time{})
	if err != nil || index == nil {
		t.Fatalf("got no documents (error: %v), want a valid configuration", err)
	}
	s, err := document.Build(index, content)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against readers with different histories that build different documents for
// one revision: VMs would refuse each other's configuration.
func TestDocumentsDependOnContentOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		incremental, reset := New([]string{"a"}), New([]string{"a"})
		newest := map[string]Change{}
		incremental.Reset([]Change{configuration()}, answer(1, Outage{}, now))
		snapshot(t, incremental)
		n := rapid.IntRange(1, 20).Draw(t, "changes")
		for i := range n {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "target"))
			c := target(id, document.Active)
			if rapid.Bool().Draw(t, "removed") {
				c.Registration = nil
			}
			newest[id] = c
			incremental.Apply([]Change{c}, answer(uint64(i+2), Outage{}, now))
			snapshot(t, incremental)
		}
		all := []Change{configuration()}
		for _, c := range newest {
			if c.Registration != nil {
				all = append(all, c)
			}
		}
		reset.Reset(all, answer(uint64(n+1), Outage{}, now))
		a, b := snapshot(t, incremental), snapshot(t, reset)
		if fmt.Sprint(a.Index.Documents) != fmt.Sprint(b.Index.Documents) {
			t.Fatalf("documents after single changes %v differ from those after a full read %v", a.Index.Documents, b.Index.Documents)
		}
	})
}

// Guards against targets that are dropped because the store was unavailable, and
// against targets that are kept although they did not register again.
func TestVanishedTargetIsRetained(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New([]string{"a"})
	r.Reset([]Change{configuration(), target("1", document.Active), target("2", document.Draining)}, answer(5, Outage{}, now))
	r.Apply([]Change{{Key: "1"}, {Key: "2"}}, answer(7, storeOutage, now))
	if got := r.targets("citas"); len(got) != 1 || got[0].ID != "1" {
		t.Fatalf("got targets %v after the store's return, want only target 1", got)
	}
	at, ok := r.NextExpiry()
	if !ok || !at.Equal(now.Add(retentionPeriod)) {
		t.Fatalf("got expiry %v (exists: %t), want the end of the retention period", at, ok)
	}
	retained, _, _ := r.Build(Known{}, time.Time{})
	r.Expire(now.Add(retentionPeriod))
	expired, _, _ := r.Build(Known{}, time.Time{})
	if len(r.targets("citas")) != 0 || expired.Ticket <= retained.Ticket {
		t.Fatalf("got targets %v and ticket %d after ticket %d, want none and a higher ticket", r.targets("citas"), expired.Ticket, retained.Ticket)
	}
	r.Apply([]Change{target("1", document.Active)}, answer(8, Outage{}, now))
	r.Apply([]Change{{Key: "1"}}, answer(9, Outage{}, now))
	if len(r.targets("citas")) != 0 {
		t.Fatal("a target that deregistered while the store answered is still listed")
	}
}

// Guards against a deregistered target that receives requests again: a VM that could
// not reach the store treats the deregistration as lapsed in an outage, and its
// documents replace those of the VMs that saw the deregistration. Targets that stay
// need not have renewed their entries in the meantime.
func TestLeaveWhileOutOfReachIsNotHeld(t *testing.T) {
	const long = 9 * time.Second
	now := time.Unix(1000, 0)
	cases := map[string]Outage{
		"others got responses":         {Own: long, Fleet: time.Second, PeerReports: true},
		"no reports from others":       {Own: long, Fleet: long},
		"others read the store longer": {Own: 30 * time.Second, Fleet: long, PeerReports: true},
		"one call failed":              {Own: 100 * time.Millisecond, Fleet: long, PeerReports: true},
		"shorter than a takeover":      {Own: 1300 * time.Millisecond, Fleet: 1300 * time.Millisecond, PeerReports: true},
		"no failed call on an idle VM": {Fleet: long, PeerReports: true},
	}
	for name, outage := range cases {
		for _, fullRead := range []bool{false, true} {
			r := New([]string{"a"})
			stay := target("2", document.Active)
			r.Reset([]Change{configuration(), target("1", document.Active), stay}, answer(5, Outage{}, now))
			if fullRead {
				r.Reset([]Change{configuration(), stay}, answer(7, outage, now))
			} else {
				r.Apply([]Change{{Key: "1"}}, answer(7, outage, now))
			}
			if got := r.targets("citas"); len(got) != 1 {
				t.Errorf("%s, full read %t: got %d targets, want the one that stayed registered", name, fullRead, len(got))
			}
		}
	}
}

// Guards against a fleet that keeps older content because a reader that returns finds
// the content that it read last and gives it no new ticket, and against readers that
// without end give each other's content new tickets.
func TestFleetHasTheContentThatAnyReaderReadLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		readers := []*Registry{New([]string{"a"}), New([]string{"a"}), New([]string{"a"})}
		present := map[string]bool{}
		revision := uint64(1)
		var applied *document.Index
		known := func() Known {
			if applied == nil {
				return Known{}
			}
			return Known{Applied: &document.Snapshot{Index: applied}}
		}
		read := func(r *Registry) {
			all := []Change{configuration()}
			for id, ok := range present {
				if ok {
					all = append(all, target(id, document.Active))
				}
			}
			r.Reset(all, answer(revision, Outage{}, now))
			index, _, err := r.Build(known(), now)
			if err != nil {
				t.Fatal(err)
			}
			if applied == nil || index.Ticket > applied.Ticket {
				applied = index
			}
			if fmt.Sprint(index.Documents) != fmt.Sprint(applied.Documents) {
				t.Fatalf("revision %d: ticket %d is applied, but the store's content has ticket %d", revision, applied.Ticket, index.Ticket)
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "changes") {
				id := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "target"))
				present[id] = !present[id]
				revision++
			}
			read(readers[rapid.IntRange(0, 2).Draw(t, "reader")])
		}
		for _, r := range readers {
			read(r)
		}
		last := applied.Ticket
		for _, r := range readers {
			revision++
			read(r)
		}
		if applied.Ticket != last {
			t.Fatalf("ticket %d became %d without a change of the content", last, applied.Ticket)
		}
	})
}
