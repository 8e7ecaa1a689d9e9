package config

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// Guards against a configuration that reverts because an index with an older
// configuration version, or one built by a VM that does not know the configuration in
// force, has a higher ticket, and against a VM that fetches such an index again and again.
func TestOutdatedIndexWithAHigherTicketIsRefused(t *testing.T) {
	cases := map[string]struct {
		ix      document.Index
		peer    string
		applied bool
	}{
		"lower version of a peer":           {document.Index{Ticket: 9, ConfigVersion: 5}, "b", false},
		"lower version of the store":        {document.Index{Ticket: 9, ConfigVersion: 5}, "", false},
		"same version":                      {document.Index{Ticket: 9, ConfigVersion: 6}, "b", true},
		"unverified content of a peer":      {document.Index{Ticket: 9, ConfigVersion: 6, Unverified: true}, "b", false},
		"unverified content of this reader": {document.Index{Ticket: 9, ConfigVersion: 6, Unverified: true}, "", true},
	}
	for name, c := range cases {
		now := time.Unix(1000, 0)
		m := New(Params{Self: "a", Rand: rand.New(rand.NewPCG(1, 1)), SelfManagedList: true}, now)
		m.AdoptList(&member.List{Version: 1, VMs: []member.VM{{ID: "a", State: member.Live}, {ID: "b", PeerAddress: "b", State: member.Live}}})
		deliver := func(ix document.Index, peer string) {
			raw, _ := json.Marshal(ix)
			m.considerIndex(now, raw, document.Content{}, peer)
		}
		deliver(document.Index{Ticket: 7, ConfigVersion: 6, Documents: []document.IndexEntry{}}, "")
		c.ix.Documents = []document.IndexEntry{}
		m.ReceiveReport(now, "b", Report{Ticket: c.ix.Ticket, Digest: DigestPrefix(document.IndexDigest(&c.ix))})
		deliver(c.ix, c.peer)
		if got := m.snapshot.Ticket() == 9; got != c.applied {
			t.Errorf("%s: applied: %t, want %t", name, got, c.applied)
		}
		if contested := m.ContestedTicket() == 9; contested == c.applied {
			t.Errorf("%s: contested ticket %d, want it exactly when the index is refused", name, m.ContestedTicket())
		}
		if _, _, wanted := m.selectSource(now); wanted {
			t.Errorf("%s: the index is fetched again", name)
		}
	}
}

// Guards against a newly started VM that reads the store before it has heard what its
// peers have in force, and against one that waits for them without end.
func TestPeersAreAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Params{Self: "a", Seeds: []string{"s1", "s2", "s3"}, Rand: rand.New(rand.NewPCG(1, 1)), SelfManagedList: true}, now)
	m.AdoptList(&member.List{Version: 1, VMs: []member.VM{{ID: "a", State: member.Live}}})
	if m.PeersAsked(now) {
		t.Error("the peers count as asked although no seed has answered")
	}
	m.FetchDone(now, Op{Kind: Fetch, Peer: "s1", startupQuery: true}, FetchResponse{}, nil)
	m.FetchDone(now, Op{Kind: Fetch, Peer: "s2", startupQuery: true}, FetchResponse{}, errors.New("lost"))
	if m.PeersAsked(now) {
		t.Error("the peers count as asked after the answer of one seed")
	}
	if !m.PeersAsked(now.Add(StartupQueryWindow)) {
		t.Error("the peers do not count as asked at the end of the query window")
	}
	m.FetchDone(now, Op{Kind: Fetch, Peer: "s3", startupQuery: true}, FetchResponse{}, nil)
	if !m.PeersAsked(now) {
		t.Error("the peers do not count as asked after the answers of two seeds")
	}
	m.ReceiveReport(now, "b", Report{Ticket: 3})
	if m.PeersAsked(now) {
		t.Error("the peers count as asked although one has a configuration that is not fetched yet")
	}
}
