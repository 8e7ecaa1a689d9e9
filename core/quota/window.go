package quota

import "time"

// WindowedLimit returns the token bucket limit for a limit that is defined per
// window: at most rate × window + burst requests in each window, plus a tolerated
// overage, given as a fraction of that number. The burst is available again in
// each window, so it is added to the rate. The bucket's own burst uses half of the
// overage; the other half is left for VMs that briefly disagree about the limit.
func WindowedLimit(l Limit, window time.Duration, overage float64) Limit {
	w := window.Seconds()
	allowed := l.Rate*w + l.Burst
	return Limit{
		Rate:  l.Rate + l.Burst/w,
		Burst: max(1, min(l.Burst, allowed*overage/2)),
	}
}
