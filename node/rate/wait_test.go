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

// nobody is a cell in which no VM holds a shard.
type nobody struct{}

func (nobody) Held(member.Shard) (node.Hold, bool)   { return node.Hold{}, false }
func (nobody) Holder(member.Shard) (member.VM, bool) { return member.VM{}, false }
func (nobody) Snapshot() *document.Snapshot          { return nil }
func (nobody) List() *member.List                    { return nil }

// entryWithoutHolder returns the entry side of a VM in a fleet without holders, and a
// workspace.
func entryWithoutHolder() (*entry, *document.Workspace) {
	c := Config{Ownership: nobody{}, Configs: nobody{}, MaxWait: 100 * time.Millisecond, HolderWait: 800 * time.Millisecond}
	c.setDefaults()
	return newEntry(c, nil), &document.Workspace{ID: "w", RatePerSecond: 10, Burst: 10}
}

// Guards against requests that are refused at once during a takeover, which ends
// soon, and against ones that wait as long for a token above their rate.
func TestRequestsWaitLongerWhileNobodyHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w := entryWithoutHolder()
		defer e.close()
		for _, above := range []bool{false, true} {
			want := e.cfg.HolderWait
			if above {
				want = e.cfg.MaxWait
				answered(e, w)
			}
			began := time.Now()
			err := e.admit(context.Background(), w)
			if took := time.Since(began); took != want || fault.KindOf(err) == fault.Internal {
				t.Errorf("above the rate %v: refused after %v with %v", above, took, err)
			}
		}
	})
}

// answered notes an answer of a holder that gave too few tokens.
func answered(e *entry, w *document.Workspace) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws := e.workspace(w, time.Now())
	ws.reached, ws.lacked = true, time.Now()
}

// Guards against requests of a workspace that starts to overdrive and wait as long as
// for a takeover: they give up at the next look after the first answer without a token.
func TestRequestsStopWaitingOnceAboveTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, w := entryWithoutHolder()
		defer e.close()
		// A call is in flight all the time, so that none that fails comes in between.
		e.mu.Lock()
		e.workspace(w, time.Now()).asking = true
		e.mu.Unlock()
		time.AfterFunc(150*time.Millisecond, func() { answered(e, w) })
		began := time.Now()
		err := e.admit(context.Background(), w)
		if took := time.Since(began); took != 2*e.cfg.MaxWait || fault.KindOf(err) != fault.RateLimited {
			t.Errorf("refused after %v with %v", took, err)
		}
	})
}

// Guards against requests within the rate that are refused as above it in a takeover:
// while the holder that ended is still asked, and because the next one's bucket is empty.
// 12 VMs at 60% of the rate.
func TestTakeoverRefusesNothingAsAboveTheRate(t *testing.T) {
	const warm, takeover = 6 * time.Second, 8 * time.Second
	for seed := range uint64(5) {
		s := scenario{
			size: 12, entries: 4, seed: seed, load: 0.6, reserved: 1, warm: warm, length: 6 * time.Second,
			limit: document.Workspace{RatePerSecond: 50, Burst: 50},
			setup: func(f *fleet) {
				for _, v := range f.vms {
					v.Limiter.entry.cfg.MaxWait, v.Limiter.entry.cfg.HolderWait = 100*time.Millisecond, grantMemory+heartbeat
				}
			},
		}
		s.each = func(f *fleet, at time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if at >= takeover {
				f.side[0] = -1
			}
		}
		r := play(t, s)
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
			t.Errorf("seed %d: %d of %d requests refused as above the rate", seed, refused, during)
		}
	}
}
