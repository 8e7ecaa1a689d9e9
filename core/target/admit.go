package target

import "time"

const (
	// maxWaitFactor bounds the wait of a request, as a multiple of its due delay.
	maxWaitFactor = 2
	// answerTimeFactor is how many mean answer times are reserved before the latency
	// objective, so that most answers meet it and not only half of them.
	answerTimeFactor = 1.5
	// minTimelyWait is the timely wait (the longest one with which an answer can still
	// meet the latency objective) below which the objective is ignored: nearly no answer
	// could meet it.
	minTimelyWait = 30 * time.Millisecond
	// maxBurst is how long requests may arrive faster than they are served before the
	// queue counts as standing. A shorter burst is served late rather than refused.
	maxBurst = 800 * time.Millisecond
	// standingEndShare is the share of the timely wait to which the wait in the queue
	// must fall before the queue no longer counts as standing.
	standingEndShare = 0.25
	// timelyWaitWeight sets the weight of the newest request in the moving average of
	// the timely wait, as 1/timelyWaitWeight.
	timelyWaitWeight = 16
)

// WaitRequest describes a request that may have to wait in the queue of a group.
type WaitRequest struct {
	// DueAfter is the time after its arrival by which the request should have a slot.
	DueAfter time.Duration
	// Objective is the time left until the latency objective of the route; 0 when the
	// route has none.
	Objective time.Duration
	// Wait is the longest wait that the caller allows, Hold the time until its deadline.
	Wait, Hold time.Duration
}

// Admission decides which requests may wait for a slot, and for how long. It handles
// two kinds of load. In a burst all requests may wait up to twice their due delay and
// are served late. Under lasting overload a long queue would make all answers late
// without serving more of them; then a request may wait only as long as its answer
// can still meet the latency objective.
type Admission struct {
	rate serviceRate
	// timelyWait is the moving average of the longest wait with which a request can
	// still meet its latency objective. The queue is compared with this average and not
	// with single requests, because routes differ widely.
	timelyWait time.Duration
	// standingSince is when the expected wait of the whole queue rose above timelyWait;
	// zero once it has fallen to standingEndShare of it.
	standingSince time.Time
}

// RecordGrant records that a waiting request got a slot. Waiting is true when others
// still wait.
func (a *Admission) RecordGrant(waiting bool, now time.Time) {
	a.rate.recordGrant(waiting, now)
}

// GrantInterval returns the mean time between two grants while requests wait.
func (a *Admission) GrantInterval() time.Duration {
	return a.rate.interval
}

// Admit decides whether a request may wait. Queued is the number of requests that
// already wait, ahead the number of those that are due before it, and answer the mean
// answer time of its route. If ok, the request may wait until deadline. Expected is
// its expected wait.
func (a *Admission) Admit(w WaitRequest, ahead, queued int, answer time.Duration, now time.Time) (deadline time.Time, expected time.Duration, ok bool) {
	if queued > 0 {
		expected = a.rate.expectedWait(ahead+1, now)
	}
	timely := w.Objective - time.Duration(answerTimeFactor*float64(answer))
	bound, longest := w.DueAfter, maxWaitFactor*w.DueAfter
	if timely >= minTimelyWait && a.isStanding(timely, queued, now) {
		bound, longest = min(bound, timely), min(longest, timely)
	}
	longest = min(longest, w.Wait, w.Hold-answer)
	return now.Add(longest), expected, expected <= bound && expected < longest
}

// isStanding reports whether the queue has been too long for timely answers for
// longer than maxBurst.
func (a *Admission) isStanding(timely time.Duration, queued int, now time.Time) bool {
	if a.timelyWait == 0 {
		a.timelyWait = timely
	}
	a.timelyWait += (timely - a.timelyWait) / timelyWaitWeight
	wait := a.rate.expectedWait(queued+1, now)
	switch {
	case queued == 0 || float64(wait) <= standingEndShare*float64(a.timelyWait):
		a.standingSince = time.Time{}
	case a.standingSince.IsZero() && wait > a.timelyWait:
		a.standingSince = now
	}
	return !a.standingSince.IsZero() && now.Sub(a.standingSince) >= maxBurst
}
