package rate

import (
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// maxHold is the longest time that the holder keeps a call without a token. It
// leaves time for the response to arrive before callTimeout.
const maxHold = 200 * time.Millisecond

// maxPending bounds the pending calls of one workspace. Each entry VM of a cell
// has at most one in flight.
const maxPending = 128

// pendingCall is a call that the holder keeps until a token is available. Calls
// are served in the order in which their oldest requests arrived, so that after
// a takeover the requests closest to their deadline are served first.
type pendingCall struct {
	message
	// since is when the oldest waiting request of the call arrived.
	since time.Time
	// until is when the call is answered even without a token.
	until time.Time
}

// addPending adds a call to the pending calls of its workspace. It returns
// false if the call must be answered immediately.
func (h *holder) addPending(b *bucket, m message, now time.Time) bool {
	waited := time.Duration(m.request.GetWaitedMs()) * time.Millisecond
	if waited == 0 || len(b.pending) >= maxPending {
		return false
	}
	p := pendingCall{
		message: m,
		since:   now.Add(-waited),
		until:   now.Add(min(maxHold, b.quota.Lifetime()/2)),
	}
	at, _ := slices.BinarySearchFunc(b.pending, p, func(a, b pendingCall) int { return a.since.Compare(b.since) })
	b.pending = slices.Insert(b.pending, at, p)
	h.withPending[b] = struct{}{}
	return true
}

// serveBucket issues the tokens of b to its pending calls.
func (h *holder) serveBucket(st *heldShard, b *bucket, now time.Time) {
	waiting := len(b.pending)
	b.pending = slices.DeleteFunc(b.pending, func(p pendingCall) bool {
		share := max(1, int(b.quota.Level())/waiting)
		issued := b.issue(&st.fill, p.request, share, now)
		if issued == 0 && now.Before(p.until) {
			return false
		}
		p.reply <- h.newResponse(st, b, p.request, issued, now)
		return true
	})
	if len(b.pending) == 0 {
		delete(h.withPending, b)
	}
}

// servePending issues tokens to the pending calls of all workspaces.
func (h *holder) servePending() {
	for b := range h.withPending {
		limit, ok := h.limits.of(b.id)
		if !ok {
			h.rejectPending(b)
			continue
		}
		b.quota.Advance(&b.shard.fill, limit)
		h.serveBucket(b.shard, b, b.shard.observedAt)
	}
}

// rejectPending answers the pending calls of a bucket that this VM no longer
// keeps. The empty response says that this VM is not the holder.
func (h *holder) rejectPending(b *bucket) {
	for _, p := range b.pending {
		p.reply <- &peerv1.AcquireTokensResponse{}
	}
	b.pending = nil
	delete(h.withPending, b)
}

// newResponse builds the response to a call, and counts the issued tokens.
func (h *holder) newResponse(st *heldShard, b *bucket, r *peerv1.AcquireTokensRequest, issued int, now time.Time) *peerv1.AcquireTokensResponse {
	h.issued.Add(uint64(issued))
	h.check(b, issued, now)
	resp := &peerv1.AcquireTokensResponse{
		Given:      uint32(issued),
		LifetimeMs: lifetimeMs(b.quota.Lifetime()),
		Holder:     true,
		Refilling:  b.refilledEpoch != st.epoch && now.Sub(st.leasedAt) < maxRefillTime,
	}
	if issued < int(r.GetWant()) {
		resp.RetryAfterMs = ceilMillis(b.delay(&st.fill, r, now))
	}
	return resp
}

// delay returns the time after which the caller may expect a token. An entry VM
// with waiting requests may call again almost immediately, because the holder
// keeps its call pending.
func (b *bucket) delay(f *quota.FractionHistory, r *peerv1.AcquireTokensRequest, now time.Time) time.Duration {
	if r.GetWaitedMs() > 0 {
		return minCallDelay
	}
	d := b.quota.TimeUntilToken(f)
	if b.division != nil {
		d = max(d, b.division.TimeUntilCredit(r.GetVm(), now))
	}
	return min(max(d, minCallDelay), maxCallDelay)
}
