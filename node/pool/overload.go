package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/overload"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// overloadRecordInterval is the minimum time between two GroupOverloaded events of a
// group.
const overloadRecordInterval = time.Second

// overloadControl is the state of overload control for one group during one lease. A new
// holder starts without it.
type overloadControl struct {
	order     overload.Order
	returns   overload.Returns
	deadlines overload.Deadlines
	// layout is the layout whose routes are in deadlines.
	layout *layout
	// refused counts the refused requests since the last event, evicted those of them that
	// left a full queue, and withheld those that were repeats for which the retry budget was
	// used up or kept for others.
	refused, evicted, withheld int
	// recordedAt is when the last GroupOverloaded event was recorded.
	recordedAt time.Time
}

// admission is the decision on a request that may have to wait.
type admission struct {
	// due is when the request should have a slot, deadline when its wait ends.
	due, deadline time.Time
	// expected is the expected wait.
	expected time.Duration
	// admitted is true when the request may wait; withheld is true when it may not
	// because the retry budget is used up or kept for others.
	admitted, withheld bool
}

// admitWithControl decides whether a request may wait with overload control.
func (h *holderActor) admitWithControl(g *heldGroup, l *layout, e exchangeCall, now time.Time) admission {
	a, c := e.request.Acquire, g.control
	c.retainRoutes(l)
	answer := g.holder.MeanAnswerTime(a.Route)
	left := fromMillis(a.HoldMs)
	elapsed := c.deadlines.Elapsed(a.Route, left, now)
	place := c.order.Arrive(overload.Arrival{
		Workspace: a.Workspace, Rank: l.rank(a.Workspace, a.Route), DueAfter: fromMillis(a.PatienceMs),
		Deadline: left, Elapsed: elapsed, Repeat: a.Repeat,
	}, now)
	d := admission{due: now.Add(place.DueAfter)}
	w := waitRequest(a)
	w.Wait = min(w.Wait, place.Wait)
	d.deadline, d.expected, d.admitted = g.admission.Admit(w, g.queue.Ahead(d.due), g.queue.Len(), answer, now)
	if isImmediate(a) {
		d.deadline, d.admitted = now, left > answer
	}
	if a.Repeat {
		share := repeatShare(a, overload.Request{
			Deadline: left, Objective: w.Objective, Elapsed: elapsed, Answer: answer, Rank: place.Rank,
			ShowsReturns: c.deadlines.ShowReturns(a.Route, now),
		})
		d.withheld = !g.holder.MayRepeatWithin(share, now)
	}
	return d
}

// repeatShare returns the share of the retry budget up to which the request may be
// repeated. An earlier attempt of an idempotent request may have run, so that its caller
// cannot be told to return; it is not restricted.
func repeatShare(a *peerv1.PermitAcquire, r overload.Request) float64 {
	if a.Idempotent {
		return 1
	}
	return overload.RepeatShare(r)
}

// retainRoutes drops what is known about routes that a new configuration lacks.
func (c *overloadControl) retainRoutes(l *layout) {
	if c.layout == l {
		return
	}
	c.layout = l
	c.deadlines.Retain(func(route string) bool { return l.routes[route] != nil })
}

// rank returns the rank of the requests of a workspace to a route.
func (l *layout) rank(workspace, route string) int {
	workspacePriority, routePriority := 0, 0
	if w := l.Snapshot.Workspaces[workspace]; w != nil {
		workspacePriority = w.Priority
	}
	if r := l.routes[route]; r != nil {
		routePriority = r.Priority
	}
	return overload.RankOf(workspacePriority, routePriority)
}

// refuseWithControl returns the response to a refused request. The times after which
// refused callers return follow each other at the rate of the slots.
func (h *holderActor) refuseWithControl(g *heldGroup, w *waiter, wait time.Duration, now time.Time) *peerv1.ExchangePermitsResponse {
	g.control.refused++
	resp := h.newResponse(g, w, now)
	left := w.arrivedAt.Add(w.acquire.Hold).Sub(now)
	delay := g.control.returns.Delay(wait, g.admission.GrantInterval(), left, rand.Float64(), now)
	resp.RefusedMs = max(1, millis(delay))
	resp.QueuedMs = millis(now.Sub(w.arrivedAt))
	return resp
}

// serveRules returns the rules of the queue of a group with overload control.
func (h *holderActor) serveRules(g *heldGroup) target.ServeRules[*waiter] {
	c := g.control
	return target.ServeRules[*waiter]{
		MayProgress: func(*waiter) bool { return c.order.MayProgress(time.Now()) },
		Progressed: func(w *waiter) {
			now := time.Now()
			c.order.Progressed(g.holder.MeanAnswerTime(w.acquire.Route), g.holder.Capacity(now), now)
		},
		Evicted: func(w *waiter) {
			c.evicted++
			w.finish(h.refuse(g, w, 0, time.Now()))
		},
	}
}

// recordOverload records the beginning and the end of shedding, and at most every
// overloadRecordInterval an event that says what overload control did.
func (h *holderActor) recordOverload(g *heldGroup, now time.Time) {
	c := g.control
	if c == nil {
		return
	}
	shedding, changed := g.holder.UpdateShedding(now)
	acted := c.refused+c.evicted+c.withheld > 0
	if !changed && (!acted || now.Sub(c.recordedAt) < overloadRecordInterval) {
		return
	}
	detail := fmt.Sprintf("targets shed %.0f%% of the requests of the last second (shedding: %t); since the last event %d requests refused, %d of them from a full queue, %d repeats withheld; %d requests so far above the usual demand of their workspaces",
		100*g.holder.ShedShare(now), shedding, c.refused, c.evicted, c.withheld, c.order.Excess())
	c.refused, c.evicted, c.withheld, c.recordedAt = 0, 0, 0, now
	h.pool.config.Events.Record(event.GroupOverloaded, g.holder.View().Group.Name, detail)
}
