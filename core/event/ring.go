package event

// Ring is a ring buffer of the latest events. It is not safe for concurrent use.
type Ring struct {
	buf []Event
	// last is the sequence number of the newest event; 0 before the first one.
	last uint64
}

// NewRing returns a ring buffer for size events; size must be positive.
func NewRing(size int) *Ring {
	return &Ring{buf: make([]Event, size)}
}

// Add appends e with the next sequence number and returns it. It overwrites the
// oldest event when the buffer is full.
func (r *Ring) Add(e Event) Event {
	r.last++
	e.Seq = r.last
	r.buf[(e.Seq-1)%uint64(len(r.buf))] = e
	return e
}

// Since returns at most limit events with sequence numbers greater than after,
// oldest first.
func (r *Ring) Since(after uint64, limit int) []Event {
	first := after + 1
	if size := uint64(len(r.buf)); r.last > size && first <= r.last-size {
		first = r.last - size + 1
	}
	var out []Event
	for seq := first; seq <= r.last && len(out) < limit; seq++ {
		out = append(out, r.buf[(seq-1)%uint64(len(r.buf))])
	}
	return out
}

// Last returns the sequence number of the newest event, or 0 when there is none.
func (r *Ring) Last() uint64 {
	return r.last
}
