package platform

import (
	"sync"
	"time"
)

// Reads holds the counters of the read limit.
type Reads struct {
	// Total is the number of reads since the start, refused ones included.
	Total uint64 `json:"total"`
	// Refused is the number of calls refused because of the limit.
	Refused uint64 `json:"refused"`
	// PeakPerSecond is the highest number of reads in one second.
	PeakPerSecond uint64 `json:"peakPerSecond"`
	// LastSecond is the number of reads in the last complete second.
	LastSecond uint64 `json:"lastSecond"`
}

// meter counts reads in windows of one second, the first of which starts with the
// meter. A watch counts as one read in each window in which it is open.
type meter struct {
	mu      sync.Mutex
	start   time.Time
	limit   uint64
	window  int64  // number of the current window, from 0
	current uint64 // reads in the current window
	waiting uint64 // calls that are open, such as watches
	reads   Reads
}

func newMeter(limit int, now time.Time) *meter {
	return &meter{start: now, limit: uint64(limit)}
}

// advance closes the windows that ended before now. The caller holds mu.
func (m *meter) advance(now time.Time) {
	window := int64(now.Sub(m.start) / time.Second)
	for m.window < window {
		m.reads.LastSecond = m.current
		m.window++
		m.current = m.waiting
		m.reads.Total += m.waiting
		m.updatePeak()
		if m.waiting == 0 && m.window < window {
			m.reads.LastSecond = 0
			m.window = window
		}
	}
}

// updatePeak records the count of this window if it is the highest. The caller
// holds mu.
func (m *meter) updatePeak() {
	m.reads.PeakPerSecond = max(m.reads.PeakPerSecond, m.current)
}

// allow counts a call and reports whether it is within the limit of this second. A
// refused call counts too, because it also costs the platform.
func (m *meter) allow(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.current++
	m.reads.Total++
	m.updatePeak()
	if m.current > m.limit {
		m.reads.Refused++
		return false
	}
	return true
}

// startWait counts a call as open until the returned function is called.
func (m *meter) startWait(now time.Time) (done func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.waiting++
	return func(end time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.advance(end)
		m.waiting--
	}
}

// snapshot returns the counters at now.
func (m *meter) snapshot(now time.Time) Reads {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return m.reads
}
