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

// The periods of the holder's actor. Leases are observed twice in each
// quota.MaxGap, so that one late tick loses no refill. Shards that were not
// held are looked at less often, because a new lease starts empty anyway.
const (
	tickPeriod   = quota.MaxGap / 2
	searchPeriod = 100 * time.Millisecond
	sweepPeriod  = time.Second
	// neverPeriod keeps the timer of a new holder from running.
	neverPeriod = time.Hour
)

// refillTime bounds how long a bucket of a new lease counts as refilling: it begins
// empty, not all members lend at once, and the requests of the takeover wait for its
// tokens. At 60% of the rate the backlog of a takeover of 2.6 s lasts 3.9 s.
const refillTime = 4 * time.Second

// bucketIdle is how long a bucket is kept after its last use.
const bucketIdle = 5 * time.Second

// The bounds of the delay before an entry VM asks again.
const (
	minAskDelay = 5 * time.Millisecond
	maxAskDelay = quota.Round
)

// maxWant bounds the tokens of one call.
const maxWant = 1 << 16

// holder is the side of a limiter that gives tokens. All fields but the
// counters belong to the actor.
type holder struct {
	cfg    Config
	duty   *duty.Duty[message]
	timer  *time.Timer
	closed atomic.Bool

	shards   map[member.Shard]*shard
	searched time.Time
	swept    time.Time
	limits   limits
	// kept holds the buckets with pending calls.
	kept map[*bucket]struct{}

	buckets atomic.Int64
	given   atomic.Uint64
}

// message is a call for tokens, or a tick when request is nil.
type message struct {
	request *peerv1.AcquireTokensRequest
	reply   chan *peerv1.AcquireTokensResponse
}

// shard is the state of one shard that this VM holds.
type shard struct {
	fill quota.Fill
	// epoch is that of the lease, and since when it was first observed.
	epoch uint64
	since time.Time
	// at is the time of the last observation.
	at      time.Time
	buckets map[string]*bucket
}

type bucket struct {
	id       string
	shard    *shard
	pending  []pending
	quota    quota.Bucket
	meter    quota.Meter
	division *quota.Division
	used     time.Time
	lacked   time.Time
	// refilled is the epoch of the lease in which the bucket first had tokens to spare.
	refilled uint64
}

func newHolder(c Config) *holder {
	h := &holder{cfg: c, shards: map[member.Shard]*shard{}, kept: map[*bucket]struct{}{}}
	h.duty = duty.Spawn(c.System, "rate", c.Mailbox, h.handle)
	// The actor uses the field, so the timer starts only after it is set.
	h.timer = time.AfterFunc(neverPeriod, h.tick)
	h.timer.Reset(tickPeriod)
	return h
}

// tick sends a tick to the actor, which sets the timer again. When the mailbox
// is full, calls observe the leases and the next tick is tried later.
func (h *holder) tick() {
	if err := h.duty.Tell(message{}); err != nil && !h.closed.Load() {
		h.timer.Reset(tickPeriod)
	}
}

func (h *holder) close() {
	h.closed.Store(true)
	h.timer.Stop()
	h.duty.Stop()
}

func (h *holder) acquire(ctx context.Context, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	m := message{request: r, reply: make(chan *peerv1.AcquireTokensResponse, 1)}
	if err := h.duty.Tell(m); err != nil {
		return nil, err
	}
	select {
	case resp := <-m.reply:
		return resp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *holder) handle(m message) {
	if m.request != nil {
		h.give(m)
		return
	}
	h.onTick()
	if !h.closed.Load() {
		h.timer.Reset(h.period())
	}
}

// period returns the time to the next tick. Without buckets the leases are only
// looked at from time to time: the refill that a new bucket may count on is then
// less than it could be, and never more.
func (h *holder) period() time.Duration {
	if h.buckets.Load() == 0 {
		return searchPeriod
	}
	return tickPeriod
}

func (h *holder) onTick() {
	now := h.cfg.Now()
	h.refresh(now)
	h.limits.expire(now)
	h.observeAll(now)
	h.servePending()
	if now.Sub(h.swept) >= sweepPeriod {
		h.swept = now
		h.sweep(now)
	}
}

// observeAll observes the held shards, and from time to time all others.
func (h *holder) observeAll(now time.Time) {
	if now.Sub(h.searched) < searchPeriod {
		for s := range h.shards {
			h.observe(s)
		}
		return
	}
	h.searched = now
	for s := range member.Shard(member.ShardCount) {
		h.observe(s)
	}
}

// observe reads the lease on s and returns its state; nil when this VM does
// not hold it. The tokens given after it count as issued at the returned time,
// which is before the lease was read, so a pause after the check gives no token
// a longer life.
func (h *holder) observe(s member.Shard) (*shard, time.Time) {
	before := h.cfg.Now()
	hold, ok := h.cfg.Ownership.Held(s)
	after := h.cfg.Now()
	if ok && !hold.Until.IsZero() && !after.Before(hold.Until) {
		ok = false
	}
	if !ok {
		h.lose(s)
		return nil, before
	}
	st := h.shards[s]
	if st == nil {
		st = &shard{buckets: map[string]*bucket{}}
		h.shards[s] = st
	}
	grants := quota.Grants{Count: hold.Grants, Members: max(hold.Fleet, hold.Members), Exclusive: hold.Exclusive}
	if st.epoch != hold.Epoch {
		st.epoch, st.since = hold.Epoch, before
	}
	st.at = before
	st.fill.Observe(before, after, hold.Epoch, grants.Fraction(h.cfg.Reserved))
	return st, before
}

// lose drops the state of a shard that this VM does not hold.
func (h *holder) lose(s member.Shard) {
	st := h.shards[s]
	if st == nil {
		return
	}
	for id := range st.buckets {
		h.drop(st, id)
	}
	delete(h.shards, s)
}

// give answers a call for tokens, or keeps it until a token is free.
func (h *holder) give(m message) {
	r := m.request
	h.refresh(h.cfg.Now())
	st, now := h.observe(member.ShardOf(r.GetWorkspace()))
	if st == nil {
		m.reply <- &peerv1.AcquireTokensResponse{}
		return
	}
	limit, ok := h.limits.of(r.GetWorkspace())
	if !ok {
		m.reply <- &peerv1.AcquireTokensResponse{Holder: true, RetryAfterMs: milliseconds(maxAskDelay)}
		return
	}
	b := h.bucket(st, r.GetWorkspace(), limit)
	b.quota.Advance(&st.fill, limit)
	b.used = now
	if b.division != nil {
		b.division.Arrived(r.GetVm(), int(r.GetArrived()))
	}
	given := 0
	if len(b.pending) == 0 {
		given = b.take(&st.fill, r, maxWant, now)
	}
	if given == 0 && h.keep(b, m, now) {
		h.serve(st, b, now)
		return
	}
	m.reply <- h.answer(st, b, r, given, now)
}

// refresh applies a new ticket to all buckets, so that the time until their
// next use refills at the new rate.
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
				h.drop(st, id)
				continue
			}
			b.quota.Advance(&st.fill, limit)
			h.check(b, 0, at)
		}
	}
}

func (h *holder) drop(st *shard, id string) {
	h.release(st.buckets[id])
	delete(st.buckets, id)
	h.buckets.Add(-1)
}

func (h *holder) bucket(st *shard, id string, limit quota.Limit) *bucket {
	b, ok := st.buckets[id]
	if !ok {
		b = &bucket{id: id, shard: st, quota: *quota.NewBucket(&st.fill, h.limits.before(id, limit))}
		st.buckets[id] = b
		h.buckets.Add(1)
	}
	return b
}

// take gives up to bound of the tokens that r wants. Demand is compared between
// entry VMs only while the bucket is short.
func (b *bucket) take(f *quota.Fill, r *peerv1.AcquireTokensRequest, bound int, now time.Time) int {
	want := int(min(r.GetWant(), maxWant))
	allowed := min(want, bound)
	if b.division != nil && !b.quota.Ample(f, allowed) {
		allowed = b.division.Allow(r.GetVm(), allowed, b.quota.Refill(f), now)
	}
	given := b.quota.Take(allowed)
	if given == want && b.quota.Level() >= 1 {
		b.refilled = b.shard.epoch
	}
	if given < want {
		b.lacked = now
		if b.division == nil {
			b.division = quota.NewDivision(now)
		}
	}
	if b.division != nil {
		b.division.Given(r.GetVm(), given)
	}
	return given
}

// check asserts invariant rate by a count that is independent of the bucket.
func (h *holder) check(b *bucket, given int, now time.Time) {
	limit, ok := h.limits.of(b.id)
	if !ok {
		return
	}
	if excess, ok := b.meter.Add(given, limit, now); !ok {
		detail := fmt.Sprintf("%.3f tokens above rate × time were given, limit %+v", excess, limit)
		h.cfg.Events.Violated(invariant.Rate, b.id, detail)
	}
}

// sweep drops what is not in use, so that the state follows the number of
// active workspaces and not of all.
func (h *holder) sweep(now time.Time) {
	for _, st := range h.shards {
		for id, b := range st.buckets {
			if now.Sub(b.lacked) >= bucketIdle {
				b.division = nil
			}
			if now.Sub(b.used) < bucketIdle {
				continue
			}
			if limit, ok := h.limits.of(id); ok {
				b.quota.Advance(&st.fill, limit)
			}
			if b.quota.Idle(&st.fill) {
				h.drop(st, id)
			}
		}
	}
}

// limits finds the limits in force, and those before the last ticket while
// tokens given under it may still be in use.
type limits struct {
	current  *document.Snapshot
	previous *document.Snapshot
	changed  time.Time
}

// update returns true when s is new.
func (l *limits) update(s *document.Snapshot, now time.Time) bool {
	if s == l.current {
		return false
	}
	l.previous, l.current = l.current, s
	l.changed = now
	return true
}

func (l *limits) expire(now time.Time) {
	if now.Sub(l.changed) >= quota.MaxLifetime {
		l.previous = nil
	}
}

func (l *limits) of(id string) (quota.Limit, bool) {
	return limitOf(l.current, id)
}

// before returns the limit that a new bucket starts from.
func (l *limits) before(id string, current quota.Limit) quota.Limit {
	if old, ok := limitOf(l.previous, id); ok {
		return old
	}
	return current
}

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

// lifetime returns the lifetime that an entry VM with a slow clock may count,
// in whole milliseconds.
func lifetime(d time.Duration) uint32 {
	return uint32(float64(d) / quota.ClockDrift / float64(time.Millisecond))
}

// milliseconds rounds up, so that a caller does not come too early.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
