package pool

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// waitMargin is the time between the end of the wait at the holder and the
// caller's deadline.
const waitMargin = 5 * time.Millisecond

// requestPermit requests a permit from the holder of a group and waits there
// for at most wait. If no VM holds the group exclusively, it acquires a permit
// of degraded mode. The call continues when ctx ends, because a permit in a
// lost response would occupy a slot until its deadline.
func (p *Pool) requestPermit(ctx context.Context, c *groupClient, q *acquireRequest, wait time.Duration) *permitUse {
	vm, ok := p.config.Ownership.Holder(c.shard)
	if !ok {
		return p.acquireDegraded(c, q)
	}
	deadline, _ := ctx.Deadline()
	wait = max(0, min(wait, time.Until(deadline)-waitMargin))
	result := make(chan *permitUse)
	go func() {
		u := p.acquireFrom(vm, c, q, wait)
		select {
		case result <- u:
		case <-ctx.Done():
			if u != nil {
				u.Release(outcomeUnused, 0)
			}
		}
	}()
	select {
	case u := <-result:
		return u
	case <-ctx.Done():
		return nil
	}
}

// acquireFrom makes one call to the holder with an acquire and the pending
// releases.
func (p *Pool) acquireFrom(vm member.VM, c *groupClient, q *acquireRequest, wait time.Duration) *permitUse {
	call := c.startCall(vm, true)
	defer c.endCall(call)
	r, generation := c.newExchange()
	r.BaselineUs = uint64(p.baseline(c.service).value().Microseconds())
	r.Acquire = q.acquire(wait, p.config.Identity.VM.FailureDomain)
	ctx, cancel := context.WithTimeout(context.Background(), wait+callMargin)
	defer cancel()
	sent := time.Now()
	resp, err := p.exchange(ctx, vm, r)
	if err != nil {
		c.recordFailure(r.Releases)
		return nil
	}
	c.confirmReleases(r.Releases, r.Generation, resp.Holder && !resp.Report)
	if !resp.Holder {
		if c.withoutHolder(time.Now()) {
			return p.acquireDegraded(c, q)
		}
		return nil
	}
	if resp.Permit == 0 && resp.Queued >= target.QueueTotal {
		q.queueFull.Store(true)
	}
	if resp.Permit == 0 && resp.RefusedMs > 0 {
		q.retryAfter.Store(int64(fromMillis(resp.RefusedMs)))
		if fromMillis(resp.QueuedMs) >= immediateRefusal {
			q.refusedLate.Store(true)
		}
	}
	return c.acceptResponse(q, resp, call, sent, generation)
}

// acquire returns the acquire of a request that comes from the failure domain domain and may
// wait for at most wait.
func (q *acquireRequest) acquire(wait time.Duration, domain string) *peerv1.PermitAcquire {
	return &peerv1.PermitAcquire{
		Workspace: q.Workspace,
		WaitMs:    millis(wait),
		HoldMs:    millis(q.MaxDuration),
		Avoid:     q.Avoid,
		Route:     q.Route, Idempotent: q.Idempotent, Second: q.Hedge,
		Repeat: q.Retry || q.Hedge, PatienceMs: millis(q.DueAfter), ObjectiveMs: millis(q.Objective),
		Domain: domain, Failing: q.Failing,
	}
}

// exchange calls the holder, or its handler directly when this VM is the
// holder.
func (p *Pool) exchange(ctx context.Context, vm member.VM, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	if vm.ID == p.config.Identity.VM.ID {
		return p.ExchangePermits(ctx, r)
	}
	return p.config.Peer.ExchangePermits(ctx, vm, r)
}

// newExchange builds a call with the pending releases. It also returns the
// generation of reports that the call belongs to.
func (c *groupClient) newExchange() (*peerv1.ExchangePermitsRequest, uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.pool.config.Identity
	r := &peerv1.ExchangePermitsRequest{
		Vm:         id.VM.ID,
		Instance:   id.Instance,
		Group:      c.name,
		Ticket:     c.pool.config.Configs.Snapshot().Ticket(),
		Releases:   c.takePending(),
		Generation: c.generation,
	}
	return r, c.generation
}

// recordFailure records that the holder did not answer and keeps the releases
// for the next call. A release that arrives twice has no effect.
func (c *groupClient) recordFailure(releases []*peerv1.PermitRelease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = time.Now()
	// The lost response may have contained a permit. A report makes the holder
	// reclaim it.
	c.reportDue = true
	c.requeue(releases)
}

// confirmReleases drops the ended permits whose outcomes the holder has
// processed. If it has not processed them, their releases are queued again: a
// holder without a report from this VM does not know the permits. The same goes
// for releases of a call that began before the last report, which may have
// listed the permits to another holder.
func (c *groupClient) confirmReleases(releases []*peerv1.PermitRelease, generation uint32, processed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !processed || generation != c.generation {
		c.requeue(releases)
		return
	}
	for _, r := range releases {
		delete(c.unconfirmed, r.Permit)
	}
}

// requeue sends releases again after unreachableBackoff, except those of
// expired permits. The releases are dropped if more than maxPending would be
// kept. The caller holds c.mu.
func (c *groupClient) requeue(releases []*peerv1.PermitRelease) {
	now := time.Now()
	releases = slices.DeleteFunc(releases, func(r *peerv1.PermitRelease) bool {
		pt := c.unconfirmed[r.Permit]
		return pt == nil || !now.Before(pt.deadline)
	})
	maps.DeleteFunc(c.unconfirmed, func(_ uint64, pt *permit) bool { return !now.Before(pt.deadline) })
	if len(c.pending)+len(releases) > maxPending {
		return
	}
	c.pending = append(c.pending, releases...)
	if !c.flushScheduled && len(c.pending) > 0 {
		c.flushScheduled = true
		time.AfterFunc(unreachableBackoff, c.flush)
	}
}

// withoutHolder reports whether the group has had no exclusive holder for so
// long that an outdated claim cannot be the reason.
func (c *groupClient) withoutHolder(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notHolderSince.IsZero() {
		c.notHolderSince = now
	}
	return now.Sub(c.notHolderSince) >= maxClaimAge
}

// acceptResponse turns a response into a permit. It returns nil when the
// response contains none that may be used.
func (c *groupClient) acceptResponse(q *acquireRequest, resp *peerv1.ExchangePermitsResponse, call uint64, sent time.Time, generation uint32) *permitUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordResponse(resp, call, time.Now())
	if resp.Permit == 0 {
		return nil
	}
	l := c.pool.currentLayout()
	t, ok := l.usableTarget(c.service, c.name, resp.Target)
	hold := q.MaxDuration
	if v := l.Groups[c.name]; v != nil {
		// The holder allows at most the longest route timeout.
		hold = min(hold, v.LongestHold)
	}
	pt := &permit{
		client:      c,
		id:          resp.Permit,
		target:      t,
		deadline:    sent.Add(hold + target.HoldSlack),
		idleTimeout: fromMillis(resp.IdleMs),
		hedgeAfter:  fromMillis(resp.HedgeMs),
	}
	if !ok || generation != c.generation {
		pt.outcomes = []*peerv1.PermitRelease{{Permit: pt.id, Outcome: peerv1.Outcome_OUTCOME_UNUSED}}
		c.endPermit(pt)
		return nil
	}
	c.held[pt.id] = pt
	c.pool.recordLocality(t)
	return &permitUse{permit: pt}
}

// sendReleases sends the pending releases of a client without an acquire.
func (p *Pool) sendReleases(c *groupClient) {
	r, _ := c.newExchange()
	vm, ok := p.config.Ownership.Holder(c.shard)
	if !ok {
		c.confirmReleases(r.Releases, r.Generation, false)
		return
	}
	r.BaselineUs = uint64(p.baseline(c.service).value().Microseconds())
	call := c.startCall(vm, false)
	ctx, cancel := context.WithTimeout(context.Background(), callMargin)
	defer cancel()
	resp, err := p.exchange(ctx, vm, r)
	if err != nil {
		c.recordFailure(r.Releases)
		return
	}
	c.confirmReleases(r.Releases, r.Generation, resp.Holder && !resp.Report)
	if resp.Holder {
		c.mu.Lock()
		c.recordResponse(resp, call, time.Now())
		c.mu.Unlock()
	}
}
