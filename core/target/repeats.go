package target

import "time"

// repeatWindow is the time over which repeats are counted.
const repeatWindow = 10 * time.Second

// FleetRetryBudget bounds the repeated requests to a service: retries and hedged
// attempts of requests of which an earlier attempt may have reached a target. The
// holders of the service's groups count them over all VMs in each window of 10 s, also
// when holders change. It applies to services with placement by health estimates. The
// zero value sets no bound.
type FleetRetryBudget struct {
	// Share is the number of repeats allowed for each first request.
	Share float64
	// Reserve is the number of repeats allowed in addition, without first requests.
	Reserve float64
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
	if h.retries.budget == (FleetRetryBudget{}) {
		return true
	}
	h.retries.setPart(h.reservePart(), now)
	return h.retries.allows(budgetShare, now)
}

// countRequest counts a request that got a target, and whether it is a repeat.
func (h *Holder) countRequest(p *permit, repeated bool, now time.Time) {
	if h.retries.budget == (FleetRetryBudget{}) {
		return
	}
	h.retries.setPart(h.reservePart(), now)
	if repeated {
		h.retries.recordRepeat(now)
		return
	}
	p.first = true
	p.earned = h.retries.recordFirst(now)
}

// discountRequest takes back the count of a first request that did not reach its target. A
// repeat stays counted.
func (h *Holder) discountRequest(p *permit, o Outcome, now time.Time) {
	if p.first && (o == Unreachable || o == Unused) {
		p.first = false
		h.retries.revokeFirst(p.earned, now)
	}
}

// reservePart returns the part of the reserve of the retry budget that belongs to this
// holder.
func (h *Holder) reservePart() float64 {
	return h.share() / float64(max(1, h.view.GroupCount))
}
