package config

import (
	"fmt"
	"time"
)

const (
	// behindAfter is the age of the applied configuration from which a VM reports that
	// it is behind: most of the time within which a change must be applied has passed
	// by then.
	behindAfter = 1500 * time.Millisecond
	// maxWaitingReads bounds the platform reads that wait for their ticket.
	maxWaitingReads = 32
)

// platformRead is a response of the platform: at the time at, the platform had no
// ticket above ticket.
type platformRead struct {
	ticket uint64
	at     time.Time
}

// freshness tracks the time as of which the applied configuration is confirmed to have
// been the newest one.
type freshness struct {
	asOf time.Time
	// waiting holds the reads whose ticket is not applied here yet, oldest first.
	waiting []platformRead
}

// record adds a platform read. Settled is the highest ticket that was applied or
// refused here.
func (f *freshness) record(r platformRead, settled uint64) {
	switch {
	case r.ticket <= settled:
		if r.at.After(f.asOf) {
			f.asOf = r.at
		}
	case len(f.waiting) < maxWaitingReads:
		f.waiting = append(f.waiting, r)
	default:
		// Once its ticket is applied, the newest read gives the latest confirmed time.
		f.waiting[maxWaitingReads-1] = r
	}
}

// oldestWaitingAge returns the age of the oldest read whose ticket is not applied here;
// 0 when there is none.
func (f *freshness) oldestWaitingAge(now time.Time) time.Duration {
	if len(f.waiting) == 0 {
		return 0
	}
	return now.Sub(f.waiting[0].at)
}

// recheckWaiting records the waiting reads whose ticket has been applied or refused.
func (f *freshness) recheckWaiting(settled uint64) {
	waiting := f.waiting
	f.waiting = f.waiting[:0]
	for _, r := range waiting {
		f.record(r, settled)
	}
}

// canConfirm reports whether the platform read of a peer applies to the
// configuration applied here: the peer's ticket is known and, where it is the same as
// here, has the same content.
func (m *Machine) canConfirm(r Report) bool {
	return r.Ticket != 0 && (r.Ticket != m.snapshot.Ticket() || r.Digest == m.digest)
}

// recordOwnRead records a platform response to this VM: the newest ticket of the
// platform was that of the pending index where this VM read it, else the highest one
// that was applied or refused.
func (m *Machine) recordOwnRead(at time.Time) {
	r := platformRead{ticket: m.settledTicket, at: at}
	if m.pending != nil && m.pending.fromPlatform {
		r.ticket = m.pending.index.Ticket
	}
	m.ownFreshness.record(r, m.settledTicket)
	m.freshness.record(r, m.settledTicket)
}

// settleTicket records that a ticket was applied or refused.
func (m *Machine) settleTicket(ticket uint64) {
	m.settledTicket = max(m.settledTicket, ticket)
	m.ownFreshness.recheckWaiting(m.settledTicket)
	m.freshness.recheckWaiting(m.settledTicket)
}

// UpToDateByOwnReads returns when the platform last answered this VM with nothing newer
// than the configuration applied here; zero before the first such response.
func (m *Machine) UpToDateByOwnReads() time.Time { return m.ownFreshness.asOf }

// UpToDateAsOf returns the time as of which the applied configuration is confirmed to
// have been the newest one, by this VM's own reads or by those that peers reported;
// zero before the first such read.
func (m *Machine) UpToDateAsOf() time.Time { return m.freshness.asOf }

// Lag describes why a VM is behind.
type Lag struct {
	// Age is the time since the applied configuration was last confirmed to be the
	// newest one.
	Age time.Duration
	// NewestTicket is the highest ticket that a peer or the platform reported.
	NewestTicket uint64
	// Role is how the VM reads the platform.
	Role Role
	// MissingDocuments is the number of documents that the pending ticket lacks.
	MissingDocuments int
	// FetchesInFlight is the number of fetches in flight. Reading reports whether a
	// read of the index is in flight.
	FetchesInFlight int
	Reading         bool
}

// String describes the lag and what the VM is waiting for.
func (l Lag) String() string {
	return fmt.Sprintf("known to be the newest %v ago, newest known ticket %d, role %s, %d documents missing, %d fetches in flight, reading %t",
		l.Age.Round(time.Millisecond), l.NewestTicket, l.Role, l.MissingDocuments, l.FetchesInFlight, l.Reading)
}

// updateLag emits Behind when the applied configuration has not been confirmed for
// behindAfter, and CaughtUp when it is confirmed again.
func (m *Machine) updateLag(now time.Time) {
	if m.snapshot == nil || !m.params.SelfManagedList {
		return
	}
	age := now.Sub(m.freshness.asOf)
	if behind := age >= behindAfter; behind != m.behind {
		m.behind = behind
		m.emit(m.lagEffect(age))
	}
}

func (m *Machine) lagEffect(age time.Duration) Effect {
	l := Lag{Age: age, NewestTicket: m.highestTicket, Role: m.role, FetchesInFlight: len(m.fetch.inFlight), Reading: m.indexPoll.inFlight}
	if m.pending != nil {
		l.NewestTicket = max(l.NewestTicket, m.pending.index.Ticket)
		l.MissingDocuments = len(m.missingEntries())
	}
	if m.behind {
		return Effect{Kind: Behind, Lag: l}
	}
	return Effect{Kind: CaughtUp, Lag: l}
}
