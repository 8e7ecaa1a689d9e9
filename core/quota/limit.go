// Package quota implements fleet-wide rate limits for workspaces. It provides the
// token bucket that the holder of a shard keeps for a workspace, the division of
// scarce tokens between entry VMs, and the token cache of an entry VM.
//
// The package reads no clock and does no I/O: time is passed in, and nothing
// blocks. Its types are not safe for concurrent use.
package quota

import (
	"math"
	"time"
)

// MaxLifetime is the longest lifetime of a token.
const MaxLifetime = 500 * time.Millisecond

// MinLifetime is the shortest lifetime of a token. A token must outlive a round
// trip between failure domains and the scheduling delays of two VMs.
const MinLifetime = 10 * time.Millisecond

// ClockDrift is the ratio by which the speeds of two clocks may differ. An entry
// VM shortens a token's lifetime by this ratio.
const ClockDrift = 1.02

// Limit is the rate limit that a ticket sets for a workspace.
type Limit struct {
	// Rate is in tokens per second over the whole fleet.
	Rate float64
	// Burst is in tokens over the whole fleet.
	Burst float64
}

// BucketParams are the bucket parameters with which a holder enforces a Limit,
// although tokens are used later than they are issued.
type BucketParams struct {
	// Lifetime is the time from the issue of a token to its last use.
	Lifetime time.Duration
	// Depth is the number of tokens in a full bucket.
	Depth float64
	// Refill is the refill rate in tokens per second. It is below the limit's rate
	// only when the burst is too small for the lifetime.
	Refill float64
}

// BucketParams returns lifetime, depth and refill for l. At most
// Depth + Refill × (t + Lifetime) tokens are used in a window of length t, and
// this number, rounded down, is at most Burst + Rate × t.
func (l Limit) BucketParams() BucketParams {
	lifetime := min(MaxLifetime, time.Duration(l.Burst/(2*l.Rate)*float64(time.Second)))
	lifetime = max(lifetime, MinLifetime)
	seconds := lifetime.Seconds()
	p := BucketParams{Lifetime: lifetime, Depth: max(1, l.Burst-l.Rate*seconds)}
	// The smallest whole number of tokens above the burst has the shortest window,
	// so a refill rate that respects the limit there respects it in all windows.
	first := math.Floor(l.Burst) + 1
	p.Refill = min(l.Rate, (first-p.Depth)/(seconds+(first-l.Burst)/l.Rate))
	return p
}

// overshoot returns the number of tokens by which Depth + Refill × Lifetime
// exceeds the burst. It is positive only for bursts so small that the limit holds
// only because tokens are whole.
func (p BucketParams) overshoot(l Limit) float64 {
	return max(0, p.Depth+p.Refill*p.Lifetime.Seconds()-l.Burst)
}

// Grants describes the grants that a holder has for its lease.
type Grants struct {
	// Count is the number of valid grants, the holder's own included.
	Count int
	// Members is the number of members among which rates are divided.
	Members int
	// Exclusive is true when a quorum of members granted the lease.
	Exclusive bool
	// Epoch changes each time the lease is acquired anew.
	Epoch uint64
}

// Fraction returns the part of each rate that the holder may issue, between 0 and
// 1. Each grant contributes reserved/Members; the remainder, 1 − reserved, belongs
// to the exclusive holder. The fractions of all holders add up to at most 1.
func (g Grants) Fraction(reserved float64) float64 {
	if g.Members <= 0 || g.Count <= 0 {
		return 0
	}
	contributed := reserved * min(1, float64(g.Count)/float64(g.Members))
	if g.Exclusive {
		return 1 - reserved + contributed
	}
	return contributed
}
