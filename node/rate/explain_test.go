package rate

import (
	"context"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/explain"
)

// Guards against an explanation that takes a token or a place in a queue, and against a
// refusal that differs from the one of a request.
func TestExplainedRateIsThatOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w := entryWithoutHolder()
		defer e.close()
		e.cfg.QueuePerWorkspace = 2
		now := time.Now()
		if r := e.explain(w, time.Second); r.Verdict != explain.Waits || r.MaxWaitMs != 800 || len(e.workspaces) != 0 {
			t.Errorf("unknown workspace: %+v", r)
		}
		e.mu.Lock()
		ws := e.workspace(w, now)
		ws.fetching = true
		ws.cache.Receive(quota.Response{Batch: 1, Want: 2, Issued: 2, Sent: now, Lifetime: 100 * time.Millisecond, Rate: 10}, now)
		e.mu.Unlock()
		if r := e.explain(w, time.Second); r.Verdict != explain.Admitted || r.Tokens != 2 {
			t.Errorf("workspace with 2 tokens: %+v", r)
		}
		time.Sleep(150 * time.Millisecond)
		before := ws.cache
		if r := e.explain(w, time.Second); r.Verdict != explain.Waits || r.Tokens != 0 || !reflect.DeepEqual(ws.cache, before) {
			t.Errorf("workspace with expired tokens: %+v, cache %+v", r, ws.cache)
		}
		e.mu.Lock()
		ws.cache.Receive(quota.Response{Batch: 2, Want: 9, Sent: time.Now(), Rate: 1}, time.Now())
		deadline := time.Now().Add(e.cfg.TakeoverWait)
		var err error
		for err == nil {
			_, err = e.enqueue(ws, deadline, time.Now())
		}
		e.mu.Unlock()
		r := e.explain(w, time.Second)
		if r.Verdict != explain.Refused || *r.Refusal != *explain.NewRefusal(explain.StepRate, err) || r.Refusal.Kind != fault.RateLimited.String() {
			t.Errorf("explained %+v, the request got %v", r.Refusal, err)
		}
		if r.Waiting != e.queue.Len() {
			t.Errorf("%d requests wait, explained %d", e.queue.Len(), r.Waiting)
		}
	})
}

// Guards against an explanation that issues tokens or creates a bucket at the holder, or that
// reports tokens which the holder does not have.
func TestExplainedTokensOfTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1, 1)
		defer f.close()
		f.setLimits(document.Workspace{RatePerSecond: 10, Burst: 20})
		for range 12 {
			f.sendHeartbeats(time.Now())
			time.Sleep(heartbeat)
		}
		w := f.vms[0].Snapshot().Workspaces["w0"]
		ctx := context.Background()
		for range 10 {
			r := f.vms[0].ExplainRate(ctx, w, time.Second)
			if r.Verdict != explain.Admitted || r.HolderTokens == nil || *r.HolderTokens < 10 || *r.HolderTokens > 20 || r.Holder != "vm-00" {
				t.Fatalf("holder explained as %+v", r)
			}
			if r := f.vms[1].ExplainRate(ctx, w, time.Second); r.Verdict != explain.Waits || r.HolderTokens != nil || r.Holder != "vm-00" {
				t.Fatalf("beside the holder: %+v", r)
			}
		}
		if s := f.vms[0].Stats(); s.Issued != 0 || s.Buckets != 0 || s.Calls != 0 {
			t.Errorf("explanations had an effect: %+v", s)
		}
		before := *f.vms[0].ExplainRate(ctx, w, time.Second).HolderTokens
		if err := f.vms[0].Admit(ctx, w); err != nil {
			t.Fatal(err)
		}
		if after := *f.vms[0].ExplainRate(ctx, w, time.Second).HolderTokens; after > before-0.5 {
			t.Errorf("%.2f tokens after a request, %.2f before", after, before)
		}
	})
}
