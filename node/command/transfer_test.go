package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/node"
)

// Guards against ending a transfer that makes progress or belongs to another service, and against
// keeping the one that has waited longest for its caller.
func TestSlowestTransferIsEnded(t *testing.T) {
	var s transfers
	ended := map[string]int{}
	join := func(service, name string, waited time.Duration, bytes int) *transfer {
		one := s.join(service, func() { ended[name]++ })
		one.waited = waited
		_, _ = one.wait(func() (int, error) { return bytes, nil })
		return one
	}
	join("citas", "slow", transferGrace+time.Second, minTransferBytes-1)
	slowest := join("citas", "slowest", transferGrace+2*time.Second, 0)
	join("citas", "progressing", time.Hour, minTransferBytes)
	join("citas", "new", transferGrace-time.Second, 0)
	join("other", "other", time.Hour, 0)
	join("citas", "left", time.Hour, 0).leave()
	s.endSlowest("citas", time.Now())
	if len(ended) != 1 || ended["slowest"] != 1 || !slowest.isEnded() {
		t.Errorf("ended %v, want the slowest", ended)
	}
	s.endSlowest("citas", time.Now())
	s.endSlowest("citas", time.Now())
	if len(ended) != 2 || ended["slowest"] != 1 || ended["slow"] != 1 {
		t.Errorf("ended %v, want each slow one once", ended)
	}
}

// oneSlot grants one permit at a time.
type oneSlot struct {
	*harness
	free chan bool
}

func (p oneSlot) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	select {
	case <-p.free:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	inner, err := p.harness.Acquire(ctx, r)
	return slotPermit{inner, p}, err
}

type slotPermit struct {
	node.Permit
	slot oneSlot
}

func (p slotPermit) Release(o node.Outcome, latency time.Duration) {
	p.Permit.Release(o, latency)
	p.slot.free <- true
}

// Guards against a caller that keeps a slot by sending or reading one byte a second while another
// request waits for it.
func TestWaitingRequestEndsASlowTransfer(t *testing.T) {
	for _, c := range []struct{ h2, sends bool }{{false, true}, {true, true}, {false, false}, {true, false}} {
		t.Run(fmt.Sprintf("HTTP/2 %v, sends %v", c.h2, c.sends), func(t *testing.T) {
			t.Parallel()
			cfg := slowBounds()
			cfg.Stall = time.Minute
			f, _ := slowHarness(t, cfg, 16<<20)
			slot := oneSlot{f, make(chan bool, 1)}
			slot.free <- true
			f.handler.cfg.Picker = slot
			var done atomic.Bool
			t.Cleanup(func() { done.Store(true) })
			var body io.Reader
			method := "GET"
			if c.sends {
				method = "POST"
				sent, rest := io.Pipe()
				body = sent
				go func() {
					_, err := io.WriteString(rest, strings.Repeat("x", 100_000))
					for err == nil && !done.Load() {
						time.Sleep(200 * time.Millisecond)
						_, err = rest.Write([]byte("x"))
					}
					_ = rest.Close()
				}()
			}
			req, err := http.NewRequestWithContext(t.Context(), method, f.url+map[bool]string{true: "/post/x", false: "/get/x"}[c.sends], body)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			transport := slowTransport(t, c.h2)
			go func() {
				if resp, err := transport.RoundTrip(req); err == nil {
					readSlowly(resp.Body, 1, time.Second)
				}
			}()
			for len(slot.free) > 0 {
				time.Sleep(time.Millisecond)
			}
			if a := f.do("GET", "/get/small", ""); a.StatusCode != http.StatusOK {
				t.Errorf("status %d: %s; outcomes %v", a.StatusCode, a.body, f.released())
			}
			done.Store(true)
		})
	}
}
