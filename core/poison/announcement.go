package poison

import "time"

// clearedPeriod is how long a VM tells the others that a quarantine has ended. It exceeds
// several heartbeats.
const clearedPeriod = 10 * time.Second

// Announcement is the state of one quarantine as VMs tell each other. A VM learns a
// quarantine only with a higher round than it knows, and none that has ended: otherwise two
// VMs could keep a quarantine alive by telling each other.
type Announcement struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Round counts the quarantines of the fingerprint, from 1.
	Round uint32
	// Remaining is the time until the quarantine ends; 0 when a target has answered a
	// probe.
	Remaining time.Duration
}

// Announcements returns at most limit announcements of the quarantines that are in effect or
// were cleared lately. If there are more, it returns others each time.
func (t *Table) Announcements(limit int, now time.Time) []Announcement {
	var out []Announcement
	// The order of a map is random, so that each entry gets its turn.
	for fingerprint, e := range t.entries {
		if len(out) == limit {
			break
		}
		if a, ok := e.announcement(fingerprint, now); ok {
			out = append(out, a)
		}
	}
	return out
}

// announcement returns the announcement of an entry; ok is false when it has none.
func (e *entry) announcement(fingerprint uint64, now time.Time) (a Announcement, ok bool) {
	a = Announcement{Fingerprint: fingerprint, Round: e.round}
	switch e.status {
	case quarantined:
		a.Remaining = e.quarantinedUntil.Sub(now)
		return a, a.Remaining > 0
	case cleared:
		return a, e.round > 0 && now.Before(e.keepUntil())
	}
	return a, false
}

// Learn applies the announcement of another VM. It returns true when it starts a quarantine.
func (t *Table) Learn(a Announcement, now time.Time) bool {
	e := t.find(a.Fingerprint, now)
	if a.Remaining <= 0 {
		if e != nil && e.status == quarantined && a.Round >= e.round {
			e.clear(now)
		}
		return false
	}
	if e != nil && a.Round <= e.round {
		return false
	}
	next := &entry{}
	next.quarantine(a.Round, now.Add(min(a.Remaining, period(a.Round))))
	t.insert(a.Fingerprint, next, now)
	return true
}
