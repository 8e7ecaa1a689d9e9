package target

import (
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// Constants of the concurrency limit of a target.
const (
	// creditDivisor bounds the share of the ramp that one success can earn to
	// 1/creditDivisor, so that one answer after a long silence does not count as the
	// whole ramp.
	creditShare = 8
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
	credit time.Duration
	earned time.Time
	// reduction is the number of slots by which sheds lowered the limit.
	cut   float64
	cutAt time.Time
	// slots is the number of slots that the limit was last computed for.
	atSlots int
}

// restart begins a cold start.
func (r *ramp) restart(now time.Time) {
	*r = ramp{cold: true, earned: now, atSlots: r.atSlots}
}

// resize keeps the limit when a ticket adds slots, because the target has not shown
// yet that it can handle them.
func (r *ramp) resize(slots int) {
	if r.atSlots > 0 && slots > r.atSlots {
		r.cut += float64(slots - r.atSlots)
	}
	r.atSlots = slots
	r.cut = min(r.cut, float64(slots-1))
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
	return max(1, int(float64(slots)-s.ramp.cut))
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
func (h *Holder) succeed(s *state, now time.Time) {
	r := &s.ramp
	if !r.cold {
		r.cut = max(0, r.cut-1/float64(max(1, h.limit(s))))
		return
	}
	full := h.rampTime()
	r.credit += min(now.Sub(r.earned), full/creditShare)
	r.earned = now
	if r.credit < full {
		return
	}
	r.cold = false
	r.cut = 0
	s.doubt = nil
	r.atSlots = s.doc.Slots
	s.eject.trial = false
	h.report(event.TargetWarm, s, "%d slots", s.doc.Slots)
}

// reduceLimit lowers the limit after the target shed a request.
func (h *Holder) shed(s *state, now time.Time) {
	r := &s.ramp
	if now.Sub(r.cutAt) < shedPause {
		return
	}
	r.cutAt = now
	if r.cold {
		r.credit /= 2
		return
	}
	slots := float64(s.doc.Slots)
	r.cut = min(slots-1, slots-(slots-r.cut)*shedFactor)
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
		h.report(event.TargetCold, s, "%s, %d of %d slots", reason, h.limit(s), s.doc.Slots)
	}
}

func sprintf(format string, args ...any) string {
	return fmt.Sprintf(format, args...)
}
