package target

import (
	"net/http"
	"time"
)

// Constants of a collapse.
const (
	// collapseTime is how long a target that got too much stays slow.
	collapseDuration = 2 * time.Second
	// collapseFactor is how many times longer requests take meanwhile.
	collapseSlowdown = 10
)

// coldStart is the part of a target that warms up.
type coldStart struct {
	startedAt   time.Time
	collapsedAt time.Time
}

func (c *coldStart) restart(now time.Time) {
	c.startedAt = now
}

// bears returns the number of requests that the target bears at once.
func (t *Target) capacity(now time.Time) int {
	ramp := t.config.ColdRamp
	age := now.Sub(t.cold.startedAt)
	if age >= ramp {
		return t.config.Slots + t.config.Queue
	}
	extra := float64(t.config.Slots-t.config.ColdSlots) * float64(age) / float64(ramp)
	return t.config.ColdSlots + int(extra)
}

// overload makes a cold target collapse when it has more requests than it
// bears. The caller holds the lock.
func (t *Target) collapseIfOverloaded(now time.Time) {
	if t.inFlight <= t.capacity(now) {
		return
	}
	t.stats.ColdOverloads++
	t.cold.restart(now)
	t.cold.collapsedAt = now
}

// restart makes the target cold. The caller holds the lock.
func (t *Target) restart(now time.Time) {
	t.cold.restart(now)
	t.stats.ColdStarts++
}

// turnCold handles POST /standin/cold.
func (t *Target) handleCold(w http.ResponseWriter, _ *http.Request) {
	t.MakeCold()
	w.WriteHeader(http.StatusNoContent)
}

// TurnCold makes the target cold without announcement.
func (t *Target) MakeCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart(time.Now())
}

// serviceTime returns the time that a request takes now.
func (t *Target) serviceTime(f Fault, now time.Time) time.Duration {
	d := t.random.lognormal(t.config.Median, t.config.Sigma)
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
