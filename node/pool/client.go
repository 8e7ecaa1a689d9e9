package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

const (
	// releaseDelay is how long releases are collected to send them in one call.
	releaseDelay = 3 * time.Millisecond
	// unreachableBackoff is how long a holder is skipped after a failed call.
	unreachableBackoff = 250 * time.Millisecond
	// maxLoadAge is how long the free and queued slots of a response are used.
	maxLoadAge = 250 * time.Millisecond
	// maxWarmAge is how long after a response the targets that are missing from
	// its list of warm targets are considered cold.
	maxWarmAge = 5 * time.Second
	// maxClaimAge is how long the claims that this VM knows may be outdated:
	// two heartbeats.
	maxClaimAge = time.Second
	// callMargin is the time for the call itself, added to the wait of an
	// acquire.
	callMargin = time.Second
	// maxPending bounds the releases kept while the holder does not answer.
	maxPending = 256
)

// groupClient is the state of the entry side for one group: the load of its
// holder and the permits that this VM holds.
type groupClient struct {
	pool    *Pool
	name    string
	service string
	domain  string // failure domain of all targets; empty where they are in several
	shard   member.Shard

	// mu guards the fields below.
	mu sync.Mutex
	// free and queued are the number of free slots and of waiting requests in
	// the last response, which came at respondedAt.
	free        int
	queued      int
	respondedAt time.Time
	// estimate is the expected load of the group while estimateOf is its holder. It is used
	// only with Config.AnticipateLoad.
	estimate   target.LoadEstimate
	estimateOf holderID
	// warmAt is when a holder that had completed its takeover last responded
	// with its warm targets.
	warmAt time.Time
	// failedAt is when the last call failed; zero after a response of a holder.
	failedAt time.Time
	// notHolderSince is when a VM that claimed the group first responded that
	// it is not the holder; zero after a response of a holder.
	notHolderSince time.Time
	// warm lists the IDs of the warm targets as of warmAt.
	warm []string
	// held lists the permits of this VM, idle ones included.
	held map[uint64]*permit
	// idle lists the permits kept for reuse.
	idle []*permit
	// unconfirmed lists ended permits whose outcomes no holder has confirmed.
	// Reports list them, so that a holder counts them until it has the
	// outcomes.
	unconfirmed map[uint64]*permit
	// pending lists the releases to send with the next call.
	pending []*peerv1.PermitRelease
	// flushScheduled reports whether a timer for flush is running.
	flushScheduled bool
	// generation counts reports. A permit from a call that began before the
	// last report is unknown to the new holder and must not be used.
	generation uint32
	// reportedTo is the holder that received the last report.
	reportedTo holderID
	// reportDue is set when the holder asked for a report, or when a report or
	// another call failed.
	reportDue bool
	// reporting is set while a report is in flight.
	reporting bool
	// reportedTicket is the ticket of the last report.
	reportedTicket uint64
	// lastUse is when each target was last used in degraded mode.
	lastUse map[string]time.Time
}

// holderID identifies a process that holds a group.
type holderID struct {
	vm       string
	instance uint64
}

func newGroupClient(p *Pool, g *target.Group) *groupClient {
	return &groupClient{
		pool:        p,
		name:        g.Name,
		service:     g.Service,
		domain:      g.Domain,
		shard:       p.shardOf(g),
		held:        map[uint64]*permit{},
		unconfirmed: map[uint64]*permit{},
	}
}

// lessLoaded reports whether the group of c is expected to have more free slots
// than that of other, or as many and a shorter queue.
func (c *groupClient) lessLoaded(other *groupClient) bool {
	return c.reportedLoad(time.Now()).LessLoaded(other.reportedLoad(time.Now()))
}

// reportedLoad returns the load of the group by the last response of its holder, without the
// number of slots.
func (c *groupClient) reportedLoad(now time.Time) target.GroupLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return target.GroupLoad{
		Free:        c.free,
		Queued:      c.queued,
		Outdated:    now.Sub(c.respondedAt) > maxLoadAge,
		Unreachable: now.Sub(c.failedAt) < unreachableBackoff,
	}
}

// looksFull reports whether an acquire without waiting is expected to fail.
func (c *groupClient) looksFull() bool {
	free, _ := c.reportedLoad(time.Now()).Expected()
	return free <= 0
}

// unreachable reports whether a call to the holder failed less than
// unreachableBackoff ago.
func (c *groupClient) unreachable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt) < unreachableBackoff
}

// takeIdle returns an idle permit that suits the request; nil for none.
func (c *groupClient) takeIdle(q *acquireRequest, now time.Time) *permitUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	i := c.findIdle(q, c.pool.currentLayout(), now)
	if i < 0 {
		return nil
	}
	pt := c.idle[i]
	c.idle = append(c.idle[:i], c.idle[i+1:]...)
	return &permitUse{permit: pt}
}

// findIdle returns the index of an idle permit that suits the request under a layout, -1 for
// none. The caller holds c.mu.
func (c *groupClient) findIdle(q *acquireRequest, l *layout, now time.Time) int {
	return slices.IndexFunc(c.idle, func(pt *permit) bool {
		fits := !q.avoids(pt.target.ID) && !now.Add(q.MaxDuration).After(pt.deadline) && now.Before(pt.idleUntil)
		return fits && pt.checkUnder(l, now) == nil
	})
}

// recordResponse records the state in the response of a holder to a call of startCall.
// The caller holds c.mu.
func (c *groupClient) recordResponse(resp *peerv1.ExchangePermitsResponse, call uint64, now time.Time) {
	c.free = int(resp.Free)
	c.queued = int(resp.Queued)
	c.respondedAt = now
	c.recordLoad(call, now)
	if resp.Ready {
		c.warm = resp.Warm
		c.warmAt = now
	}
	c.failedAt = time.Time{}
	c.notHolderSince = time.Time{}
	c.reportDue = c.reportDue || resp.Report
}

// takePending removes and returns the releases to send with the next call. The
// caller holds c.mu.
func (c *groupClient) takePending() []*peerv1.PermitRelease {
	pending := c.pending
	c.pending = nil
	return pending
}

// endPermit ends a permit and queues its outcomes for the holder. The caller
// holds c.mu.
func (c *groupClient) endPermit(pt *permit) {
	delete(c.held, pt.id)
	c.unconfirmed[pt.id] = pt
	if pt.degraded {
		c.pool.endDegraded(pt)
	}
	c.pending = append(c.pending, pt.outcomes...)
	pt.outcomes = nil
	c.scheduleFlush()
}

// scheduleFlush sends the pending releases after releaseDelay unless an acquire
// sends them earlier. The caller holds c.mu.
func (c *groupClient) scheduleFlush() {
	if c.flushScheduled || len(c.pending) == 0 {
		return
	}
	c.flushScheduled = true
	time.AfterFunc(releaseDelay, c.flush)
}

// flush sends the pending releases.
func (c *groupClient) flush() {
	c.mu.Lock()
	c.flushScheduled = false
	empty := len(c.pending) == 0
	c.mu.Unlock()
	if !empty {
		c.pool.sendReleases(c)
	}
}

// keepIdle keeps a permit for reuse and ends it when no request takes it in
// time. The caller holds c.mu.
func (c *groupClient) keepIdle(pt *permit, now time.Time) {
	pt.idleUntil = now.Add(pt.idleTimeout)
	c.idle = append(c.idle, pt)
	time.AfterFunc(pt.idleTimeout, func() { c.expireIdle(pt) })
}

// expireIdle ends an idle permit whose time for reuse has passed.
func (c *groupClient) expireIdle(pt *permit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.idle {
		if other == pt && !time.Now().Before(pt.idleUntil) {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			c.endPermit(pt)
			return
		}
	}
}
