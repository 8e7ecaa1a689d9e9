package overload

// Shares of the retry budget that requests may use. The rest is kept for requests of
// which a refusal is more likely to be final.
const (
	// returnInTimeShare is the share for requests whose callers can return and still get
	// an answer within the objective.
	returnInTimeShare = 0.5
	// returnedShare is the share for those of them whose callers have returned before, or
	// may have.
	returnedShare = 0.8
	// returnLateShare is the share for requests whose callers can return in time for
	// the deadline only.
	returnLateShare = 0.9
	// rankShare is taken off the share for each rank below the most urgent, at most
	// maxRankShare in all.
	rankShare    = 0.05
	maxRankShare = 0.3
)

// RepeatShare returns the share of the retry budget, 0 to 1, up to which the budget may
// be spent before a request that did not run is no longer repeated inside the fleet.
// A caller that can return costs the budget nothing and adds to it, so the budget
// goes to requests that cannot return: those with little time left, and then those that
// would miss their objective. In each of these cases, urgent requests come first.
func RepeatShare(r Request) float64 {
	share := returnInTimeShare
	if r.Deadline-r.Deadline/returnsInDeadline < r.margin() {
		share = 1
	} else if r.Objective-r.Objective/returnsInObjective < r.margin() {
		share = returnLateShare
	} else if r.Elapsed >= minRetryDelay || !r.ShowsReturns {
		share = returnedShare
	}
	return share - min(maxRankShare, rankShare*float64(r.Rank))
}
