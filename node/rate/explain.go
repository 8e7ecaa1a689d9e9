package rate

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fair"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/explain"
)

// levelQuery asks the holder side for the tokens of a workspace.
type levelQuery struct {
	workspace string
	// reply has room for the one answer, nil when this VM does not hold the shard or the
	// workspace is not in the configuration.
	reply chan *float64
}

// ExplainRate reports what Admit would do now with a request of the workspace that has
// the time left until its deadline. It takes no token and changes no state. It waits for the
// holder side until ctx ends.
func (l *Limiter) ExplainRate(ctx context.Context, w *document.Workspace, left time.Duration) explain.Rate {
	r := l.entry.explain(w, left)
	shard := member.ShardOf(w.ID)
	holder, known := l.entry.cfg.Ownership.Holder(shard)
	if known {
		r.Holder = holder.ID
	}
	if known && holder.ID == l.entry.cfg.Identity.VM.ID {
		r.HolderTokens = l.holder.levelOf(ctx, w.ID)
	}
	if r.Verdict == explain.Waits && r.Waiting == 0 && r.HolderTokens != nil && *r.HolderTokens >= 1 {
		r.Verdict = explain.Admitted
	}
	return r
}

// explain reports what the entry side would do with a request.
func (e *entry) explain(w *document.Workspace, left time.Duration) explain.Rate {
	now := e.cfg.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	ws := e.workspaces[w.ID]
	if ws == nil {
		ws = &workspace{id: w.ID}
	}
	wait := min(e.maxWaitOf(ws, now), left)
	r := explain.Rate{
		Verdict: explain.Admitted, RatePerSecond: w.RatePerSecond, Burst: w.Burst, Tokens: ws.cache.Usable(now),
		Waiting: e.queue.FlowLen(w.ID), AboveRate: e.aboveRate(ws, now), MaxWaitMs: wait.Milliseconds(),
	}
	if r.Tokens > 0 {
		return r
	}
	r.Verdict = explain.Waits
	if err := e.explainQueue(ws, now.Add(wait), now); err != nil {
		r.Verdict, r.Refusal = explain.Refused, explain.NewRefusal(explain.StepRate, err)
	}
	return r
}

// explainQueue returns the error that enqueue would return. The caller holds e.mu.
func (e *entry) explainQueue(ws *workspace, deadline, now time.Time) error {
	expected := ws.cache.ExpectedWait(e.queue.FlowLen(ws.id), now)
	if isTooLate(expected, deadline, now) {
		return errAboveRate(expected)
	}
	verdict := e.queue.Verdict(queueEntry(&waiter{workspace: ws}, expected, deadline), now)
	if verdict == fair.Accepted {
		return nil
	}
	return queueError(ws, verdict, expected, deadline, now)
}

// levelOf returns the tokens of a workspace at the holder side; nil when it does not know
// them or does not answer.
func (h *holder) levelOf(ctx context.Context, workspace string) *float64 {
	q := &levelQuery{workspace: workspace, reply: make(chan *float64, 1)}
	if err := h.actor.Send(message{level: q}); err != nil {
		return nil
	}
	select {
	case level := <-q.reply:
		return level
	case <-ctx.Done():
		return nil
	}
}

// level returns the tokens of a workspace as of the last observation of the lease.
func (h *holder) level(workspace string) *float64 {
	st := h.shards[member.ShardOf(workspace)]
	limit, ok := h.limits.of(workspace)
	if st == nil || !ok {
		return nil
	}
	b := quota.NewBucket(&st.fill, h.limits.initial(workspace, limit))
	if known := st.buckets[workspace]; known != nil {
		b = &known.quota
	}
	level := b.LevelAt(&st.fill, limit)
	return &level
}
