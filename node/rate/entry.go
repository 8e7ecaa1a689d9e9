package rate

import (
	"context"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fair"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/quota"
)

// workspaceIdleTime is how long an entry VM keeps the cache of an unused
// workspace.
const workspaceIdleTime = 10 * time.Second

// entry is the side of a limiter that admits requests.
type entry struct {
	cfg         Config
	localHolder *holder
	ctx         context.Context
	cancel      context.CancelFunc

	// mu guards the fields below.
	mu         sync.Mutex
	workspaces map[string]*workspace
	queue      *fair.Queue[*waiter]
	sweptAt    time.Time
	// lastBatch is the number of the last response of a holder. The tokens of
	// one response form a batch.
	lastBatch uint64
	// calls is the number of calls to holders, refused the number of requests that
	// got an error.
	calls   uint64
	refused uint64
	// dropped sums the totals of the workspaces that were dropped.
	dropped quota.Totals
}

// workspace is the state of one workspace at an entry VM, guarded by entry.mu.
type workspace struct {
	id string
	// rate is the fleet-wide rate in requests per second.
	rate   float64
	cache  quota.Cache
	ledger ledger
	// fetching is set while fetchTokens runs for the workspace.
	fetching bool
	// arrived counts the requests since the last call to a holder.
	arrived uint32
	// holderReached reports whether the last call got a response from a holder.
	holderReached bool
	// shortAt is when a response last contained fewer tokens than requested
	// while the bucket was not refilling after a takeover.
	shortAt time.Time
	usedAt  time.Time
}

// waiter is a request in the queue. The channel has room for its one outcome.
type waiter struct {
	workspace *workspace
	since     time.Time
	item      *fair.Item[*waiter]
	outcome   chan outcome
}

// outcome is a token, or the reason why the request left the queue without one.
type outcome struct {
	token   quota.Token
	dropped fair.Result
}

// newEntry returns the entry side of a VM whose holder side is local.
func newEntry(c Config, local *holder) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	return &entry{
		cfg:         c,
		localHolder: local,
		ctx:         ctx,
		cancel:      cancel,
		workspaces:  map[string]*workspace{},
		queue:       fair.New[*waiter](fair.Limits{PerFlow: c.QueuePerWorkspace, Total: c.QueueTotal}),
	}
}

// admit takes one token of w, from the cache or after a wait in the queue. It
// tries again if the token has expired by the time of its use.
func (e *entry) admit(ctx context.Context, w *document.Workspace) error {
	start := e.cfg.Now()
	deadline := start.Add(e.maxWait(w))
	byCaller := false
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline, byCaller = d, true
	}
	for tries, now := 0, start; ; tries, now = tries+1, e.cfg.Now() {
		t, err := e.tryAdmit(w, deadline, now, tries == 0)
		if err != nil {
			return err
		}
		if t.waiter != nil {
			t.token, err = e.wait(ctx, t.waiter, deadline, byCaller)
			if err != nil {
				return err
			}
		}
		if e.useToken(t.workspace, t.token) {
			return nil
		}
	}
}

// maxWait returns how long a request of the workspace may wait.
func (e *entry) maxWait(w *document.Workspace) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxWaitOf(e.workspaces[w.ID], e.cfg.Now())
}

// maxWaitOf returns how long a request of the workspace with state ws, nil for none, may
// wait. The caller holds e.mu.
func (e *entry) maxWaitOf(ws *workspace, now time.Time) time.Duration {
	if ws != nil && e.aboveRate(ws, now) {
		return e.cfg.MaxWait
	}
	return e.cfg.TakeoverWait
}

// shortageTime is how long a workspace counts as above its rate after a
// response with too few tokens.
const shortageTime = 2 * time.Second

// aboveRate reports whether the workspace is above its rate, so that its
// requests may wait only briefly. Other requests wait as long as a takeover
// takes, because only a lost holder keeps them waiting. The caller holds e.mu.
func (e *entry) aboveRate(ws *workspace, now time.Time) bool {
	return ws.holderReached && !ws.shortAt.IsZero() && now.Sub(ws.shortAt) < shortageTime
}

// attempt is one attempt to admit a request: it has a token or a place in the
// queue.
type attempt struct {
	workspace *workspace
	token     quota.Token
	waiter    *waiter
}

// tryAdmit takes a token from the cache or puts the request into the queue.
func (e *entry) tryAdmit(w *document.Workspace, deadline, now time.Time, first bool) (t attempt, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws := e.workspace(w, now)
	t.workspace = ws
	if first {
		ws.cache.RecordDemand(now)
		ws.arrived++
	}
	token, ok := ws.cache.Take(now)
	if ok {
		t.token = token
	} else if t.waiter, err = e.enqueue(ws, deadline, now); err != nil {
		e.refused++
		return t, err
	}
	e.startFetch(ws, now)
	return t, nil
}

// workspace returns the state of a workspace and creates it if needed. The
// caller holds e.mu.
func (e *entry) workspace(w *document.Workspace, now time.Time) *workspace {
	e.sweep(now)
	ws, ok := e.workspaces[w.ID]
	if !ok {
		ws = &workspace{id: w.ID}
		e.workspaces[w.ID] = ws
	}
	ws.rate = w.RatePerSecond
	ws.usedAt = now
	return ws
}

// sweep drops the workspaces that are not in use. The caller holds e.mu.
func (e *entry) sweep(now time.Time) {
	if now.Sub(e.sweptAt) < workspaceIdleTime/2 {
		return
	}
	e.sweptAt = now
	for id, ws := range e.workspaces {
		if now.Sub(ws.usedAt) < workspaceIdleTime || ws.fetching || e.queue.FlowLen(id) > 0 {
			continue
		}
		ws.cache.Expire(now)
		t := ws.cache.Totals()
		e.dropped.Received += t.Received
		e.dropped.Used += t.Used
		e.dropped.Expired += t.Expired
		delete(e.workspaces, id)
	}
}

// enqueue puts a request into the queue. It returns an error if the request is
// not expected to get a token before its deadline or a queue is full. The
// caller holds e.mu.
func (e *entry) enqueue(ws *workspace, deadline, now time.Time) (*waiter, error) {
	expected := ws.cache.ExpectedWait(e.queue.FlowLen(ws.id), now)
	if isTooLate(expected, deadline, now) {
		return nil, errAboveRate(expected)
	}
	wt := &waiter{workspace: ws, since: now, outcome: make(chan outcome, 1)}
	item, verdict := e.queue.Push(queueEntry(wt, expected, deadline), now)
	wt.item = item
	e.refuseDropped(now)
	if verdict == fair.Accepted {
		return wt, nil
	}
	return nil, queueError(ws, verdict, expected, deadline, now)
}

// isTooLate reports whether a request with the expected wait, 0 for an unknown one, would get
// its token after its deadline.
func isTooLate(expected time.Duration, deadline, now time.Time) bool {
	return expected > 0 && !now.Add(expected).Before(deadline)
}

// queueEntry returns the entry of a request in the queue. The queue serves each workspace at
// its own pace, so the queue's own estimate over all workspaces does not apply.
func queueEntry(wt *waiter, expected time.Duration, deadline time.Time) fair.Entry[*waiter] {
	return fair.Entry[*waiter]{Flow: wt.workspace.id, Value: wt, Deadline: deadline, Wait: max(expected, 1)}
}

// queueError returns the error of a request that the queue did not accept.
func queueError(ws *workspace, verdict fair.Result, expected time.Duration, deadline, now time.Time) error {
	switch {
	case !now.Before(deadline):
		return refusal(fault.DeadlineNotRun, 0, "the deadline passed before a token was available")
	case verdict == fair.QueueFull:
		return refusal(fault.Overloaded, 0, "the queue is full: too many requests of all workspaces wait for a token")
	case verdict == fair.FlowFull && !ws.holderReached:
		return refusal(fault.Overloaded, 0, "no holder of the rate answers and too many requests of the workspace wait for a token")
	}
	return errAboveRate(expected)
}

// errAboveRate returns the error of a request of a workspace above its rate.
func errAboveRate(expected time.Duration) error {
	return refusal(fault.RateLimited, retryDelay(expected), "the workspace is above its rate")
}

// refuseDropped sends the drop reason to each request that left the queue
// unserved. The caller holds e.mu.
func (e *entry) refuseDropped(now time.Time) {
	for _, d := range e.queue.TakeDrops(now) {
		d.Value.outcome <- outcome{dropped: d.Reason}
	}
}

// wait returns the token of a queued request, or the error of one that got
// none.
func (e *entry) wait(ctx context.Context, wt *waiter, deadline time.Time, byCaller bool) (quota.Token, error) {
	o, ok := e.await(ctx, wt, deadline)
	if ok && o.dropped == fair.Accepted {
		return o.token, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused++
	if !e.queue.Cancel(wt.item) {
		e.returnToken(wt)
	}
	if o.dropped == fair.QueueFull {
		return quota.Token{}, refusal(fault.Overloaded, 0, "the queue was full and the request was displaced by one of a workspace with fewer waiting requests")
	}
	return quota.Token{}, e.waitError(wt.workspace, byCaller || ctx.Err() != nil)
}

// await waits for the outcome of a queued request. ok is false if the request
// gave up before it had one.
func (e *entry) await(ctx context.Context, wt *waiter, deadline time.Time) (o outcome, ok bool) {
	timer := time.NewTimer(min(e.cfg.MaxWait, deadline.Sub(e.cfg.Now())))
	defer timer.Stop()
	for {
		select {
		case o = <-wt.outcome:
			return o, true
		case <-ctx.Done():
			return outcome{}, false
		case <-e.ctx.Done():
			return outcome{}, false
		case <-timer.C:
		}
		left := e.remainingWait(wt.workspace, deadline)
		if left <= 0 {
			return outcome{}, false
		}
		timer.Reset(left)
	}
}

// remainingWait returns the time after which a waiting request checks again
// whether its workspace is above its rate. It returns 0 when the workspace is
// above its rate, and at most 0 when the deadline has passed; the request then
// gives up.
func (e *entry) remainingWait(ws *workspace, deadline time.Time) time.Duration {
	now := e.cfg.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.aboveRate(ws, now) {
		return 0
	}
	return min(e.cfg.MaxWait, deadline.Sub(now))
}

// returnToken returns the token of a request that gave up while it was being
// served. The caller holds e.mu.
func (e *entry) returnToken(wt *waiter) {
	select {
	case o := <-wt.outcome:
		if o.dropped == fair.Accepted {
			wt.workspace.cache.Return(o.token)
			e.dispatch(wt.workspace, e.cfg.Now())
		}
	default:
	}
}

// waitError returns the error of a request that got no token in time. The
// caller holds e.mu.
func (e *entry) waitError(ws *workspace, byCaller bool) error {
	now := e.cfg.Now()
	switch {
	case byCaller:
		return refusal(fault.DeadlineNotRun, 0, "the deadline passed before a token was available")
	case !ws.holderReached:
		return refusal(fault.Overloaded, 0, "no holder of the rate answered in time")
	}
	wait := ws.cache.ExpectedWait(e.queue.FlowLen(ws.id), now)
	return refusal(fault.RateLimited, retryDelay(wait), "no token was available in time")
}

// useToken reports whether the token is still valid immediately before the
// request is admitted, and records its use. A token expires if the process is
// paused for too long after the token was taken.
func (e *entry) useToken(ws *workspace, t quota.Token) bool {
	now := e.cfg.Now()
	if !now.Before(t.Deadline) {
		return false
	}
	e.mu.Lock()
	problem := ws.ledger.use(t.Batch, now)
	e.mu.Unlock()
	e.reportViolation(ws, problem)
	return true
}

// close refuses the waiting requests and ends the calls to holders.
func (e *entry) close() {
	e.cancel()
}

// stats returns the counters of the entry side.
func (e *entry) stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.dropped
	for _, ws := range e.workspaces {
		ws.cache.Expire(e.cfg.Now())
		w := ws.cache.Totals()
		t.Received += w.Received
		t.Used += w.Used
		t.Expired += w.Expired
	}
	return Stats{
		Admitted: t.Used,
		Refused:  e.refused,
		Received: t.Received,
		Expired:  t.Expired,
		Calls:    e.calls,
		Waiting:  e.queue.Len(),
	}
}

// Bounds of the delay in a refusal. The lower bound spaces the retries of a
// caller; the upper bound keeps a short overload from deterring it for long.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// retryDelay returns the delay until a retry after a refusal with the given
// expected wait.
func retryDelay(expected time.Duration) time.Duration {
	return min(max(expected, minRetryDelay), maxRetryDelay)
}

// refusal returns an error without a stack trace, because a workspace above its
// rate is refused many times a second.
func refusal(k fault.Kind, after time.Duration, detail string) error {
	return &fault.Error{Kind: k, Detail: detail, RetryDelay: after}
}
