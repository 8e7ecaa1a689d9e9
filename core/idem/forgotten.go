package idem

import "time"

// tombstones is the set of keys whose records were removed, as 64-bit hashes in two
// generations. The lowest bit of a hash is set if the key is known to have run.
type forgotten struct {
	limit       int
	forgetAfter time.Duration
	current     hashSet
	previous    hashSet
	// previousSince is when previous was replaced by a newer generation. All its keys
	// were added before.
	previousSince time.Time
}

func newForgotten(limit int, forgetAfter time.Duration) forgotten {
	return forgotten{limit: limit, forgetAfter: forgetAfter}
}

const ranBit = 1

// add stores the hash of a key. There is room for it, because Begin calls hasRoom
// for each record that it creates.
func (f *forgotten) add(hash uint64, state Verdict, now time.Time) {
	hash &^= ranBit
	if state == NotKept {
		hash |= ranBit
	}
	f.rotate(now)
	f.current.add(hash)
}

// rotate drops the previous generation and starts a new one when the current
// generation is full and the previous one is old enough.
func (f *forgotten) rotate(now time.Time) {
	if f.current.len < f.limit || !f.mayDropPrevious(now) {
		return
	}
	f.previous = f.current
	f.current = hashSet{}
	f.previousSince = now
}

func (f *forgotten) mayDropPrevious(now time.Time) bool {
	return f.previous.len == 0 || now.Sub(f.previousSince) >= f.forgetAfter
}

// hasRoom reports whether the given number of keys can be added without dropping a
// generation too early.
func (f *forgotten) hasRoom(records int, now time.Time) bool {
	if f.mayDropPrevious(now) {
		return true
	}
	return f.current.len+records <= f.limit
}

// find reports whether there is a tombstone for the key, and whether its request is
// known to have run.
func (f *forgotten) find(hash uint64) (Verdict, bool) {
	for _, set := range []*hashSet{&f.current, &f.previous} {
		if set.has(hash | ranBit) {
			return NotKept, true
		}
		if set.has(hash &^ ranBit) {
			return Unknown, true
		}
	}
	return 0, false
}

// hashSet is an open-addressing hash set of non-zero hashes with 8 bytes per slot.
// A map of the same hashes takes about twice the memory.
type hashSet struct {
	slots []uint64
	len   int
}

const firstSlots = 64

func (s *hashSet) add(hash uint64) {
	if 2*(s.len+1) > len(s.slots) {
		s.grow()
	}
	if s.place(nonZero(hash)) {
		s.len++
	}
}

// nonZero replaces the hash 0, which marks a free slot, by a value with the same
// lowest bit.
func nonZero(hash uint64) uint64 {
	if hash == 0 {
		return 2
	}
	return hash
}

// insert stores hash. It returns false when the hash was already stored.
func (s *hashSet) place(hash uint64) bool {
	i := s.slot(hash)
	if s.slots[i] == hash {
		return false
	}
	s.slots[i] = hash
	return true
}

// slot returns the index of the slot that contains hash, or of the free slot for it.
func (s *hashSet) slot(hash uint64) uint64 {
	mask := uint64(len(s.slots) - 1)
	i := (hash >> 1) & mask
	for s.slots[i] != 0 && s.slots[i] != hash {
		i = (i + 1) & mask
	}
	return i
}

func (s *hashSet) grow() {
	old := s.slots
	s.slots = make([]uint64, max(firstSlots, 2*len(old)))
	for _, hash := range old {
		if hash != 0 {
			s.place(hash)
		}
	}
}

func (s *hashSet) has(hash uint64) bool {
	if len(s.slots) == 0 {
		return false
	}
	hash = nonZero(hash)
	return s.slots[s.slot(hash)] == hash
}
