package target

import "time"

// Constants that keep a service placed by health estimates above its floor.
const (
	// failureWindow is the time over which failed requests are counted.
	troubleWindow = 2 * time.Second
	// failureShareLimit is the share of failed requests above which each target has to
	// be used: half of the 10% at which the floor of a service is required.
	troubleShare = 0.05
	// unusedIdempotent is the time without a request after which a target gets the next
	// idempotent request while many requests fail, and unusedAny the next request of any
	// kind. The floor counts the targets that got a request within the last 2 s.
	unusedFor  = 1200 * time.Millisecond
	unusedLong = 1600 * time.Millisecond
	// floorGain ranks a target that the floor requires before all others.
	unusedGain = 2
	// floorMargin is added to the floor. Below the sum non-idempotent requests go to
	// unused targets too.
	floorMargin = 0.1
)

// Kinds of outcomes in the window.
const (
	endedWell = iota
	endedBadly
)

// failureCounter counts the outcomes of the group's requests in the last
// failureWindow.
type trouble struct{ window }

func newTrouble() trouble {
	return trouble{window{length: troubleWindow}}
}

// record records the end of one request.
func (t *trouble) ended(failed bool, now time.Time) {
	kind := endedWell
	if failed {
		kind = endedBadly
	}
	t.count(kind, now)
}

// aboveLimit reports whether so many requests fail that the floor is required.
func (t *trouble) present(now time.Time) bool {
	succeeded, failed := t.sums(now)
	return float64(failed) > troubleShare*float64(succeeded+failed)
}

// RecordRefusal records a request that got no permit.
func (h *Holder) Refused(now time.Time) {
	h.trouble.ended(true, now)
}

// recordOutcome records how a request at a target ended. A canceled request is no
// evidence, and a request that the target did not run is retried on another one.
func (h *Holder) endedWith(o Outcome, now time.Time) {
	switch o {
	case Canceled, Unused, Shed:
		return
	}
	h.trouble.ended(o != OK, now)
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
		if now.Sub(s.belief.trialAt) < unusedLong {
			used++
		}
	}
	floor := float64(h.view.Service.FloorPercent)/100 + floorMargin
	return float64(used) < floor*float64(open)
}

// requiredByFloor reports whether s has to get the request: requests of the group
// fail, and s had none for so long that the service would fall below its floor. It
// covers loads at which many targets are estimated as gray, some of them wrongly.
func (h *Holder) mustUse(s *state, a Acquire, now time.Time) bool {
	unused := now.Sub(s.belief.trialAt)
	if a.Second || unused < unusedFor || !h.trouble.present(now) {
		return false
	}
	return a.Idempotent || unused >= unusedLong && h.belowFloor(now)
}
