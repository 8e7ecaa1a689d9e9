package rate

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// Intervals of the holder's actor. Leases are observed twice in each
// quota.MaxGap, so that one late tick loses no refill. Shards that were not
// held are scanned less often, because the buckets of a new lease start empty
// anyway.
const (
	tickInterval  = quota.MaxGap / 2
	scanInterval  = 100 * time.Millisecond
	sweepInterval = time.Second
	// startDelay keeps the timer of a new holder from firing before it is
	// reset.
	startDelay = time.Hour
)

// maxRefillTime bounds how long a bucket of a new lease counts as refilling.
// Such a bucket starts empty, not all members lend to the holder at once, and
// the requests that waited during the takeover use its tokens first. At 60% of
// the rate, the backlog of a takeover of 2.6 s lasts 3.9 s.
const maxRefillTime = 4 * time.Second

// bucketIdleTime is how long a bucket is kept after its last use, and its
// division after the last shortage.
const bucketIdleTime = 5 * time.Second

// Bounds of the delay before the next call of an entry VM.
const (
	minCallDelay = 5 * time.Millisecond
	maxCallDelay = quota.DivisionRound
)

// maxWant bounds the tokens of one call.
const maxWant = 1 << 16

// holder is the side of a limiter that issues tokens. All fields except the
// atomic ones belong to the actor.
type holder struct {
	cfg    Config
	actor  *duty.Actor[message]
	timer  *time.Timer
	closed atomic.Bool

	// shards holds the shards that this VM holds.
	shards map[member.Shard]*heldShard
	// scannedAt is when all shards were last observed, sweptAt when unused
	// state was last dropped.
	scannedAt time.Time
	sweptAt   time.Time
	limits    limits
	// withPending holds the buckets with pending calls.
	withPending map[*bucket]struct{}

	// buckets counts the buckets, issued the tokens that were issued.
	buckets atomic.Int64
	issued  atomic.Uint64
}

// message is a call for tokens, a query for the level of a bucket, or a tick if both are
// nil.
type message struct {
	level   *levelQuery
	request *peerv1.AcquireTokensRequest
	reply   chan *peerv1.AcquireTokensResponse
}

// heldShard is the state of one shard that this VM holds.
type heldShard struct {
	// fill is the history of the fraction of their rates at which the buckets
	// of the shard may refill.
	fill quota.FractionHistory
	// epoch identifies the lease, which was first observed at leasedAt.
	epoch    uint64
	leasedAt time.Time
	// observedAt is the time of the last observation.
	observedAt time.Time
	buckets    map[string]*bucket
}

// bucket is the token bucket of one workspace.
type bucket struct {
	id    string
	shard *heldShard
	// pending lists the calls that wait for tokens, oldest request first.
	pending []pendingCall
	quota   quota.Bucket
	meter   quota.Meter
	// division divides the refill between entry VMs; nil unless the bucket has
	// recently issued fewer tokens than requested.
	division *quota.Division
	// usedAt is when the bucket last received a call, shortAt when it last issued
	// fewer tokens than requested.
	usedAt  time.Time
	shortAt time.Time
	// refilledEpoch is the epoch of the newest lease in which the bucket still
	// had a token after it issued to a call all that the call requested.
	refilledEpoch uint64
}

// newHolder starts the actor of the holder side.
func newHolder(c Config) *holder {
	h := &holder{cfg: c, shards: map[member.Shard]*heldShard{}, withPending: map[*bucket]struct{}{}}
	h.actor = duty.Spawn(c.System, "rate", c.MailboxSize, h.handle)
	// The actor uses the timer field, so the timer starts only after the field
	// is set.
	h.timer = time.AfterFunc(startDelay, h.tick)
	h.timer.Reset(tickInterval)
	return h
}

// tick sends a tick to the actor, which resets the timer. When the mailbox is
// full, the queued calls observe the leases instead and the tick is retried
// later.
func (h *holder) tick() {
	if err := h.actor.Send(message{}); err != nil && !h.closed.Load() {
		h.timer.Reset(tickInterval)
	}
}

func (h *holder) close() {
	h.closed.Store(true)
	h.timer.Stop()
	h.actor.Stop()
}

// acquire sends a call to the actor and waits for its response.
func (h *holder) acquire(ctx context.Context, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	m := message{request: r, reply: make(chan *peerv1.AcquireTokensResponse, 1)}
	if err := h.actor.Send(m); err != nil {
		return nil, err
	}
	select {
	case resp := <-m.reply:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handle processes one message on the actor.
func (h *holder) handle(m message) {
	switch {
	case m.request != nil:
		h.serveCall(m)
		return
	case m.level != nil:
		m.level.reply <- h.level(m.level.workspace)
		return
	}
	h.onTick()
	if !h.closed.Load() {
		h.timer.Reset(duty.UntilNext(h.tickDelay()))
	}
}

// tickDelay returns the time to the next tick. Without buckets, the leases are
// only observed every scanInterval: the refill available to a new bucket is
// then less than it could be, and never more.
func (h *holder) tickDelay() time.Duration {
	if h.buckets.Load() == 0 {
		return scanInterval
	}
	return tickInterval
}

// onTick applies a new configuration, observes the leases, serves the pending
// calls and drops unused state.
func (h *holder) onTick() {
	now := h.cfg.Now()
	h.refresh(now)
	h.limits.expire(now)
	h.observeAll(now)
	h.servePending()
	if now.Sub(h.sweptAt) >= sweepInterval {
		h.sweptAt = now
		h.sweep(now)
	}
}

// observeAll observes the held shards, and all others every scanInterval.
func (h *holder) observeAll(now time.Time) {
	if now.Sub(h.scannedAt) < scanInterval {
		for s := range h.shards {
			h.observe(s)
		}
		return
	}
	h.scannedAt = now
	for s := range member.Shard(member.ShardCount) {
		h.observe(s)
	}
}

// observe reads the lease on s and returns its state; nil if this VM does not
// hold s. Tokens issued afterwards count from the returned time, which
// is before the lease was read, so that a pause after the check does not extend
// the lifetime of any token.
func (h *holder) observe(s member.Shard) (*heldShard, time.Time) {
	before := h.cfg.Now()
	hold, ok := h.cfg.Ownership.Held(s)
	after := h.cfg.Now()
	if ok && !hold.Until.IsZero() && !after.Before(hold.Until) {
		ok = false
	}
	if !ok {
		h.dropShard(s)
		return nil, before
	}
	st := h.shards[s]
	if st == nil {
		st = &heldShard{buckets: map[string]*bucket{}}
		h.shards[s] = st
	}
	grants := quota.Grants{Count: hold.Grants, Members: max(hold.Fleet, hold.Members), Exclusive: hold.Exclusive}
	if st.epoch != hold.Epoch {
		st.epoch, st.leasedAt = hold.Epoch, before
	}
	st.observedAt = before
	st.fill.Observe(before, after, hold.Epoch, grants.Fraction(h.cfg.LentFraction))
	return st, before
}

// dropShard drops the state of a shard that this VM does not hold.
func (h *holder) dropShard(s member.Shard) {
	st := h.shards[s]
	if st == nil {
		return
	}
	for id := range st.buckets {
		h.dropBucket(st, id)
	}
	delete(h.shards, s)
}

// serveCall answers a call for tokens, or keeps it until a token is available.
func (h *holder) serveCall(m message) {
	r := m.request
	h.refresh(h.cfg.Now())
	st, now := h.observe(member.ShardOf(r.GetWorkspace()))
	if st == nil {
		m.reply <- &peerv1.AcquireTokensResponse{}
		return
	}
	limit, ok := h.limits.of(r.GetWorkspace())
	if !ok {
		m.reply <- &peerv1.AcquireTokensResponse{Holder: true, RetryAfterMs: ceilMillis(maxCallDelay)}
		return
	}
	b := h.bucket(st, r.GetWorkspace(), limit)
	b.quota.Advance(&st.fill, limit)
	b.usedAt = now
	if b.division != nil {
		b.division.RecordArrivals(r.GetVm(), int(r.GetArrived()))
	}
	issued := 0
	if len(b.pending) == 0 {
		issued = b.issue(&st.fill, r, maxWant, now)
	}
	if issued == 0 && h.addPending(b, m, now) {
		h.serveBucket(st, b, now)
		return
	}
	m.reply <- h.newResponse(st, b, r, issued, now)
}

// refresh applies a new ticket to all buckets at once, so that a bucket refills
// at the new rate also before its next use.
func (h *holder) refresh(now time.Time) {
	if !h.limits.update(h.cfg.Configs.Snapshot(), now) {
		return
	}
	for s := range h.shards {
		st, at := h.observe(s)
		if st == nil {
			continue
		}
		for id, b := range st.buckets {
			limit, ok := h.limits.of(id)
			if !ok {
				h.dropBucket(st, id)
				continue
			}
			b.quota.Advance(&st.fill, limit)
			h.check(b, 0, at)
		}
	}
}

// dropBucket removes a bucket and answers its pending calls.
func (h *holder) dropBucket(st *heldShard, id string) {
	h.rejectPending(st.buckets[id])
	delete(st.buckets, id)
	h.buckets.Add(-1)
}

// bucket returns the bucket of a workspace and creates it if needed.
func (h *holder) bucket(st *heldShard, id string, limit quota.Limit) *bucket {
	b, ok := st.buckets[id]
	if !ok {
		b = &bucket{id: id, shard: st, quota: *quota.NewBucket(&st.fill, h.limits.initial(id, limit))}
		st.buckets[id] = b
		h.buckets.Add(1)
	}
	return b
}

// issue issues at most bound of the tokens that r requests. The refill is
// divided between entry VMs by demand only while the bucket cannot serve all of
// them.
func (b *bucket) issue(f *quota.FractionHistory, r *peerv1.AcquireTokensRequest, bound int, now time.Time) int {
	want := int(min(r.GetWant(), maxWant))
	allowed := min(want, bound)
	if b.division != nil && !b.quota.MoreThanHalfLeft(f, allowed) {
		allowed = b.division.Allow(r.GetVm(), allowed, b.quota.Refill(f), now)
	}
	issued := b.quota.Take(allowed)
	if issued == want && b.quota.Level() >= 1 {
		b.refilledEpoch = b.shard.epoch
	}
	if issued < want {
		b.shortAt = now
		if b.division == nil {
			b.division = quota.NewDivision(now)
		}
	}
	if b.division != nil {
		b.division.RecordIssued(r.GetVm(), issued)
	}
	return issued
}

// check asserts the invariant "rate" with a meter that is independent of the
// bucket.
func (h *holder) check(b *bucket, issued int, now time.Time) {
	limit, ok := h.limits.of(b.id)
	if !ok {
		return
	}
	if excess, ok := b.meter.Add(issued, limit, now); !ok {
		detail := fmt.Sprintf("the tokens issued exceed rate × time by %.3f, more than the burst allows; limit %+v", excess, limit)
		h.cfg.Events.Violated(invariant.Rate, b.id, detail)
	}
}

// sweep drops unused state, so that memory grows with the number of active
// workspaces and not with the number of all workspaces.
func (h *holder) sweep(now time.Time) {
	for _, st := range h.shards {
		for id, b := range st.buckets {
			if now.Sub(b.shortAt) >= bucketIdleTime {
				b.division = nil
			}
			if now.Sub(b.usedAt) < bucketIdleTime {
				continue
			}
			if limit, ok := h.limits.of(id); ok {
				b.quota.Advance(&st.fill, limit)
			}
			if b.quota.CanDrop(&st.fill) {
				h.dropBucket(st, id)
			}
		}
	}
}

// limits looks up the limits of the applied configuration. It also keeps those
// of the previous one while tokens issued under it may still be in use.
type limits struct {
	current  *document.Snapshot
	previous *document.Snapshot
	// changed is when current replaced previous.
	changed time.Time
}

// update applies the snapshot s. It returns true if s is new.
func (l *limits) update(s *document.Snapshot, now time.Time) bool {
	if s == l.current {
		return false
	}
	l.previous, l.current = l.current, s
	l.changed = now
	return true
}

// expire drops the previous snapshot once tokens issued under it have expired.
func (l *limits) expire(now time.Time) {
	if now.Sub(l.changed) >= quota.MaxLifetime {
		l.previous = nil
	}
}

// of returns the current limit of a workspace.
func (l *limits) of(id string) (quota.Limit, bool) {
	return limitOf(l.current, id)
}

// initial returns the limit that a new bucket starts from: the previous limit
// of the workspace if there is one, otherwise the current one.
func (l *limits) initial(id string, current quota.Limit) quota.Limit {
	if old, ok := limitOf(l.previous, id); ok {
		return old
	}
	return current
}

// limitOf returns the limit of a workspace in s. s may be nil.
func limitOf(s *document.Snapshot, id string) (quota.Limit, bool) {
	if s == nil {
		return quota.Limit{}, false
	}
	w, ok := s.Workspaces[id]
	if !ok {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: w.RatePerSecond, Burst: w.Burst}, true
}

// lifetimeMs returns d in whole milliseconds, shortened so that an entry VM
// with a slow clock does not use tokens for longer than d.
func lifetimeMs(d time.Duration) uint32 {
	return uint32(float64(d) / quota.ClockDrift / float64(time.Millisecond))
}

// ceilMillis rounds up to milliseconds, so that a caller does not return too
// early.
func ceilMillis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
