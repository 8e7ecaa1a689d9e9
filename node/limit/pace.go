package limit

import (
	"math"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the least time between two reads of the metrics of the runtime.
	sampleInterval = time.Millisecond
	// maxPause bounds the delay of one request by the pacer.
	maxPause = 50 * time.Millisecond
	// pressureShare is the share of the memory limit from which requests are delayed while the
	// heap is above the collector's goal.
	pressureShare = 0.9
)

// Names of the metrics of the runtime.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricGoal     = "/gc/heap/goal:bytes"
)

// pacer delays requests while the garbage collector is behind and the memory limit of the
// runtime is nearly reached. The limit is soft: a flood of small requests allocates faster
// than a collection on a busy machine ends.
type pacer struct {
	limit      uint64 // 0 without a limit
	nextSample atomic.Int64
	behind     atomic.Bool
}

// processStart is the origin of the times in pacer.
var processStart = time.Now()

// newPacer returns a pacer for the memory limit that is set now.
func newPacer() *pacer {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return &pacer{}
	}
	return &pacer{limit: uint64(float64(limit) * pressureShare)}
}

// wait returns when the collector is not behind, at the latest after maxPause.
func (p *pacer) wait() {
	if p.limit == 0 || !p.sample() {
		return
	}
	for began := time.Now(); time.Since(began) < maxPause; {
		time.Sleep(sampleInterval)
		if !p.sample() {
			return
		}
	}
}

// sample reports whether the collector was behind at the last sample, and takes a new one when
// it is due.
func (p *pacer) sample() bool {
	now, next := int64(time.Since(processStart)), p.nextSample.Load()
	if now >= next && p.nextSample.CompareAndSwap(next, now+int64(sampleInterval)) {
		p.behind.Store(isBehind(p.limit))
	}
	return p.behind.Load()
}

// isBehind reports whether the memory of the runtime is above limit and the heap is above the
// collector's goal.
func isBehind(limit uint64) bool {
	s := [...]metrics.Sample{{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricGoal}}
	metrics.Read(s[:])
	return s[0].Value.Uint64()-s[1].Value.Uint64() > limit && s[2].Value.Uint64() > s[3].Value.Uint64()
}
