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

// entryIdle is how long an unused workspace keeps its cache at an entry VM.
const entryIdle = 10 * time.Second

// entry is the side of a limiter that admits requests.
type entry struct {
	cfg    Config
	local  *holder
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	workspaces map[string]*workspace
	queue      *fair.Queue[*waiter]
	swept      time.Time
	lots       uint64
	asks       uint64
	refused    uint64
	// gone sums the totals of workspaces that were dropped.
	gone quota.Totals
}

// workspace is the state of one workspace at an entry VM, guarded by entry.mu.
type workspace struct {
	id     string
	rate   float64
	cache  quota.Cache
	ledger ledger
	asking bool
	// arrived counts the requests since the last call to a holder.
	arrived uint32
	// reached is true while the last call got an answer from a holder.
	reached bool
	// lacked is when an answer last gave fewer tokens than were wanted, though the
	// bucket was not refilling after a takeover.
	lacked time.Time
	used   time.Time
}

// waiter is a request in the queue. Its channel has room for one outcome.
type waiter struct {
	workspace *workspace
	since     time.Time
	item      *fair.Item[*waiter]
	outcome   chan outcome
}

// outcome is a token, or why the request left the queue without one.
type outcome struct {
	token   quota.Token
	dropped fair.Verdict
}

func newEntry(c Config, local *holder) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	return &entry{
		cfg:        c,
		local:      local,
		ctx:        ctx,
		cancel:     cancel,
		workspaces: map[string]*workspace{},
		queue:      fair.New[*waiter](fair.Limits{PerFlow: c.QueuePerWorkspace, Total: c.QueueTotal}),
	}
}

func (e *entry) admit(ctx context.Context, w *document.Workspace) error {
	start := e.cfg.Now()
	deadline := start.Add(e.longestWait(w))
	byCaller := false
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline, byCaller = d, true
	}
	for attempt, now := 0, start; ; attempt, now = attempt+1, e.cfg.Now() {
		t, err := e.begin(w, deadline, now, attempt == 0)
		if err != nil {
			return err
		}
		if t.waiter != nil {
			t.token, err = e.wait(ctx, t.waiter, deadline, byCaller)
			if err != nil {
				return err
			}
		}
		if e.confirm(t.workspace, t.token) {
			return nil
		}
	}
}

// longestWait returns how long a request of the workspace may wait.
func (e *entry) longestWait(w *document.Workspace) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ws := e.workspaces[w.ID]; ws != nil && e.short(ws, e.cfg.Now()) {
		return e.cfg.MaxWait
	}
	return e.cfg.HolderWait
}

// lackFor is how long after an answer with too few tokens a workspace counts as above
// its rate.
const lackFor = 2 * time.Second

// short tells whether the workspace is above its rate, so that its requests wait briefly.
// Others wait as long as a takeover takes: only a lost holder keeps them waiting. e.mu is
// held.
func (e *entry) short(ws *workspace, now time.Time) bool {
	return ws.reached && !ws.lacked.IsZero() && now.Sub(ws.lacked) < lackFor
}

// turn is an attempt to admit a request: a token, or a place in the queue.
type turn struct {
	workspace *workspace
	token     quota.Token
	waiter    *waiter
}

// begin takes a token from the cache or puts the request into the queue.
func (e *entry) begin(w *document.Workspace, deadline, now time.Time, first bool) (t turn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws := e.workspace(w, now)
	t.workspace = ws
	if first {
		ws.cache.Demand(now)
		ws.arrived++
	}
	token, ok := ws.cache.Take(now)
	if ok {
		t.token = token
	} else if t.waiter, err = e.enqueue(ws, deadline, now); err != nil {
		e.refused++
		return t, err
	}
	e.ask(ws, now)
	return t, nil
}

func (e *entry) workspace(w *document.Workspace, now time.Time) *workspace {
	e.sweep(now)
	ws, ok := e.workspaces[w.ID]
	if !ok {
		ws = &workspace{id: w.ID}
		e.workspaces[w.ID] = ws
	}
	ws.rate = w.RatePerSecond
	ws.used = now
	return ws
}

// sweep drops the workspaces that are not in use.
func (e *entry) sweep(now time.Time) {
	if now.Sub(e.swept) < entryIdle/2 {
		return
	}
	e.swept = now
	for id, ws := range e.workspaces {
		if now.Sub(ws.used) < entryIdle || ws.asking || e.queue.FlowLen(id) > 0 {
			continue
		}
		ws.cache.Expire(now)
		t := ws.cache.Totals()
		e.gone.Received += t.Received
		e.gone.Used += t.Used
		e.gone.Expired += t.Expired
		delete(e.workspaces, id)
	}
}

func (e *entry) enqueue(ws *workspace, deadline, now time.Time) (*waiter, error) {
	expected := ws.cache.ExpectedWait(e.queue.FlowLen(ws.id), now)
	if expected > 0 && !now.Add(expected).Before(deadline) {
		return nil, refusal(fault.RateLimited, retryDelay(expected), "the workspace is above its rate")
	}
	wt := &waiter{workspace: ws, since: now, outcome: make(chan outcome, 1)}
	// The queue serves each workspace at its own pace, so its estimate over all
	// workspaces does not apply.
	push := fair.Entry[*waiter]{Flow: ws.id, Value: wt, Deadline: deadline, Wait: max(expected, 1)}
	item, verdict := e.queue.Push(push, now)
	wt.item = item
	e.refuseDropped(now)
	switch {
	case verdict == fair.Accepted:
		return wt, nil
	case !now.Before(deadline):
		return nil, refusal(fault.DeadlineNotRun, 0, "the deadline passed before a token was available")
	case verdict == fair.QueueFull:
		return nil, refusal(fault.Overloaded, 0, "too many requests of all workspaces wait for a token")
	case verdict == fair.FlowFull && !ws.reached:
		return nil, refusal(fault.Overloaded, 0, "no holder of the rate answers and too many requests wait")
	}
	return nil, refusal(fault.RateLimited, retryDelay(expected), "the workspace is above its rate")
}

// refuseDropped answers the requests that left the queue unserved.
func (e *entry) refuseDropped(now time.Time) {
	for _, d := range e.queue.Drops(now) {
		d.Value.outcome <- outcome{dropped: d.Reason}
	}
}

// wait returns the token of a queued request.
func (e *entry) wait(ctx context.Context, wt *waiter, deadline time.Time, byCaller bool) (quota.Token, error) {
	o, ok := e.await(ctx, wt, deadline)
	if ok && o.dropped == fair.Accepted {
		return o.token, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused++
	if !e.queue.Cancel(wt.item) {
		e.takeBack(wt)
	}
	if o.dropped == fair.QueueFull {
		return quota.Token{}, refusal(fault.Overloaded, 0, "displaced by a workspace with fewer waiting requests")
	}
	return quota.Token{}, e.explain(wt.workspace, byCaller || ctx.Err() != nil)
}

// await returns the outcome of a queued request; ok is false when it gave up before.
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
		left := e.patience(wt.workspace, deadline)
		if left <= 0 {
			return outcome{}, false
		}
		timer.Reset(left)
	}
}

// patience returns how long a request that has waited MaxWait goes on waiting before it
// looks again: not at all once its workspace turned out to be above its rate.
func (e *entry) patience(ws *workspace, deadline time.Time) time.Duration {
	now := e.cfg.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.short(ws, now) {
		return 0
	}
	return min(e.cfg.MaxWait, deadline.Sub(now))
}

// takeBack returns the token of a request that gave up while it was served.
func (e *entry) takeBack(wt *waiter) {
	select {
	case o := <-wt.outcome:
		if o.dropped == fair.Accepted {
			wt.workspace.cache.Return(o.token)
			e.dispatch(wt.workspace, e.cfg.Now())
		}
	default:
	}
}

// explain returns the error of a request that got no token in time.
func (e *entry) explain(ws *workspace, byCaller bool) error {
	now := e.cfg.Now()
	switch {
	case byCaller:
		return refusal(fault.DeadlineNotRun, 0, "the deadline passed before a token was available")
	case !ws.reached:
		return refusal(fault.Overloaded, 0, "no holder of the rate answered in time")
	}
	wait := ws.cache.ExpectedWait(e.queue.FlowLen(ws.id), now)
	return refusal(fault.RateLimited, retryDelay(wait), "no token was available in time")
}

// confirm tells whether the token is still valid right before the request is
// admitted. A process that was paused since the token was taken loses it.
func (e *entry) confirm(ws *workspace, t quota.Token) bool {
	now := e.cfg.Now()
	if !now.Before(t.Deadline) {
		return false
	}
	e.mu.Lock()
	problem := ws.ledger.use(t.Lot, now)
	e.mu.Unlock()
	e.report(ws, problem)
	return true
}

// close refuses the waiting requests and ends the calls to holders.
func (e *entry) close() {
	e.cancel()
}

func (e *entry) stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.gone
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
		Asks:     e.asks,
		Waiting:  e.queue.Len(),
	}
}

// The bounds of the delay in a refusal. The lower one spaces the repeats of a
// caller; the upper one keeps a short overload from silencing it for long.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

func retryDelay(expected time.Duration) time.Duration {
	return min(max(expected, minRetryDelay), maxRetryDelay)
}

// refusal returns an error without a stack trace, because an overdriving
// workspace is refused many times a second.
func refusal(k fault.Kind, after time.Duration, detail string) error {
	return &fault.Error{Kind: k, Detail: detail, After: after}
}
