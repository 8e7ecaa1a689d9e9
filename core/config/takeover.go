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
	backupReaders = 3
	// replaceAfter is the age of a reader's last read from which a backup reader takes
	// its place: a read, two heartbeat intervals and some delay.
	replaceAfter = 1200 * time.Millisecond
	// directReadAfter is the age of the applied configuration from which the VM ranked
	// next after the readers reads by itself. Each further VM waits directReadStep
	// longer, up to directReadMax, so that most VMs receive the results of the first
	// ones' reads in heartbeats and need not read.
	directReadAfter = 900 * time.Millisecond
	directReadStep  = 50 * time.Millisecond
	directReadMax   = 1300 * time.Millisecond
	// directReadBackoff is the backoff of a VM that reads by itself and failed at least
	// twice in a row: it must follow the platform within 3 s after it can reach it
	// again, including a read that hangs. A VM for which the platform seems unavailable
	// to the whole fleet waits unavailableBackoff instead, so that 2,800 VMs make less
	// than 2,000 reads/s while the platform is unavailable.
	directReadBackoff  = 1500 * time.Millisecond
	unavailableBackoff = 7 * time.Second
	// fetchGrace is the time allowed for a VM to fetch the tickets that readers report.
	fetchGrace = 600 * time.Millisecond
	// selfManagedWaitMin and selfManagedWaitMax bound the wait of a reader's watch. The
	// upper bound plus one heartbeat interval stays below directReadAfter, so that
	// other VMs do not read when nothing changes.
	selfManagedWaitMin = 400 * time.Millisecond
	selfManagedWaitMax = 600 * time.Millisecond
	// probeWait is the wait of a watch by a standby VM, which only checks for changes
	// up to now.
	probeWait = 50 * time.Millisecond
	// maxWatchGap is the age of the last response from which the full content is read
	// instead of watched: by then the content is smaller than all changes since.
	maxWatchGap = 3 * time.Second
)

// updateSelfManagedRole makes the first VMs in rank readers, and backup readers as long
// as too few VMs ranked before them read.
func (m *Machine) updateSelfManagedRole(now time.Time) {
	rank := slices.Index(m.ranked, m.params.Self)
	switch {
	case rank >= 0 && rank < Readers, rank >= 0 && rank < Readers+backupReaders && m.readersBefore(now, rank) < Readers:
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
		if ok && report.ReadKnown && report.ReadAge+now.Sub(report.receivedAt) < replaceAfter {
			n++
		}
	}
	return n
}

// scheduleRetry sets when a VM that reads by itself may try again after a failure.
func (m *Machine) scheduleRetry(now time.Time, s *valuePoll) {
	if s.failures < 2 {
		s.nextOp = now.Add(m.backoff(readerBackoffMin, readerBackoffMin, 1))
		s.earlyRetry = s.nextOp
		return
	}
	s.nextOp = now.Add(m.backoff(unavailableBackoff, unavailableBackoff, 1))
	s.earlyRetry = now.Add(m.backoff(directReadBackoff, directReadBackoff, 1))
}

// retryDue reports whether the backoff of a VM that reads by itself is over. It depends
// on what the readers report at this moment: the VM may lose contact with them, or they
// with the VM, while it waits.
func (m *Machine) retryDue(now time.Time, s *valuePoll) bool {
	if !now.Before(s.nextOp) {
		return true
	}
	return !now.Before(s.earlyRetry) && !m.seemsUnavailable(now)
}

// seemsUnavailable reports whether, as far as this VM knows, the platform answers no
// VM, or answered none until just now: this VM is in contact with readers or backup
// readers, and none of them reported more than fetchGrace ago a read of a ticket that
// this VM still lacks.
func (m *Machine) seemsUnavailable(now time.Time) bool {
	if m.freshness.oldestWaitingAge(now) > fetchGrace {
		return false
	}
	readers := m.ranked[:min(Readers+backupReaders, len(m.ranked))]
	return slices.ContainsFunc(readers, func(id string) bool { return id != m.params.Self && m.inContact(now, id) })
}

// directReadNeeded reports whether a VM that is no reader must read by itself, because
// nothing has confirmed for too long that its configuration is the newest one.
func (m *Machine) directReadNeeded(now time.Time) bool {
	confirmed := m.freshness.asOf
	if confirmed.Before(m.start) {
		confirmed = m.start
	}
	rank := slices.Index(m.ranked, m.params.Self)
	wait := directReadMax
	if rank >= Readers {
		wait = min(directReadAfter+time.Duration(rank-Readers)*directReadStep, directReadMax)
	}
	return now.Sub(confirmed) >= wait
}
