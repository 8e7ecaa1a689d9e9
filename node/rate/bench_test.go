package rate

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/quota"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// benchVM returns a VM that holds all leases, in real time.
func benchVM(b *testing.B, w document.Workspace) *vm {
	f := newFleet(1, 1, 0.5)
	b.Cleanup(f.close)
	f.setLimits(w)
	for now := time.Now(); time.Since(now) < time.Second; time.Sleep(heartbeat / 5) {
		f.sendHeartbeats(time.Now())
	}
	return f.vms[0]
}

// BenchmarkAdmitFromCache reports the cost of a request that finds a token in
// the local cache.
func BenchmarkAdmitFromCache(b *testing.B) {
	v := benchVM(b, document.Workspace{})
	now := time.Now()
	ws := v.entry.workspace(&document.Workspace{ID: "w0"}, now)
	ws.ledger.receive(1, 1<<40, now.Add(time.Hour), now)
	ws.cache.Receive(quota.Response{Batch: 1, Want: 1 << 40, Issued: 1 << 40, Sent: now, Lifetime: time.Hour}, now)
	w := &document.Workspace{ID: "w0"}
	b.ReportAllocs()
	for b.Loop() {
		if err := v.Admit(context.Background(), w); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAcquireTokens reports the cost of one call for tokens at the holder,
// including its actor.
func BenchmarkAcquireTokens(b *testing.B) {
	v := benchVM(b, document.Workspace{RatePerSecond: 1e6, Burst: 1e6})
	r := &peerv1.AcquireTokensRequest{Vm: "vm-00", Workspace: "w0", Want: 1}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := v.Limiter.AcquireTokens(context.Background(), r); err != nil {
			b.Fatal(err)
		}
	}
	r.Instance, r.WaitedMs, r.Arrived, r.Ticket = 1<<60, 20, 3, 17000
	resp := &peerv1.AcquireTokensResponse{Given: 3, LifetimeMs: 490, Holder: true}
	b.ReportMetric(float64(proto.Size(r)+proto.Size(resp)), "payload-B/exchange")
}

// BenchmarkActiveWorkspace reports the memory of an active workspace at its
// holder and at an entry VM.
func BenchmarkActiveWorkspace(b *testing.B) {
	const count = 20000
	h := &holder{limits: limits{current: &document.Snapshot{}}}
	st := &heldShard{buckets: map[string]*bucket{}}
	e := newEntry(Config{QueueTotal: 1}, nil)
	grow := func(name string, add func(id string)) {
		var before, after runtime.MemStats
		ids := make([]string, count)
		for i := range ids {
			ids[i] = fmt.Sprintf("workspace-%d", i)
		}
		runtime.GC()
		runtime.ReadMemStats(&before)
		for _, id := range ids {
			add(id)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, name)
		runtime.KeepAlive(ids)
	}
	for b.Loop() {
		grow("holder-B/workspace", func(id string) { h.bucket(st, id, quota.Limit{Rate: 1, Burst: 1}) })
		grow("entry-B/workspace", func(id string) {
			now := time.Now()
			ws := e.workspace(&document.Workspace{ID: id}, now)
			ws.ledger.receive(1, 1, now, now)
			ws.cache.Receive(quota.Response{Batch: 1, Want: 1, Issued: 1, Sent: now, Lifetime: time.Second}, now)
		})
	}
	runtime.KeepAlive(st)
}
