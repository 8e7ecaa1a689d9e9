package rate

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// callTimeout ends a call whose response is lost. The holder is then called
// again, and the tokens of the lost response count as spent.
const callTimeout = 250 * time.Millisecond

// Bounds of the delay between calls while no holder answers. The upper bound
// keeps the reaction to the end of a takeover short compared with its 2.6 s.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
)

// startFetch starts to fetch tokens if the workspace needs some and no fetch is
// running. The caller holds e.mu.
func (e *entry) startFetch(ws *workspace, now time.Time) {
	if ws.fetching || ws.cache.Want(e.queue.FlowLen(ws.id), now) == 0 {
		return
	}
	ws.fetching = true
	go e.fetchTokens(ws)
}

// fetchTokens calls the holder until the workspace needs no more tokens.
func (e *entry) fetchTokens(ws *workspace) {
	backoff := minBackoff
	for {
		r, sent := e.nextRequest(ws)
		if r == nil {
			return
		}
		resp, err := e.callHolder(ws.id, r)
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

// nextRequest returns the next request to the holder and its time; nil if none
// is needed.
func (e *entry) nextRequest(ws *workspace) (*peerv1.AcquireTokensRequest, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Now()
	e.refuseDropped(now)
	want := ws.cache.Want(e.queue.FlowLen(ws.id), now)
	if want == 0 || e.ctx.Err() != nil {
		ws.fetching = false
		return nil, now
	}
	e.calls++
	arrived := ws.arrived
	ws.arrived = 0
	return &peerv1.AcquireTokensRequest{
		Vm:        e.cfg.Identity.VM.ID,
		Instance:  e.cfg.Identity.Instance,
		Workspace: ws.id,
		Want:      uint32(want),
		Ticket:    e.cfg.Configs.Snapshot().Ticket(),
		WaitedMs:  e.oldestWaitMs(ws, now),
		Arrived:   arrived,
	}, now
}

// oldestWaitMs returns the time in milliseconds that the oldest request in the
// queue has waited, rounded up; 0 if the queue is empty. The caller holds e.mu.
func (e *entry) oldestWaitMs(ws *workspace, now time.Time) uint32 {
	oldest, ok := e.queue.Oldest(ws.id)
	if !ok {
		return 0
	}
	return max(1, ceilMillis(now.Sub(oldest.since)))
}

// callHolder calls the VM that is known to hold the shard now.
func (e *entry) callHolder(id string, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	vm, ok := e.cfg.Ownership.Holder(member.ShardOf(id))
	if !ok {
		return nil, fault.New(fault.Overloaded, "no VM claims the shard of workspace %s", id)
	}
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	if vm.ID == e.cfg.Identity.VM.ID {
		return e.localHolder.acquire(ctx, r)
	}
	return e.cfg.Peer.AcquireTokens(ctx, vm, r)
}

// receive stores the tokens of a response and returns the time until the next
// call.
func (e *entry) receive(ws *workspace, r *peerv1.AcquireTokensRequest, resp *peerv1.AcquireTokensResponse, err error, sent time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws.holderReached = err == nil && resp.GetHolder()
	if !ws.holderReached {
		return 0
	}
	now := e.cfg.Now()
	if resp.GetGiven() < r.GetWant() && !resp.GetRefilling() {
		ws.shortAt = now
	}
	e.lastBatch++
	in := quota.Response{
		Batch:    e.lastBatch,
		Want:     int(r.GetWant()),
		Issued:   int(min(resp.GetGiven(), r.GetWant())),
		Sent:     sent,
		Lifetime: time.Duration(resp.GetLifetimeMs()) * time.Millisecond,
		Rate:     ws.rate,
	}
	ws.ledger.receive(in.Batch, in.Issued, sent.Add(in.Lifetime), now)
	ws.cache.Receive(in, now)
	e.dispatch(ws, now)
	if in.Issued < in.Want {
		return time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	}
	return 0
}

// dispatch gives cached tokens of a workspace to its waiting requests. The
// caller holds e.mu.
func (e *entry) dispatch(ws *workspace, now time.Time) {
	for ws.cache.HasToken(now) {
		wt, ok := e.queue.PopFlow(ws.id, now)
		if !ok {
			break
		}
		token, _ := ws.cache.Take(now)
		wt.outcome <- outcome{token: token}
	}
	e.refuseDropped(now)
}

// sleep waits for d. It returns false if the limiter is closed.
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
