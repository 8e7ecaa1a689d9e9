package target

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

const (
	// grayFailureShare is the share of requests that fail at a gray target.
	grayFailureShare = 0.7
	// healthyFailureShare is the share of requests that fail at a healthy target.
	healthyFailureShare = 0.015
	// priorGray is the probability that a target is gray when there is no recent
	// evidence about it.
	priorGray = 0.2
	// evidenceDecay is the time constant with which evidence decays exponentially
	// towards the prior. Episodes of gray failures last some seconds.
	evidenceDecay = 3 * time.Second
	// slowRatio is the likelihood ratio of an answer that took longer than nearly all
	// answers of healthy targets.
	slowRatio = 3
	// slowTail is the share of answers of healthy targets, the slowest ones, that count
	// as slow.
	slowTail = 0.02
	// shedRatio is the likelihood ratio of a shed by a target that has free slots.
	shedRatio = 2.5
	// minProbability keeps each estimate away from 0 and 1.
	minProbability = 0.005
	// priorPathFailure is the probability that the path from an entry VM to a target
	// fails when there is no recent evidence about it.
	priorPathFailure = 0.03
	// hangTail is the share of answers of healthy targets that take longer than the age
	// from which a running request counts as hanging and no longer as using a slot.
	hangTail = 0.01
	// grantDelay is the usual time from a grant until the request is written to the
	// target.
	grantDelay = 5 * time.Millisecond
)

// Weights of the expected loss of a choice, in units of one lost non-idempotent
// request.
const (
	// loadCost is multiplied by the share of slots in use.
	loadCost = 0.05
	// crossDomainCost is the cost of a target in another failure domain than the entry
	// VM.
	crossDomainCost = 0.01
	// coldCost is the cost of a cold target, which is slow.
	coldCost = 0.1
	// idempotentLoss is the loss of an idempotent request on a gray target: it is
	// delayed and retried on another target.
	idempotentLoss = 0.3
	// trialGain is the value of a trial request for each second since the last request
	// to the target.
	trialGain = 0.15
	// trialGainMax bounds the total value of an idempotent trial, and half of it that of
	// a non-idempotent one.
	trialGainMax = 0.5
	// nonIdempotentTrialGain is the same as trialGain for non-idempotent requests. It
	// serves services that have no other requests.
	nonIdempotentTrialGain = 0.02
)

const (
	// unverifiedRateShare is the share of a cold target's rate limit that applies to a
	// target without a recent success: it may have turned cold without announcing it,
	// and grants arrive less evenly than they are issued. Targets with a recent success
	// are limited by their slots alone.
	unverifiedRateShare = 0.85
	// successValidFor is how long a success exempts a target from the rate limit.
	successValidFor = time.Second
	// coldRateShare is the share of the rate limit that applies to a target that
	// announces a cold start.
	coldRateShare = 0.55
	// rateWindow is the sliding window of both rate limits.
	rateWindow = time.Second
)

// healthySlotsAge is how long a count of free slots of healthy targets is reused.
const healthySlotsAge = 20 * time.Millisecond

// decayingProbability is a probability estimate that decays exponentially towards its
// prior.
type decayingProbability struct {
	p  float64
	at time.Time
}

// valueAt returns the estimate at the given time, with memory as the time constant of
// the decay.
func (c *decayingProbability) valueAt(prior float64, memory time.Duration, at time.Time) float64 {
	if c == nil || c.at.IsZero() {
		return prior
	}
	return prior + (c.p-prior)*math.Exp(-at.Sub(c.at).Seconds()/memory.Seconds())
}

func (c *decayingProbability) set(p float64, at time.Time) {
	c.p, c.at = min(max(p, minProbability), 1-minProbability), at
}

// healthEstimate is what a holder estimates about a target of a service where gray
// failures are frequent: the probability that the target is gray and, for each entry
// VM, that the path from the VM to the target fails.
type healthEstimate struct {
	target decayingProbability
	paths  map[string]*decayingProbability // by entry VM
	// lastGrant is when the target was last granted to a request. Any request serves as
	// a trial.
	lastGrant time.Time
	// unreachableAt is when each entry VM last failed to connect to the target, since its
	// last answered request.
	unreachableAt map[string]time.Time
	lastSuccess   time.Time   // when the last normal answer ended
	coldUntil     time.Time   // end of the cold start that the target announced
	grants        []time.Time // within rateWindow
}

// placesByHealth reports whether the service places requests by health estimates
// rather than by outlier detection.
func (h *Holder) placesByHealth() bool {
	return h.view.Service.Placement == document.ByHealthEstimate
}

// posterior is a working copy of the probabilities of one target to which
// observations are applied.
type posterior struct {
	target float64
	vms    []string
	paths  []float64 // of vms
}

// posterior starts a working copy at the decayed estimate. Path probabilities are
// copied when they are first updated.
func (e *healthEstimate) posterior(now time.Time) posterior {
	return posterior{target: e.target.valueAt(priorGray, evidenceDecay, now)}
}

// pathProbability returns the probability in post that the path from the VM fails.
func (e *healthEstimate) pathProbability(post posterior, vm string, now time.Time) float64 {
	if i := slices.Index(post.vms, vm); i >= 0 {
		return post.paths[i]
	}
	return e.paths[vm].valueAt(priorPathFailure, evidenceDecay, now)
}

// observe updates the probabilities of target and path in post by one observation of an
// entry VM. Ratio is the likelihood ratio of the observation: its probability when the
// target, the path or both are in a gray failure, divided by that when neither is.
func (e *healthEstimate) observe(post *posterior, vm string, ratio float64, now time.Time) {
	t, q := post.target, e.pathProbability(*post, vm, now)
	both, target, path, neither := t*q*ratio, t*(1-q)*ratio, (1-t)*q*ratio, (1-t)*(1-q)
	sum := both + target + path + neither
	post.target = (both + target) / sum
	post.setPath(vm, (both+path)/sum)
}

func (post *posterior) setPath(vm string, p float64) {
	if i := slices.Index(post.vms, vm); i >= 0 {
		post.paths[i] = p
		return
	}
	post.vms = append(post.vms, vm)
	post.paths = append(post.paths, p)
}

// update stores the evidence of a request of an entry VM that ended.
func (e *healthEstimate) update(vm string, ratio float64, now time.Time) {
	post := e.posterior(now)
	e.observe(&post, vm, ratio, now)
	e.target.set(post.target, now)
	if e.paths == nil {
		e.paths = map[string]*decayingProbability{}
	}
	if e.paths[vm] == nil {
		e.paths[vm] = &decayingProbability{}
	}
	e.paths[vm].set(e.pathProbability(post, vm, now), now)
}

// noAnswerRatio returns the likelihood ratio of a request that has had no answer for
// age.
func (h *Holder) noAnswerRatio(route string, age time.Duration) float64 {
	tail := h.answerTimes[route].shareAbove(age)
	return (grayFailureShare + (1-grayFailureShare)*tail) / (healthyFailureShare + (1-healthyFailureShare)*tail)
}

// grayProbability returns the probability that s, or the path to it from the entry
// VM, is in a gray failure. It takes into account requests that have ended and
// requests that are running.
func (h *Holder) grayProbability(s *state, vm string, now time.Time) float64 {
	e := &s.health
	post := e.posterior(now)
	for _, p := range s.running {
		e.observe(&post, p.vm, h.noAnswerRatio(p.route, now.Sub(p.issuedAt)-grantDelay), now)
	}
	return 1 - (1-post.target)*(1-e.pathProbability(post, vm, now))
}

// busySlots returns how many slots of s are used by requests. Hanging requests do not
// count.
func (h *Holder) busySlots(s *state, now time.Time) int {
	n := 0
	for _, p := range s.running {
		if h.answerTimes[p.route].shareAbove(now.Sub(p.issuedAt)-grantDelay) > hangTail {
			n++
		}
	}
	return n
}

// updateHealth updates the health estimate of a target from a request that ended.
func (h *Holder) updateHealth(p *permit, r Release, now time.Time) {
	e := &p.target.health
	h.recordOutcome(r.Outcome, now)
	e.recordArrival(p, r.Outcome, now)
	h.countShed(p.target, r.Outcome, now)
	switch r.Outcome {
	case OK:
		h.recordAnswerTime(p.route, r.Latency)
		if h.answerTimes[p.route].shareAbove(r.Latency) < slowTail {
			e.update(p.vm, slowRatio, now)
			return
		}
		e.lastSuccess = now
		delete(e.unreachableAt, p.vm)
		e.update(p.vm, (1-grayFailureShare)/(1-healthyFailureShare), now)
	case Error, Truncated, Lost, Unreachable:
		e.update(p.vm, grayFailureShare/healthyFailureShare, now)
	case Shed:
		if h.busySlots(p.target, now) <= p.target.doc.Slots {
			e.update(p.vm, h.shedLikelihoodRatio(p.target, now), now)
		}
	case Timeout, Canceled:
		e.update(p.vm, h.noAnswerRatio(p.route, now.Sub(p.issuedAt)-grantDelay), now)
	}
}

// recordArrival undoes the record of a grant whose request did not reach the target, so that
// the target still counts as unused.
func (e *healthEstimate) recordArrival(p *permit, o Outcome, now time.Time) {
	if o != Unreachable && o != Unused {
		return
	}
	if e.lastGrant.Equal(p.issuedAt) {
		e.lastGrant = p.previousGrant
	}
	if o == Unreachable {
		if e.unreachableAt == nil {
			e.unreachableAt = map[string]time.Time{}
		}
		maps.DeleteFunc(e.unreachableAt, func(_ string, at time.Time) bool { return now.Sub(at) >= unreachableMemory })
		e.unreachableAt[p.vm] = now
	}
}

// recordAnswerTime adds an answer time to the distribution of the route.
func (h *Holder) recordAnswerTime(route string, d time.Duration) {
	t := h.answerTimes[route]
	if t == nil {
		t = &latencyHistogram{}
		h.answerTimes[route] = t
	}
	t.add(d)
}

// candidate is a target with the inputs of one placement decision.
type candidate struct {
	*state
	gray      float64
	busySlots int
	// required is true when the floor of the service requires that the target gets the
	// request.
	required bool
}

// chooseByHealth returns the target with the lowest expected loss, nil when no target
// may get the request now.
func (h *Holder) chooseByHealth(a AcquireRequest, now time.Time) *state {
	candidates := h.candidates(a, now)
	hasHealthy := slices.ContainsFunc(candidates, candidate.isHealthy)
	var best *state
	bestCost := math.Inf(1)
	sheds := h.shedTotals(now)
	for _, c := range candidates {
		if h.excludedByHealth(c, a, hasHealthy, now) != NotExcluded {
			continue
		}
		if cost := h.healthCost(c, a, sheds, now); cost < bestCost {
			best, bestCost = c.state, cost
		}
	}
	return best
}

// excludedByHealth returns why a candidate may not get the request now. HasHealthy is true
// when a candidate is below grayLimit.
func (h *Holder) excludedByHealth(c candidate, a AcquireRequest, hasHealthy bool, now time.Time) Exclusion {
	switch {
	case c.busySlots >= h.slotLimitFor(c.state, a.Overdue, now):
		return ExcludedFull
	case c.health.recentGrants(now) >= h.rateLimit(c.state, now):
		return ExcludedRate
	case hasHealthy && !c.maySend(a, now):
		return ExcludedGray
	}
	return NotExcluded
}

// healthCost returns the expected loss of the request at a candidate, where sheds are those
// of the group.
func (h *Holder) healthCost(c candidate, a AcquireRequest, sheds shedCounts, now time.Time) float64 {
	return c.expectedLoss(a, h.loadShare(c, now), now) + h.expectedShedLoss(c.state, sheds, now)
}

// candidates returns the open targets that the request does not have to avoid.
func (h *Holder) candidates(a AcquireRequest, now time.Time) []candidate {
	out := make([]candidate, 0, len(h.targets))
	for _, s := range h.targets {
		if s.open && !slices.Contains(a.Avoid, s.doc.ID) {
			gray := h.grayProbability(s, a.Caller.VM, now)
			out = append(out, candidate{s, gray, h.busySlots(s, now), h.requiredByFloor(s, gray, a, now)})
		}
	}
	return out
}

const (
	// grayLimit is the gray probability from which a short wait for another target is
	// better than using this one.
	grayLimit = 0.6
	// unusableLimit is the gray probability from which refusing the request is better
	// than using the target.
	unusableLimit = 0.9
	// trialPause is the shortest time between trials of a target above grayLimit, and
	// unusablePause above unusableLimit.
	trialPause    = 200 * time.Millisecond
	unusablePause = time.Second
)

// maySend reports whether the target may get the request while there are targets
// below grayLimit, even if those are busy. A probably gray target gets an idempotent
// request as a trial from time to time.
func (c candidate) maySend(a AcquireRequest, now time.Time) bool {
	if c.gray < grayLimit || c.required || a.Overdue && c.gray < unusableLimit {
		return true
	}
	idle := now.Sub(c.health.lastGrant)
	if !a.Idempotent || a.Hedge || idle < trialPause {
		return false
	}
	return idle >= unusablePause || c.gray < unusableLimit && len(c.running) == 0
}

// isHealthy reports whether the target is probably not gray.
func (c candidate) isHealthy() bool {
	return c.gray < grayLimit
}

// freeHealthySlots returns the number of free slots of targets that are not probably gray. The
// result is reused for healthySlotsAge, because it takes as long as the choice of a target.
func (h *Holder) freeHealthySlots(now time.Time) int {
	if now.Sub(h.healthySlotsAt) < healthySlotsAge {
		return h.healthySlots
	}
	free := 0
	for _, s := range h.targets {
		if s.open && h.targetGrayProbability(s, now) < grayLimit {
			free += h.grantableSlots(s, now)
		}
	}
	h.healthySlots, h.healthySlotsAt = free, now
	return free
}

// rateLimit returns the highest number of requests to s in rateWindow.
func (h *Holder) rateLimit(s *state, now time.Time) int {
	bound := h.view.Service.ColdPerSecond
	switch {
	case bound <= 0:
		return math.MaxInt
	case now.Before(s.health.coldUntil):
		return max(1, int(bound*coldRateShare*h.share()))
	}
	if now.Sub(s.health.lastSuccess) < successValidFor {
		return math.MaxInt
	}
	return max(1, int(bound*unverifiedRateShare*h.share()))
}

// recentGrants returns the number of grants within rateWindow.
func (e *healthEstimate) recentGrants(now time.Time) int {
	for len(e.grants) > 0 && now.Sub(e.grants[0]) >= rateWindow {
		e.grants = e.grants[1:]
	}
	return len(e.grants)
}

// expectedLoss returns the cost of sending the request to the target with the given load.
func (c candidate) expectedLoss(a AcquireRequest, load float64, now time.Time) float64 {
	cost := loadCost * load
	if c.doc.FailureDomain != a.Domain {
		cost += crossDomainCost
	}
	if now.Before(c.health.coldUntil) {
		cost += coldCost
	}
	if c.required {
		cost -= floorGain
	}
	idle := now.Sub(c.health.lastGrant).Seconds()
	if a.Idempotent && !a.Hedge {
		return cost + idempotentLoss*c.gray - min(trialGain*idle, trialGainMax)
	}
	return cost + c.gray - min(nonIdempotentTrialGain*idle, trialGainMax/2)
}

// recordGrant records a grant of the target.
func (e *healthEstimate) recordGrant(now time.Time) {
	e.lastGrant = now
	e.grants = append(e.grants, now)
}

// hedgeSteps is the number of ages that hedgeAfter tries.
const hedgeSteps = 24

// hedgeAfter returns the age from which a request to s without an answer is more
// likely to hang than not.
func (h *Holder) hedgeAfter(s *state, vm, route string, now time.Time) time.Duration {
	gray := h.grayProbability(s, vm, now)
	odds := gray / (1 - gray)
	age := 20 * time.Millisecond
	for range hedgeSteps {
		if odds*h.noAnswerRatio(route, age) >= 1 {
			return age
		}
		age = age * 5 / 4
	}
	return age
}

// setColdUntil applies the remaining cold time that the target announces in its
// document.
func (e *healthEstimate) setColdUntil(doc document.Target, now time.Time) {
	e.coldUntil = time.Time{}
	if doc.ColdMs > 0 {
		e.coldUntil = now.Add(time.Duration(doc.ColdMs) * time.Millisecond)
	}
}

// MeanAnswerTime returns the mean time until an answer to a request of the route
// begins.
func (h *Holder) MeanAnswerTime(route string) time.Duration {
	return h.answerTimes[route].mean()
}

// SetShare sets the share, 0 to 1, of the service-wide limits that this holder may
// use: the rate limits of cold targets and the reserve of repeated requests. It is
// below 1 when only a part of the members granted the lease, so that holders on both
// sides of a network partition stay within the limits together.
func (h *Holder) SetShare(share float64) {
	h.limitShare = share
}

// share returns the share that SetShare set, 1 by default.
func (h *Holder) share() float64 {
	if h.limitShare <= 0 {
		return 1
	}
	return min(1, h.limitShare)
}

// Summary describes the targets in one line for a log: ID, slots in use of all slots,
// gray probability, grants within the last second, and whether the target is closed
// or cold.
func (h *Holder) Summary(now time.Time) string {
	var out strings.Builder
	for _, s := range h.targets {
		mark := ""
		if !s.open {
			mark = " closed"
		} else if now.Before(s.health.coldUntil) {
			mark = " cold"
		}
		fmt.Fprintf(&out, "%s %d/%d %.2f %d%s; ", s.doc.ID, h.busySlots(s, now), h.slotLimit(s, now), s.health.posterior(now).target, s.health.recentGrants(now), mark)
	}
	return out.String()
}
