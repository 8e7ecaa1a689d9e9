package target

import "time"

// Constants that keep a service placed by health estimates above its floor.
const (
	// failureWindow is the time over which failed requests are counted.
	failureWindow = 2 * time.Second
	// failureShareLimit is the share of failed requests above which targets have to be
	// used to maintain the floor: half of the 10% of failed requests from which a
	// service has to stay above its floor.
	failureShareLimit = 0.05
	// floorFailureShare is the share of failed requests above which every target with a gray
	// probability below grayLimit gets requests, and not only as many targets as the floor
	// requires: the unused targets may be the healthy ones.
	floorFailureShare = 0.08
	// unreachableMemory is how long a VM that could not connect to a target gets no request
	// for it that the floor requires.
	unreachableMemory = 5 * time.Second
	// unusedIdempotent and unusedAny apply while the share of failed requests is above
	// failureShareLimit, or an entry VM reports failures (AcquireRequest.Failing). A target that had no request for unusedIdempotent gets the next
	// idempotent request. One that had none for unusedAny gets the next request of any
	// kind if the service is below its floor plus floorMargin, or as floorFailureShare says.
	// Both are below 2 s,
	// because the floor counts the targets that got a request within the last 2 s.
	unusedIdempotent = 1200 * time.Millisecond
	unusedAny        = 1600 * time.Millisecond
	// floorGain is subtracted from the expected loss of a target that the floor requires,
	// which ranks it before all others.
	floorGain = 2
	// floorMargin is added to the floor. While the share of targets in use is below the
	// sum, non-idempotent requests go to unused targets too.
	floorMargin = 0.1
)

// Kinds of outcomes in the window.
const (
	outcomeOK = iota
	outcomeFailed
)

// failureCounter counts the outcomes of the group's requests in the last
// failureWindow.
type failureCounter struct{ window }

func newFailureCounter() failureCounter {
	return failureCounter{window{length: failureWindow}}
}

// record records the end of one request.
func (c *failureCounter) record(failed bool, now time.Time) {
	kind := outcomeOK
	if failed {
		kind = outcomeFailed
	}
	c.count(kind, now)
}

// aboveLimit reports whether the share of failed requests is above failureShareLimit.
func (c *failureCounter) aboveLimit(now time.Time) bool {
	return c.exceeds(failureShareLimit, now)
}

// exceeds reports whether the share of failed requests is above limit.
func (c *failureCounter) exceeds(limit float64, now time.Time) bool {
	succeeded, failed := c.sums(now)
	return float64(failed) > limit*float64(succeeded+failed)
}

// ServiceFailures counts, on an entry VM, how the requests for a service ended for their
// callers. It includes requests that were refused before they reached a holder, which the
// holders' own counts lack. It is not safe for concurrent use.
type ServiceFailures struct{ failureCounter }

// NewServiceFailures returns a counter without requests.
func NewServiceFailures() *ServiceFailures {
	return &ServiceFailures{newFailureCounter()}
}

// Record records the end of one request.
func (f *ServiceFailures) Record(served bool, now time.Time) {
	f.record(!served, now)
}

// Failing reports whether so many requests are not served that the service has to stay above
// its floor.
func (f *ServiceFailures) Failing(now time.Time) bool {
	return f.exceeds(floorFailureShare, now)
}

// RecordRefusal records a request that got no permit.
func (h *Holder) RecordRefusal(now time.Time) {
	h.failures.record(true, now)
}

// recordOutcome records how a request at a target ended. A canceled request is no
// evidence, and a request that the target did not run is retried on another one.
func (h *Holder) recordOutcome(o Outcome, now time.Time) {
	switch o {
	case Canceled, Unused, Shed:
		return
	}
	h.failures.record(o != OK, now)
}

// belowFloor reports whether the share of open targets that got a request within
// unusedAny is below the floor of the service plus floorMargin.
func (h *Holder) belowFloor(now time.Time) bool {
	open, used := 0, 0
	for _, s := range h.targets {
		if !s.open {
			continue
		}
		open++
		if now.Sub(s.health.lastGrant) < unusedAny {
			used++
		}
	}
	floor := float64(h.view.Service.FloorPercent)/100 + floorMargin
	return float64(used) < floor*float64(open)
}

// requiredByFloor reports whether s, with the given gray probability, has to get the request:
// requests fail, and s had none for so long that the service would fall below its floor. It
// matters for loads at which many targets are estimated as gray, some of them wrongly. A
// request of a VM that could not reach the target would not arrive and is not required.
func (h *Holder) requiredByFloor(s *state, gray float64, a AcquireRequest, now time.Time) bool {
	unused := now.Sub(s.health.lastGrant)
	if a.Hedge || unused < unusedIdempotent || !a.Failing && !h.failures.aboveLimit(now) {
		return false
	}
	if now.Sub(s.health.unreachableAt[a.Caller.VM]) < unreachableMemory {
		return false
	}
	if a.Idempotent {
		return true
	}
	usable := gray < grayLimit && (a.Failing || h.failures.exceeds(floorFailureShare, now))
	return unused >= unusedAny && (usable || h.belowFloor(now))
}
