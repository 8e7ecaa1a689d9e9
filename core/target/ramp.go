package target

import (
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// Constants of the concurrency limit of a target.
const (
	// creditDivisor bounds the share of the ramp that one success can earn to
	// 1/creditDivisor, so that one answer after a long idle time does not count as the
	// whole ramp.
	creditDivisor = 8
	// shedFactor is the multiplicative decrease of the limit after a shed.
	shedFactor = 0.7
	// shedPause is the shortest time between two decreases. The requests that were in
	// flight at the first one are shed for the same reason.
	shedPause = 200 * time.Millisecond
)

// ramp is the concurrency limit of a target.
type ramp struct {
	cold bool
	// credit is the part of the ramp time that successes have earned, creditedAt when
	// the last of them was recorded.
	credit     time.Duration
	creditedAt time.Time
	// reduction is the number of slots by which sheds, and slots that a ticket added,
	// hold the limit below the target's slots.
	reduction float64
	reducedAt time.Time
	// slots is the target's number of slots when it last turned warm or was resized; 0
	// before that.
	slots int
}

// restart begins a cold start.
func (r *ramp) restart(now time.Time) {
	*r = ramp{cold: true, creditedAt: now, slots: r.slots}
}

// resize keeps the limit when a ticket adds slots, because the target has not shown
// yet that it can handle them.
func (r *ramp) resize(slots int) {
	if r.slots > 0 && slots > r.slots {
		r.reduction += float64(slots - r.slots)
	}
	r.slots = slots
	r.reduction = min(r.reduction, float64(slots-1))
}

// limit returns the number of requests that s may run at once.
func (h *Holder) limit(s *state) int {
	slots := s.doc.Slots
	if h.defect == DefectCold {
		return slots
	}
	if s.ramp.cold {
		return min(h.coldLimit(s), slots)
	}
	return max(1, int(float64(slots)-s.ramp.reduction))
}

// coldLimit returns the limit of a target in cold start.
func (h *Holder) coldLimit(s *state) int {
	start := min(h.view.Service.ColdSlots, s.doc.Slots)
	full := h.rampTime()
	if full <= 0 {
		return start
	}
	grown := float64(s.doc.Slots-start) * float64(s.ramp.credit) / float64(full)
	return start + int(grown)
}

func (h *Holder) rampTime() time.Duration {
	return time.Duration(h.view.Service.ColdRampMs) * time.Millisecond
}

// growLimit raises the limit after a normal answer, and ends the cold start when the
// ramp is complete.
func (h *Holder) growLimit(s *state, now time.Time) {
	r := &s.ramp
	if !r.cold {
		r.reduction = max(0, r.reduction-1/float64(max(1, h.limit(s))))
		return
	}
	full := h.rampTime()
	r.credit += min(now.Sub(r.creditedAt), full/creditDivisor)
	r.creditedAt = now
	if r.credit < full {
		return
	}
	r.cold = false
	r.reduction = 0
	s.suspectedRestart = nil
	r.slots = s.doc.Slots
	s.eject.probation = false
	h.emitEvent(event.TargetWarm, s, "%d slots", s.doc.Slots)
}

// reduceLimit lowers the limit after the target shed a request.
func (h *Holder) reduceLimit(s *state, now time.Time) {
	r := &s.ramp
	if now.Sub(r.reducedAt) < shedPause {
		return
	}
	r.reducedAt = now
	if r.cold {
		r.credit /= 2
		return
	}
	slots := float64(s.doc.Slots)
	r.reduction = min(slots-1, slots-(slots-r.reduction)*shedFactor)
}

// turnCold puts s back to the start of its ramp.
func (h *Holder) turnCold(s *state, now time.Time, reason string) {
	if !h.takeover.ready {
		// Reports that arrive during the takeover may have been built before this.
		h.takeover.cold[s.doc.ID] = true
	}
	wasCold := s.ramp.cold
	s.ramp.restart(now)
	if !wasCold {
		h.emitEvent(event.TargetCold, s, "%s, %d of %d slots", reason, h.limit(s), s.doc.Slots)
	}
}

func sprintf(format string, args ...any) string {
	return fmt.Sprintf(format, args...)
}
