package rate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
)

// noHolder is a cell in which no VM holds a shard.
type noHolder struct{}

func (noHolder) Held(member.Shard) (node.HeldLease, bool) { return node.HeldLease{}, false }
func (noHolder) Holder(member.Shard) (member.VM, bool)    { return member.VM{}, false }
func (noHolder) Snapshot() *document.Snapshot             { return nil }
func (noHolder) List() *member.List                       { return nil }

// entryWithoutHolder returns the entry side of a VM in a cell without holders,
// and a workspace.
func entryWithoutHolder() (*entry, *document.Workspace) {
	c := Config{Ownership: noHolder{}, Configs: noHolder{}, MaxWait: 100 * time.Millisecond, TakeoverWait: 800 * time.Millisecond}
	c.setDefaults()
	return newEntry(c, nil), &document.Workspace{ID: "w", RatePerSecond: 10, Burst: 10}
}

// Guards against requests that are refused immediately during a takeover, which
// ends soon, and against requests above the rate of their workspace that wait
// as long as during a takeover.
func TestRequestsWaitLongerWithoutHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w := entryWithoutHolder()
		defer e.close()
		for _, above := range []bool{false, true} {
			want := e.cfg.TakeoverWait
			if above {
				want = e.cfg.MaxWait
				recordShortage(e, w)
			}
			began := time.Now()
			err := e.admit(context.Background(), w)
			if took := time.Since(began); took != want || fault.KindOf(err) == fault.Internal {
				t.Errorf("workspace above its rate %v: refused after %v with %v, want the configured wait", above, took, err)
			}
		}
	})
}

// recordShortage records a response of a holder that contained too few tokens.
func recordShortage(e *entry, w *document.Workspace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws := e.workspace(w, time.Now())
	ws.holderReached, ws.shortAt = true, time.Now()
}

// Guards against requests of a workspace that rises above its rate and still
// wait as long as during a takeover. They must give up at the next check after
// the first response without a token.
func TestRequestsStopWaitingOnceAboveTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w := entryWithoutHolder()
		defer e.close()
		// A call is in flight all the time, so that no failed call changes the
		// state in between.
		e.mu.Lock()
		e.workspace(w, time.Now()).fetching = true
		e.mu.Unlock()
		time.AfterFunc(150*time.Millisecond, func() { recordShortage(e, w) })
		began := time.Now()
		err := e.admit(context.Background(), w)
		if took := time.Since(began); took != 2*e.cfg.MaxWait || fault.KindOf(err) != fault.RateLimited {
			t.Errorf("refused after %v with %v, want twice MaxWait and kind RateLimited", took, err)
		}
	})
}

// Guards against requests within the rate that are refused as above it during a
// takeover: while the failed holder is still called, and because the bucket of
// the next holder starts empty. The load is 60% of the rate on 12 VMs.
func TestTakeoverRefusesNothingAsAboveTheRate(t *testing.T) {
	const warm, takeover = 6 * time.Second, 8 * time.Second
	for seed := range uint64(5) {
		s := scenario{
			size: 12, entries: 4, seed: seed, load: 0.6, lentFraction: 1, warmUp: warm, length: 6 * time.Second,
			limit: document.Workspace{RatePerSecond: 50, Burst: 50},
			setup: func(f *fleet) {
				for _, v := range f.vms {
					v.Limiter.entry.cfg.MaxWait, v.Limiter.entry.cfg.TakeoverWait = 100*time.Millisecond, grantMemory+heartbeat
				}
			},
		}
		s.onHeartbeat = func(f *fleet, at time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if at >= takeover {
				f.partitions[0] = -1
			}
		}
		r := run(t, s)
		refused, during := 0, 0
		for _, a := range r.arrivals {
			if since := a.at.Sub(r.start); since < takeover || since > takeover+4*time.Second {
				continue
			}
			during++
			if fault.KindOf(a.err) == fault.RateLimited {
				refused++
			}
		}
		t.Logf("seed %d: %d of %d requests refused as above the rate", seed, refused, during)
		if refused > 0 {
			t.Errorf("seed %d: %d of %d requests refused as above the rate, want 0", seed, refused, during)
		}
	}
}
