// Package overload decides what happens to requests while a service cannot serve all of
// them: which ones are repeated inside the fleet, when refused callers return, in which
// order the others get slots, and which workspaces exceed their usual demand.
//
// The package does no I/O: the caller passes the time and random numbers. Its types are
// not safe for concurrent use.
package overload

import "time"

const (
	// returnsInObjective is the number of returns of a refused caller that its latency
	// objective has room for.
	returnsInObjective = 4
	// returnsInDeadline divides the time until the deadline once the objective cannot be
	// met. Callers honour a delay of up to a third of the time that they have left.
	returnsInDeadline = 4
	// longestDelayShare is the share of the time until the deadline that a delay may take.
	longestDelayShare = 1.0 / 3
	// minRetryDelay is the shortest delay of a refused caller, several round trips.
	minRetryDelay = 30 * time.Millisecond
	// answerTimeMargin is how many mean answer times are reserved for an answer.
	answerTimeMargin = 1.25
)

// Request is what is known about a request that may be refused.
type Request struct {
	// Deadline is the time left until the deadline of the caller.
	Deadline time.Duration
	// Objective is the time left within the latency objective, 0 when there is none or it
	// has been missed.
	Objective time.Duration
	// Elapsed is the time since the caller first sent the request, as far as its deadline
	// shows.
	Elapsed time.Duration
	// ShowsReturns is true when the deadlines of the route show which callers return.
	ShowsReturns bool
	// Answer is the mean answer time of the route.
	Answer time.Duration
	// Rank orders requests by priority, 0 is the most urgent. See RankOf.
	Rank int
}

// workspaceRankStep is the number of ranks between two priorities of workspaces. The
// priority of the workspace takes precedence over that of the route.
const workspaceRankStep = 4

// RankOf returns the rank of a request by the priorities of its workspace and route.
func RankOf(workspacePriority, routePriority int) int {
	return workspaceRankStep*workspacePriority + min(routePriority, workspaceRankStep-1)
}

// margin returns the time that is reserved for the answer of r.
func (r Request) margin() time.Duration {
	return time.Duration(answerTimeMargin * float64(r.Answer))
}

// RetryDelay returns the time after which the caller of a request that a target shed
// should return. Sheds of different targets are independent, so an early return has as
// good a chance as a late one and may still meet the objective. Once that cannot be met,
// the delays grow with the elapsed time, so that the last ones outlast a short episode.
// Random is uniform in [0, 1) and spreads the delays of callers refused together.
func RetryDelay(r Request, random float64) time.Duration {
	delay := r.Objective / returnsInObjective
	if r.Objective <= 0 || r.Objective-delay < r.margin() {
		delay = r.Deadline / returnsInDeadline
		if r.Elapsed > 0 {
			delay = min(delay, r.Elapsed)
		}
	}
	return SpreadDelay(delay, r.Deadline, random)
}

// SpreadDelay returns a delay of 0.5 to 1.5 times the given one, within the limits that a
// caller with this time left until its deadline honours. Random is uniform in [0, 1).
func SpreadDelay(delay, deadline time.Duration, random float64) time.Duration {
	delay = time.Duration((0.5 + random) * float64(delay))
	longest := time.Duration(longestDelayShare * float64(deadline))
	return min(max(delay, minRetryDelay), max(longest, time.Millisecond))
}
