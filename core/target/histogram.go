package target

import (
	"math"
	"time"
)

const (
	// histogramBins is the number of bins of a histogram; with binRatio they cover the
	// range from firstBin to about 100 s.
	histogramBins = 48
	firstBin      = time.Millisecond
	// binRatio is the ratio of the upper to the lower bound of a bin.
	binRatio = 1.28
	// histogramMemory is the number of answers after which the weight of the older ones
	// is halved.
	histogramMemory = 400
	// assumedMean is the mean time of a route that has had no answers yet.
	assumedMean = 300 * time.Millisecond
	// assumedWeight is the number of answers that the assumed distribution counts as.
	assumedWeight = 8
	// minTailShare is the share of answers of healthy targets that may take any time.
	minTailShare = 0.003
)

// latencyHistogram is the distribution of the times until an answer begins, for the
// requests of one route at healthy targets.
type latencyHistogram struct {
	bins  [histogramBins]float64
	total float64
	// above holds for each bin the number of answers in higher bins; it is recomputed
	// when stale.
	above [histogramBins]float64
	stale bool
}

func binOf(d time.Duration) int {
	if d <= firstBin {
		return 0
	}
	bin := int(math.Log(float64(d)/float64(firstBin)) / math.Log(binRatio))
	return min(bin, histogramBins-1)
}

// add records the time of one answer.
func (t *latencyHistogram) add(d time.Duration) {
	if t.total >= histogramMemory {
		for i := range t.bins {
			t.bins[i] /= 2
		}
		t.total /= 2
	}
	t.bins[binOf(d)]++
	t.total++
	t.stale = true
}

// shareAbove returns the share of answers that take longer than d.
func (t *latencyHistogram) shareAbove(d time.Duration) float64 {
	sum := assumedWeight * math.Exp(-float64(max(d, 0))/float64(assumedMean))
	total := float64(assumedWeight)
	if t != nil {
		t.refresh()
		bin := binOf(d)
		sum += t.above[bin] + t.bins[bin]/2
		total += t.total
	}
	return max(minTailShare, min(1, sum/total))
}

// mean returns the mean time until an answer begins.
func (t *latencyHistogram) mean() time.Duration {
	if t == nil || t.total == 0 {
		return assumedMean
	}
	sum, lower := 0.0, float64(firstBin)
	for _, n := range t.bins {
		sum += n * lower * (1 + binRatio) / 2
		lower *= binRatio
	}
	return time.Duration(sum / t.total)
}

// refresh recomputes above.
func (t *latencyHistogram) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	sum := 0.0
	for i := histogramBins - 1; i >= 0; i-- {
		t.above[i] = sum
		sum += t.bins[i]
	}
}
