package quota

import "time"

// MaxGap is the longest time between two observations of a lease that is credited
// in full. A grantor keeps a grant at least 20 ms longer than the holder relies
// on it, so if a member's share was granted to another holder between two
// observations, that holder could use it for at least 20 ms less than the time
// between them.
const MaxGap = 20 * time.Millisecond

// FractionHistory is the history of the fraction of the rates that the holder of
// one lease may use. All buckets of the shard share it, so the cost of an
// observation does not depend on the number of buckets.
type FractionHistory struct {
	held  bool
	epoch uint64
	// before and after are the times between which the last observation was made.
	before time.Time
	after  time.Time
	// observed is the fraction at the last observation.
	observed float64
	// fraction is the smaller of the last two observed fractions.
	fraction float64
	// credit is the integral of the fraction over the lease, in seconds.
	credit float64
	// bounds holds the level bounds that no later one makes redundant.
	bounds []levelBound
}

// levelBound limits the level of all buckets at one observation: a bucket held at
// most max(0, depth × fraction − refill × missed) tokens at the given credit.
type levelBound struct {
	credit   float64
	fraction float64
	// missed is the time for which a share may have been granted to another holder
	// without being observed, multiplied by the fraction, in seconds.
	missed float64
}

// Observe records the fraction of the lease of the given epoch, which was read at
// some moment between before and after. The time between before and after earns
// no credit. A new epoch starts without credit.
func (h *FractionHistory) Observe(before, after time.Time, epoch uint64, fraction float64) {
	if !h.held || h.epoch != epoch {
		*h = FractionHistory{held: true, epoch: epoch, observed: fraction, bounds: h.bounds[:0]}
		h.before, h.after, h.fraction = before, after, fraction
		h.addBound(levelBound{fraction: fraction})
		return
	}
	h.fraction = min(h.observed, fraction)
	h.observed = fraction
	if gap := min(before.Sub(h.after), MaxGap); gap > 0 {
		h.credit += gap.Seconds() * h.fraction
	}
	l := levelBound{credit: h.credit, fraction: h.fraction}
	if missed := before.Sub(h.before) - MaxGap; missed > 0 {
		l.missed = missed.Seconds() * h.fraction
	}
	h.before, h.after = before, after
	h.addBound(l)
}

func (h *FractionHistory) addBound(l levelBound) {
	n := len(h.bounds)
	for n > 0 && l.supersedes(h.bounds[n-1]) {
		n--
	}
	h.bounds = append(h.bounds[:n], l)
}

// supersedes reports whether l is at least as strict as the earlier bound o for
// every bucket.
func (l levelBound) supersedes(o levelBound) bool {
	return l.fraction <= o.fraction && l.credit+l.missed >= o.credit+o.missed
}

// MarkLost records that the lease is not held.
func (h *FractionHistory) MarkLost() {
	h.held = false
}

// Held reports whether the lease was held at the last observation.
func (h *FractionHistory) Held() bool {
	return h.held
}

// Fraction returns the fraction of each rate that the holder may use now.
func (h *FractionHistory) Fraction() float64 {
	return h.fraction
}

// refilledLevel returns the current level of a bucket that had the given level at
// an earlier credit and issued no tokens since. The bucket refilled, and each time
// the fraction fell it lost the tokens above the smaller depth.
func (h *FractionHistory) refilledLevel(level, credit, refill, depth float64) float64 {
	level += refill * (h.credit - credit)
	for i := len(h.bounds) - 1; i >= 0 && h.bounds[i].credit >= credit; i-- {
		l := h.bounds[i]
		bound := max(0, depth*l.fraction-refill*l.missed)
		level = min(level, bound+refill*(h.credit-l.credit))
	}
	return level
}
