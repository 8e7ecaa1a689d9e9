package target

import "time"

// repeatWindow is the time over which repeats are counted.
const repeatWindow = 10 * time.Second

// Kinds of requests in the window.
const (
	firstRequest = iota
	repeatedRequest
)

// FleetRetryBudget bounds the repeated requests to a service: retries and hedged
// attempts of requests of which an earlier attempt may have reached a target. The
// holders of the service's groups count them over all VMs in each window of 10 s. It
// applies to services with placement by health estimates. The zero value sets no bound.
type FleetRetryBudget struct {
	// Share is the number of repeats allowed for each first request.
	Share float64
	// Reserve is the number of repeats allowed in addition, without first requests.
	Reserve float64
}

// repeatCounter counts first and repeated requests in the last repeatWindow.
type repeatCounter struct{ window }

func newRepeatCounter() repeatCounter {
	return repeatCounter{window{length: repeatWindow}}
}

// record records one request.
func (r *repeatCounter) record(repeated bool, now time.Time) {
	kind := firstRequest
	if repeated {
		kind = repeatedRequest
	}
	r.count(kind, now)
}

// allows reports whether one more repeat is within the budget, with the given part of
// the reserve.
func (r *repeatCounter) allows(budget FleetRetryBudget, reserveShare float64, now time.Time) bool {
	first, repeated := r.sums(now)
	return float64(repeated+1) <= budget.Share*float64(first)+budget.Reserve*reserveShare
}

// MayRepeat reports whether the group may get another repeated request. The reserve
// of a service is divided among its groups and, in a network partition, by the share
// that SetShare set.
func (h *Holder) MayRepeat(now time.Time) bool {
	return h.MayRepeatWithin(1, now)
}

// MayRepeatWithin reports whether the group may get another repeated request when only
// the given share of the budget, 0 to 1, may be used. The rest is kept for others.
func (h *Holder) MayRepeatWithin(budgetShare float64, now time.Time) bool {
	if h.retryBudget == (FleetRetryBudget{}) {
		return true
	}
	budget := FleetRetryBudget{Share: h.retryBudget.Share * budgetShare, Reserve: h.retryBudget.Reserve * budgetShare}
	reserveShare := h.share() / float64(max(1, h.view.GroupCount))
	if h.overloadControl && now.Sub(h.takeover.started) < repeatWindow {
		// The former holder may have spent the reserve in the same window.
		reserveShare = 0
	}
	return h.repeats.allows(budget, reserveShare, now)
}
