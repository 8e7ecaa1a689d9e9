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
type Fill struct {
	held   bool
	epoch  uint64
	before time.Time
	after  time.Time
	// observed is the fraction at the last observation.
	seen float64
	// fraction is the smaller of the last two observed fractions.
	fraction float64
	// credit is the integral of the fraction over the lease, in seconds.
	credit float64
	// bounds holds the level bounds that no later one makes redundant.
	lows []low
}

// levelBound limits the level of all buckets at one observation: a bucket held at
// most max(0, depth × fraction − refill × missed) tokens at the given credit.
type low struct {
	credit   float64
	fraction float64
	// missed is the time for which a share may have been granted to another holder
	// without being observed, multiplied by the fraction, in seconds.
	missed float64
}

// Observe records the fraction of the lease of the given epoch, which was read at
// some moment between before and after. The time between before and after earns
// no credit. A new epoch starts without credit.
func (f *Fill) Observe(before, after time.Time, epoch uint64, fraction float64) {
	if !f.held || f.epoch != epoch {
		*f = Fill{held: true, epoch: epoch, seen: fraction, lows: f.lows[:0]}
		f.before, f.after, f.fraction = before, after, fraction
		f.push(low{fraction: fraction})
		return
	}
	f.fraction = min(f.seen, fraction)
	f.seen = fraction
	if gap := min(before.Sub(f.after), MaxGap); gap > 0 {
		f.credit += gap.Seconds() * f.fraction
	}
	l := low{credit: f.credit, fraction: f.fraction}
	if missed := before.Sub(f.before) - MaxGap; missed > 0 {
		l.missed = missed.Seconds() * f.fraction
	}
	f.before, f.after = before, after
	f.push(l)
}

func (f *Fill) push(l low) {
	n := len(f.lows)
	for n > 0 && l.covers(f.lows[n-1]) {
		n--
	}
	f.lows = append(f.lows[:n], l)
}

// supersedes reports whether l is at least as strict as the earlier bound o for
// every bucket.
func (l low) covers(o low) bool {
	return l.fraction <= o.fraction && l.credit+l.missed >= o.credit+o.missed
}

// MarkLost records that the lease is not held.
func (f *Fill) Lose() {
	f.held = false
}

// Held reports whether the lease was held at the last observation.
func (f *Fill) Held() bool {
	return f.held
}

// Fraction returns the fraction of each rate that the holder may use now.
func (f *Fill) Fraction() float64 {
	return f.fraction
}

// refilledLevel returns the current level of a bucket that had the given level at
// an earlier credit and issued no tokens since. The bucket refilled, and each time
// the fraction fell it lost the tokens above the smaller depth.
func (f *Fill) level(level, credit, refill, depth float64) float64 {
	level += refill * (f.credit - credit)
	for i := len(f.lows) - 1; i >= 0 && f.lows[i].credit >= credit; i-- {
		l := f.lows[i]
		bound := max(0, depth*l.fraction-refill*l.missed)
		level = min(level, bound+refill*(f.credit-l.credit))
	}
	return level
}
