package quota

import (
	"math"
	"slices"
	"time"
)

// Time constants of the two demand estimates. The smaller estimate is used: the
// short-term one drops soon after demand ends, and the long-term one does not
// mistake a spike for sustained demand, which would spend the burst on prefetched
// tokens.
const (
	shortDemandWindow = 200 * time.Millisecond
	longDemandWindow  = time.Second
)

// prefetchHorizon is the longest time for which tokens are prefetched. It covers
// many round trips; a longer horizon would waste more tokens when demand ends.
const prefetchHorizon = 100 * time.Millisecond

// scarcityPeriod is how long an entry VM stops prefetching after a response with
// fewer tokens than requested. A token that expires unused is lost capacity,
// because it still counts towards the rate.
const scarcityPeriod = time.Second

// Cache holds the tokens of one workspace at an entry VM.
type Cache struct {
	batches     []batch
	available   int
	lifetime    time.Duration
	shortDemand rateEstimate
	longDemand  rateEstimate
	// supplyRate is the number of tokens per second received while tokens are scarce.
	supplyRate   rateEstimate
	scarce       bool
	lastShortage time.Time
	totals       Totals
}

// Totals counts the tokens of a cache since its start.
type Totals struct {
	// Received is the number of tokens that arrived.
	Received uint64
	// Used is the number of tokens taken.
	Used uint64
	// Expired is the number of tokens that passed their deadline unused.
	Expired uint64
}

// Token is one token taken from a cache.
type Token struct {
	// Batch is the number of the response that delivered the token.
	Batch uint64
	// Deadline is when the token expires.
	Deadline time.Time
}

// batch holds the unused tokens of one response.
type batch struct {
	Token
	count int
}

// expired reports whether the tokens of the batch may no longer be used.
func (b batch) expired(now time.Time) bool {
	return !now.Before(b.Deadline)
}

// RecordDemand records the arrival of one request. It is called once for each
// request, before Take.
func (c *Cache) RecordDemand(now time.Time) {
	c.shortDemand.add(1, now, shortDemandWindow)
	c.longDemand.add(1, now, longDemandWindow)
}

// Take removes the token that expires first. The caller checks its deadline again
// right before it admits the request.
func (c *Cache) Take(now time.Time) (t Token, ok bool) {
	c.Expire(now)
	if c.available == 0 {
		return t, false
	}
	c.available--
	c.totals.Used++
	c.batches[0].count--
	t = c.batches[0].Token
	if c.batches[0].count == 0 {
		c.batches = slices.Delete(c.batches, 0, 1)
	}
	return t, true
}

// Return puts back a token that was taken but not used.
func (c *Cache) Return(t Token) {
	c.totals.Used--
	c.insert(batch{t, 1})
}

// HasToken reports whether Take would succeed.
func (c *Cache) HasToken(now time.Time) bool {
	c.Expire(now)
	return c.available > 0
}

// Expire drops the tokens whose deadline has passed.
func (c *Cache) Expire(now time.Time) {
	for len(c.batches) > 0 && c.batches[0].expired(now) {
		c.available -= c.batches[0].count
		c.totals.Expired += uint64(c.batches[0].count)
		c.batches = slices.Delete(c.batches, 0, 1)
	}
}

// Response is a holder's answer to a request for tokens.
type Response struct {
	// Batch is the number of the response.
	Batch uint64
	// Want is the number of tokens requested.
	Want int
	// Issued is the number of tokens received.
	Issued int
	// Sent is when the request was sent.
	Sent time.Time
	// Lifetime is counted from Sent, because the holder may have issued the tokens
	// at any time after that.
	Lifetime time.Duration
	// Rate is the rate of the workspace in tokens per second. It is the initial
	// estimate of the supply rate while tokens are scarce.
	Rate float64
}

// Receive adds the tokens of r.
func (c *Cache) Receive(r Response, now time.Time) {
	if r.Lifetime > 0 {
		c.lifetime = r.Lifetime
	}
	c.totals.Received += uint64(r.Issued)
	c.recordSupply(r.Want, r.Issued, r.Rate, now)
	if r.Issued > 0 {
		c.insert(batch{Token{r.Batch, r.Sent.Add(r.Lifetime)}, r.Issued})
	}
}

func (c *Cache) insert(added batch) {
	at, _ := slices.BinarySearchFunc(c.batches, added, func(a, b batch) int { return a.Deadline.Compare(b.Deadline) })
	c.batches = slices.Insert(c.batches, at, added)
	c.available += added.count
}

func (c *Cache) recordSupply(want, issued int, rate float64, now time.Time) {
	if issued >= want {
		c.scarce = c.scarce && now.Sub(c.lastShortage) < scarcityPeriod
	} else {
		if !c.scarce {
			c.supplyRate = rateEstimate{perSecond: rate, last: now}
		}
		c.scarce = true
		c.lastShortage = now
	}
	c.supplyRate.add(float64(issued), now, scarcityPeriod)
}

// Want returns how many tokens to request, given the number of waiting requests.
// It is 0 when the cache needs none.
func (c *Cache) Want(waiting int, now time.Time) int {
	c.Expire(now)
	prefetch := c.prefetchCount(now)
	if waiting == 0 && 2*c.available >= prefetch {
		return 0
	}
	return max(0, waiting+prefetch-c.available)
}

// prefetchCount returns the number of tokens that will very likely be used
// within the horizon: the expected number less one standard deviation.
func (c *Cache) prefetchCount(now time.Time) int {
	if c.scarce && now.Sub(c.lastShortage) < scarcityPeriod {
		return 0
	}
	horizon := min(c.lifetime/2, prefetchHorizon)
	demand := min(c.shortDemand.at(now, shortDemandWindow), c.longDemand.at(now, longDemandWindow))
	expected := demand * horizon.Seconds()
	return int(expected - math.Sqrt(expected))
}

// shortQueue is the number of waiting requests below which no wait is predicted.
// For so few tokens the supply rate is too uncertain a reason to refuse a request.
const shortQueue = 4

// ExpectedWait returns the expected wait of a request with the given number of
// requests ahead of it. It is 0 while the holder issues all tokens requested and
// while the queue is short.
func (c *Cache) ExpectedWait(ahead int, now time.Time) time.Duration {
	if ahead < shortQueue || !c.scarce || now.Sub(c.lastShortage) >= scarcityPeriod {
		return 0
	}
	rate := max(c.supplyRate.perSecond, minSupplyRate)
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// minSupplyRate is the lowest supply rate that ExpectedWait assumes, in tokens per
// second. It lets a request wait even when no tokens arrive, so that a new supply
// rate can be observed.
const minSupplyRate = 1.0

// Totals returns the counts since the start.
func (c *Cache) Totals() Totals {
	return c.totals
}

// Available returns the number of tokens, including expired ones that have not
// been removed yet.
func (c *Cache) Available() int {
	return c.available
}

// Usable returns the number of tokens that have not expired, and leaves the cache
// unchanged.
func (c *Cache) Usable(now time.Time) int {
	n := 0
	for _, b := range c.batches {
		if !b.expired(now) {
			n += b.count
		}
	}
	return n
}

// rateEstimate is an exponentially decaying estimate of events per second.
type rateEstimate struct {
	perSecond float64
	last      time.Time
}

func (r *rateEstimate) add(n float64, now time.Time, window time.Duration) {
	r.perSecond = r.at(now, window) + n/window.Seconds()
	r.last = now
}

func (r *rateEstimate) at(now time.Time, window time.Duration) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.last).Seconds()/window.Seconds())
}
