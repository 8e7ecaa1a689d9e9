package quota

import (
	"math"
	"time"
)

// Bucket is the token bucket of one workspace at the holder of its shard. A
// missing bucket is equivalent to one that has issued no tokens during the
// current lease, so a holder keeps buckets only for workspaces in use.
type Bucket struct {
	limit  Limit
	params BucketParams
	// refill is the refill rate in effect, in tokens per second.
	refill float64
	// raiseAt is when a higher refill rate takes effect; zero when none is pending.
	raiseAt time.Time
	epoch   uint64
	// credit is the credit of the FractionHistory at the last Advance, in seconds.
	credit float64
	// level is the number of tokens in the bucket.
	level float64
	// lastTakeCredit is the value of credit when a token was last taken.
	lastTakeCredit float64
}

// NewBucket returns the bucket of a workspace for which no tokens were issued
// during the lease. Call Advance before the first Take.
func NewBucket(h *FractionHistory, l Limit) *Bucket {
	p := l.BucketParams()
	return &Bucket{limit: l, params: p, refill: p.Refill, epoch: h.epoch}
}

// Advance refills the bucket up to the last observation of h and then applies
// l. A lower rate or burst takes effect immediately. A higher rate takes effect
// after MaxLifetime, because tokens issued earlier may still be used until then.
// A higher burst raises the capacity of the bucket but adds no tokens.
func (b *Bucket) Advance(h *FractionHistory, l Limit) {
	if b.epoch != h.epoch {
		b.epoch, b.credit, b.level, b.lastTakeCredit = h.epoch, 0, 0, 0
	}
	b.level = h.refilledLevel(b.level, b.credit, b.refill, b.params.Depth)
	b.credit = h.credit
	if !b.raiseAt.IsZero() && !h.before.Before(b.raiseAt) {
		b.refill, b.raiseAt = b.params.Refill, time.Time{}
	}
	if l != b.limit {
		b.applyLimit(l, h.after)
	}
	b.level = min(b.level, b.params.Depth*h.fraction)
}

func (b *Bucket) applyLimit(l Limit, now time.Time) {
	b.level -= b.params.overshoot(b.limit)
	b.limit, b.params = l, l.BucketParams()
	if b.params.Refill > b.refill {
		b.raiseAt = now.Add(MaxLifetime)
		return
	}
	b.refill, b.raiseAt = b.params.Refill, time.Time{}
}

// Take removes up to want tokens and returns the number removed.
func (b *Bucket) Take(want int) int {
	n := min(float64(want), math.Floor(b.level))
	if n <= 0 {
		return 0
	}
	b.level -= n
	b.lastTakeCredit = b.credit
	return int(n)
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level() float64 {
	return b.level
}

// LevelAt returns the number of tokens that the bucket holds after Advance with the same
// arguments, and leaves the bucket unchanged.
func (b *Bucket) LevelAt(h *FractionHistory, l Limit) float64 {
	advanced := *b
	advanced.Advance(h, l)
	return advanced.level
}

// Lifetime returns how long a token is valid after it is issued.
func (b *Bucket) Lifetime() time.Duration {
	return b.params.Lifetime
}

// Refill returns the refill rate in tokens per second, scaled by the fraction of
// h.
func (b *Bucket) Refill(h *FractionHistory) float64 {
	return b.refill * h.fraction
}

// MoreThanHalfLeft reports whether more than half of the depth remains after want
// tokens are taken. In that case tokens need not be divided by demand: tokens
// held back would be lost once the bucket is full.
func (b *Bucket) MoreThanHalfLeft(h *FractionHistory, want int) bool {
	return b.level-float64(want) > b.params.Depth*h.fraction/2
}

// TimeUntilToken returns the time until the bucket holds one token, or
// MaxLifetime when the fraction is too small for it ever to hold one.
func (b *Bucket) TimeUntilToken(h *FractionHistory) time.Duration {
	refill := b.Refill(h)
	if refill <= 0 || b.params.Depth*h.fraction < 1 {
		return MaxLifetime
	}
	return time.Duration(max(0, 1-b.level) / refill * float64(time.Second))
}

// CanDrop reports whether the bucket can be dropped and recreated later without
// a difference: it holds as many tokens as a new bucket would, and the refill
// since its last token amounts to at least the full burst. Without the second
// condition, a ticket applied after the drop could give the new bucket a depth
// to which the old one had not refilled.
func (b *Bucket) CanDrop(h *FractionHistory) bool {
	if !b.raiseAt.IsZero() || b.epoch != h.epoch {
		return false
	}
	unused := b.refill * (h.credit - b.lastTakeCredit)
	return unused >= b.limit.Burst*h.fraction && b.level >= h.refilledLevel(0, 0, b.refill, b.params.Depth)
}

// Meter checks issued tokens against a limit independently of a Bucket.
type Meter struct {
	limit Limit
	// bound is the largest excess that the limit allows, in tokens.
	bound  float64
	last   time.Time
	excess float64
}

// meterTolerance allows for floating-point rounding, in tokens.
const meterTolerance = 1e-6

// Add records n tokens issued at now, and the limit l that applies from now on.
// It returns the largest excess of the tokens issued over rate × window, taken
// over all windows that end now. Ok is false when the excess is larger than the
// burst and the token lifetime allow.
func (m *Meter) Add(n int, l Limit, now time.Time) (excess float64, ok bool) {
	if now.After(m.last) {
		m.excess = max(0, m.excess-m.limit.Rate*now.Sub(m.last).Seconds())
		m.last = now
	}
	if l != m.limit {
		m.applyLimit(l)
	}
	m.excess += float64(n)
	return m.excess, m.excess <= m.bound+meterTolerance
}

// applyLimit switches to a new limit. Tokens that were within a larger earlier
// depth are not held against a smaller one: the difference of the depths is
// subtracted from the excess.
func (m *Meter) applyLimit(l Limit) {
	bound := l.BucketParams().Depth
	m.excess = max(0, m.excess-max(0, m.bound-bound))
	m.limit, m.bound = l, bound
}
