package pool

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// permit is the right to use a slot of a target, held by one client. The
// client's lock guards outcomes and idleUntil.
type permit struct {
	client *groupClient
	id     uint64
	target document.Target
	// degraded marks a permit of degraded mode, which no holder granted.
	degraded bool
	// deadline is measured from the time the acquire was sent, so it is never
	// later than the holder's.
	deadline time.Time
	// idleTimeout is how long the permit may be kept for reuse after its
	// release; 0 for not at all.
	idleTimeout time.Duration
	hedgeAfter  time.Duration
	idleUntil   time.Time
	// outcomes lists the outcomes of all uses. They are sent together when the
	// permit ends.
	outcomes []*peerv1.PermitRelease
}

// permitUse is one use of a permit and implements node.Permit. Each reuse of a
// permit gets a new permitUse, so that a late second Release of an earlier use
// does not affect the current one.
type permitUse struct {
	*permit
	released atomic.Bool
}

var _ node.Permit = (*permitUse)(nil)

// Target returns the target of the permit.
func (u *permitUse) Target() document.Target {
	return u.target
}

// HedgeAfter returns the time without an answer after which a second attempt of
// an idempotent request should start; 0 means never.
func (u *permitUse) HedgeAfter() time.Duration {
	return u.hedgeAfter
}

// Check returns an error of kind NoCapacity when the permit must not be used.
func (u *permitUse) Check() error {
	return u.check(time.Now())
}

// check returns an error when the permit has expired or the applied
// configuration excludes the target. It also refuses a target that a ticket
// moved to another group, because the new holder counts only the permits
// reported to it, and a target that has started again, because its former
// process is the one that the holder counted.
func (pt *permit) check(now time.Time) error {
	return pt.checkUnder(pt.client.pool.currentLayout(), now)
}

// checkUnder is check under the layout l.
func (pt *permit) checkUnder(l *layout, now time.Time) error {
	c := pt.client
	if !now.Before(pt.deadline) {
		return fault.New(fault.NoCapacity, "the permit for target %s has expired", pt.target.ID)
	}
	t, ok := l.usableTarget(c.service, c.name, pt.target.ID)
	if !ok || t.Address != pt.target.Address || t.Process != pt.target.Process {
		return fault.New(fault.NoCapacity, "target %s must not receive new requests: it is closed, was moved to another group or address, or has started again", pt.target.ID)
	}
	return nil
}

// Release ends the use. The permit may be kept for reuse if the outcome is OK
// or unused.
func (u *permitUse) Release(o node.Outcome, latency time.Duration) {
	if u.released.Swap(true) {
		return
	}
	now := time.Now()
	c := u.client
	if o == node.OutcomeOK {
		c.pool.baseline(c.service).add(latency)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.outcomes = append(u.outcomes, &peerv1.PermitRelease{
		Permit:    u.id,
		Outcome:   peerv1.Outcome(o),
		LatencyUs: uint64(max(0, latency.Microseconds())),
	})
	c.recordOutcome(u.permit, o, now)
	good := o == node.OutcomeOK || o == node.OutcomeUnused
	if good && u.idleTimeout > 0 && c.queued == 0 && u.check(now) == nil {
		c.keepIdle(u.permit, now)
		return
	}
	c.endPermit(u.permit)
}

// recordOutcome removes a target from the list of warm targets after a failed
// connection. If the list is older than maxWarmAge, the whole list is cleared,
// so that the next holder learns that this target is cold. The caller holds
// c.mu.
func (c *groupClient) recordOutcome(pt *permit, o node.Outcome, now time.Time) {
	if o != node.OutcomeLost && o != node.OutcomeUnreachable {
		return
	}
	if now.Sub(c.warmAt) >= maxWarmAge {
		c.warm = nil
		c.warmAt = now
		return
	}
	c.warm = slices.DeleteFunc(slices.Clone(c.warm), func(id string) bool { return id == pt.target.ID })
}
