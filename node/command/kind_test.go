package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
)

// withIdempotent returns a copy of s in which every route has the given kind.
func withIdempotent(s *document.Snapshot, idempotent bool) *document.Snapshot {
	changed := *s
	changed.Routes = nil
	for _, rt := range s.Routes {
		r := *rt
		r.Idempotent = &idempotent
		changed.Routes = append(changed.Routes, &r)
	}
	return &changed
}

// Guards against a second run of a request whose route became non-idempotent after it was admitted.
func TestRouteThatBecameNonIdempotentIsNotRunAgain(t *testing.T) {
	for _, c := range []struct {
		name       string
		hedgeAfter time.Duration
		first      func(c net.Conn) bool // answer of the first target after the change
		want       fault.Kind            // 0: the answer of the first target
	}{
		{"retry", 0, func(net.Conn) bool { return false }, fault.OutcomeUnknown},
		{"hedge", 20 * time.Millisecond, func(c net.Conn) bool {
			time.Sleep(100 * time.Millisecond)
			return write(c, okAnswer)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f *harness
			first := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				f.snapshot.Store(withIdempotent(f.snapshot.Load(), false))
				return c.first(conn)
			})
			second := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return write(conn, okAnswer) })
			f = startHarnessAt(t, first.address, second.address)
			f.hedgeAfter = c.hedgeAfter
			a := f.do("GET", "/get/x", "")
			if n := second.received.Load(); n != 0 {
				t.Errorf("the second target received %d requests, want 0", n)
			}
			if c.want != 0 {
				f.wantKind(a, c.want)
			} else if a.body != "ok" {
				t.Error(fmt.Sprint(a.StatusCode, a.body, a.err))
			}
			f.wantViolations()
		})
	}
}

// Guards against a first attempt written after the hedged one when the route became non-idempotent in between.
func TestFirstAttemptIsNotWrittenAfterTheHedgedOne(t *testing.T) {
	changed := make(chan struct{})
	var f *harness
	first := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return write(conn, okAnswer) })
	second := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		f.snapshot.Store(withIdempotent(f.snapshot.Load(), false))
		close(changed)
		time.Sleep(200 * time.Millisecond)
		return write(conn, okAnswer)
	})
	f = startHarnessAt(t, first.address, second.address)
	f.hedgeAfter = 20 * time.Millisecond
	f.handler.transport.DialContext = guardedDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == first.address {
			<-changed
		}
		return f.handler.cfg.Dial(ctx, network, address)
	})
	a := f.do("GET", "/get/x", "")
	if n := first.received.Load(); n != 0 || a.body != "ok" {
		t.Errorf("the first target received %d requests, want 0; status %d, body %q", n, a.StatusCode, a.body)
	}
	f.wantViolations()
}

// Guards against a request that is not retried because its route was removed after it was admitted.
func TestRemovedRouteKeepsTheKindOfItsRequests(t *testing.T) {
	var f *harness
	first := startRaw(t, func(int64, *http.Request, net.Conn) bool {
		removed := *f.snapshot.Load()
		removed.Routes = nil
		f.snapshot.Store(&removed)
		return false
	})
	second := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return write(conn, okAnswer) })
	f = startHarnessAt(t, first.address, second.address)
	if a := f.do("GET", "/get/x", ""); a.body != "ok" {
		t.Errorf("status %d, body %q, want the answer of the second target", a.StatusCode, a.body)
	}
}
