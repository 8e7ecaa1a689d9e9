package idem

import "time"

// tombstones is the set of keys whose records were removed, as 64-bit hashes in two
// generations. The lowest bit of a hash is set if the key is known to have run.
type tombstones struct {
	limit    int
	minAge   time.Duration
	current  hashSet
	previous hashSet
	// previousSince is when previous ceased to be the current generation. No key was
	// added to it later.
	previousSince time.Time
}

func newTombstones(limit int, minAge time.Duration) tombstones {
	return tombstones{limit: limit, minAge: minAge}
}

const ranBit = 1

// add stores the hash of a key. There is room for it, because Begin calls hasRoom
// for each record that it creates.
func (s *tombstones) add(hash uint64, state Decision, now time.Time) {
	hash &^= ranBit
	if state == AnswerNotKept {
		hash |= ranBit
	}
	s.rotate(now)
	s.current.add(hash)
}

// rotate drops the previous generation and starts a new one when the current
// generation is full and the previous one is old enough.
func (s *tombstones) rotate(now time.Time) {
	if s.current.len < s.limit || !s.mayDropPrevious(now) {
		return
	}
	s.previous = s.current
	s.current = hashSet{}
	s.previousSince = now
}

func (s *tombstones) mayDropPrevious(now time.Time) bool {
	return s.previous.len == 0 || now.Sub(s.previousSince) >= s.minAge
}

// hasRoom reports whether the given number of keys can be added without dropping a
// generation too early.
func (s *tombstones) hasRoom(records int, now time.Time) bool {
	if s.mayDropPrevious(now) {
		return true
	}
	return s.current.len+records <= s.limit
}

// find returns AnswerNotKept for a key whose request is known to have run, and Unknown for
// one whose request may have run. It returns false when there is no tombstone.
func (s *tombstones) find(hash uint64) (Decision, bool) {
	for _, set := range []*hashSet{&s.current, &s.previous} {
		if set.has(hash | ranBit) {
			return AnswerNotKept, true
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

const minSlots = 64

func (s *hashSet) add(hash uint64) {
	if 2*(s.len+1) > len(s.slots) {
		s.grow()
	}
	if s.insert(nonZero(hash)) {
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
func (s *hashSet) insert(hash uint64) bool {
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
	s.slots = make([]uint64, max(minSlots, 2*len(old)))
	for _, hash := range old {
		if hash != 0 {
			s.insert(hash)
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
