// Package poison detects requests that crash the targets that run them.
//
// A request is identified by its fingerprint. A fingerprint whose connection was
// lost at two distinct targets within Window is quarantined: its requests are
// refused for a time, then one probe is allowed. If the connection of the probe is
// lost, or another VM reports a lost connection, the fingerprint is quarantined again,
// for twice the time; if the probe is answered, the quarantine ends. VMs tell each other
// their quarantines (see Announcement), so that a VM which started later refuses the same
// requests. Time is passed in; the package is not safe for concurrent use.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Window is the time within which marks of distinct targets together lead to a
	// quarantine. Marks that are Window or more apart do not.
	Window = 60 * time.Second
	// Quarantine is how long requests with a poisoned fingerprint are refused at first,
	// MaxQuarantine how long at most after further lost connections.
	Quarantine    = 60 * time.Second
	MaxQuarantine = time.Hour
	// ProbeTimeout is the time after which a probe without a result no longer blocks
	// another one. The VM that sent it may have failed.
	ProbeTimeout = 60 * time.Second
	// DefaultEntries is the default maximum number of fingerprints.
	DefaultEntries = 4096
)

// Fingerprint returns a hash that identifies a request by its workspace, method,
// path, body length in bytes and the first bytes of its body. A length below 0 means
// that it is not known.
func Fingerprint(workspace, method, path string, length int64, prefix []byte) uint64 {
	d := xxhash.New()
	var size [8]byte
	for i := range size {
		size[i] = byte(length >> (8 * i))
	}
	for _, part := range []string{workspace, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(size[:])
	_, _ = d.Write(prefix)
	return d.Sum64()
}

// TargetHash returns a hash that identifies a target by its address.
func TargetHash(address string) uint64 {
	return xxhash.Sum64String(address)
}

// status is the status of a fingerprint.
type status uint8

const (
	// suspected: the connection was lost at one target.
	suspected status = iota
	// quarantined: the connection was lost at two targets.
	quarantined
	// cleared: a target answered a probe. The entry is kept to tell the other VMs.
	cleared
)

// entry is the state of one fingerprint.
type entry struct {
	status       status
	markedTarget uint64 // hash of the target of all marks while suspected
	markedAt     time.Time
	// round counts the quarantines of the fingerprint.
	round            uint32
	quarantinedUntil time.Time
	probing          bool
	probedAt         time.Time
	clearedAt        time.Time
}

// period returns the duration of a quarantine; round counts from 1.
func period(round uint32) time.Duration {
	d := Quarantine
	for ; round > 1 && d < MaxQuarantine; round-- {
		d *= 2
	}
	return min(d, MaxQuarantine)
}

// keepUntil returns the time from which the entry has no effect.
func (e *entry) keepUntil() time.Time {
	switch e.status {
	case quarantined:
		return e.quarantinedUntil.Add(period(e.round))
	case cleared:
		return e.clearedAt.Add(clearedPeriod)
	default:
		return e.markedAt.Add(Window)
	}
}

// Table keeps track of suspected and poisoned fingerprints.
type Table struct {
	limit   int
	entries map[uint64]*entry
}

// New returns a table for at most limit fingerprints, or for DefaultEntries if limit
// is not positive.
func New(limit int) *Table {
	if limit <= 0 {
		limit = DefaultEntries
	}
	return &Table{limit: limit, entries: map[uint64]*entry{}}
}

// Len returns the number of fingerprints.
func (t *Table) Len() int {
	return len(t.entries)
}

// Mark records that the connection of a request was lost at a target. It returns
// true when this mark starts or renews the quarantine of the fingerprint.
func (t *Table) Mark(fingerprint, target uint64, now time.Time) bool {
	e := t.find(fingerprint, now)
	if e == nil || e.status == cleared {
		t.insert(fingerprint, &entry{markedTarget: target, markedAt: now}, now)
		return false
	}
	if e.status == quarantined {
		return e.renewQuarantine(now)
	}
	if e.markedTarget == target {
		// Heartbeats repeat marks, so marks of the same target count only once.
		e.markedAt = now
		return false
	}
	e.quarantine(1, now.Add(period(1)))
	return true
}

// quarantine begins a quarantine.
func (e *entry) quarantine(round uint32, until time.Time) {
	*e = entry{status: quarantined, round: round, quarantinedUntil: until}
}

// renewQuarantine handles a mark of a poisoned fingerprint. During the quarantine it
// ignores marks, since heartbeats repeat them and attempts that were already running
// cause more.
func (e *entry) renewQuarantine(now time.Time) bool {
	if now.Before(e.quarantinedUntil) {
		return false
	}
	e.quarantine(e.round+1, now.Add(period(e.round+1)))
	return true
}

// Allow reports whether a request may be sent to a target and, if not, for how long
// it is refused. ProbeDelay returns how long after the end of its quarantine this VM may
// probe a fingerprint; it is called only then. When probe is true, the caller must report
// the result of the attempt with Mark, Clear or ReleaseProbe.
func (t *Table) Allow(fingerprint uint64, probeDelay func() time.Duration, now time.Time) (ok, probe bool, wait time.Duration) {
	e := t.find(fingerprint, now)
	if e == nil || e.status != quarantined {
		return true, false, 0
	}
	if wait := e.wait(probeDelay, now); wait > 0 {
		return false, false, wait
	}
	e.probing = true
	e.probedAt = now
	return true, true, 0
}

// Wait returns for how long Allow would refuse a request, 0 if it would not, and leaves the
// table unchanged.
func (t *Table) Wait(fingerprint uint64, probeDelay func() time.Duration, now time.Time) time.Duration {
	e := t.entries[fingerprint]
	if e == nil || e.status != quarantined || !now.Before(e.keepUntil()) {
		return 0
	}
	return e.wait(probeDelay, now)
}

// wait returns how long no request with the poisoned fingerprint is sent to a target.
func (e *entry) wait(probeDelay func() time.Duration, now time.Time) time.Duration {
	if now.Before(e.quarantinedUntil) {
		return e.quarantinedUntil.Sub(now)
	}
	if e.probing && now.Sub(e.probedAt) < ProbeTimeout {
		return e.probedAt.Add(ProbeTimeout).Sub(now)
	}
	return max(0, e.quarantinedUntil.Add(probeDelay()).Sub(now))
}

// Clear ends the quarantine of a fingerprint whose probe was answered.
func (t *Table) Clear(fingerprint uint64, now time.Time) {
	if e, ok := t.entries[fingerprint]; ok {
		e.clear(now)
	}
}

func (e *entry) clear(now time.Time) {
	*e = entry{status: cleared, round: e.round, clearedAt: now}
}

// RecordSuccess removes the marks of a fingerprint that is not poisoned. A target
// answered the request, so the request did not cause the earlier lost connections.
func (t *Table) RecordSuccess(fingerprint uint64) {
	if e, ok := t.entries[fingerprint]; ok && e.status == suspected {
		delete(t.entries, fingerprint)
	}
}

// ReleaseProbe ends a probe that never reached a target, so that another one is
// allowed.
func (t *Table) ReleaseProbe(fingerprint uint64) {
	if e, ok := t.entries[fingerprint]; ok {
		e.probing = false
	}
}

// find returns the entry of a fingerprint, or nil when there is none or it is
// outdated.
func (t *Table) find(fingerprint uint64, now time.Time) *entry {
	e, ok := t.entries[fingerprint]
	if !ok {
		return nil
	}
	if !now.Before(e.keepUntil()) {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

// insert stores e. In a full table, e replaces the entry that ends first among those
// that are outdated or not quarantined. If all entries are quarantined, e is not stored, so
// that a quarantine never ends early.
func (t *Table) insert(fingerprint uint64, e *entry, now time.Time) {
	_, known := t.entries[fingerprint]
	if !known && len(t.entries) >= t.limit && !t.evict(now) {
		return
	}
	t.entries[fingerprint] = e
}

func (t *Table) evict(now time.Time) bool {
	var victim uint64
	var earliest time.Time
	for fingerprint, e := range t.entries {
		until := e.keepUntil()
		if e.status == quarantined && now.Before(until) {
			continue
		}
		if earliest.IsZero() || until.Before(earliest) {
			victim, earliest = fingerprint, until
		}
	}
	if earliest.IsZero() {
		return false
	}
	delete(t.entries, victim)
	return true
}
