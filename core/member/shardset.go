package member

import "math/bits"

// ShardSet is a set of shards. The zero value is empty.
type ShardSet [ShardCount / 64]uint64

// Has reports whether s is in the set.
func (t ShardSet) Has(s Shard) bool {
	return t[s/64]&(1<<(s%64)) != 0
}

// Add adds s to the set.
func (t *ShardSet) Add(s Shard) {
	t[s/64] |= 1 << (s % 64)
}

// Remove removes s from the set.
func (t *ShardSet) Remove(s Shard) {
	t[s/64] &^= 1 << (s % 64)
}

// Len returns the number of shards in the set.
func (t ShardSet) Len() int {
	n := 0
	for _, word := range t {
		n += bits.OnesCount64(word)
	}
	return n
}

// All yields the shards of the set in ascending order.
func (t ShardSet) All(yield func(Shard) bool) {
	for i, word := range t {
		for word != 0 {
			bit := bits.TrailingZeros64(word)
			word &= word - 1
			if !yield(Shard(i*64 + bit)) {
				return
			}
		}
	}
}

// Minus returns the shards of t that are not in u.
func (t ShardSet) Minus(u ShardSet) ShardSet {
	for i := range t {
		t[i] &^= u[i]
	}
	return t
}

// Intersect returns the shards that are in both sets.
func (t ShardSet) Intersect(u ShardSet) ShardSet {
	for i := range t {
		t[i] &= u[i]
	}
	return t
}
