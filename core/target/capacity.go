package target

import (
	"math"
	"time"

	"github.com/galenasail/galenasail/core/event"
)

const (
	// capacityMemory is the number of answers over which answer times are averaged.
	capacityMemory = 32
	// minCapacityAnswers is the number of answers at each level of load from which the
	// levels are compared.
	minCapacityAnswers = 12
	// capacityConfidence is the number of standard errors by which an estimate must differ
	// before a limit follows it: about 2% of the comparisons of equal levels differ more.
	capacityConfidence = 2
	// minQueue is the mean number of requests that wait inside a busy target from which its
	// limit falls: half of one, so that the limit is the nearest number of slots.
	minQueue = 0.5
	// referenceValidFor is how long after the last answer of a request that was alone on its
	// target other answers are compared with such ones. Without recent ones, slow
	// answers of a full target may be due to the requests.
	referenceValidFor = time.Second
	// raiseInterval is the time from a fall of a limit to its first rise. It doubles with
	// each further fall, up to maxRaiseInterval, because each rise lets requests queue at a
	// target that has not changed.
	raiseInterval    = 3 * time.Second
	maxRaiseInterval = 24 * time.Second
	// raiseShare is the share of the limit by which it rises, at least one slot.
	raiseShare = 0.125
	// unusedRestore is the time without a request after which a limit no longer applies: the
	// slots of an idle fleet are all usable.
	unusedRestore = 3 * time.Second
	// minSpeed and maxSpeed bound the estimated speed of a target.
	minSpeed = 0.25
	maxSpeed = 4
)

// answerStats is the mean and the variance of the logarithms of the last answer times.
type answerStats struct {
	mean, variance, n float64
}

func (s *answerStats) add(x float64) {
	s.n = min(s.n+1, capacityMemory)
	w := 1 / s.n
	d := x - s.mean
	s.mean += w * d
	s.variance = (1 - w) * (s.variance + w*d*d)
}

// reference holds the answer times of a group for the requests of one route.
type reference struct {
	all answerStats
	// alone holds those of requests that were alone on their target, aloneAt when the last
	// of them was answered.
	alone   answerStats
	aloneAt time.Time
}

// capacity is what a holder learns about how many requests a target serves at once.
type capacity struct {
	// limit is the number of slots that may be used; 0 for all.
	limit int
	// changedAt is when the limit last changed, raiseAfter the time until it may rise.
	changedAt  time.Time
	raiseAfter time.Duration
	// returning is true while the limit rises with each normal answer (see beginReturn): after
	// gray failures, after a drain or an outage of the failure domain, and after a shed that
	// was followed by a time without requests.
	returning bool
	// speed holds the answer times relative to those of the whole group.
	speed answerStats
	// alone and busy hold answer times relative to those of requests that are alone on a
	// target of the group: of requests that were alone on this target, and of those that used
	// more than half of the slots within the limit together with others.
	alone, busy answerStats
	// busyConcurrency is the mean number of requests that ran together for busy.
	busyConcurrency float64
	// shedAt is when the target last shed a request.
	shedAt time.Time
}

// slotLimit returns the number of requests that s may run at once.
func (h *Holder) slotLimit(s *state, now time.Time) int {
	c := &s.capacity
	slots := s.doc.Slots
	if !h.anticipate || c.limit <= 0 || c.limit >= slots {
		return slots
	}
	if !c.returning && now.Sub(s.health.lastGrant) >= unusedRestore {
		return slots
	}
	return c.limit
}

// slotLimitFor returns the limit of s for a request. A request that has waited beyond its due
// time does not wait until a returning target has all its slots.
func (h *Holder) slotLimitFor(s *state, overdue bool, now time.Time) int {
	if overdue && s.capacity.returning {
		return s.doc.Slots
	}
	return h.slotLimit(s, now)
}

// relativeSpeed returns the speed of s relative to the group; 1 is the usual one.
func (s *state) relativeSpeed() float64 {
	stats := &s.capacity.speed
	weight := stats.n / (stats.n + minCapacityAnswers)
	return min(max(math.Exp(-weight*stats.mean), minSpeed), maxSpeed)
}

// loadShare returns the load of the target with the new request, relative to what the
// target completes: a faster target bears more requests at the same load.
func (h *Holder) loadShare(c candidate, now time.Time) float64 {
	if !h.anticipate {
		return float64(c.busySlots) / float64(c.doc.Slots)
	}
	return float64(c.busySlots+1) / (float64(h.slotLimit(c.state, now)) * c.relativeSpeed())
}

// learnCapacity updates the limit of a target from a request that ended.
func (h *Holder) learnCapacity(p *permit, r Release, now time.Time) {
	if !h.anticipate || p.adopted {
		return
	}
	switch r.Outcome {
	case OK:
		h.learnFromAnswer(p, r.Latency, now)
	case Shed:
		h.learnFromShed(p, now)
	case Error, Truncated, Lost, Unreachable, Timeout:
		if p.target.health.posterior(now).target >= grayLimit {
			h.beginReturn(p.target, now)
		}
	}
}

// beginReturn makes the limit start at half of the slots and rise with each normal answer.
func (h *Holder) beginReturn(s *state, now time.Time) {
	s.capacity.limit = max(1, s.doc.Slots/2)
	s.capacity.returning = s.capacity.limit < s.doc.Slots
	s.capacity.changedAt = now
	s.capacity.forgetLevels()
}

// forgetLevels drops the answer times by level, which belong to an earlier limit.
func (c *capacity) forgetLevels() {
	c.alone, c.busy = answerStats{}, answerStats{}
}

// learnFromAnswer updates the limit from a normal answer. An answer that is slower than
// nearly all is evidence of a gray failure instead.
func (h *Holder) learnFromAnswer(p *permit, latency time.Duration, now time.Time) {
	c := &p.target.capacity
	h.recordPartialShed(p, false, now)
	if latency <= 0 || h.answerTimes[p.route].shareAbove(latency) < slowTail {
		return
	}
	if c.returning {
		c.limit++
		c.changedAt = now
		c.returning = c.limit < p.target.doc.Slots
		return
	}
	limit := h.slotLimit(p.target, now)
	x := math.Log(float64(latency))
	ref := h.reference(p.route)
	ref.all.add(x)
	if p.concurrency == 1 {
		ref.alone.add(x)
		ref.aloneAt = now
	}
	if ref.all.n >= minCapacityAnswers {
		c.speed.add(x - ref.all.mean)
	}
	if ref.alone.n >= minCapacityAnswers && now.Sub(ref.aloneAt) <= referenceValidFor {
		c.addLevel(x-ref.alone.mean, p.concurrency, limit)
	}
	h.adjustLimit(p.target, limit, now)
}

// reference returns the answer times of the group for a route.
func (h *Holder) reference(route string) *reference {
	if h.references[route] == nil {
		h.references[route] = &reference{}
	}
	return h.references[route]
}

// addLevel adds a relative answer time to the level of its concurrency.
func (c *capacity) addLevel(x float64, concurrency, limit int) {
	switch {
	case concurrency == 1:
		c.alone.add(x)
	case 2*concurrency > limit:
		c.busy.add(x)
		c.busyConcurrency += (float64(concurrency) - c.busyConcurrency) / c.busy.n
	}
}

// adjustLimit lowers the limit when requests wait inside the busy target, and raises it when
// it has not fallen for a while.
func (h *Holder) adjustLimit(s *state, limit int, now time.Time) {
	c := &s.capacity
	if useful, known := c.usefulSlots(); known && limit > 1 && useful <= c.busyConcurrency-minQueue {
		h.lowerLimit(s, min(limit-1, max(1, int(math.Round(useful)))), "answers take longer when its slots are in use", now)
		return
	}
	if c.limit > 0 && now.Sub(c.changedAt) >= c.raiseAfter {
		c.limit += max(1, int(raiseShare*float64(c.limit)))
		c.changedAt = now
		c.forgetLevels()
		if c.limit >= s.doc.Slots {
			c.lift()
		}
	}
}

// usefulSlots returns how many requests the target serves at once, as an upper bound: by
// Little's law the others wait when the answer time grows with their number. It is not known
// before there are enough answers.
func (c *capacity) usefulSlots() (useful float64, known bool) {
	if c.alone.n < minCapacityAnswers || c.busy.n < minCapacityAnswers {
		return 0, false
	}
	deviation := math.Sqrt(c.alone.variance/c.alone.n + c.busy.variance/c.busy.n)
	return c.busyConcurrency * math.Exp(c.alone.mean-c.busy.mean+capacityConfidence*deviation), true
}

// learnFromShed lowers the limit when the target shed a request because it was full, and
// lifts it when targets shed requests for another reason.
func (h *Holder) learnFromShed(p *permit, now time.Time) {
	s := p.target
	s.capacity.shedAt = now
	h.recordPartialShed(p, true, now)
	limit := h.slotLimit(s, now)
	if h.partialSheds.aboveLimit(now) {
		s.capacity.lift()
		return
	}
	if p.concurrency < limit || limit <= 1 || now.Sub(s.capacity.changedAt) < shedPause || !h.onlyFullTargetsShed(now) {
		return
	}
	h.lowerLimit(s, limit-1, "the target sheds requests when all slots are in use", now)
}

// lift removes the limit, so that all slots may be used.
func (c *capacity) lift() {
	c.limit, c.returning = 0, false
	c.forgetLevels()
}

// lowerLimit sets a lower limit for s and delays its next rise. It records an event when no
// limit applied before.
func (h *Holder) lowerLimit(s *state, limit int, reason string, now time.Time) {
	c := &s.capacity
	if c.limit <= 0 {
		h.emitEvent(event.TargetLimited, s, "%d of %d slots: %s", limit, s.doc.Slots, reason)
	}
	c.raiseAfter = min(max(2*c.raiseAfter, raiseInterval), maxRaiseInterval)
	c.limit, c.changedAt, c.returning = limit, now, false
	c.forgetLevels()
}

// noteGrant records the load of the target with a new permit. A target that shed a request
// since its last normal answer, while only full targets shed, begins a return when it had no
// request for successValidFor. Any other target that is not returning loses its
// limit after unusedRestore without a request, because the limit belongs to an earlier load.
func (h *Holder) noteGrant(s *state, p *permit, now time.Time) {
	if !h.anticipate || !h.placesByHealth() {
		return
	}
	shedLast := s.capacity.shedAt.After(s.health.lastSuccess) && h.onlyFullTargetsShed(now)
	unused := now.Sub(s.health.lastGrant)
	switch {
	case shedLast && unused >= successValidFor:
		h.beginReturn(s, now)
	case unused >= unusedRestore && !s.capacity.returning:
		s.capacity.lift()
	}
	p.concurrency = h.busySlots(s, now) + 1
	for _, other := range s.running {
		other.concurrency = max(other.concurrency, p.concurrency)
	}
}

// grantableSlots returns the number of requests that the target would get now.
func (h *Holder) grantableSlots(s *state, now time.Time) int {
	free := h.slotLimit(s, now) - h.busySlots(s, now)
	if rate := h.rateLimit(s, now); rate < math.MaxInt {
		free = min(free, rate-s.health.recentGrants(now))
	}
	return max(0, free)
}

// anticipatedFreeSlots returns the number of slots of targets that are probably not gray, or
// of all targets when each is probably gray.
func (h *Holder) anticipatedFreeSlots(now time.Time) int {
	healthy, all, hasHealthy := 0, 0, false
	for _, s := range h.targets {
		if !s.open {
			continue
		}
		n := h.grantableSlots(s, now)
		all += n
		if h.targetGrayProbability(s, now) < grayLimit {
			healthy += n
			hasHealthy = true
		}
	}
	if hasHealthy {
		return healthy
	}
	return all
}

// targetGrayProbability returns the probability that s is gray, for a VM whose path to it
// is not known to fail.
func (h *Holder) targetGrayProbability(s *state, now time.Time) float64 {
	return h.grayProbability(s, "", now)
}

// recordPartialShed records, for a target that had free slots, whether it shed the request.
func (h *Holder) recordPartialShed(p *permit, shed bool, now time.Time) {
	if p.concurrency < p.target.doc.Slots {
		h.partialSheds.record(shed, now)
	}
}

// onlyFullTargetsShed reports whether targets with free slots answer nearly all requests.
// Otherwise sheds have another cause than full targets, and fewer slots would only reduce
// what the service completes. Without enough recent answers it is not known.
func (h *Holder) onlyFullTargetsShed(now time.Time) bool {
	answered, _ := h.partialSheds.sums(now)
	return answered >= minCapacityAnswers && !h.partialSheds.aboveLimit(now)
}
