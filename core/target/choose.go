package target

import (
	"maps"
	"slices"
	"time"
)

// AcquireRequest is a request for a permit.
type AcquireRequest struct {
	// Caller is the entry VM.
	Caller Caller
	// Hold is the longest time that the permit will be in use.
	Hold time.Duration
	// Avoid lists the IDs of targets that must not be selected.
	Avoid []string
	// Generation is the number of reports that the caller had started to build when it
	// sent this request.
	Generation uint32
	// Route is the name of the request's route. Idempotent is true when the request may
	// run more than once, Hedge when it is a hedged attempt, started while an earlier
	// attempt is still pending.
	Route      string
	Idempotent bool
	Hedge      bool
	// Overdue is true when the request has waited beyond its due time.
	Overdue bool
	// Repeat is true when an earlier attempt of the request may have reached a target.
	Repeat bool
	// Failing is true when many requests for the service are not served, as the entry VM
	// sees it.
	Failing bool
	// Domain is the failure domain of the entry VM.
	Domain string
	// MayIdle is true when the caller may keep the permit unused for a while.
	MayIdle bool
}

// Grant is a permit that the holder issued.
type Grant struct {
	// Permit identifies the permit for the caller.
	Permit uint64
	// Target is the ID of the target to use.
	Target string
	// Cold is true when the target is in cold start.
	Cold bool
	// HedgeAfter is the age of the request at which a hedged attempt should start, 0 for
	// never.
	HedgeAfter time.Duration
}

// outlierCost ranks outliers behind all other targets.
const outlierCost = 10

// Acquire selects a target according to the service's placement and issues a permit
// for it. Ok is false when no target may get the request now.
func (h *Holder) Acquire(a AcquireRequest, now time.Time) (g Grant, ok bool) {
	h.lastSeen[a.Caller.VM] = now
	s := h.place(a, now)
	if s == nil {
		return Grant{}, false
	}
	h.lastID++
	p := &permit{
		target:     s,
		generation: a.Generation,
		vm:         a.Caller.VM,
		route:      a.Route,
		issuedAt:   now,

		previousGrant: s.health.lastGrant,
		deadline:      now.Add(h.holdWithMargin(min(a.Hold, h.view.LongestHold))),
		mayIdle:       a.MayIdle,
	}
	h.permits[permitKey{a.Caller.Instance, h.lastID}] = p
	if h.placesByHealth() && a.Idempotent {
		g.HedgeAfter = h.hedgeAfter(s, a.Caller.VM, a.Route, now)
	}
	h.noteGrant(s, p, now)
	s.inUse++
	s.lastGrant = now
	s.running[permitKey{a.Caller.Instance, h.lastID}] = p
	s.health.recordGrant(now)
	h.countRequest(p, a.Repeat, now)
	g.Permit, g.Target, g.Cold = h.lastID, s.doc.ID, s.ramp.cold
	return g, true
}

// place chooses a target by the placement of the service.
func (h *Holder) place(a AcquireRequest, now time.Time) *state {
	if h.placesByHealth() {
		return h.chooseByHealth(a, now)
	}
	return h.chooseLeastLoaded(a, now)
}

// chooseLeastLoaded returns the usable target with the lowest cost, and among equal
// ones the one that was granted least recently.
func (h *Holder) chooseLeastLoaded(a AcquireRequest, now time.Time) *state {
	var best *state
	var bestCost float64
	for _, s := range h.targets {
		if !h.usable(s, now) || s.inUse >= h.limit(s) {
			continue
		}
		if slices.Contains(a.Avoid, s.doc.ID) || s.avoids(a.Caller.VM, now) {
			continue
		}
		cost := h.cost(s)
		better := best == nil || cost < bestCost || (cost == bestCost && s.lastGrant.Before(best.lastGrant))
		if better {
			best, bestCost = s, cost
		}
	}
	return best
}

// cost is the load of s, with outliers ranked last. The new request is not included
// in the load, so that an idle cold target competes with idle warm ones; otherwise,
// at low load, it would never get the requests that warm it.
func (h *Holder) cost(s *state) float64 {
	load := float64(s.inUse) / float64(h.limit(s))
	if s.score.value >= outlierScore {
		load += outlierCost
	}
	return load
}

// usable reports whether s may get permits at all.
func (h *Holder) usable(s *state, now time.Time) bool {
	if h.placesByHealth() {
		return s.open
	}
	if !h.takeover.ready {
		return false
	}
	if h.defect == DefectLeaving {
		return !s.eject.active
	}
	return s.open && !s.eject.active && !h.hasUnreportedPermits(s, now)
}

// Release ends permits. All outcomes of one permit come in the same call. Unknown
// permits are ignored: they have expired or belong to another lease.
func (h *Holder) Release(c Caller, releases []Release, now time.Time) {
	h.lastSeen[c.VM] = now
	for _, r := range releases {
		p, ok := h.permits[permitKey{c.Instance, r.Permit}]
		if ok {
			h.observe(p, r, now)
			h.discountRequest(p, r.Outcome, now)
		}
	}
	for _, r := range releases {
		key := permitKey{c.Instance, r.Permit}
		h.ended[key] = now
		if p, ok := h.permits[key]; ok {
			h.removePermit(key, p)
		}
	}
}

func (h *Holder) removePermit(key permitKey, p *permit) {
	delete(h.permits, key)
	delete(p.target.running, key)
	p.target.inUse--
	if h.defect == DefectSlots {
		p.target.inUse--
	}
}

// endedMemory is how long after a release a report may arrive that was built before
// it. Such a report must not make the holder adopt the released permit again.
const endedMemory = 3 * time.Second

// expire removes permits that were not released before their deadline.
func (h *Holder) expire(now time.Time) {
	maps.DeleteFunc(h.ended, func(_ permitKey, at time.Time) bool { return now.Sub(at) > endedMemory })
	for key, p := range h.permits {
		if now.After(p.deadline) {
			h.removePermit(key, p)
		}
	}
}
