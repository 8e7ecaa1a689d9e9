package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// idleTime is how long an entry VM may keep an idle permit at low load.
const idleTime = 100 * time.Millisecond

// exchange is one ExchangePermits call on its way to the owner side.
type exchange struct {
	request *peerv1.ExchangePermitsRequest
	waiter  *waiter
}

// waiter is the caller of one exchange. Its reply is sent once.
type waiter struct {
	caller target.Caller
	ask    target.Acquire
	due    time.Time
	state  atomic.Int32
	reply  chan *peerv1.ExchangePermitsResponse
}

// The states of a waiter.
const (
	waiting int32 = iota
	answered
	abandoned
)

// trial tells whether the request may be a trial of a target that counts as gray.
func (w *waiter) trial() bool {
	return w.ask.Idempotent && !w.ask.Second
}

// finish replies unless the caller has gone.
func (w *waiter) finish(r *peerv1.ExchangePermitsResponse) {
	if w.state.CompareAndSwap(waiting, answered) {
		w.reply <- r
	}
}

// ExchangePermits serves the call of an entry VM. It waits for a slot as long
// as the request allows. It returns an error of kind Overloaded when the
// mailbox or the queue of the group is full.
func (p *Pool) ExchangePermits(ctx context.Context, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	w := &waiter{
		caller: target.Caller{VM: r.Vm, Instance: r.Instance},
		reply:  make(chan *peerv1.ExchangePermitsResponse, 1),
	}
	if err := p.duty.Tell(exchange{r, w}); err != nil {
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
	return nil, fault.New(fault.DeadlineNotRun, "the wait for a slot of %s ended", r.Group)
}

func (e exchange) apply(o *owner) {
	l := o.pool.currentLayout()
	shard := member.ShardOf(e.request.Group)
	hold, held := o.exclusive(shard)
	if l == nil || !held || l.Groups[e.request.Group] == nil {
		e.waiter.finish(&peerv1.ExchangePermitsResponse{})
		return
	}
	now := time.Now()
	g := o.group(l, l.Groups[e.request.Group], hold, now)
	g.holder.Baseline(e.request.Vm, time.Duration(e.request.BaselineUs)*time.Microsecond, now)
	g.holder.Release(e.waiter.caller, fromReleases(e.request.Releases), now)
	if e.request.Acquire == nil {
		e.waiter.finish(o.answer(g, e.waiter, now))
		o.serve(g)
		return
	}
	o.enqueue(g, e, now)
}

// enqueue puts an acquire behind those that wait already and serves the queue.
func (o *owner) enqueue(g *ownedGroup, e exchange, now time.Time) {
	a := e.request.Acquire
	e.waiter.ask = target.Acquire{
		Caller:     e.waiter.caller,
		Hold:       fromMillis(a.HoldMs),
		Avoid:      a.Avoid,
		Generation: e.request.Generation,
		Route:      a.Route,
		Idempotent: a.Idempotent,
		Second:     a.Second,
		Repeat:     a.Repeat,
		Domain:     a.Domain,
	}
	deadline := now.Add(fromMillis(a.WaitMs))
	due := now.Add(fromMillis(a.PatienceMs))
	e.waiter.due = due
	if g.byBelief() {
		var expected time.Duration
		var admitted bool
		deadline, expected, admitted = g.admit(a, due, now)
		if a.Repeat && !g.holder.MayRepeat(now) || !admitted {
			e.waiter.finish(o.refuse(g, e.waiter, expected, now))
			return
		}
	}
	if !g.queue.Push(a.Workspace, due, deadline, e.waiter) {
		o.serve(g)
		resp := o.answer(g, e.waiter, now)
		resp.Queued = target.QueueTotal
		e.waiter.finish(resp)
		return
	}
	o.serve(g)
	if a.WaitMs == 0 {
		g.queue.Expire(now, func(w *waiter) { w.finish(o.answer(g, w, now)) })
	}
}

// admit decides whether and until when a request may wait, and how long it would.
func (g *ownedGroup) admit(a *peerv1.PermitAcquire, due, now time.Time) (deadline time.Time, expected time.Duration, ok bool) {
	w := target.Wish{
		Patience:  fromMillis(a.PatienceMs),
		Objective: fromMillis(a.ObjectiveMs),
		Wait:      fromMillis(a.WaitMs),
		Hold:      fromMillis(a.HoldMs),
	}
	return g.admission.Admit(w, g.queue.Ahead(due), g.queue.Len(), g.holder.AnswerTime(a.Route), now)
}

// minRefusal is the least time after which a refused request may come back.
const minRefusal = 100 * time.Millisecond

// refuse answers a request that cannot be served in time.
func (o *owner) refuse(g *ownedGroup, w *waiter, wait time.Duration, now time.Time) *peerv1.ExchangePermitsResponse {
	g.holder.Refused(now)
	resp := o.answer(g, w, now)
	resp.RefusedMs = millis(max(wait, minRefusal))
	return resp
}

// serve gives permits to waiting callers while there are free slots.
func (o *owner) serve(g *ownedGroup) {
	if g.queue.Len() == 0 {
		return
	}
	g.queue.Serve(func(w *waiter) bool { return o.give(g, w) })
}

// give gives one permit. It checks the lease right before, and returns false
// when the caller must go on waiting.
func (o *owner) give(g *ownedGroup, w *waiter) bool {
	if w.state.Load() == abandoned {
		return true
	}
	hold, held := o.exclusive(g.shard)
	if !held || hold.Epoch != g.epoch {
		w.finish(&peerv1.ExchangePermitsResponse{})
		return true
	}
	now := time.Now()
	w.ask.Overdue = now.After(w.due)
	w.ask.Idle = !g.byBelief() && o.lowLoad(g, now)
	grant, ok := g.holder.Acquire(w.ask, now)
	if !ok {
		return false
	}
	o.checkGrant(g, grant, now)
	g.admission.Served(g.queue.Len() > 1, now)
	resp := o.answer(g, w, now)
	resp.Permit = grant.Permit
	// The caller itself is still in the queue.
	resp.Queued--
	resp.Target = grant.Target
	resp.HedgeMs = millis(grant.HedgeAfter)
	if w.ask.Idle && !grant.Cold {
		resp.IdleMs = millis(idleTime)
	}
	if !w.state.CompareAndSwap(waiting, answered) {
		unused := target.Release{Permit: grant.Permit, Outcome: target.Unused}
		g.holder.Release(w.caller, []target.Release{unused}, now)
		return true
	}
	w.reply <- resp
	return true
}

func (o *owner) checkGrant(g *ownedGroup, grant target.Grant, now time.Time) {
	name := g.holder.View().Group.Name
	newest := o.pool.currentLayout()
	var settled *target.View
	if l := newest.settled(now); l != nil {
		settled = l.Groups[name]
	}
	o.check.Granted(g.holder, grant, settled, newest.Groups[name])
}

// lowLoad tells whether at least half of the slots would stay free. While a
// target is on its ramp no permit is reused, because it needs the successes.
func (o *owner) lowLoad(g *ownedGroup, now time.Time) bool {
	return g.queue.Len() <= 1 && !g.holder.Ramping() && 2*(g.holder.Free(now)-1) >= g.holder.Capacity(now)
}

// answer returns a response without a permit.
func (o *owner) answer(g *ownedGroup, w *waiter, now time.Time) *peerv1.ExchangePermitsResponse {
	return &peerv1.ExchangePermitsResponse{
		Holder: true,
		Free:   uint32(g.holder.Free(now)),
		Queued: uint32(g.queue.Len()),
		Warm:   g.warm(),
		Ready:  g.holder.Ready(),
		Report: !g.holder.Reported(w.caller.VM),
	}
}

// report is one ReportPermits call on its way to the owner side.
// warm returns the warm targets. Entry VMs need them only where targets are not
// placed by belief.
func (g *ownedGroup) warm() []string {
	if g.byBelief() {
		return nil
	}
	return g.holder.Warm()
}

type report struct {
	request *peerv1.ReportPermitsRequest
	reply   chan bool
}

// ReportPermits serves the call of an entry VM that tells a new holder what it
// holds. It returns an error of kind Overloaded when the mailbox is full.
func (p *Pool) ReportPermits(ctx context.Context, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
	reply := make(chan bool, 1)
	if err := p.duty.Tell(report{r, reply}); err != nil {
		return nil, err
	}
	select {
	case holder := <-reply:
		return &peerv1.ReportPermitsResponse{Holder: holder}, nil
	case <-ctx.Done():
	case <-p.done:
	}
	return nil, fault.New(fault.DeadlineNotRun, "the report for %s was not taken in time", r.Group)
}

func (r report) apply(o *owner) {
	l := o.pool.currentLayout()
	hold, held := o.exclusive(member.ShardOf(r.request.Group))
	if l == nil || !held || l.Groups[r.request.Group] == nil {
		r.reply <- false
		return
	}
	now := time.Now()
	g := o.group(l, l.Groups[r.request.Group], hold, now)
	g.holder.Report(fromReport(r.request), now)
	r.reply <- true
}
