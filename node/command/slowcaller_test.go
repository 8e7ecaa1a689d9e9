package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// longPrefix is the part of a body that is in memory before a target is chosen.
var longPrefix = strings.Repeat("0123456789abcdef", prefixBytes/16)

// startPatientHarness starts a harness whose routes have a deadline of 30 s, which a busy machine
// does not exceed.
func startPatientHarness(t *testing.T, addresses ...string) *harness {
	f := startHarnessAt(t, addresses...)
	for i := range f.snapshot.Load().Routes {
		f.snapshot.Load().Routes[i].TimeoutMs = 30_000
	}
	return f
}

// losesConnection reads n bytes of each body and closes the connection.
func losesConnection(n int) func(int64, *http.Request, net.Conn) bool {
	return func(_ int64, r *http.Request, _ net.Conn) bool {
		_, _ = io.ReadFull(r.Body, make([]byte, n))
		time.Sleep(10 * time.Millisecond)
		return false
	}
}

// slowBody returns a body of the prefix and what is written to rest.
func slowBody(t *testing.T) (body io.Reader, rest *io.PipeWriter) {
	sent, rest := io.Pipe()
	t.Cleanup(func() { _ = rest.Close() })
	return io.MultiReader(strings.NewReader(longPrefix), sent), rest
}

// onRetry calls a function before the permit of a retry is granted.
type onRetry struct {
	*harness
	do func()
}

func (p onRetry) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	if len(r.Avoid) > 0 {
		p.do()
	}
	return p.harness.Acquire(ctx, r)
}

// Guards against a read of the caller's body whose bytes are lost, because its attempt had ended
// when they arrived: before the retry has a target, or while it waits for them.
func TestBytesAwaitedByALostAttemptReachTheRetry(t *testing.T) {
	for _, c := range []struct{ h2, beforeTheRetry bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		lost := startRaw(t, losesConnection(prefixBytes))
		retried, got := make(chan bool, 2), make(chan string, 1)
		good := startRaw(t, func(_ int64, r *http.Request, conn net.Conn) bool {
			retried <- true
			raw, err := io.ReadAll(r.Body)
			got <- fmt.Sprint(string(raw), r.Trailer, err)
			return write(conn, withEcho(r, okAnswer))
		})
		f := startPatientHarness(t, lost.address, good.address)
		if c.beforeTheRetry {
			f.handler.cfg.Picker = onRetry{f, func() {
				retried <- true
				time.Sleep(50 * time.Millisecond)
			}}
		}
		body, rest := slowBody(t)
		trailer := http.Header{"X-Sum": nil}
		go func() {
			<-retried
			_, _ = io.WriteString(rest, "the rest")
			_ = rest.Close()
		}()
		a := f.doOver(c.h2, "PUT", "/get/x", body, trailer, "X-Early: 1")
		if a.StatusCode != http.StatusOK {
			t.Fatalf("%+v: status %d: %s, error %v", c, a.StatusCode, a.body, a.err)
		}
		if text := <-got; text != fmt.Sprint(longPrefix+"the rest", trailer, nil) {
			t.Errorf("%+v: the second target got %d bytes: %.200s", c, len(text), text[min(len(text), prefixBytes):])
		}
	}
}

// Guards against a lost request that runs a second time although that is not allowed or its body
// is no longer complete, and against an answer that states that it did not run.
func TestLostRequestIsNotSentAgain(t *testing.T) {
	for _, c := range []struct {
		method, path, more string
	}{{"POST", "/post/x", ""}, {"PUT", "/get/x", "more"}} {
		lost := startRaw(t, losesConnection(prefixBytes+len(c.more)))
		good := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool { return write(c, withEcho(r, okAnswer)) })
		f := startPatientHarness(t, lost.address, good.address)
		body, rest := slowBody(t)
		go func() { _, _ = io.WriteString(rest, c.more) }()
		a := f.doOver(false, c.method, c.path, body, nil, "X-Early: 1")
		f.wantKind(a, fault.OutcomeUnknown)
		if o := f.lastOutcomes(); good.received.Load() > 0 || o["citas-01"] != node.OutcomeLost {
			t.Errorf("%s: %d requests at the second target, outcomes %v", c.method, good.received.Load(), o)
		}
	}
}

// lastOutcomes returns the last outcome by target.
func (f *harness) lastOutcomes() map[string]node.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]node.Outcome{}
	for id, o := range f.outcomeOf {
		all[id] = o
	}
	return all
}

// watchedBody is a body that blocks after its prefix until its read deadline, and the response
// writer of its request.
type watchedBody struct {
	*httptest.ResponseRecorder
	prefix   io.Reader
	once     sync.Once
	expired  chan struct{}
	returned atomic.Bool // the handler has returned
	late     atomic.Int64
	pending  atomic.Int64
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.pending.Add(1)
	defer b.pending.Add(-1)
	if b.returned.Load() {
		b.late.Add(1)
	}
	if n, err := b.prefix.Read(p); err == nil {
		return n, nil
	}
	<-b.expired
	time.Sleep(20 * time.Millisecond)
	return 0, os.ErrDeadlineExceeded
}

func (b *watchedBody) Close() error { return nil }

// SetReadDeadline ends the pending read at t.
func (b *watchedBody) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), func() { b.once.Do(func() { close(b.expired) }) })
	}
	return nil
}

// Guards against a read of the caller's body after the handler has returned, when net/http uses
// the connection for something else.
func TestNoReadOfTheBodyAfterTheHandler(t *testing.T) {
	for _, answer := range []string{"", okAnswer, earlyShedAnswer} {
		target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
			_, _ = io.ReadFull(r.Body, make([]byte, prefixBytes))
			time.Sleep(10 * time.Millisecond)
			if answer != "" {
				write(c, withEcho(r, answer))
			}
			return false
		})
		f := startHarnessAt(t, target.address)
		body := &watchedBody{ResponseRecorder: httptest.NewRecorder(), prefix: strings.NewReader(longPrefix), expired: make(chan struct{})}
		r := httptest.NewRequest("POST", "/post/x", body)
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set("X-Early", "1")
		r.Header.Set("Expect", "no read after the answer")
		r.ContentLength = 2 * prefixBytes
		f.handler.ServeHTTP(body, r)
		body.returned.Store(true)
		pending := body.pending.Load()
		time.Sleep(50 * time.Millisecond)
		if late := body.late.Load(); pending > 0 || late > 0 {
			t.Errorf("status %d: %d reads were in progress when the handler returned, %d began later", body.Code, pending, late)
		}
	}
}

// Guards against an attempt that begins to read the caller's body after the handler has returned.
func TestDetachedBodyIsNotRead(t *testing.T) {
	source := strings.NewReader("rest")
	b := &callerBody{length: -1, limit: 100, source: io.NopCloser(source)}
	a := b.forAttempt(func() {})
	b.detach()
	if n, err := a.Read(make([]byte, 10)); n > 0 || err != errBodyDetached || source.Len() != len("rest") {
		t.Errorf("read %d bytes, error %v; %d bytes of the body are left, want all", n, err, source.Len())
	}
}

// gatedConn is a connection to a target whose answer is read from byte readFirst on only some
// time after a write has failed.
type gatedConn struct {
	net.Conn
	readFirst int
	failed    chan struct{}
	once      sync.Once
}

func (c *gatedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { time.AfterFunc(50*time.Millisecond, func() { close(c.failed) }) })
	}
	return n, err
}

func (c *gatedConn) Read(p []byte) (int, error) {
	if c.readFirst == 0 {
		select {
		case <-c.failed:
		case <-time.After(20 * time.Second):
		}
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readFirst)])
	c.readFirst -= n
	return n, err
}

// Guards against a complete answer that is lost, because the target closed its connection and
// sending more of the body failed before the answer was read.
func TestCompleteAnswerOfATargetThatClosesIsDelivered(t *testing.T) {
	want := strings.Repeat("answer", 5000)
	for _, readFirst := range []int{0, 2000} {
		answered := make(chan bool, 1)
		target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
			_, _ = io.ReadFull(r.Body, make([]byte, prefixBytes))
			write(c, withEcho(r, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(want), want)))
			_ = c.Close()
			answered <- true
			return false
		})
		f := startPatientHarness(t, target.address)
		dialer := &net.Dialer{}
		f.handler.transport.DialContext = guardedDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			return &gatedConn{Conn: c, readFirst: readFirst, failed: make(chan struct{})}, err
		})
		body, rest := slowBody(t)
		go func() {
			<-answered
			for range 100 {
				if _, err := io.WriteString(rest, "more"); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		a := f.doOver(false, "POST", "/post/x", body, nil, "X-Early: 1")
		if a.StatusCode != http.StatusOK || a.body != want || a.err != nil {
			t.Errorf("answer read up to byte %d: status %d, %d bytes: %.200s, error %v", readFirst, a.StatusCode, len(a.body), a.body, a.err)
		}
	}
}

// Guards against an answer that is cut by a reset and counts as complete, because a write has
// taken the error of the reset from the system.
func TestResetSeenByAWriteIsNotTheEndOfTheAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ours, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := newTargetConn(ours)
	defer c.Close()
	theirs, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	write(theirs, "cut")
	_ = theirs.(*net.TCPConn).SetLinger(0)
	_ = theirs.Close()
	for write(ours, "more") {
		time.Sleep(time.Millisecond)
	}
	got := make([]byte, 10)
	if n, err := c.readAndParse(got); string(got[:n]) != "cut" || err != nil {
		t.Fatalf("read %q, error %v", got[:n], err)
	}
	if n, err := c.readAndParse(got); n > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %d bytes and error %v after a reset, want ECONNRESET", n, err)
	}
}

// Guards against a complete early answer that reaches a slow caller only at its deadline,
// because the target closes its connection.
func TestEarlyAnswerDoesNotWaitForASlowCaller(t *testing.T) {
	for _, answer := range []string{okAnswer, strings.Replace(okAnswer, "Content-Length", "Connection: close\r\nContent-Length", 1)} {
		target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
			_, _ = io.ReadFull(r.Body, make([]byte, prefixBytes))
			time.Sleep(10 * time.Millisecond)
			write(c, withEcho(r, answer))
			return false
		})
		f := startPatientHarness(t, target.address)
		body, _ := slowBody(t)
		began := time.Now()
		a := f.doOver(false, "POST", "/post/x", body, nil, "X-Early: 1")
		if waited := time.Since(began); a.body != "ok" || waited > 10*time.Second {
			t.Errorf("status %d %q after %v, want 200 at once", a.StatusCode, a.body, waited)
		}
	}
}

// blockedConn is a connection to a target that takes limit bytes.
type blockedConn struct {
	net.Conn
	limit  int
	closed chan struct{}
	once   sync.Once
}

func (c *blockedConn) Write(p []byte) (int, error) {
	if c.limit -= len(p); c.limit < 0 {
		<-c.closed
		return 0, errors.New("closed")
	}
	return c.Conn.Write(p)
}

func (c *blockedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a request that runs to its end at the target although its caller has closed the
// connection within the body, or behind it and a further request.
func TestCloseWithinAStreamedBodyCancelsTheRequest(t *testing.T) {
	whole := pipelined("POST", "/post/x", longPrefix+longPrefix)
	partial := whole[:len(whole)-5000]
	first := pipelined("POST", "/post/first", "body")
	behind := pipelined("POST", "/post/behind", "body")
	for _, c := range []struct {
		name, sent string
		blocked    bool // the target stops reading within the body
	}{
		{"within the body", partial, false},
		{"within the body of the second request", first + partial, false},
		{"behind the body", whole, false},
		{"behind the body and a further request", whole + behind, false},
		{"behind the body and two further requests", first + whole + behind + behind, false},
		{"within the body, target does not read", partial, true},
		{"behind the body, target does not read", whole, true},
		{"behind a further request, target does not read", whole + behind, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			started, paths := make(chan bool, 8), make(chan string, 8)
			target := startRaw(t, func(_ int64, r *http.Request, conn net.Conn) bool {
				paths <- r.URL.Path
				if r.URL.Path != "/post/x" {
					_, _ = io.Copy(io.Discard, r.Body)
					return write(conn, withEcho(r, okAnswer))
				}
				started <- true
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = conn.Read(make([]byte, 1))
				return false
			})
			f := startPatientHarness(t, target.address)
			if c.blocked {
				dialer := &net.Dialer{}
				f.handler.transport.DialContext = guardedDial(func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					return &blockedConn{Conn: conn, limit: prefixBytes + 2000, closed: make(chan struct{})}, err
				})
			}
			caller := f.dialCaller()
			write(caller, strings.ReplaceAll(c.sent, "Host: x", "Host: x\r\nX-Early: 1"))
			<-started
			time.Sleep(50 * time.Millisecond)
			_ = caller.Close()
			for f.handler.Running() > 0 {
				time.Sleep(time.Millisecond)
			}
			f.mu.Lock()
			got := slices.DeleteFunc(f.outcomes, func(o node.Outcome) bool { return o == node.OutcomeOK || o == node.OutcomeUnused })
			f.mu.Unlock()
			if !slices.Equal(got, []node.Outcome{node.OutcomeCanceled}) {
				t.Errorf("outcomes %v of the request, want %v", got, node.OutcomeCanceled)
			}
			close(paths)
			for path := range paths {
				if path == "/post/behind" {
					t.Error("the request behind the abandoned one ran too")
				}
			}
		})
	}
}
