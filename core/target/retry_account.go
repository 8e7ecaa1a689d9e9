package target

import "time"

// RepeatWait is the longest time after the start of a new holder for which its first requests
// pay for no repeats.
const RepeatWait = growthBuckets * accountBucket

const (
	// accountBucket is the resolution of the times of a retryAccount. It exceeds the
	// interval at which the share of a lease is observed, so that a debt covers a change
	// that is observed late.
	accountBucket = 500 * time.Millisecond
	// debtBuckets makes a debt last for repeatWindow and one to two buckets.
	debtBuckets = repeatWindow/accountBucket + 2
	// creditBuckets makes a credit last for 2 to 2.5 s. Simulated overload, half of the
	// requests shed for 8.5 s, lost up to 4% more requests with 0.5 to 1 s, and none with
	// 2 s. A new holder earns nothing for as long, so it should be short.
	creditBuckets = 5
	// growthBuckets makes a growth of the part last as long as any credit.
	growthBuckets = creditBuckets + 1
	// rounding allows for the rounding of sums of amounts, in repeats.
	rounding = 1e-9
)

// retryAccount is the part of a retry budget that one holder of a group may spend.
//
// Each first request earns the share of the budget. It repays debts, and what is left is
// a credit that expires soon. Each repeat uses a credit, or else is a debt that expires
// after repeatWindow. The debts may not exceed the holder's part of the reserve.
//
// A former holder may just have spent its part of the reserve and its credits. Therefore
// whatever the part grows by, from 0 for a new holder, starts as a debt, and earns
// nothing for as long as credits last. docs/design.md, section 10, has the bound.
type retryAccount struct {
	budget FleetRetryBudget
	// start is when the holder was created.
	start time.Time
	// debts and credits are in repeats.
	debts   expiringSum
	credits expiringSum
	// growth is by how much part grew lately. First requests earn nothing for that much of it.
	growth expiringSum
	// part is the part of the reserve that belongs to this holder, 0 to 1.
	part float64
	// requests counts the requests of the last repeatWindow by kind.
	requests window
	// ignoresPredecessor is true in a test that injects DefectRetryBudget.
	ignoresPredecessor bool
}

// Kinds of requests in retryAccount.requests.
const (
	firstRequest = iota
	repeatedRequest
)

func newRetryAccount(budget FleetRetryBudget, now time.Time) retryAccount {
	return retryAccount{
		budget:   budget,
		start:    now,
		debts:    newExpiringSum(int(debtBuckets), now),
		credits:  newExpiringSum(creditBuckets, now),
		growth:   newExpiringSum(growthBuckets, now),
		requests: window{length: repeatWindow},
	}
}

// limit returns the highest total debt, in repeats, for a part of the reserve, 0 to 1.
func (r *retryAccount) limit(part float64) float64 {
	return part * r.budget.Reserve
}

// setPart sets the part of the reserve, 0 to 1, that belongs to this holder. What the limit
// grows by is a debt at first.
func (r *retryAccount) setPart(part float64, now time.Time) {
	if part > r.part && !r.ignoresPredecessor {
		former := 0.0
		if r.part > 0 {
			former = r.limit(r.part)
		}
		r.debts.add(r.limit(part)-former, now)
		r.growth.add(part-r.part, now)
	}
	r.part = part
}

// recordRepeat records a repeat that got a target.
func (r *retryAccount) recordRepeat(now time.Time) {
	r.requests.add(repeatedRequest, 1, now)
	r.debts.add(1-r.credits.takeOldest(1, now), now)
}

// recordFirst records a first request that got a target, and returns what it earned,
// in repeats. The part must be set.
func (r *retryAccount) recordFirst(now time.Time) (earned float64) {
	r.requests.add(firstRequest, 1, now)
	young := min(1, r.growth.sum(now)/r.part)
	earned = r.budget.Share * (1 - young)
	// The newest debts are repaid first, because the oldest will expire soon.
	r.credits.add(earned-r.debts.takeNewest(earned, now), now)
	return earned
}

// revokeFirst takes back what a first request earned that did not reach its target: the next
// attempt is recorded as a first request again.
func (r *retryAccount) revokeFirst(earned float64, now time.Time) {
	r.requests.add(firstRequest, -1, now)
	r.debts.add(earned-r.credits.takeOldest(earned, now), now)
}

// allows reports whether one more repeat is within the given share, 0 to 1, of the budget
// of the last repeatWindow, and within what this account has left.
func (r *retryAccount) allows(budgetShare float64, now time.Time) bool {
	limit := r.limit(r.part)
	if limit-r.debts.sum(now)+r.credits.sum(now) < 1-rounding {
		return false
	}
	first, repeated := r.requests.sums(now)
	budget := r.budget.Share * float64(first)
	if r.ignoresPredecessor || now.Sub(r.start) >= repeatWindow {
		budget += limit
	}
	return float64(repeated+1) <= budgetShare*budget+rounding
}

// expiringSum is a sum of amounts that expire.
type expiringSum struct {
	// start is the beginning of bucket 0. Times are compared with it on the monotonic clock, so
	// that a step of the wall clock expires nothing.
	start time.Time
	// amounts holds the amounts by the accountBucket in which they were added, a ring.
	amounts []float64
	// bucket is the number of the newest bucket, counted from start.
	bucket int64
}

// newExpiringSum returns a sum whose amounts expire after n-1 to n buckets.
func newExpiringSum(n int, now time.Time) expiringSum {
	return expiringSum{start: now, amounts: make([]float64, n)}
}

// advance removes the amounts that have expired and returns the index of the current
// bucket.
func (e *expiringSum) advance(now time.Time) int {
	n := int64(len(e.amounts))
	bucket := int64(now.Sub(e.start) / accountBucket)
	for steps := int64(0); e.bucket < bucket && steps < n; steps++ {
		e.bucket++
		e.amounts[e.bucket%n] = 0
	}
	if e.bucket < bucket {
		e.bucket = bucket
	}
	return int(e.bucket % n)
}

// sum returns the total.
func (e *expiringSum) sum(now time.Time) float64 {
	e.advance(now)
	total := 0.0
	for _, a := range e.amounts {
		total += a
	}
	return total
}

// add adds an amount.
func (e *expiringSum) add(amount float64, now time.Time) {
	e.amounts[e.advance(now)] += amount
}

// takeNewest removes at most the given amount, the newest first, and returns what it
// removed.
func (e *expiringSum) takeNewest(amount float64, now time.Time) float64 {
	n, current, left := len(e.amounts), e.advance(now), amount
	for i := range n {
		left -= e.takeFrom((current+n-i)%n, left)
	}
	return amount - left
}

// takeOldest removes at most the given amount, the oldest first, and returns what it
// removed.
func (e *expiringSum) takeOldest(amount float64, now time.Time) float64 {
	n, current, left := len(e.amounts), e.advance(now), amount
	for i := range n {
		left -= e.takeFrom((current+1+i)%n, left)
	}
	return amount - left
}

// takeFrom removes at most the given amount from one bucket and returns what it removed.
func (e *expiringSum) takeFrom(bucket int, amount float64) float64 {
	taken := min(amount, e.amounts[bucket])
	e.amounts[bucket] -= taken
	return taken
}
