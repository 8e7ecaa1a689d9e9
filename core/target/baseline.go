package target

import (
	"math"
	"time"
)

// baselineAge is how long the median latency that a caller sent is used.
const baselineAge = 5 * time.Second

// baseline is the median latency of the service as its callers measure it.
type baseline struct {
	callers map[string]callerMedian
	// value is the median over the callers; 0 while none is known.
	value time.Duration
}

type callerMedian struct {
	latency time.Duration
	at      time.Time
}

// RecordBaseline records a caller's median latency over the whole service; 0 means
// that the caller has too few samples and changes nothing.
func (h *Holder) RecordBaseline(vm string, latency time.Duration, now time.Time) {
	if latency <= 0 {
		return
	}
	if h.baseline.callers == nil {
		h.baseline.callers = map[string]callerMedian{}
	}
	h.baseline.callers[vm] = callerMedian{latency, now}
}

// refreshBaseline recomputes the median latency of the service. Without medians of
// callers it is the median over the targets of the group.
func (h *Holder) refreshBaseline(now time.Time) {
	var values []float64
	for vm, m := range h.baseline.callers {
		if now.Sub(m.at) > baselineAge {
			delete(h.baseline.callers, vm)
			continue
		}
		values = append(values, float64(m.latency))
	}
	if len(values) == 0 {
		values = h.typicalLatencies()
	}
	h.baseline.value = time.Duration(lowerMedian(values))
}

// typicalLatencies returns the typical latency in ns of each target with enough
// samples, none for fewer than two such targets.
func (h *Holder) typicalLatencies() []float64 {
	var values []float64
	for _, s := range h.targets {
		if s.score.samples >= minSamples {
			values = append(values, math.Exp(s.score.logLatency))
		}
	}
	if len(values) < 2 {
		return nil
	}
	return values
}
