package quota

import "time"

// Window is how a platform measures rate limits: at most rate × Length + burst
// requests of a workspace in each window of this length, plus a tolerance.
type Window struct {
	// Length is the length of the window.
	Length time.Duration
	// Overage is the tolerated excess as a fraction of what the window allows, and
	// Slack is a tolerated number of requests in addition.
	Overage, Slack float64
}

// Limit returns the token bucket limit for l as measured by the window. The burst of l
// is available again in each window, so it is added to the rate. The bucket's own burst
// uses half of the tolerance: without it, two requests that a small workspace sends at
// once would not both get a token. The other half is left for VMs that briefly disagree
// about the limit.
func (w Window) Limit(l Limit) Limit {
	seconds := w.Length.Seconds()
	allowed := l.Rate*seconds + l.Burst
	return Limit{
		Rate:  l.Rate + l.Burst/seconds,
		Burst: max(1, min(l.Burst, allowed*w.Overage/2)+w.Slack/2),
	}
}
