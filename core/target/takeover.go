package target

import (
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// ReportWait is how long a new holder waits for reports of the VMs in contact.
const ReportWait = 500 * time.Millisecond

// HeldPermit is a permit in use that an entry VM reports.
type HeldPermit struct {
	// Permit is the identifier of the permit.
	Permit uint64
	// Target is the ID of the target.
	Target string
	// Remaining is the time until the permit's deadline.
	Remaining time.Duration
}

// PermitReport is what an entry VM sends to a new holder.
type PermitReport struct {
	// Caller is the entry VM.
	Caller Caller
	// Generation numbers the reports of the entry VM about the group.
	Generation uint32
	// Ticket is the ticket that is in effect at the entry VM.
	Ticket uint64
	// Permits lists all permits that the VM holds for targets of the group.
	Permits []HeldPermit
	// Warm lists the targets that were warm in the last response of a holder.
	Warm []string
	// WarmKnown is true when Warm is recent: a target missing from it is cold.
	WarmKnown bool
}

// takeover collects the reports of the entry VMs for a new lease.
type takeover struct {
	// started is when the lease began.
	started time.Time
	// ready is true once the takeover has ended and permits may be issued.
	ready bool
	// reported holds the newest ticket that each VM has reported.
	reported map[string]uint64
	// warm and cold hold the IDs of targets that at least one report lists as warm or
	// implies to be cold.
	warm map[string]bool
	cold map[string]bool
}

// unreportedPermits describes permits of other holders that this holder may not have
// learned of.
type unreportedPermits struct {
	// until is when the last of them ends; zero when there are none.
	until time.Time
	// ticket is the lowest ticket at which a report of a VM lists all its permits for the
	// target.
	ticket uint64
}

func (t *takeover) begin(now time.Time) {
	t.started = now
	t.reported = map[string]uint64{}
	t.warm = map[string]bool{}
	t.cold = map[string]bool{}
}

// Ready reports whether the takeover has ended.
func (h *Holder) Ready() bool {
	return h.takeover.ready
}

// Reported reports whether the VM has sent a report for this lease.
func (h *Holder) Reported(vm string) bool {
	_, ok := h.takeover.reported[vm]
	return ok
}

// RecordReport adopts the permits that an entry VM holds and records which targets it
// knows to be warm.
func (h *Holder) RecordReport(r PermitReport, now time.Time) {
	for _, held := range r.Permits {
		h.adopt(r.Caller, held, now)
	}
	h.reclaim(r)
	t := &h.takeover
	t.reported[r.Caller.VM] = max(r.Ticket, t.reported[r.Caller.VM])
	if t.ready || !r.WarmKnown {
		return
	}
	warm := map[string]bool{}
	for _, id := range r.Warm {
		warm[id] = true
		t.warm[id] = true
	}
	for _, s := range h.targets {
		if !warm[s.doc.ID] {
			t.cold[s.doc.ID] = true
		}
	}
}

// adopt records a permit that an earlier holder issued.
func (h *Holder) adopt(c Caller, held HeldPermit, now time.Time) {
	key := permitKey{c.Instance, held.Permit}
	_, known := h.permits[key]
	_, ended := h.ended[key]
	if known || ended {
		return
	}
	for _, s := range h.targets {
		if s.doc.ID != held.Target {
			continue
		}
		deadline := now.Add(h.holdWithMargin(held.Remaining))
		h.permits[key] = &permit{target: s, vm: c.VM, issuedAt: now, deadline: deadline, mayIdle: true, adopted: true}
		s.inUse++
		s.running[key] = h.permits[key]
		return
	}
}

// reclaim ends the permits that the caller does not have because the response that
// carried them was lost. The caller does not use permits that it requested before it
// built the report.
func (h *Holder) reclaim(r PermitReport) {
	listed := make(map[uint64]bool, len(r.Permits))
	for _, held := range r.Permits {
		listed[held.Permit] = true
	}
	for key, p := range h.permits {
		if key.instance == r.Caller.Instance && p.generation < r.Generation && !listed[key.id] {
			h.removePermit(key, p)
		}
	}
}

// endTakeover ends the takeover when each VM in contact has reported or ReportWait is
// over, and at once with placement by health estimates. A target is warm when a recent
// report lists it as warm and none contradicts it.
func (h *Holder) endTakeover(now time.Time, inContact func(vm string) bool) {
	t := &h.takeover
	if t.ready {
		return
	}
	if now.Sub(t.started) < ReportWait && h.awaitsReport(inContact) && !h.placesByHealth() {
		return
	}
	t.ready = true
	warm := 0
	for _, s := range h.targets {
		id := s.doc.ID
		if t.warm[id] && !t.cold[id] {
			s.ramp.cold = false
			s.ramp.slots = s.doc.Slots
			warm++
		}
	}
	detail := sprintf("%d of %d VMs reported, %d permits in use, %d of %d targets warm, after %d ms",
		len(t.reported), len(h.members), len(h.permits), warm, len(h.targets), now.Sub(t.started).Milliseconds())
	h.emit(Event{Kind: event.GroupReady, Subject: h.view.Group.Name, Detail: detail})
}

// awaitsReport reports whether a VM in contact has not reported yet.
func (h *Holder) awaitsReport(inContact func(vm string) bool) bool {
	for _, vm := range h.members {
		if !h.Reported(vm) && inContact(vm) {
			return true
		}
	}
	return false
}

// hasUnreportedPermits reports whether s gets no permits because permits that the
// holder does not know may use its slots. That applies to cold targets only: a warm
// target can handle the additional requests, a cold one may collapse.
func (h *Holder) hasUnreportedPermits(s *state, now time.Time) bool {
	if h.defect == DefectTakeover || !s.ramp.cold || s.unreported.until.IsZero() {
		return false
	}
	if !now.Before(s.unreported.until) || h.allReported(s.unreported.ticket) {
		s.unreported = unreportedPermits{}
		return false
	}
	return true
}

// allReported reports whether each VM has sent a report at the given ticket or a
// later one.
func (h *Holder) allReported(ticket uint64) bool {
	for _, vm := range h.members {
		at, ok := h.takeover.reported[vm]
		if !ok || at < ticket {
			return false
		}
	}
	return true
}
