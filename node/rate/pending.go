package rate

import (
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// maxHold is the longest time that a holder keeps a call without a token. It
// leaves time for the response before callTimeout.
const maxHold = 200 * time.Millisecond

// maxPending bounds the calls kept for one workspace. Each entry VM of a cell
// has at most one in flight.
const maxPending = 128

// pending is a call that the holder keeps until a token is free. Calls are
// served in the order in which their oldest requests arrived, so that after a
// takeover the requests closest to their deadline come first.
type pending struct {
	message
	since time.Time
	until time.Time
}

// keep adds a call to the pending ones of its workspace. It returns false when
// the call must be answered at once.
func (h *holder) keep(b *bucket, m message, now time.Time) bool {
	waited := time.Duration(m.request.GetWaitedMs()) * time.Millisecond
	if waited == 0 || len(b.pending) >= maxPending {
		return false
	}
	p := pending{
		message: m,
		since:   now.Add(-waited),
		until:   now.Add(min(maxHold, b.quota.Lifetime()/2)),
	}
	at, _ := slices.BinarySearchFunc(b.pending, p, func(a, b pending) int { return a.since.Compare(b.since) })
	b.pending = slices.Insert(b.pending, at, p)
	h.kept[b] = struct{}{}
	return true
}

// serve gives the tokens of b to its pending calls.
func (h *holder) serve(st *shard, b *bucket, now time.Time) {
	waiting := len(b.pending)
	b.pending = slices.DeleteFunc(b.pending, func(p pending) bool {
		share := max(1, int(b.quota.Level())/waiting)
		given := b.take(&st.fill, p.request, share, now)
		if given == 0 && now.Before(p.until) {
			return false
		}
		p.reply <- h.answer(st, b, p.request, given, now)
		return true
	})
	if len(b.pending) == 0 {
		delete(h.kept, b)
	}
}

// servePending serves all workspaces with pending calls.
func (h *holder) servePending() {
	for b := range h.kept {
		limit, ok := h.limits.of(b.id)
		if !ok {
			h.release(b)
			continue
		}
		b.quota.Advance(&b.shard.fill, limit)
		h.serve(b.shard, b, b.shard.at)
	}
}

// release answers the pending calls of a bucket that this VM no longer has.
func (h *holder) release(b *bucket) {
	for _, p := range b.pending {
		p.reply <- &peerv1.AcquireTokensResponse{}
	}
	b.pending = nil
	delete(h.kept, b)
}

// answer builds the response to a call that got given tokens, and counts them.
func (h *holder) answer(st *shard, b *bucket, r *peerv1.AcquireTokensRequest, given int, now time.Time) *peerv1.AcquireTokensResponse {
	h.given.Add(uint64(given))
	h.check(b, given, now)
	resp := &peerv1.AcquireTokensResponse{
		Given:      uint32(given),
		LifetimeMs: lifetime(b.quota.Lifetime()),
		Holder:     true,
		Refilling:  b.refilled != st.epoch && now.Sub(st.since) < refillTime,
	}
	if given < int(r.GetWant()) {
		resp.RetryAfterMs = milliseconds(b.delay(&st.fill, r, now))
	}
	return resp
}

// delay returns the time after which the caller may expect a token. A call with
// a waiting request comes back at once, because the holder keeps it.
func (b *bucket) delay(f *quota.Fill, r *peerv1.AcquireTokensRequest, now time.Time) time.Duration {
	if r.GetWaitedMs() > 0 {
		return minAskDelay
	}
	d := b.quota.Wait(f)
	if b.division != nil {
		d = max(d, b.division.Wait(r.GetVm(), now))
	}
	return min(max(d, minAskDelay), maxAskDelay)
}
