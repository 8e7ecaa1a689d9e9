package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// maxIdleTime is how long an entry VM may keep an idle permit at low load.
const maxIdleTime = 100 * time.Millisecond

// exchangeCall is one ExchangePermits call on its way to the holder side.
type exchangeCall struct {
	request *peerv1.ExchangePermitsRequest
	waiter  *waiter
}

// waiter is the caller of one exchange. It receives exactly one reply.
type waiter struct {
	caller  target.Caller
	acquire target.AcquireRequest
	// due is when the request should have a slot.
	due time.Time
	// arrivedAt is when the request arrived at the holder.
	arrivedAt time.Time
	state     atomic.Int32
	reply     chan *peerv1.ExchangePermitsResponse
}

// The states of a waiter.
const (
	waiting int32 = iota
	answered
	abandoned
)

// mayBeTrial reports whether the request may be a trial: one that is sent to a
// gray target to find out whether the target has recovered.
func (w *waiter) mayBeTrial() bool {
	return w.acquire.Idempotent && !w.acquire.Hedge
}

// finish sends the reply unless the caller has stopped waiting.
func (w *waiter) finish(r *peerv1.ExchangePermitsResponse) {
	if w.state.CompareAndSwap(waiting, answered) {
		w.reply <- r
	}
}

// ExchangePermits serves the call of an entry VM. It waits for a slot as long
// as the request allows. It returns an error of kind Overloaded when the
// mailbox is full, and DeadlineNotRun when ctx ends or the pool stops first. A
// full queue of the group is reported in the response.
func (p *Pool) ExchangePermits(ctx context.Context, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	w := &waiter{
		caller: target.Caller{VM: r.Vm, Instance: r.Instance},
		reply:  make(chan *peerv1.ExchangePermitsResponse, 1),
	}
	if err := p.actor.Send(exchangeCall{r, w}); err != nil {
		return nil, err
	}
	select {
	case resp := <-w.reply:
		return resp, nil
	case <-ctx.Done():
	case <-p.done:
	}
	if !w.state.CompareAndSwap(waiting, abandoned) {
		return <-w.reply, nil
	}
	return nil, fault.New(fault.DeadlineNotRun, "the call ended before a slot of group %s became free", r.Group)
}

func (e exchangeCall) apply(h *holderActor) {
	l := h.pool.currentLayout()
	hold, held := h.groupLease(l, e.request.Group)
	if !held {
		e.waiter.finish(&peerv1.ExchangePermitsResponse{})
		return
	}
	now := time.Now()
	g := h.group(l, l.Groups[e.request.Group], hold, now)
	g.holder.RecordBaseline(e.request.Vm, time.Duration(e.request.BaselineUs)*time.Microsecond, now)
	g.holder.Release(e.waiter.caller, fromReleases(e.request.Releases), now)
	if e.request.Acquire == nil {
		e.waiter.finish(h.newResponse(g, e.waiter, now))
		h.serveQueue(g)
		return
	}
	h.enqueue(g, e, now)
}

// enqueue adds an acquire to the queue of the group and serves the queue. It
// refuses an acquire that is not admitted.
func (h *holderActor) enqueue(g *heldGroup, e exchangeCall, now time.Time) {
	a := e.request.Acquire
	e.waiter.acquire = target.AcquireRequest{
		Caller:     e.waiter.caller,
		Hold:       fromMillis(a.HoldMs),
		Avoid:      a.Avoid,
		Generation: e.request.Generation,
		Route:      a.Route,
		Idempotent: a.Idempotent,
		Hedge:      a.Second,
		Repeat:     a.Repeat,
		Domain:     a.Domain,
		Failing:    a.Failing,
	}
	e.waiter.due = now.Add(fromMillis(a.PatienceMs))
	e.waiter.arrivedAt = now
	d, ok := h.admit(g, e, now)
	if !ok {
		return
	}
	if !g.queue.Push(a.Workspace, d.due, d.deadline, e.waiter) {
		h.serveQueue(g)
		e.waiter.finish(h.queueFull(g, e.waiter, d.expected, now))
		return
	}
	h.serveQueue(g)
	if isImmediate(a) {
		g.queue.Expire(now, func(w *waiter) { h.endWait(g, w, w == e.waiter, now) })
	}
}

// endWait responds to a request whose time in the queue has passed. One that did not want
// to wait is not refused.
func (h *holderActor) endWait(g *heldGroup, w *waiter, immediate bool, now time.Time) {
	if immediate {
		w.finish(h.newResponse(g, w, now))
		return
	}
	w.finish(h.expiredResponse(g, w, now))
}

// isImmediate reports whether an acquire does not want to wait for a slot. It is granted a free
// slot in the order of the queue and is not refused otherwise, because its caller goes on to
// another group: a refusal would count as a request that was not served.
func isImmediate(a *peerv1.PermitAcquire) bool {
	return a.WaitMs == 0
}

// admit decides whether a request may wait, and refuses it if not. ok is false when the
// request was refused.
func (h *holderActor) admit(g *heldGroup, e exchangeCall, now time.Time) (d admission, ok bool) {
	a := e.request.Acquire
	switch {
	case !g.byHealthEstimate():
		return admission{due: e.waiter.due, deadline: now.Add(fromMillis(a.WaitMs))}, true
	case g.control != nil:
		d = h.admitWithControl(g, e, now)
	default:
		d = g.admitByHealth(a, e.waiter.due, isImmediate(a), now)
	}
	if d.withheld && g.control != nil {
		g.control.withheld++
		e.waiter.finish(h.refuseWithControl(g, e.waiter, d.expected, now))
		return d, false
	}
	if d.withheld || !d.admitted {
		e.waiter.finish(h.refuse(g, e.waiter, d.expected, now))
		return d, false
	}
	return d, true
}

// admitByHealth decides whether a request may wait without overload control. An immediate one
// does not want to wait and is not refused.
func (g *heldGroup) admitByHealth(a *peerv1.PermitAcquire, due time.Time, immediate bool, now time.Time) admission {
	d := admission{due: due, withheld: a.Repeat && !g.holder.MayRepeat(now)}
	if immediate {
		d.deadline, d.admitted = now, true
		return d
	}
	d.deadline, d.expected, d.admitted = g.admission.Admit(waitRequest(a), g.queue.Ahead(due), g.queue.Len(), g.holder.MeanAnswerTime(a.Route), now)
	return d
}

// waitRequest converts an acquire from protobuf.
func waitRequest(a *peerv1.PermitAcquire) target.WaitRequest {
	return target.WaitRequest{
		DueAfter:  fromMillis(a.PatienceMs),
		Objective: fromMillis(a.ObjectiveMs),
		Wait:      fromMillis(a.WaitMs),
		Hold:      fromMillis(a.HoldMs),
	}
}

// minRetryAfter is the minimum time after which a refused request may be
// retried.
const minRetryAfter = 100 * time.Millisecond

// refuse returns the response to a request that cannot be served in time. wait
// is the expected wait for a slot.
func (h *holderActor) refuse(g *heldGroup, w *waiter, wait time.Duration, now time.Time) *peerv1.ExchangePermitsResponse {
	g.holder.RecordRefusal(now)
	if g.control != nil {
		return h.refuseWithControl(g, w, wait, now)
	}
	resp := h.newResponse(g, w, now)
	resp.RefusedMs = millis(max(wait, minRetryAfter))
	resp.QueuedMs = millis(now.Sub(w.arrivedAt))
	return resp
}

// queueFull returns the response to a request for which the queue has no room.
func (h *holderActor) queueFull(g *heldGroup, w *waiter, wait time.Duration, now time.Time) *peerv1.ExchangePermitsResponse {
	if g.control != nil {
		return h.refuse(g, w, wait, now)
	}
	resp := h.newResponse(g, w, now)
	resp.Queued = target.QueueTotal
	return resp
}

// serveQueue grants permits to waiting callers while there are free slots.
func (h *holderActor) serveQueue(g *heldGroup) {
	if g.queue.Len() == 0 {
		return
	}
	g.queue.Serve(func(w *waiter) bool { return h.grantPermit(g, w) })
}

// grantPermit grants one permit to a waiting caller. It checks the lease
// immediately before the grant. It returns false when the caller must keep
// waiting.
func (h *holderActor) grantPermit(g *heldGroup, w *waiter) bool {
	if w.state.Load() == abandoned {
		return true
	}
	hold, held := h.exclusiveLease(g.shard)
	if !held || hold.Epoch != g.epoch {
		w.finish(&peerv1.ExchangePermitsResponse{})
		return true
	}
	now := time.Now()
	if w.acquire.Repeat && g.byHealthEstimate() && !g.holder.MayRepeat(now) {
		// Repeats that were admitted before it have used up the budget.
		if g.control != nil {
			g.control.withheld++
		}
		w.finish(h.refuse(g, w, 0, now))
		return true
	}
	w.acquire.Overdue = now.After(w.due)
	w.acquire.MayIdle = !g.byHealthEstimate() && h.lowLoad(g, now)
	grant, ok := g.holder.Acquire(w.acquire, now)
	if !ok {
		return false
	}
	h.checkGrant(g, grant, now)
	g.admission.RecordGrant(g.queue.Len() > 1, now)
	resp := h.newResponse(g, w, now)
	resp.Permit = grant.Permit
	// The queue still contains the caller itself.
	resp.Queued--
	resp.Target = grant.Target
	resp.HedgeMs = millis(grant.HedgeAfter)
	if w.acquire.MayIdle && !grant.Cold {
		resp.IdleMs = millis(maxIdleTime)
	}
	if !w.state.CompareAndSwap(waiting, answered) {
		unused := target.Release{Permit: grant.Permit, Outcome: target.Unused}
		g.holder.Release(w.caller, []target.Release{unused}, now)
		return true
	}
	w.reply <- resp
	return true
}

// checkGrant asserts the invariants on granted permits.
func (h *holderActor) checkGrant(g *heldGroup, grant target.Grant, now time.Time) {
	name := g.holder.View().Group.Name
	newest := h.pool.currentLayout()
	var settled *target.View
	if l := newest.settled(now); l != nil {
		settled = l.Groups[name]
	}
	h.check.Granted(g.holder, grant, settled, newest.Groups[name])
}

// lowLoad reports whether at least half of the slots would stay free. While a
// target is on its cold start ramp, no permit is reused: the ramp rises with
// each reported success, and those of a reused permit are reported only when
// the permit ends.
func (h *holderActor) lowLoad(g *heldGroup, now time.Time) bool {
	return g.queue.Len() <= 1 && !g.holder.Ramping() && 2*(g.holder.FreeSlots(now)-1) >= g.holder.Capacity(now)
}

// newResponse returns a response without a permit.
func (h *holderActor) newResponse(g *heldGroup, w *waiter, now time.Time) *peerv1.ExchangePermitsResponse {
	return &peerv1.ExchangePermitsResponse{
		Holder: true,
		Free:   uint32(g.holder.FreeSlots(now)),
		Queued: uint32(g.queue.Len()),
		Warm:   g.warmTargets(),
		Ready:  g.holder.Ready(),
		Report: !g.holder.Reported(w.caller.VM),
	}
}

// warmTargets returns the warm targets. Entry VMs need them only where targets
// are not placed by health estimate.
func (g *heldGroup) warmTargets() []string {
	if g.byHealthEstimate() {
		return nil
	}
	return g.holder.WarmTargets()
}

// reportCall is one ReportPermits call on its way to the holder side.
type reportCall struct {
	request *peerv1.ReportPermitsRequest
	reply   chan bool
}

// ReportPermits serves the call of an entry VM that reports to a new holder
// which permits it holds. It returns an error of kind Overloaded when the
// mailbox is full, and DeadlineNotRun when ctx ends or the pool stops first.
func (p *Pool) ReportPermits(ctx context.Context, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
	reply := make(chan bool, 1)
	if err := p.actor.Send(reportCall{r, reply}); err != nil {
		return nil, err
	}
	select {
	case holder := <-reply:
		return &peerv1.ReportPermitsResponse{Holder: holder}, nil
	case <-ctx.Done():
	case <-p.done:
	}
	return nil, fault.New(fault.DeadlineNotRun, "the report for group %s was not processed before the call ended", r.Group)
}

func (r reportCall) apply(h *holderActor) {
	l := h.pool.currentLayout()
	hold, held := h.groupLease(l, r.request.Group)
	if !held {
		r.reply <- false
		return
	}
	now := time.Now()
	g := h.group(l, l.Groups[r.request.Group], hold, now)
	g.holder.RecordReport(fromReport(r.request), now)
	r.reply <- true
}
