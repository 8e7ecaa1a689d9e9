package config

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// quickChanges publishes a change every 0.25 s. It returns the first VM that has access
// to the platform and lacks a change for longer than applyBound; nil when there is
// none.
func quickChanges(s *sim) *simVM {
	const pause, rounds = 250 * time.Millisecond, 40
	for i := range rounds {
		s.platform.publish(map[string]json.RawMessage{"workspaces/a": workspaces(i + 1)})
		s.advance(pause)
		if i < int(applyBound/pause) {
			continue
		}
		due := s.platform.index.Ticket - uint64(applyBound/pause)
		for _, v := range s.vms {
			if v.view == fresh && v.machine.snapshot.Ticket() < due {
				return v
			}
		}
	}
	return nil
}

// startedSim returns a fleet of nine VMs that has applied its first configuration.
func startedSim(ownList bool) *sim {
	s := newSim(1, 9)
	s.selfManaged, s.inlineDocuments = ownList, ownList
	s.platform.publish(map[string]json.RawMessage{"domains": domains("in")})
	for _, v := range s.vms {
		s.restart(v)
	}
	s.advance(12 * time.Second)
	return s
}

// Guards against a reader that applies nothing while changes come in quick succession,
// because with each change it waits again for the readers ranked before it, which
// cannot read.
func TestReaderBehindFailedOnesAppliesEachChange(t *testing.T) {
	s := startedSim(true)
	for _, id := range liveMembers(s.list, member.RankSeats(s.list, 1)[0])[:Readers-1] {
		s.byID[id].view = refusing
	}
	s.advance(4 * time.Second)
	if v := quickChanges(s); v != nil {
		t.Fatalf("%s (role %v) lacks a change more than 2 s after its publication: it has ticket %d, the platform %d", v.id, v.machine.Role(), v.machine.snapshot.Ticket(), s.platform.index.Ticket)
	}
}

// Guards against a reader that reads no documents while changes come in quick
// succession, because with each newer index it waits again for readers that it cannot
// fetch from.
func TestLaterReaderReadsDocumentsOfQuickChanges(t *testing.T) {
	s := startedSim(false)
	last := s.byID[liveMembers(s.list, member.Rank(s.list, readerKey))[Readers-1]]
	for _, v := range s.vms {
		if v != last {
			v.view = stale
		}
	}
	s.platform.staleValues = map[string]Value{}
	for key, value := range s.platform.values {
		s.platform.staleValues[key] = value
	}
	if v := quickChanges(s); v != nil {
		t.Fatalf("%s (role %v) lacks a change more than 2 s after its publication: it has ticket %d, the platform %d", v.id, v.machine.Role(), v.machine.snapshot.Ticket(), s.platform.index.Ticket)
	}
}
