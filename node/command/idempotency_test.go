package command

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// Guards against a repeated idempotency key whose request runs again or receives another
// answer, and against a key that cannot be used again after its request did not run.
func TestIdempotencyKeys(t *testing.T) {
	var ran atomic.Int64
	hold := make(chan struct{})
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		n := ran.Add(1)
		if r.URL.Path == "/post/hold" {
			<-hold
		}
		if r.URL.Path == "/post/long" {
			fmt.Fprint(w, strings.Repeat("x", 2*maxBufferedBytes))
			return
		}
		w.Header().Set("X-Run", r.Header.Get(wire.HeaderTargetIdempotencyKey))
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, n)
	})
	first := f.do("POST", "/post/x", "body", "Idempotency-Key: abc.1")
	again := f.do("POST", "/post/x", "body", "Idempotency-Key: abc.1")
	if first.body != "1" || again.body != "1" || again.StatusCode != 201 || again.Header.Get("X-Run") != "abc.1" || again.Header.Get(wire.HeaderReplayed) != "true" {
		t.Fatalf("first %q, repeat %d %q %v", first.body, again.StatusCode, again.body, again.Header)
	}
	f.wantKind(f.do("POST", "/post/x", "other", "Idempotency-Key: abc.1"), fault.KeyReused)

	f.do("POST", "/post/long", "", "Idempotency-Key: abc.2")
	f.wantKind(f.do("POST", "/post/long", "", "Idempotency-Key: abc.2"), fault.AnswerNotKept)

	done := make(chan answer)
	go func() { done <- f.do("POST", "/post/hold", "", "Idempotency-Key: abc.3") }()
	for ran.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.wantKind(f.do("POST", "/post/hold", "", "Idempotency-Key: abc.3"), fault.InProgress)
	close(hold)
	if a := <-done; a.body != "3" {
		t.Fatalf("held request: %d %q", a.StatusCode, a.body)
	}

	f.admit = func() error { return fault.New(fault.RateLimited, "injected") }
	f.wantKind(f.do("POST", "/post/x", "", "Idempotency-Key: abc.4"), fault.RateLimited)
	f.admit = nil
	if a := f.do("POST", "/post/x", "", "Idempotency-Key: abc.4"); a.StatusCode != 201 || ran.Load() != 4 {
		t.Fatalf("repeat of a refused request: %d %q after %d runs", a.StatusCode, a.body, ran.Load())
	}
	f.wantViolations()
}

// Guards against a second run of a request whose connection was lost: its idempotency
// key must keep the unknown outcome.
func TestOutcomeOfLostRequestStaysUnknown(t *testing.T) {
	target := startRaw(t, func(int64, *http.Request, net.Conn) bool { return false })
	f := startHarnessAt(t, target.address)
	for range 2 {
		f.wantKind(f.do("POST", "/post/x", "", "Idempotency-Key: abc.1"), fault.OutcomeUnknown)
	}
	if n := target.received.Load(); n != 1 {
		t.Fatalf("the target received %d requests, want 1", n)
	}
}

// Guards against a request that continues to crash targets after marks of this VM or of
// peers, and against the quarantine of other requests.
func TestPoisonedRequestIsRefused(t *testing.T) {
	crash := func(_ int64, r *http.Request, c net.Conn) bool {
		return r.URL.Path != "/post/crash" && write(c, okAnswer)
	}
	a, b := startRaw(t, crash), startRaw(t, crash)
	f := startHarnessAt(t, a.address, b.address)
	f.wantKind(f.do("POST", "/post/crash", "body"), fault.OutcomeUnknown)
	if len(f.marks) != 1 {
		t.Fatalf("%d poison marks reported, want 1", len(f.marks))
	}
	f.onMark(node.PoisonMark{Fingerprint: f.marks[0].Fingerprint, Target: 7})
	seen := a.received.Load() + b.received.Load()
	f.wantKind(f.do("POST", "/post/crash", "body"), fault.Poisoned)
	if n := a.received.Load() + b.received.Load(); n != seen {
		t.Fatalf("the quarantined request reached a target")
	}
	if other := f.do("POST", "/post/crash2", "body"); other.body != "ok" {
		t.Fatalf("another request: %d %s", other.StatusCode, other.body)
	}
	f.wantViolations()
}

// Guards against a target that continues to work after the caller disconnected, a deadline
// that is not enforced, and a wrong error kind after the deadline.
func TestDeadlineAndCancellation(t *testing.T) {
	ended := make(chan struct{}, 1)
	f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- struct{}{}
	})
	f.wantKind(f.do("GET", "/get/x", "", "Galenasail-Timeout-Ms: 50"), fault.DeadlineUnknown)
	<-ended
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", f.url+"/get/x", nil)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if a := receive(callerTransport(false).RoundTrip(req)); a.err == nil {
		t.Fatalf("status %d for a caller that disconnected", a.StatusCode)
	}
	<-ended
	c, err := net.Dial("tcp", f.url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	write(c, "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\nGalenasail-Timeout-Ms: 50\r\nContent-Length: 9\r\n\r\nhalf")
	f.wantKind(receive(http.ReadResponse(bufio.NewReader(c), nil)), fault.DeadlineNotRun)
	f.wantViolations()
}

// Guards against a shutdown that aborts a running request, refuses a request without an
// answer, or does not report that its timeout was too short (invariant shutdown).
func TestGracefulShutdown(t *testing.T) {
	hold, reached := make(chan struct{}), make(chan struct{}, 2)
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		reached <- struct{}{}
		<-hold
		fmt.Fprint(w, strings.Repeat("x", 3*maxBufferedBytes))
	})
	done := make(chan answer, 1)
	go func() { done <- f.do("GET", "/get/x", "") }()
	<-reached
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := f.handler.Drain(short); err == nil {
		t.Fatal("Drain returned no error while a request was running")
	}
	f.wantViolations(invariant.Shutdown)

	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Shutdown(context.Background()) }()
	f.wantKind(f.do("GET", "/get/x", ""), fault.ShuttingDown)
	close(hold)
	if a := <-done; a.err != nil || len(a.body) != 3*maxBufferedBytes {
		t.Fatalf("running request: %d bytes, error %v", len(a.body), a.err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", f.url[len("http://"):]); err == nil {
		t.Fatal("the listener accepts connections after the shutdown")
	}
}
