package pool

import (
	"slices"
	"sync"
	"time"
)

const (
	// medianWindow is the number of most recent answers that the median covers.
	medianWindow = 31
	// medianMinSamples is the number of answers required for a median.
	medianMinSamples = 5
)

// median is the moving median latency of a service as seen by this VM.
type median struct {
	mu      sync.Mutex
	samples [medianWindow]time.Duration
	count   int
	// cached is the median of samples while cacheValid is set.
	cached     time.Duration
	cacheValid bool
}

// add records the latency of a complete answer.
func (m *median) add(latency time.Duration) {
	if latency <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples[m.count%medianWindow] = latency
	m.count++
	m.cacheValid = false
}

// value returns the median; 0 when there are too few answers.
func (m *median) value() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count < medianMinSamples {
		return 0
	}
	if !m.cacheValid {
		sorted := m.samples
		n := min(m.count, medianWindow)
		slices.Sort(sorted[:n])
		m.cached = sorted[n/2]
		m.cacheValid = true
	}
	return m.cached
}

// baseline returns the median latency of a service.
func (p *Pool) baseline(service string) *median {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	m := p.entry.baselines[service]
	if m == nil {
		m = &median{}
		p.entry.baselines[service] = m
	}
	return m
}
