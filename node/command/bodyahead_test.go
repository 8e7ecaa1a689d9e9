package command

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/membudget"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/limit"
)

const (
	mebi = 1 << 20
	// closeNoticed is the time within which the close of a waiting caller must be noticed.
	closeNoticed = 500 * time.Millisecond
)

// bodyBounds allows 64 MiB in memory, of which a body may take buffer bytes before its request
// waits.
func bodyBounds(buffer int64) limit.Config {
	return limit.Config{Limits: membudget.Limits{Bytes: 64 * mebi, Connections: 100}, Stall: 3 * time.Second, BodyBuffer: buffer}
}

// allowBodies sets the largest body and the timeout of all routes.
func (f *harness) allowBodies(size int64) {
	for _, r := range f.snapshot.Load().Routes {
		r.MaxBodyBytes, r.TimeoutMs = size, 20_000
	}
}

// writeBody writes a request with a body, in chunks if chunked is set.
func writeBody(c net.Conn, path string, body []byte, chunked bool) error {
	head := "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	out := bufio.NewWriter(c)
	if !chunked {
		fmt.Fprintf(out, "%sContent-Length: %d\r\n\r\n", head, len(body))
		_, _ = out.Write(body)
		return out.Flush()
	}
	fmt.Fprintf(out, "%sTransfer-Encoding: chunked\r\n\r\n", head)
	for len(body) > 0 {
		n := min(len(body), 9000)
		fmt.Fprintf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	fmt.Fprint(out, "0\r\n\r\n")
	return out.Flush()
}

// waitsAndCloses lets a caller send a request that waits, close its connection after a while, and
// returns how long after the close the wait ended.
func (f *harness) waitsAndCloses(t *testing.T, send func(net.Conn) error) time.Duration {
	t.Helper()
	reached, ended := make(chan struct{}, 4), make(chan time.Time, 4)
	f.acquire = func(ctx context.Context, _ node.PermitRequest) (node.Permit, error) {
		reached <- struct{}{}
		<-ctx.Done()
		ended <- time.Now()
		return nil, fault.New(fault.DeadlineNotRun, "no slot became free")
	}
	c := f.dialCaller()
	go func() { _ = send(c) }()
	<-reached
	time.Sleep(400 * time.Millisecond)
	closedAt := time.Now()
	_ = c.Close()
	select {
	case at := <-ended:
		return at.Sub(closedAt)
	case <-time.After(5 * time.Second):
		return 5 * time.Second
	}
}

// Guards against a request that waits on, and then reaches a target, although its caller has
// closed the connection behind a body that is longer than what was read before the wait.
func TestCloseBehindALongBodyEndsTheWait(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 6*mebi)
	behind := pipelined("GET", "/get/behind", "")
	for _, buffer := range []int64{64 << 10, 8 * mebi} {
		for _, chunked := range []bool{false, true} {
			for _, next := range []string{"", behind} {
				t.Run(fmt.Sprintf("buffer %d, chunked %v, pipelined %v", buffer, chunked, next != ""), func(t *testing.T) {
					t.Parallel()
					f := startHarness(t, func(http.ResponseWriter, *http.Request) { t.Error("a target got the request") })
					f.bound(bodyBounds(buffer))
					f.allowBodies(64 * mebi)
					took := f.waitsAndCloses(t, func(c net.Conn) error {
						if err := writeBody(c, "/post/x", body, chunked); err != nil {
							return err
						}
						_, err := c.Write([]byte(next))
						return err
					})
					if took > closeNoticed {
						t.Errorf("the close was noticed after %v, want at most %v", took, closeNoticed)
					}
				})
			}
		}
	}
}

// Guards against the same for a request that waits for a token of its workspace's rate.
func TestCloseBehindALongBodyEndsTheWaitForAToken(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) {})
	f.bound(bodyBounds(64 << 10))
	f.allowBodies(64 * mebi)
	ended := make(chan time.Time, 1)
	f.admitCtx = func(ctx context.Context) error {
		<-ctx.Done()
		ended <- time.Now()
		return ctx.Err()
	}
	c := f.dialCaller()
	go func() { _ = writeBody(c, "/post/x", make([]byte, 6*mebi), false) }()
	time.Sleep(400 * time.Millisecond)
	closedAt := time.Now()
	_ = c.Close()
	if took := (<-ended).Sub(closedAt); took > closeNoticed {
		t.Errorf("the close was noticed after %v, want at most %v", took, closeNoticed)
	}
}

// Guards against a waiting request whose body takes memory that other callers need, or that waits
// on with the rest of its body unread.
func TestWaitingBodyBeyondTheSpareMemoryIsRefused(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) { t.Error("a target got the request") })
	cfg := bodyBounds(64 << 10)
	cfg.Limits.Bytes = 8 * mebi
	guard := f.bound(cfg)
	f.allowBodies(64 * mebi)
	f.blockAcquire(1)
	c := f.dialCaller()
	go func() { _ = writeBody(c, "/post/x", make([]byte, 32*mebi), false) }()
	var peak int64
	done := make(chan answer, 1)
	go func() { done <- receive(http.ReadResponse(bufio.NewReader(c), nil)) }()
	for {
		used, _ := guard.Usage()
		peak = max(peak, used)
		select {
		case a := <-done:
			f.wantKind(a, fault.Overloaded)
			if peak > cfg.Limits.Bytes*3/4 {
				t.Errorf("%d bytes were held, want at most three quarters of %d", peak, cfg.Limits.Bytes)
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a body that reaches the target changed, cut or twice after a part of it was read
// during a wait, whenever the wait ends, and with a caller that sends slowly.
func TestBodyReadDuringAWaitArrivesWhole(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			got := make(chan []byte, 1)
			f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
				all, err := io.ReadAll(r.Body)
				if err != nil {
					t.Error(err)
				}
				got <- all
			})
			f.bound(bodyBounds(64 << 10))
			f.allowBodies(64 * mebi)
			wait := time.Duration(random.IntN(300)) * time.Millisecond
			f.acquire = func(_ context.Context, r node.PermitRequest) (node.Permit, error) {
				time.Sleep(wait)
				return f.firstTarget(r)
			}
			body := make([]byte, random.IntN(3*mebi))
			for i := range body {
				body[i] = byte(random.Uint32())
			}
			c := f.dialCaller()
			sender := net.Conn(c)
			if seed%2 == 0 {
				sender = slowSender{c, random}
			}
			go func() { _ = writeBody(sender, "/post/x", body, seed%3 == 0) }()
			a := receive(http.ReadResponse(bufio.NewReader(c), nil))
			if a.StatusCode != http.StatusOK {
				t.Fatalf("status %d, error %v: %s", a.StatusCode, a.err, a.body)
			}
			if all := <-got; !bytes.Equal(all, body) {
				t.Errorf("the target got %d bytes, want the %d bytes of the body", len(all), len(body))
			}
			write(c, pipelined("GET", "/get/next", ""))
			if a := receive(http.ReadResponse(bufio.NewReader(c), nil)); !strings.EqualFold(a.Header.Get("Connection"), "close") && a.StatusCode != http.StatusOK {
				t.Errorf("next request on the connection: status %d, error %v", a.StatusCode, a.err)
			}
		})
	}
}

// slowSender writes in pieces with pauses.
type slowSender struct {
	net.Conn
	random *rand.Rand
}

// Write implements net.Conn.
func (s slowSender) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n := min(len(p)-written, 1+s.random.IntN(200_000))
		k, err := s.Conn.Write(p[written : written+n])
		written += k
		if err != nil {
			return written, err
		}
		time.Sleep(time.Duration(s.random.IntN(20)) * time.Millisecond)
	}
	return written, nil
}
