package idem

import "time"

func (t *Table) add(r *record) {
	u := t.usage[r.id.workspace]
	if u == nil {
		u = &usage{}
		t.usage[r.id.workspace] = u
	}
	t.records[r.id] = r
	u.entries++
	u.bytes += r.bytes
	t.bytes += r.bytes
}

func (t *Table) resize(r *record, by int) {
	r.bytes += by
	t.usage[r.id.workspace].bytes += by
	t.bytes += by
}

// remove removes r, which must not be in the list of ended records.
func (t *Table) remove(r *record) {
	u := t.usage[r.id.workspace]
	delete(t.records, r.id)
	u.entries--
	u.bytes -= r.bytes
	t.bytes -= r.bytes
	if u.entries == 0 {
		delete(t.usage, r.id.workspace)
	}
}

func (t *Table) endRecord(r *record, state Decision, now time.Time) {
	r.state = state
	r.endedAt = now
	u := t.usage[r.id.workspace]
	u.ended = append(u.ended, r)
}

// evictOldest replaces the oldest ended record of u by a tombstone. It returns
// false when there is none.
func (t *Table) evictOldest(u *usage, now time.Time) bool {
	if len(u.ended) == 0 {
		return false
	}
	r := u.ended[0]
	u.ended[0] = nil
	u.ended = u.ended[1:]
	state := r.state
	if state == AnswerKept {
		state = AnswerNotKept
	}
	t.tombstones.add(r.id.hash(), state, now)
	t.remove(r)
	return true
}

func (t *Table) expireWorkspace(workspace string, now time.Time) {
	u := t.usage[workspace]
	if u == nil {
		return
	}
	for len(u.ended) > 0 && now.Sub(u.ended[0].endedAt) >= t.limits.Retention {
		t.evictOldest(u, now)
	}
}

// fits reports whether the given numbers of additional entries and bytes are within
// all limits.
func (t *Table) fits(u *usage, entries, bytes int) bool {
	l := t.limits
	return len(t.records)+entries <= l.Entries &&
		t.bytes+bytes <= l.Bytes &&
		u.entries+entries <= l.WorkspaceEntries &&
		u.bytes+bytes <= l.WorkspaceBytes
}

// makeRoom evicts the oldest ended records of the workspace until the given entries
// and bytes fit. It never evicts records of another workspace. It returns false
// when there is not enough room.
func (t *Table) makeRoom(workspace string, entries, bytes int, now time.Time) bool {
	for {
		u := t.usage[workspace]
		if u == nil {
			return t.fits(&usage{}, entries, bytes)
		}
		if t.fits(u, entries, bytes) {
			return true
		}
		if !t.evictOldest(u, now) {
			return false
		}
	}
}

// makeRoomForAnswer is like makeRoom, for the answer of r. It does not evict r,
// which is the newest ended record.
func (t *Table) makeRoomForAnswer(r *record, bytes int, now time.Time) bool {
	u := t.usage[r.id.workspace]
	if bytes+r.bytes > t.limits.WorkspaceBytes {
		return false
	}
	for !t.fits(u, 0, bytes) {
		if len(u.ended) <= 1 {
			return false
		}
		t.evictOldest(u, now)
	}
	return true
}
