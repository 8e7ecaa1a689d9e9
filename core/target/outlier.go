package target

import (
	"math"
	"time"
)

// Constants of outlier detection.
//
// The score of a target is a cumulative sum of log-likelihood ratios (CUSUM): a bad
// outcome adds ln(p1/p0) and a good one adds ln((1-p1)/(1-p0)), never below 0, where
// p0 is the share of bad outcomes of the other targets and p1 = p0 + badMargin.
const (
	// outlierScore is the score from which a target is an outlier. With the lowest p0 it
	// takes three bad outcomes in a row, or about 12 requests with 30% bad ones.
	outlierScore = 9.0
	// minBadShare is the lowest p0. A target is allowed 1% bad outcomes even when the
	// others have none.
	minBadShare = 0.01
	// shareMargin raises the share of the others, because their lower median is below
	// the true share in half of the cases.
	shareMargin = 1.4
	// maxBadShare bounds p0. Above it a single target cannot be distinguished from
	// the others.
	maxBadShare = 0.5
	// commonBadShare is the p0 from which evidenceDivisor has its highest value.
	commonBadShare = 0.05
	// maxEvidenceDivisor is the factor between the evidence needed at commonBadShare and
	// at minBadShare: a score of 16 instead of 9.
	maxEvidenceDivisor = 16.0 / 9
	// badMargin is the excess share of bad outcomes that is to be detected.
	badMargin = 0.2
	// shareWeight is the weight of one outcome in the moving share of bad ones.
	shareWeight = 1.0 / 50
	// recentWeight is the weight of one outcome in the short-term share of bad ones.
	recentWeight = 1.0 / 8
	// slowFactor is the multiple of the service's median latency from which an answer is
	// slow.
	slowFactor = 4
	// hangFactor is the multiple of the service's median latency from which the age of a
	// request in flight counts as bad a second time. It is needed because a target that
	// hangs on all slots yields no outcomes.
	hangFactor = 16
	// inFlightMargin is subtracted from the age of a request in flight. It covers the
	// delay of the permit and of its release between VM and holder.
	inFlightMargin = 50 * time.Millisecond
	// contactLossTime is how long the loss of contact to a VM may stay unnoticed. The
	// age of a permit of an unreachable VM says nothing about the target.
	contactLossTime = 1600 * time.Millisecond
	// slowMinimum is the shortest latency that counts as slow, so that scheduling delays
	// do not.
	slowMinimum = 5 * time.Millisecond
	// minSamples is the number of answers from which a target's typical latency is used.
	minSamples = 10
	// latencyWeight is the weight of one answer in the typical latency.
	latencyWeight = 1.0 / 16
	// scoreHalfLife is the half-life with which a score without new outcomes decays.
	scoreHalfLife = 30 * time.Second
)

// score is the evidence that a target is an outlier.
type score struct {
	value float64
	// outlierSince is when value last reached outlierScore; zero below it.
	outlierSince time.Time
	// badShare is the moving share of bad outcomes.
	badShare float64
	// recentBadShare is the share over the last few outcomes.
	recentBadShare float64
	// logLatency is the moving mean of the logarithm of the latency in ns.
	logLatency float64
	// samples is the number of answers in logLatency.
	samples     int
	lastSuccess time.Time
	decayedAt   time.Time
}

// observe updates the evidence about a target from the outcome of one request.
func (h *Holder) observe(p *permit, r Release, now time.Time) {
	s := p.target
	if h.placesByHealth() {
		h.updateHealth(p, r, now)
		h.learnCapacity(p, r, now)
		return
	}
	switch r.Outcome {
	case OK:
		h.observeAnswer(p, r.Latency, now)
	case Error, Truncated:
		h.recordBad(s, now)
	case Shed:
		h.reduceLimit(s, now)
		h.recordBad(s, now)
	case Lost, Unreachable:
		h.observeLost(p, now)
	case Timeout:
		h.observeTimeout(p, now)
	}
}

func (h *Holder) observeAnswer(p *permit, latency time.Duration, now time.Time) {
	s := p.target
	s.path(p.vm).succeeded(now)
	s.score.recordLatency(latency)
	if h.isSlow(latency) {
		if p.ageStrikes == 0 {
			h.recordBad(s, now)
		}
		return
	}
	h.recordGood(s, now)
	h.clearSuspectedRestart(p, latency, now)
	h.growLimit(s, now)
}

// observeTimeout records a deadline that passed. A deadline that is shorter than a
// slow answer is no evidence about the target.
func (h *Holder) observeTimeout(p *permit, now time.Time) {
	age := now.Sub(p.issuedAt) - inFlightMargin
	if p.ageStrikes > 0 || !h.isSlow(age) {
		return
	}
	if h.pathAtFault(p, now) {
		return
	}
	h.recordBad(p.target, now)
}

func (s *score) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	value := math.Log(float64(latency))
	s.samples++
	weight := max(latencyWeight, 1/float64(s.samples))
	s.logLatency += (value - s.logLatency) * weight
}

func (h *Holder) isSlow(latency time.Duration) bool {
	limit := max(slowFactor*h.baseline.value, slowMinimum)
	return h.baseline.value > 0 && latency > limit
}

// recordBad adds a bad outcome to the score of s.
func (h *Holder) recordBad(s *state, now time.Time) {
	p0 := h.othersBadShare(s)
	p1 := p0 + badMargin
	sc := &s.score
	sc.badShare += (1 - sc.badShare) * shareWeight
	sc.recentBadShare += (1 - sc.recentBadShare) * recentWeight
	sc.add(math.Log(p1/p0)/evidenceDivisor(p0), now)
}

// recordGood adds a good outcome to the score of s.
func (h *Holder) recordGood(s *state, now time.Time) {
	p0 := h.othersBadShare(s)
	p1 := p0 + badMargin
	sc := &s.score
	sc.lastSuccess = now
	sc.badShare -= sc.badShare * shareWeight
	sc.recentBadShare -= sc.recentBadShare * recentWeight
	sc.add(math.Log((1-p1)/(1-p0))/evidenceDivisor(p0), now)
}

// evidenceDivisor returns the divisor of all evidence, which grows when bad outcomes
// are common. The score then moves in many small steps, and random variation reaches
// a threshold of the same height more often than with the large steps of rare bad
// outcomes.
func evidenceDivisor(p0 float64) float64 {
	share := (p0 - minBadShare) / (commonBadShare - minBadShare)
	return 1 + (maxEvidenceDivisor-1)*min(1, share)
}

// add changes the value of the score within its bounds.
func (s *score) add(change float64, now time.Time) {
	s.value = min(max(0, s.value+change), 2*outlierScore)
	switch {
	case s.value < outlierScore:
		s.outlierSince = time.Time{}
	case s.outlierSince.IsZero():
		s.outlierSince = now
	}
}

// decay reduces the score with scoreHalfLife, so that a target without outcomes
// recovers.
func (s *score) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		elapsed := now.Sub(s.decayedAt).Seconds() / scoreHalfLife.Seconds()
		s.add(s.value*(math.Exp2(-elapsed)-1), now)
	}
	s.decayedAt = now
}

// othersBadShare returns p0 for s. It uses the lower median of the others, so that a
// minority of bad targets cannot hide each other.
func (h *Holder) othersBadShare(s *state) float64 {
	var shares []float64
	for _, o := range h.targets {
		if o != s && o.open && !o.eject.active {
			shares = append(shares, o.score.badShare)
		}
	}
	return min(max(shareMargin*lowerMedian(shares), minBadShare), maxBadShare)
}

// compareWithOthers reports whether the other targets share the evidence against s,
// and whether the recent outcomes of s are worse than theirs.
func (h *Holder) compareWithOthers(s *state) (common, worse bool) {
	var scores, recent []float64
	for _, o := range h.targets {
		if o != s && o.open && !o.eject.active {
			scores = append(scores, o.score.value)
			recent = append(recent, o.score.recentBadShare)
		}
	}
	common = len(scores) == 0 || lowerMedian(scores) >= outlierScore/3
	worse = s.score.recentBadShare-lowerMedian(recent) >= badMargin
	return common, worse
}

// observeInFlight records requests in flight whose age alone shows a slow target as
// bad: once at the age of a slow answer, and once more when at least two requests
// seem to hang. A single permit may have been lost between holder and VM.
func (h *Holder) observeInFlight(now time.Time, inContact func(vm string) bool) {
	late := map[*state]int{}
	hanging := map[*state][]*permit{}
	for _, p := range h.permits {
		age := now.Sub(p.issuedAt) - inFlightMargin
		if p.mayIdle {
			age -= HoldSlack
		}
		seen := h.lastSeen[p.vm].After(p.issuedAt.Add(inFlightMargin))
		alive := seen || (age > contactLossTime && inContact(p.vm))
		if !alive || !h.isSlow(age) {
			continue
		}
		if p.ageStrikes == 0 {
			p.ageStrikes++
			late[p.target]++
		}
		if age > hangFactor*h.baseline.value {
			hanging[p.target] = append(hanging[p.target], p)
		}
	}
	for _, s := range h.targets {
		if len(hanging[s]) > 1 {
			late[s] += markHanging(hanging[s])
		}
		for range late[s] {
			h.recordBad(s, now)
		}
	}
}

// markHanging marks the permits that have not been recorded as hanging yet and
// returns their number.
func markHanging(permits []*permit) int {
	n := 0
	for _, p := range permits {
		if p.ageStrikes == 1 {
			p.ageStrikes++
			n++
		}
	}
	return n
}
