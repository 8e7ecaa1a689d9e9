package overload

import "time"

const (
	// progressShare is the share of the slots for requests that are served before their
	// turn because they have waited longest.
	progressShare = 0.1
	// excessRank is added to the rank of a request in excess of the usual demand of its
	// workspace: it ranks as if its workspace had the next lower priority.
	excessRank = workspaceRankStep
	// excessDueFactor is the number of due delays added to that of a request in excess.
	excessDueFactor = 2
	// minDueShare is the share of the due delay that remains for a request whose caller
	// has been refused before.
	minDueShare = 0.1
	// longestWaitShare is the share of the time until the deadline that a request may
	// wait for a slot, so that a request refused after it can return.
	longestWaitShare = 1.0 / 3
)

// Order decides in which order the requests to a target group get slots, beyond their
// due times. The zero value is ready for use.
type Order struct {
	demand Demand
	// nextProgress is when the next request may be served before its turn.
	nextProgress time.Time
	// excess counts the requests in excess of the usual demand of their workspaces.
	excess uint64
}

// Arrival is a request that arrives at a group.
type Arrival struct {
	// Workspace is the ID of the workspace, empty for none.
	Workspace string
	// Rank is its rank by priority. See RankOf.
	Rank int
	// DueAfter is the due delay, Deadline the time left until the deadline.
	DueAfter, Deadline time.Duration
	// Elapsed is the time since the caller first sent it.
	Elapsed time.Duration
	// Repeat is true when the request has been at the group or another one before.
	Repeat bool
}

// Place is the place of a request in the order.
type Place struct {
	// Rank is the rank for the retry budget.
	Rank int
	// DueAfter is the delay by which the request is ordered in the queue.
	DueAfter time.Duration
	// Wait is the longest wait in the queue.
	Wait time.Duration
	// Excess is true when the request exceeds the usual demand of its workspace.
	Excess bool
}

// Arrive records a request and returns its place. The time that a returning caller has
// spent is subtracted from its due delay, so that it does not queue behind new ones.
func (o *Order) Arrive(a Arrival, now time.Time) Place {
	p := Place{Rank: a.Rank, Wait: time.Duration(longestWaitShare * float64(a.Deadline))}
	p.DueAfter = max(a.DueAfter-a.Elapsed, time.Duration(minDueShare*float64(a.DueAfter)))
	if a.Workspace != "" && !a.Repeat {
		p.Excess = o.demand.Record(a.Workspace, now)
	}
	if p.Excess {
		p.Rank += excessRank
		p.DueAfter += excessDueFactor * a.DueAfter
		o.excess++
	}
	return p
}

// ForQuery returns a copy that knows one workspace, to try out decisions on its requests
// without a change of o.
func (o *Order) ForQuery(workspace string) Order {
	c := *o
	c.demand.workspaces = map[string]*workspaceDemand{}
	if w := o.demand.workspaces[workspace]; w != nil {
		copied := *w
		c.demand.workspaces[workspace] = &copied
	}
	return c
}

// Excess returns the number of requests in excess of the usual demand of their
// workspaces.
func (o *Order) Excess() uint64 {
	return o.excess
}

// MayProgress reports whether the request that has waited longest may be served before
// its turn.
func (o *Order) MayProgress(now time.Time) bool {
	return !now.Before(o.nextProgress)
}

// Progressed records that a request with the given mean answer time was served before
// its turn. The next one follows when the slots for this have time for it.
func (o *Order) Progressed(answer time.Duration, slots int, now time.Time) {
	o.nextProgress = now.Add(time.Duration(float64(answer) / (progressShare * float64(max(1, slots)))))
}
