package target

import (
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// Constants of ejection.
const (
	// ejectDwell is how long the evidence must persist before an ejection. When the
	// whole service turns slow, the other targets show it within this time.
	ejectDwell = 700 * time.Millisecond
	// ejectTime is the length of a first ejection. It doubles with each further one.
	ejectTime = 5 * time.Second
	// ejectMax bounds the length of an ejection.
	ejectMax = 60 * time.Second
	// ejectReset is the time without an ejection after which the length starts over at
	// ejectTime.
	ejectReset = 2 * time.Minute
	// refusedEventPause is the shortest time between two events about an ejection that
	// the floor forbids.
	refusedEventPause = 5 * time.Second
)

// ejection is the ejection state of a target.
type ejection struct {
	// active is true while the target is ejected.
	active bool
	// probation is true after the target returned from an ejection and until its
	// cold-start ramp ends.
	probation bool
	// until is when the ejection ends, last when the last one began, and count the
	// number of ejections since the last reset.
	until time.Time
	last  time.Time
	count int
	// refusedAt is when the floor last forbade an ejection.
	refusedAt time.Time
}

// Tick ends takeovers, permits and ejections that are due, and ejects targets. The
// caller calls it at least every 100 ms. InContact reports whether this VM
// is in contact with the given one.
func (h *Holder) Tick(now time.Time, inContact func(vm string) bool) {
	h.endTakeover(now, inContact)
	h.expire(now)
	if h.placesByHealth() {
		return
	}
	h.refreshBaseline(now)
	h.observeInFlight(now, inContact)
	for _, s := range h.targets {
		s.score.decay(now)
		s.dropOldPaths(now)
		h.endExpiredEjection(s, now)
	}
	h.enforceFloor(now)
	if !h.takeover.ready {
		return
	}
	for _, s := range h.targets {
		h.evaluate(s, now)
	}
}

// evaluate puts an outlier whose evidence has persisted for ejectDwell back to its
// cold limit, and ejects it unless the floor forbids that.
func (h *Holder) evaluate(s *state, now time.Time) {
	if !s.open || s.eject.active || s.score.outlierSince.IsZero() {
		return
	}
	common, worse := h.compareWithOthers(s)
	if common {
		// The dwell time starts over, so that a target is not ejected only because it
		// recovers a little later than the others.
		s.score.value = outlierScore
		s.score.outlierSince = now
		return
	}
	if !worse || now.Sub(s.score.outlierSince) < ejectDwell {
		return
	}
	if !s.ramp.cold {
		h.turnCold(s, now, "outlier")
	}
	if h.defect != DefectFloor && !h.mayEject(s) {
		h.refuseEjection(s, now)
		return
	}
	h.ejectNow(s, now)
}

func (h *Holder) ejectNow(s *state, now time.Time) {
	e := &s.eject
	if now.Sub(e.last) > ejectReset {
		e.count = 0
	}
	length := min(ejectTime<<min(e.count, 8), ejectMax)
	e.count++
	e.active = true
	e.probation = false
	e.last = now
	e.until = now.Add(length)
	h.emitEvent(event.TargetEjected, s, "outlier score %.1f, share of bad outcomes %.0f%%, ejected for %d ms",
		s.score.value, 100*s.score.badShare, length.Milliseconds())
}

// refuseEjection emits an event about an ejection that the floor forbids.
func (h *Holder) refuseEjection(s *state, now time.Time) {
	if now.Sub(s.eject.refusedAt) < refusedEventPause {
		return
	}
	s.eject.refusedAt = now
	h.emitEvent(event.EjectionRefused, s, "%d slots are ejected and %d cold, at most %d may be",
		h.ejectedSlots(), h.coldSlots(nil), h.view.EjectableSlots)
}

// mayEject reports whether the floor allows the ejection of s.
func (h *Holder) mayEject(s *state) bool {
	others := 0
	for _, o := range h.targets {
		if o != s && o.open && !o.eject.active {
			others++
		}
	}
	used := h.ejectedSlots() + h.coldSlots(func(o *state) bool { return o != s })
	return others > 0 && used+s.doc.Slots <= h.view.EjectableSlots
}

func (h *Holder) ejectedSlots() int {
	sum := 0
	for _, s := range h.targets {
		if s.eject.active && s.open {
			sum += s.doc.Slots
		}
	}
	return sum
}

// coldSlots returns the slots of the open targets in cold start for which counts
// returns true; nil counts all.
func (h *Holder) coldSlots(counts func(*state) bool) int {
	sum := 0
	for _, s := range h.targets {
		if s.open && s.ramp.cold && !s.eject.active && (counts == nil || counts(s)) {
			sum += s.doc.Slots
		}
	}
	return sum
}

// endExpiredEjection returns a target to service when its ejection has ended. It
// starts cold and with half of the score of an outlier, so that the trial costs few
// requests if the target is still bad.
func (h *Holder) endExpiredEjection(s *state, now time.Time) {
	if s.eject.active && !now.Before(s.eject.until) {
		h.returnTarget(s, now, "ejection expired")
	}
}

// returnTarget ends the ejection of s and starts its cold start.
func (h *Holder) returnTarget(s *state, now time.Time, reason string) {
	s.eject.active = false
	s.eject.probation = true
	s.score.value = outlierScore / 2
	s.score.outlierSince = time.Time{}
	h.turnCold(s, now, reason)
	h.emitEvent(event.TargetReturned, s, "%s, %d of %d slots", reason, h.limit(s), s.doc.Slots)
}

// clearEjection resets the ejection and the evidence of a target that returned to
// service.
func (h *Holder) clearEjection(s *state) {
	s.eject = ejection{}
	s.score = score{}
	s.paths = map[string]*path{}
}

// enforceFloor ends ejections, lowest outlier score first, when other targets turned
// cold and the floor no longer allows all ejections. Cold targets on probation are
// not counted: otherwise the end of one ejection would end the next.
func (h *Holder) enforceFloor(now time.Time) {
	if h.defect == DefectFloor {
		return
	}
	for {
		other := h.coldSlots(func(s *state) bool { return !s.eject.probation })
		if h.ejectedSlots() <= max(0, h.view.EjectableSlots-other) {
			return
		}
		s := h.ejectedWithLowestScore()
		if s == nil {
			return
		}
		h.returnTarget(s, now, "floor")
	}
}

// ejectedWithLowestScore returns the ejected target with the lowest outlier score,
// nil when none is ejected.
func (h *Holder) ejectedWithLowestScore() *state {
	var best *state
	for _, s := range h.targets {
		if !s.eject.active || !s.open {
			continue
		}
		if best == nil || s.score.value < best.score.value {
			best = s
		}
	}
	return best
}
