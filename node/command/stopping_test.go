package command

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// stopTime is how long the shutdowns of these tests may take, stopObjective the latency
// objective of their routes.
const (
	stopTime      = 700 * time.Millisecond
	stopObjective = 200 * time.Millisecond
)

// setObjective sets the latency objective of all routes.
func (f *harness) setObjective(d time.Duration) {
	next := *f.snapshot.Load()
	next.Routes = nil
	for _, r := range f.snapshot.Load().Routes {
		changed := *r
		changed.ObjectiveMs = int(d.Milliseconds())
		next.Routes = append(next.Routes, &changed)
	}
	f.snapshot.Store(&next)
}

// stopWhile runs request, shuts the server down once it has reached its wait, and returns its
// answer and how long after the begin of the shutdown it came.
func (f *harness) stopWhile(reached <-chan struct{}, request func() answer) (a answer, after time.Duration) {
	f.t.Helper()
	done := make(chan answer, 1)
	go func() { done <- request() }()
	select {
	case <-reached:
	case <-time.After(5 * time.Second):
		f.t.Fatal("the request did not reach its wait")
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = f.server.Shutdown(ctx)
	}()
	a = <-done
	after = time.Since(began)
	<-stopped
	return a, after
}

// blockAcquire makes requests wait for a permit from attempt number n on, and returns a channel
// that tells when one does.
func (f *harness) blockAcquire(n int) <-chan struct{} {
	reached := make(chan struct{}, 1)
	f.acquire = func(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
		if n--; n > 0 {
			return f.firstTarget(r)
		}
		reached <- struct{}{}
		<-ctx.Done()
		return nil, fault.New(fault.DeadlineNotRun, "no slot became free")
	}
	return reached
}

// Guards against a graceful stop that closes the connection of a request that waits for a
// target, for a token, for its body or for a retry, without an answer.
func TestWaitingRequestIsRefusedAtAStop(t *testing.T) {
	ok := func(http.ResponseWriter, *http.Request) {}
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderShed, wire.ShedNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := map[string]struct {
		target  http.HandlerFunc
		prepare func(*harness) <-chan struct{}
		send    func(*harness) answer
		want    fault.Kind
	}{
		"for a target": {ok, func(f *harness) <-chan struct{} { return f.blockAcquire(1) },
			func(f *harness) answer { return f.do("POST", "/post/x", "body") }, fault.ShuttingDown},
		"for a target, HTTP/2": {ok, func(f *harness) <-chan struct{} { return f.blockAcquire(1) },
			func(f *harness) answer { return f.doOver(true, "POST", "/post/x", strings.NewReader("body"), nil) }, fault.ShuttingDown},
		"for a token": {ok, blockToken,
			func(f *harness) answer { return f.do("POST", "/post/x", "body") }, fault.ShuttingDown},
		"for its body": {ok, func(f *harness) <-chan struct{} { return closedSoon() }, sendHalfABody, fault.ShuttingDown},
		"for a retry after a refusal": {shed, func(f *harness) <-chan struct{} { return f.blockAcquire(2) },
			func(f *harness) answer { return f.do("POST", "/post/x", "body") }, fault.ShuttingDown},
		"for a retry after a lost connection": {loseConnection, func(f *harness) <-chan struct{} { return f.blockAcquire(2) },
			func(f *harness) answer { return f.do("GET", "/get/x", "") }, fault.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startHarness(t, c.target)
			f.setObjective(stopObjective)
			a, after := f.stopWhile(c.prepare(f), func() answer { return c.send(f) })
			f.wantKind(a, c.want)
			if after < stopTime/4 || after > stopTime-stopObjective+stopTime/4 {
				t.Errorf("answered %v after the begin of the stop, want after %v", after, stopTime-stopObjective-answerTime)
			}
			f.wantViolations()
		})
	}
}

// blockToken makes requests wait for a token.
func blockToken(f *harness) <-chan struct{} {
	reached := make(chan struct{}, 1)
	f.admitCtx = func(ctx context.Context) error {
		reached <- struct{}{}
		<-ctx.Done()
		return fault.New(fault.RateLimited, "no token")
	}
	return reached
}

// closedSoon returns a channel that is closed once a request that was just sent has arrived.
func closedSoon() <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(100*time.Millisecond, func() { close(c) })
	return c
}

func loseConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// sendHalfABody sends a request with half of its body.
func sendHalfABody(f *harness) answer {
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Error(err)
		return answer{Response: &http.Response{}}
	}
	defer c.Close()
	write(c, "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 9\r\n\r\nhalf")
	return receive(http.ReadResponse(bufio.NewReader(c), nil))
}

// Guards against a request held during the start of a VM that gets no answer when that VM stops.
func TestRequestHeldAtTheStartIsRefusedAtAStop(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) {})
	f.handler.cfg.StartupWait = time.Minute
	f.snapshot.Store(nil)
	a, _ := f.stopWhile(closedSoon(), func() answer { return f.do("GET", "/get/x", "") })
	f.wantKind(a, fault.ShuttingDown)
}

// Guards against a request at a target whose connection is closed without an answer when the
// time of a graceful stop ends, or that is answered as not run.
func TestRequestAtATargetIsAnsweredWhenAStopEnds(t *testing.T) {
	for _, path := range []string{"/get/x", "/post/x"} {
		for _, http2 := range []bool{false, true} {
			t.Run(fmt.Sprint(path, http2), func(t *testing.T) {
				t.Parallel()
				reached, hold := make(chan struct{}, 1), make(chan struct{})
				f := startHarness(t, func(http.ResponseWriter, *http.Request) { reached <- struct{}{}; <-hold })
				t.Cleanup(func() { close(hold) })
				a, after := f.stopWhile(reached, func() answer { return f.doOver(http2, "POST", path, strings.NewReader("body"), nil) })
				f.wantKind(a, fault.OutcomeUnknown)
				if after < stopTime-2*answerTime {
					t.Errorf("the request was ended %v after the begin of the stop, with %v left", after, stopTime-after)
				}
				f.wantViolations(invariant.Shutdown)
				if len(f.marks) > 0 {
					t.Errorf("the stop left poison marks %v", f.marks)
				}
			})
		}
	}
}

// Guards against a stop that refuses a waiting request although a target can still answer it,
// or that starts a request which a target cannot answer any more.
func TestWaitingRequestRunsWhileAStopLeavesTime(t *testing.T) {
	for _, c := range []struct {
		free time.Duration // when a target becomes free, after the begin of the stop
		runs bool
	}{{stopTime / 4, true}, {stopTime - answerTime - stopObjective/2, false}} {
		t.Run(c.free.String(), func(t *testing.T) {
			t.Parallel()
			ran := make(chan struct{}, 1)
			f := startHarness(t, func(http.ResponseWriter, *http.Request) { ran <- struct{}{} })
			f.setObjective(stopObjective)
			reached := make(chan struct{}, 1)
			f.acquire = func(_ context.Context, r node.PermitRequest) (node.Permit, error) {
				reached <- struct{}{}
				time.Sleep(c.free)
				return f.firstTarget(r)
			}
			a, _ := f.stopWhile(reached, func() answer { return f.do("POST", "/post/x", "") })
			if c.runs && a.StatusCode != http.StatusOK {
				t.Errorf("status %d, error %v; want 200", a.StatusCode, a.err)
			}
			if !c.runs {
				f.wantKind(a, fault.ShuttingDown)
			}
			if (len(ran) == 1) != c.runs {
				t.Errorf("%d runs at the target", len(ran))
			}
		})
	}
}

// Guards against requests of a stop that are kept after their end.
func TestStoppablesAreForgotten(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) {})
	for range 20 {
		f.do("POST", "/post/x", "body")
		f.do("GET", "/no/route", "")
	}
	if n := len(f.handler.stopping.running); n > 0 {
		t.Errorf("%d requests are kept", n)
	}
}
