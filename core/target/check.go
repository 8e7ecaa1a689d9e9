package target

import (
	"github.com/galenasail/galenasail/core/invariant"
)

// Check verifies the invariants `floor`, `cold`, `leaving` and `domain`. It counts the
// permits and slots in use itself instead of using the counters of the holder; which
// targets are cold or ejected is the state of the holder.
type Check struct {
	// Reporter receives violations.
	Reporter invariant.Reporter
}

// Granted checks a permit that was just issued. Settled is the view of the newest
// ticket that the VM has had for at least 3 s, newest that of the latest ticket. A
// target counts as closed when it is closed in both, because a ticket that opens it
// again takes effect at once.
func (c Check) Granted(h *Holder, g Grant, settled, newest *View) {
	s := h.find(g.Target)
	if s == nil {
		return
	}
	running := 0
	for _, p := range h.permits {
		if p.target.doc.ID == g.Target {
			running++
		}
	}
	subject := h.view.Service.Name + "/" + g.Target
	if s.ramp.cold && running > min(h.coldLimit(s), s.doc.Slots) {
		c.Reporter.Violated(invariant.Cold, subject, sprintf("%d permits in use on a cold target with limit %d", running, h.coldLimit(s)))
	}
	if running > s.doc.Slots && !h.placesByHealth() {
		c.Reporter.Violated(invariant.Cold, subject, sprintf("%d permits in use on %d slots", running, s.doc.Slots))
	}
	c.checkOpen(settled, newest, g.Target, subject)
}

// checkOpen checks that the target was not closed when a permit for it was issued.
func (c Check) checkOpen(settled, newest *View, id, subject string) {
	if settled == nil || newest == nil {
		return
	}
	doc, ok := settled.Find(id)
	if !ok {
		return
	}
	now, ok := newest.Find(id)
	if !ok {
		return
	}
	if settled.OutDomains[doc.FailureDomain] && newest.OutDomains[now.FailureDomain] {
		c.Reporter.Violated(invariant.Domain, subject, sprintf("permit issued although failure domain %s is out since ticket %d", doc.FailureDomain, settled.Ticket))
	}
	if !IsOpen(doc, nil) && !IsOpen(now, nil) {
		c.Reporter.Violated(invariant.Leaving, subject, sprintf("permit issued although the target is draining since ticket %d", settled.Ticket))
	}
}

// Floor checks the ejections of the group against the slots that it may eject.
func (c Check) Floor(h *Holder) {
	ejected := 0
	for _, s := range h.targets {
		if s.eject.active && IsOpen(s.doc, h.view.OutDomains) {
			ejected += s.doc.Slots
		}
	}
	if ejected > h.view.EjectableSlots {
		c.Reporter.Violated(invariant.Floor, h.view.Group.Name, sprintf("%d slots ejected, %d allowed", ejected, h.view.EjectableSlots))
	}
}

func (h *Holder) find(id string) *state {
	for _, s := range h.targets {
		if s.doc.ID == id {
			return s
		}
	}
	return nil
}

// Status is the state of one target for operators and tests.
type Status struct {
	// Target is the ID of the target.
	Target string
	// InUse is the number of permits in use.
	InUse int
	// Limit is the number of permits allowed at once.
	Limit int
	// Cold, Ejected and Open are true when the target is in cold start, is ejected, or
	// may get new requests by configuration.
	Cold, Ejected, Open bool
	// Score is the outlier score of the target; 9 makes it an outlier.
	Score float64
}

// Status returns the state of all targets of the group.
func (h *Holder) Status() []Status {
	all := make([]Status, 0, len(h.targets))
	for _, s := range h.targets {
		limit := h.limit(s)
		if h.placesByHealth() && s.capacity.limit > 0 {
			limit = min(limit, s.capacity.limit)
		}
		all = append(all, Status{
			Target: s.doc.ID, InUse: s.inUse, Limit: limit,
			Cold: s.ramp.cold, Ejected: s.eject.active, Open: s.open, Score: s.score.value,
		})
	}
	return all
}
