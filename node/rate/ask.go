package rate

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// callTimeout ends a call whose response is lost. The holder is asked again,
// and the tokens of the lost response count as spent.
const callTimeout = 250 * time.Millisecond

// The delay between calls while no holder answers. The upper bound keeps the
// reaction to a takeover short compared with its 2.6 s.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
)

// ask starts a call for tokens unless one is in flight. e.mu is held.
func (e *entry) ask(ws *workspace, now time.Time) {
	if ws.asking || ws.cache.Want(e.queue.FlowLen(ws.id), now) == 0 {
		return
	}
	ws.asking = true
	go e.run(ws)
}

// run asks the holder until the workspace needs no more tokens.
func (e *entry) run(ws *workspace) {
	backoff := minBackoff
	for {
		r, sent := e.prepare(ws)
		if r == nil {
			return
		}
		resp, err := e.call(ws.id, r)
		pause := e.receive(ws, r, resp, err, sent)
		if err != nil || !resp.GetHolder() {
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
		}
		if !e.sleep(pause) {
			return
		}
	}
}

// prepare returns the next request; nil when none is needed.
func (e *entry) prepare(ws *workspace) (*peerv1.AcquireTokensRequest, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	e.refuseDropped(now)
	want := ws.cache.Want(e.queue.FlowLen(ws.id), now)
	if want == 0 || e.ctx.Err() != nil {
		ws.asking = false
		return nil, now
	}
	e.asks++
	arrived := ws.arrived
	ws.arrived = 0
	return &peerv1.AcquireTokensRequest{
		Vm:        e.cfg.Identity.VM.ID,
		Instance:  e.cfg.Identity.Instance,
		Workspace: ws.id,
		Want:      uint32(want),
		Ticket:    e.cfg.Configs.Snapshot().Ticket(),
		WaitedMs:  e.waited(ws, now),
		Arrived:   arrived,
	}, now
}

// waited returns the age of the oldest waiting request, rounded up; 0 when
// none waits.
func (e *entry) waited(ws *workspace, now time.Time) uint32 {
	oldest, ok := e.queue.Oldest(ws.id)
	if !ok {
		return 0
	}
	return max(1, milliseconds(now.Sub(oldest.since)))
}

// call asks the VM that is known to hold the shard now.
func (e *entry) call(id string, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	vm, ok := e.cfg.Ownership.Holder(member.ShardOf(id))
	if !ok {
		return nil, fault.New(fault.Overloaded, "no VM claims the shard of %s", id)
	}
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	if vm.ID == e.cfg.Identity.VM.ID {
		return e.local.acquire(ctx, r)
	}
	return e.cfg.Peer.AcquireTokens(ctx, vm, r)
}

// receive stores the tokens of a response and returns the time until the next
// call.
func (e *entry) receive(ws *workspace, r *peerv1.AcquireTokensRequest, resp *peerv1.AcquireTokensResponse, err error, sent time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws.reached = err == nil && resp.GetHolder()
	if !ws.reached {
		return 0
	}
	now := e.cfg.Now()
	if resp.GetGiven() < r.GetWant() && !resp.GetRefilling() {
		ws.lacked = now
	}
	e.lots++
	in := quota.Response{
		Lot:      e.lots,
		Want:     int(r.GetWant()),
		Given:    int(min(resp.GetGiven(), r.GetWant())),
		Sent:     sent,
		Lifetime: time.Duration(resp.GetLifetimeMs()) * time.Millisecond,
		Rate:     ws.rate,
	}
	ws.ledger.receive(in.Lot, in.Given, sent.Add(in.Lifetime), now)
	ws.cache.Receive(in, now)
	e.dispatch(ws, now)
	if in.Given < in.Want {
		return time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	}
	return 0
}

// dispatch serves the waiting requests of a workspace from its cache. e.mu is
// held.
func (e *entry) dispatch(ws *workspace, now time.Time) {
	for ws.cache.Usable(now) {
		wt, ok := e.queue.PopFlow(ws.id, now)
		if !ok {
			break
		}
		token, _ := ws.cache.Take(now)
		wt.outcome <- outcome{token: token}
	}
	e.refuseDropped(now)
}

// sleep returns false when the limiter is closed.
func (e *entry) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}
