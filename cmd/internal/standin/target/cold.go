package target

import (
	"net/http"
	"time"
)

// Behavior of a cold target after an overload.
const (
	// collapseDuration is how long an overloaded target stays slow.
	collapseDuration = 2 * time.Second
	// collapseSlowdown multiplies the service time of an overloaded target.
	collapseSlowdown = 10
)

// coldStart is the state of a target's cold start: when it last became cold, and
// when it was last overloaded while cold.
type coldStart struct {
	startedAt   time.Time
	collapsedAt time.Time
}

// restart starts a new cold start at now.
func (c *coldStart) restart(now time.Time) {
	c.startedAt = now
}

// capacity returns the number of concurrent requests that the target can handle at
// now. From cold, it grows linearly from ColdSlots to Slots within ColdRamp; a warm
// target can handle its slots and a full queue.
func (t *Target) capacity(now time.Time) int {
	ramp := t.config.ColdRamp
	age := now.Sub(t.cold.startedAt)
	if age >= ramp {
		return t.config.Slots + t.config.Queue
	}
	extra := float64(t.config.Slots-t.config.ColdSlots) * float64(age) / float64(ramp)
	return t.config.ColdSlots + int(extra)
}

// collapseIfOverloaded makes a cold target slow, and cold again, when it has more
// concurrent requests than it can handle. The caller holds mu.
func (t *Target) collapseIfOverloaded(now time.Time) {
	if t.inFlight <= t.capacity(now) {
		return
	}
	t.stats.ColdOverloads++
	t.cold.restart(now)
	t.cold.collapsedAt = now
}

// restart makes the target cold. The caller holds mu.
func (t *Target) restart(now time.Time) {
	t.cold.restart(now)
	t.stats.ColdStarts++
}

// handleCold handles POST /standin/cold.
func (t *Target) handleCold(w http.ResponseWriter, _ *http.Request) {
	t.MakeCold()
	w.WriteHeader(http.StatusNoContent)
}

// MakeCold makes the target cold, as after an unannounced restart.
func (t *Target) MakeCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart(time.Now())
}

// serviceTime returns a random service time for a request that starts at now.
func (t *Target) serviceTime(r *http.Request, f Fault, now time.Time) time.Duration {
	d := t.random.lognormal(t.config.MedianServiceTime, t.config.Sigma)
	d = time.Duration(float64(d) * t.config.ServiceTimeFactor(r))
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.cold.collapsedAt.IsZero() && now.Sub(t.cold.collapsedAt) < collapseDuration {
		d *= collapseSlowdown
	}
	return d
}
