package target

import "time"

const (
	// shedWindow is the time over which the sheds of a target are counted. It also
	// bounds how long the group is regarded as shedding after the last shed.
	shedWindow = time.Second
	// ordinaryShedShare is the share of requests up to which the sheds of the other
	// targets do not weaken the evidence of a shed.
	ordinaryShedShare = 0.1
	// minShedEvidence is the number of requests at other targets from which their share
	// of sheds is known.
	minShedEvidence = 4
	// shedPrior is the number of requests for which the share of the other targets counts
	// in the estimate of a target's share.
	shedPrior = 2
	// shedLoss is the expected loss of a request that is shed. It can be repeated.
	shedLoss = 0.15
	// sheddingShare is the share of requests above which a group counts as shedding, and
	// half of it the share below which it no longer does.
	sheddingShare = 0.2
)

// Kinds of outcomes in the window of sheds.
const (
	outcomeTaken = iota
	outcomeShed
)

// shedCounter counts the requests that a target took and those that it shed.
type shedCounter struct{ window }

func newShedCounter() shedCounter {
	return shedCounter{window{length: shedWindow}}
}

// countShed counts a request that reached s as taken or shed in the window of s. It does
// nothing without overload control.
func (h *Holder) countShed(s *state, o Outcome, now time.Time) {
	if !h.overloadControl {
		return
	}
	switch o {
	case Shed:
		s.sheds.count(outcomeShed, now)
	case OK, Error, Truncated, Timeout:
		s.sheds.count(outcomeTaken, now)
	}
}

// shedCounts are the requests that the targets of a group took and shed.
type shedCounts struct{ taken, shed int }

// shedTotals returns the requests of the last shedWindow. They are 0 without overload
// control.
func (h *Holder) shedTotals(now time.Time) shedCounts {
	var all shedCounts
	if !h.overloadControl {
		return all
	}
	for _, s := range h.targets {
		taken, shed := s.sheds.sums(now)
		all.taken, all.shed = all.taken+taken, all.shed+shed
	}
	return all
}

// shareWithout returns the share of requests that were shed, without those of one target.
// It is 0 when there were too few others.
func (t shedCounts) shareWithout(taken, shed int) float64 {
	others := t.taken + t.shed - taken - shed
	if others < minShedEvidence {
		return 0
	}
	return float64(t.shed-shed) / float64(others)
}

// shedLikelihoodRatio returns the likelihood ratio of a shed by s. The more the other
// targets of the group shed as well, the less a shed says about this one.
func (h *Holder) shedLikelihoodRatio(s *state, now time.Time) float64 {
	if !h.overloadControl {
		return shedRatio
	}
	usual := max(ordinaryShedShare, h.shedTotals(now).shareWithout(s.sheds.sums(now)))
	return max(1, shedRatio*ordinaryShedShare/usual)
}

// expectedShedLoss returns the expected loss of a request to s by a shed, where all are
// the sheds of the group.
func (h *Holder) expectedShedLoss(s *state, all shedCounts, now time.Time) float64 {
	if all.shed == 0 {
		return 0
	}
	taken, shed := s.sheds.sums(now)
	share := (float64(shed) + shedPrior*all.shareWithout(taken, shed)) / float64(taken+shed+shedPrior)
	return shedLoss * share
}

// ShedShare returns the share of the requests of the last shedWindow that the targets of
// the group shed.
func (h *Holder) ShedShare(now time.Time) float64 {
	return h.shedTotals(now).shareWithout(0, 0)
}

// UpdateShedding updates whether the group counts as shedding, and reports whether that
// has changed.
func (h *Holder) UpdateShedding(now time.Time) (shedding, changed bool) {
	share := h.ShedShare(now)
	limit := sheddingShare
	if h.shedding {
		limit = sheddingShare / 2
	}
	changed = h.shedding != (share > limit)
	h.shedding = share > limit
	return h.shedding, changed
}
