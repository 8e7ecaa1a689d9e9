package config

import (
	"slices"
	"time"
)

// Takeover from readers where the fleet manages its VM list itself. A change must be
// applied within 2 s of its acknowledgement on each VM that can reach the platform, also
// when all readers are lost at that moment. Of these 2 s, at most 1.3 s pass until the last
// VM reads, the read takes 0.2 s, and 0.5 s remain to reach VMs that cannot read.
const (
	// backupReaders is the number of VMs next in rank that read while a VM ranked
	// before them cannot.
	spares = 3
	// replaceAfter is the age of a reader's last read from which a backup reader takes
	// its place: a read, two heartbeat intervals and some delay.
	replaceAfter = 1200 * time.Millisecond
	// directReadAfter is the age of the applied configuration from which the VM ranked
	// next after the readers reads by itself. Each further VM waits directReadStep
	// longer, up to directReadMax, so that most VMs receive the results of the first
	// ones' reads in heartbeats and need not read.
	staleAfter = 900 * time.Millisecond
	staleStep  = 50 * time.Millisecond
	staleMost  = 1300 * time.Millisecond
	// directReadBackoff is the backoff of a VM that reads by itself and failed at least
	// twice in a row: it must follow the platform within 3 s after it can reach it
	// again, including a read that hangs. A VM for which the platform seems unavailable
	// to the whole fleet waits unavailableBackoff instead, so that 2,800 VMs make less
	// than 2,000 reads/s while the platform is unavailable.
	staleBackoff = 1500 * time.Millisecond
	heardBackoff = 7 * time.Second
	// fetchGrace is the time allowed for a VM to fetch the tickets that readers report.
	fetchGrace = 600 * time.Millisecond
	// selfManagedWaitMin and selfManagedWaitMax bound the wait of a reader's watch. The
	// upper bound plus one heartbeat interval stays below directReadAfter, so that
	// other VMs do not read when nothing changes.
	ownWaitMin = 400 * time.Millisecond
	ownWaitMax = 600 * time.Millisecond
	// probeWait is the wait of a watch by a standby VM, which only checks for changes
	// up to now.
	askWait = 50 * time.Millisecond
	// maxWatchGap is the age of the last response from which the whole content is read
	// instead of watched: by then it is smaller than all changes since.
	catchUpFor = 3 * time.Second
)

// updateSelfManagedRole makes the first VMs in rank readers, and backup readers as long
// as too few VMs ranked before them read.
func (m *Machine) updateOwnRole(now time.Time) {
	rank := slices.Index(m.ranked, m.params.Self)
	switch {
	case rank >= 0 && rank < Readers, rank >= 0 && rank < Readers+spares && m.readersBefore(now, rank) < Readers:
		m.setRole(now, Watcher, min(rank, Readers))
	default:
		m.setRole(now, Standby, Readers)
	}
}

// readersBefore counts the VMs ranked before the given rank that report a recent read.
func (m *Machine) readersBefore(now time.Time, rank int) int {
	n := 0
	for _, id := range m.ranked[:rank] {
		report, ok := m.reports[id]
		if ok && report.ReadKnown && report.ReadAge+now.Sub(report.at) < replaceAfter {
			n++
		}
	}
	return n
}

// scheduleRetry sets when a VM that reads by itself may try again after a failure.
func (m *Machine) backOff(now time.Time, s *slot) {
	if s.failures < 2 {
		s.next = now.Add(m.backoff(readerBackoffMin, readerBackoffMin, 1))
		s.alone = s.next
		return
	}
	s.next = now.Add(m.backoff(heardBackoff, heardBackoff, 1))
	s.alone = now.Add(m.backoff(staleBackoff, staleBackoff, 1))
}

// retryDue reports whether the backoff of a VM that reads by itself is over. It depends
// on what the readers report at this moment: the VM may lose contact with them, or they
// with the VM, while it waits.
func (m *Machine) mayTry(now time.Time, s *slot) bool {
	if !now.Before(s.next) {
		return true
	}
	return !now.Before(s.alone) && !m.seemsAway(now)
}

// seemsUnavailable reports whether, as far as this VM knows, the platform answers no
// VM, or answered none until just now: this VM is in contact with readers or backup
// readers, and none of them reported more than fetchGrace ago a read of a ticket that
// this VM still lacks.
func (m *Machine) seemsAway(now time.Time) bool {
	if m.current.lacksSince(now) > fetchGrace {
		return false
	}
	readers := m.ranked[:min(Readers+spares, len(m.ranked))]
	return slices.ContainsFunc(readers, func(id string) bool { return id != m.params.Self && m.inContact(now, id) })
}

// directReadNeeded reports whether a VM that is no reader must read by itself, because
// nothing has confirmed for too long that its configuration is the newest one.
func (m *Machine) stale(now time.Time) bool {
	known := m.current.at
	if known.Before(m.start) {
		known = m.start
	}
	rank := slices.Index(m.ranked, m.params.Self)
	wait := staleMost
	if rank >= Readers {
		wait = min(staleAfter+time.Duration(rank-Readers)*staleStep, staleMost)
	}
	return now.Sub(known) >= wait
}
