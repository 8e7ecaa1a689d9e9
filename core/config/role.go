package config

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// Readers is the number of VMs of a cell that watch the platform.
const Readers = 3

// readerKey is the rendezvous hashing key by which the readers of a cell are ranked.
const readerKey = "config/readers"

// Role is how a VM reads the platform.
type Role uint8

// The roles of a VM.
const (
	// Newcomer is a VM that has no VM list yet.
	Newcomer Role = iota
	// Standby is a VM that reads the platform only when no recent platform response is
	// known, from itself or from a peer.
	Standby
	// Watcher is one of the readers of its cell. It keeps watches open at the platform.
	Watcher
	// Poller is a reader that is in contact with less than half of its cell. It reads
	// periodically instead of watching, because a partitioned fleet has many such
	// readers.
	Poller
)

// String returns the lower-case name of r.
func (r Role) String() string {
	return [...]string{"newcomer", "standby", "watcher", "poller"}[r]
}

// liveMembers returns the IDs in ranked that are live members of the cell, in the same
// order. It reuses the slice.
func liveMembers(cell *member.List, ranked []string) []string {
	live := ranked[:0]
	for _, id := range ranked {
		if vm, ok := cell.Find(id); ok && vm.State == member.Live {
			live = append(live, id)
		}
	}
	return live
}

// inContact reports whether a VM counts as in contact. This VM always does, and so do
// all listed VMs shortly after the start, when no heartbeat can have been echoed yet.
func (m *Machine) inContact(now time.Time, id string) bool {
	if id == m.params.Self || now.Sub(m.start) < StartupQueryWindow {
		return true
	}
	return m.contacts != nil && m.contacts.InContact(id)
}

// updateRole derives the role from the VM list and the VMs in contact.
func (m *Machine) updateRole(now time.Time) {
	switch {
	case m.list == nil:
		m.setRole(now, Newcomer, 0)
	case m.params.SelfManagedList:
		m.updateSelfManagedRole(now)
	default:
		m.updatePublishedListRole(now)
	}
}

// updatePublishedListRole derives the role where the VM list is published on the
// platform: the readers are the first VMs in the ranking that are in contact.
func (m *Machine) updatePublishedListRole(now time.Time) {
	position, found, reachable := 0, false, 0
	for _, id := range m.ranked {
		if id == m.params.Self {
			found = true
		}
		if !m.inContact(now, id) {
			continue
		}
		reachable++
		if !found {
			position++
		}
		if position >= Readers {
			break
		}
	}
	switch {
	case !found || position >= Readers:
		m.setRole(now, Standby, Readers)
	case 2*reachable < len(m.ranked):
		m.setRole(now, Poller, position)
	default:
		m.setRole(now, Watcher, position)
	}
}

// setRole sets the role. The first reads of a new reader are brought forward.
func (m *Machine) setRole(now time.Time, r Role, position int) {
	m.readerPosition = position
	if r == m.role {
		return
	}
	m.role = r
	if r == Watcher || r == Poller {
		m.indexPoll.resume(now, m.randomBetween(0, m.readerSpread()))
		m.listPoll.resume(now, m.randomBetween(0, m.readerSpread()))
	}
}

// newReaderSpread spreads the first reads of new readers, for example after a switch
// failure that changes the readers of many cells at once.
const newReaderSpread = 500 * time.Millisecond

// selfManagedReaderSpread replaces newReaderSpread where the fleet manages its VM list
// itself: the readers are known early and are few.
const selfManagedReaderSpread = 50 * time.Millisecond

func (m *Machine) readerSpread() time.Duration {
	if m.params.SelfManagedList {
		return selfManagedReaderSpread
	}
	return newReaderSpread
}
