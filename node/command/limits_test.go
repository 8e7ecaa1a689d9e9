package command

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/membudget"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/limit"
)

// bound starts a second server with a guard and directs the caller to it.
func (f *harness) bound(cfg limit.Config) *limit.Guard {
	guard := limit.New(cfg)
	server := NewServer(ServerConfig{Handler: f.handler, Guard: guard})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(server.Close)
	f.url = "http://" + l.Addr().String()
	return guard
}

// smallBounds allows few connections and bodies of 256 KiB in memory.
func smallBounds() limit.Config {
	return limit.Config{
		Limits: membudget.Limits{Bytes: 1 << 20, Connections: 2},
		Stall:  300 * time.Millisecond, BodyBuffer: 256 << 10,
	}
}

// countedPicker counts the permits that are acquired.
type countedPicker struct {
	*harness
	acquired chan bool
}

func (p countedPicker) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	p.acquired <- true
	return p.harness.Acquire(ctx, r)
}

// Guards against a stalled body that takes a slot of a target, and against one that is kept
// until the deadline of its request.
func TestStalledBodyTakesNoSlot(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		f := startHarness(t, func(http.ResponseWriter, *http.Request) { t.Error("the target got the request") })
		guard := f.bound(smallBounds())
		picker := countedPicker{f, make(chan bool, 10)}
		f.handler.cfg.Picker = picker
		sent, rest := io.Pipe()
		// The caller's HTTP/2 transport waits for its own body.
		time.AfterFunc(900*time.Millisecond, func() { _ = rest.Close() })
		began := time.Now()
		a := f.doOver(h2, "POST", "/post/x", io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), sent), nil)
		f.wantKind(a, fault.DeadlineNotRun)
		if took := time.Since(began); took > time.Second || len(picker.acquired) > 0 {
			t.Errorf("HTTP/2 %v: refused after %v, %d permits acquired", h2, took, len(picker.acquired))
		}
		if held, _ := guard.Usage(); held > 512<<10 {
			t.Errorf("HTTP/2 %v: %d bytes are held", h2, held)
		}
	}
}

// Guards against a body that arrives slowly but steadily and is refused.
func TestSlowBodyIsServed(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	f.bound(smallBounds())
	sent, rest := io.Pipe()
	go func() {
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(rest, "x")
		}
		_ = rest.Close()
	}()
	if a := f.doOver(false, "POST", "/post/x", sent, nil); a.body != "xxxxxxxx" {
		t.Errorf("status %d, body %q, error %v", a.StatusCode, a.body, a.err)
	}
}

// Guards against bytes that are lost, repeated or mixed up between the part of a body in
// memory and the rest, for lengths around each bound.
func TestBodiesOfAnySizeArrive(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		_, _ = w.Write(raw)
	})
	f.bound(smallBounds())
	for _, size := range []int{0, 1, prefixBytes - 1, prefixBytes, prefixBytes + 1, prefixBytes + segmentBytes, prefixBytes + segmentBytes + 1, 256<<10 - 1, 256 << 10, 256<<10 + 1, 1 << 20} {
		text := strings.Repeat("0123456789abcdefg", size/17+1)[:size]
		for _, chunked := range []bool{false, true} {
			var body io.Reader = strings.NewReader(text)
			if chunked {
				body = io.MultiReader(body)
			}
			if a := f.doOver(false, "POST", "/post/x", body, nil); a.body != text {
				t.Errorf("%d bytes, chunked %v: status %d, %d bytes, error %v", size, chunked, a.StatusCode, len(a.body), a.err)
			}
		}
	}
}

// Guards against a body in memory that a retry cannot send again.
func TestBodyInMemoryIsSentAgain(t *testing.T) {
	shed := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		return write(c, withEcho(r, shedAnswer))
	})
	got := make(chan int, 1)
	good := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		raw, _ := io.ReadAll(r.Body)
		got <- len(raw)
		return write(c, withEcho(r, okAnswer))
	})
	f := startHarnessAt(t, shed.address, good.address)
	f.bound(smallBounds())
	a := f.do("POST", "/post/x", strings.Repeat("x", 200_000), "X-Early: 1")
	if n := <-got; a.StatusCode != http.StatusOK || n != 200_000 {
		t.Errorf("status %d: %s; the second target got %d bytes", a.StatusCode, a.body, n)
	}
}

// endingPicker reports when an acquire begins to wait, and when it ends with its caller.
type endingPicker struct {
	*harness
	waiting, ended chan bool
}

func (p endingPicker) Acquire(ctx context.Context, _ node.PermitRequest) (node.Permit, error) {
	p.waiting <- true
	<-ctx.Done()
	p.ended <- true
	return nil, ctx.Err()
}

// Guards against a request that waits on for a target, and gets one, although its connection was
// closed to make room.
func TestEvictedCallerCountsAsDisconnected(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) { t.Error("the target got the request") })
	f.bound(smallBounds())
	p := endingPicker{f, make(chan bool, 4), make(chan bool, 4)}
	f.handler.cfg.Picker = p
	for range 2 {
		write(f.dialCaller(), pipelined("GET", "/get/x", ""))
		<-p.waiting
	}
	f.dialCaller() // a third connection, of an address that holds none
	select {
	case <-p.ended:
	case <-time.After(time.Second):
		t.Error("no request of the workspace with all connections ended")
	}
}

// Guards against a request that runs on at a target although its connection, whose caller sends
// no more of the body, was closed to make room.
func TestEvictedCallerEndsItsRequestAtTheTarget(t *testing.T) {
	started, ended := make(chan bool, 4), make(chan bool, 4)
	f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		_, _ = io.Copy(io.Discard, r.Body)
		ended <- true
	})
	cfg := smallBounds()
	cfg.Stall = 10 * time.Second
	f.bound(cfg)
	for range 2 {
		c := f.dialCaller()
		write(c, "POST /post/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 1000000\r\n\r\n")
		write(c, strings.Repeat("x", 400_000))
		<-started
	}
	time.Sleep(1200 * time.Millisecond) // longer than a caller may send nothing while others need room
	f.dialCaller()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("no request of a caller that sends nothing ended")
	}
}

// Guards against a newcomer that is served at the cost of a request at a target.
func TestNewcomerIsRefusedBeforeARequestAtATarget(t *testing.T) {
	started, release := make(chan bool, 4), make(chan bool)
	f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- true
		<-release
	})
	f.bound(smallBounds())
	callers := []net.Conn{f.dialCaller(), f.dialCaller()}
	for _, c := range callers {
		write(c, pipelined("POST", "/post/x", ""))
		<-started
	}
	newcomer := f.dialCaller()
	_ = newcomer.SetReadDeadline(time.Now().Add(time.Second))
	if n, err := newcomer.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the newcomer read %d bytes and %v, want a closed connection", n, err)
	}
	close(release)
	for _, c := range callers {
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a request at a target ended with %v", err)
		}
	}
}

// Guards against a target that stops reading and makes the VM hold more of a streamed body
// than the part in memory.
func TestTargetThatStopsReadingHoldsNoBody(t *testing.T) {
	stopped := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		time.Sleep(time.Second)
		return false
	})
	f := startHarnessAt(t, stopped.address)
	guard := f.bound(smallBounds())
	c := f.dialCaller()
	write(c, "POST /post/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 1000000\r\n\r\n")
	go write(c, strings.Repeat("x", 900_000))
	time.Sleep(500 * time.Millisecond)
	if held, _ := guard.Usage(); held < 256<<10 || held > 400<<10 {
		t.Errorf("%d bytes are held, want the part in memory and the connection", held)
	}
}

// Guards against a request that counts as canceled because of a deadline that net/http set for
// an earlier read of the connection.
func TestReplacedDeadlineEndsNoRead(t *testing.T) {
	server, client := net.Pipe()
	c := newReadAheadConn(server)
	go func() { _, _ = client.Write([]byte("ab")) }()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	for ending := false; !ending; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		ending = c.err != nil
		c.mu.Unlock()
	}
	_ = c.SetReadDeadline(time.Time{})
	go func() { _, _ = client.Write([]byte("c")) }()
	p := make([]byte, 8)
	if n, err := c.Read(p); err != nil || string(p[:n]) != "c" {
		t.Errorf("read %q, error %v", p[:n], err)
	}
}

// Guards against a refusal of an unread header that callers take for the answer of a target.
func TestRefusalOfAHeaderStatesNotRun(t *testing.T) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(RefusalResponse(nil))), nil)
	if err != nil {
		t.Fatal(err)
	}
	f := &harness{t: t}
	f.wantKind(receive(resp, nil), fault.Overloaded)
	if !resp.Close {
		t.Error("the refusal does not close the connection")
	}
}

// Guards against a connection that is closed without an answer while a target runs its request:
// a crowd from several addresses, each of which holds less than the workspace, needs the memory.
func TestCrowdClosesNoRequestAtATarget(t *testing.T) {
	const requests, size = 3, 200_000
	running, release := make(chan bool, requests), make(chan bool)
	f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/post/x" {
			running <- true
			<-release
		}
	})
	f.bound(limit.Config{Limits: membudget.Limits{Bytes: 1 << 20, Connections: 100}, Stall: 300 * time.Millisecond, BodyBuffer: 256 << 10})
	answers := make(chan answer, requests)
	for range requests {
		go func() { answers <- f.do("POST", "/post/x", strings.Repeat("x", size)) }()
	}
	for range requests {
		<-running
	}
	for i := range 8 {
		f.sendUnfinishedBody(t, net.IPv4(127, 0, 0, byte(2+i%4)), size)
	}
	close(release)
	for range requests {
		if a := <-answers; a.err != nil || a.StatusCode != http.StatusOK {
			t.Errorf("status %d, error %v, want the answer of the target", a.StatusCode, a.err)
		}
	}
}

// sendUnfinishedBody sends a request on an open route from an address, without the last byte of
// its body, and keeps the connection open until the test ends.
func (f *harness) sendUnfinishedBody(t *testing.T, from net.IP, size int) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}
	c, err := d.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	// A refused caller cannot write to the end.
	_, _ = fmt.Fprintf(c, "POST /open/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	time.Sleep(20 * time.Millisecond)
}
