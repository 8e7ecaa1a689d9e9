package command

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

const (
	leavingAnswer = "HTTP/1.1 200 OK\r\nGalenasail-Leaving: 1\r\nContent-Length: 7\r\n\r\nleaving"
	pauseAnswer   = "HTTP/1.1 503 Service Unavailable\r\nGalenasail-Shed: not-run\r\nRetry-After: 0.6\r\nContent-Length: 0\r\n\r\n"
	longPause     = "HTTP/1.1 503 Service Unavailable\r\nGalenasail-Shed: not-run\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
)

// answering starts a target that gives the same answer to each request.
func answering(t *testing.T, answer string) *rawTarget {
	return startRaw(t, func(_ int64, _ *http.Request, c net.Conn) bool { return write(c, answer) })
}

// Guards against further requests to a target that said in an answer that it leaves, while
// registrations and holders still offer it.
func TestLeavingTargetGetsNothingMore(t *testing.T) {
	leaving, other := answering(t, leavingAnswer), answering(t, okAnswer)
	f := startHarnessAt(t, leaving.address, other.address)
	if a := f.do("POST", "/post/x", ""); a.body != "leaving" {
		t.Fatalf("the answer of the leaving target was not delivered: status %d, body %q", a.StatusCode, a.body)
	}
	for range 20 {
		if a := f.do("POST", "/post/x", ""); a.body != "ok" {
			t.Fatalf("status %d, body %q, want the answer of the other target", a.StatusCode, a.body)
		}
	}
	if n := leaving.received.Load(); n != 1 {
		t.Errorf("the leaving target received %d requests, want 1", n)
	}
}

// Guards against a request to a leaving target with a permit that was granted before the answer
// came.
func TestPermitGrantedBeforeTargetLeaves(t *testing.T) {
	leaving, other := answering(t, leavingAnswer), answering(t, okAnswer)
	f := startHarnessAt(t, leaving.address, other.address)
	nested := false
	f.check = func() error {
		if !nested {
			nested = true
			f.do("POST", "/post/x", "")
		}
		return nil
	}
	if a := f.do("POST", "/post/x", ""); a.body != "ok" {
		t.Errorf("status %d, body %q, want the answer of the other target", a.StatusCode, a.body)
	}
	if n := leaving.received.Load(); n != 1 {
		t.Errorf("the leaving target received %d requests, want 1", n)
	}
}

// Guards against requests to a target during the pause that it asked for, and against a pause
// that does not end.
func TestPausedTargetGetsNothingUntilItsTime(t *testing.T) {
	paused, other := answering(t, pauseAnswer), answering(t, okAnswer)
	f := startHarnessAt(t, paused.address, other.address)
	began := time.Now()
	for time.Since(began) < 400*time.Millisecond {
		if a := f.do("POST", "/post/x", ""); a.body != "ok" {
			t.Fatalf("status %d, body %q, want the answer of the other target", a.StatusCode, a.body)
		}
	}
	if n := paused.received.Load(); n != 1 {
		t.Errorf("the target received %d requests until its pause ended, want the first one", n)
	}
	time.Sleep(time.Until(began.Add(1200 * time.Millisecond)))
	f.do("POST", "/post/x", "")
	if n := paused.received.Load(); n < 2 {
		t.Errorf("the target received no request after its pause")
	}
}

// Guards against a caller that waits, or is told to return at once, while all targets pause.
func TestAllTargetsPausedIsRefusedWithTheirTime(t *testing.T) {
	paused := answering(t, longPause)
	f := startHarnessAt(t, paused.address)
	f.do("POST", "/post/x", "")
	a := f.do("POST", "/post/x", "")
	f.wantKind(a, fault.NoCapacity)
	after, err := strconv.Atoi(a.Header.Get("Retry-After"))
	if err != nil || after < 29 || after > 40 {
		t.Errorf("Retry-After is %q, want from 29 to 40 s", a.Header.Get("Retry-After"))
	}
	if n := paused.received.Load(); n != 1 {
		t.Errorf("the target received %d requests, want 1", n)
	}
}

// Guards against a notice that outlives the process that gave it, and against one that ends when
// an outdated registration is read again.
func TestNoticeBindsTheProcessThatGaveIt(t *testing.T) {
	now := time.Now()
	notices := newTargetNotices(&harness{t: t})
	target := func(process string) document.Target { return document.Target{ID: "a", Process: process} }
	notices.record("s", target("200"), wire.TargetNotices{Leaving: true}, now)
	for process, bound := range map[string]bool{"200": true, "1000": false, "199": true, "": true, "201": false} {
		if err := notices.check("s", target(process), now); (err != nil) != bound {
			t.Errorf("process %q: got error %v, want one: %t", process, err, bound)
		}
	}
}

// Guards against a pause that a target states in an unusable way: it is ignored, and one
// without end is bounded.
func TestPauseIsParsed(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "-1": 0, "soon": 0, "NaN": 0,
		"1e300": wire.MaxPause, "Inf": wire.MaxPause, "": 0,
	} {
		resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {text}}}
		got := wire.ParseNotices(resp, "Leaving")
		malformed := want == 0 && text != ""
		if got.Pause != want || (got.Malformed != "") != malformed {
			t.Errorf("Retry-After %q: got pause %v and malformed %q, want %v", text, got.Pause, got.Malformed, want)
		}
	}
}

// Guards against notices that use memory without bound.
func TestNoticesAreBounded(t *testing.T) {
	now := time.Now()
	notices := newTargetNotices(&harness{t: t})
	for i := range 2 * maxNotices {
		notices.record("s", document.Target{ID: strconv.Itoa(i)}, wire.TargetNotices{Pause: time.Minute + time.Duration(i)}, now)
	}
	if n := len(notices.byService["s"]); n > maxNotices {
		t.Errorf("%d notices are kept, want at most %d", n, maxNotices)
	}
	if err := notices.check("s", document.Target{ID: strconv.Itoa(2*maxNotices - 1)}, now); err == nil {
		t.Error("the newest notice was dropped")
	}
}
