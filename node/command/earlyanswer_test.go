package command

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/node"
)

// earlyShedAnswer is sent before the body has been read.
var earlyShedAnswer = strings.Replace(shedAnswer, "Content-Length", "Connection: close\r\nContent-Length", 1)

// slowWriteConn returns late from its second write: the first part of the body.
type slowWriteConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *slowWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.writes.Add(1) == 2 {
		time.Sleep(30 * time.Millisecond)
	}
	return n, err
}

// queuedRetries holds the permit of each retry back.
type queuedRetries struct{ *harness }

func (p queuedRetries) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	if len(r.Avoid) > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	return p.harness.Acquire(ctx, r)
}

// Guards against an ended attempt that reads the caller's body while the retry waits for its target.
func TestEndedAttemptTakesNoBytesWhileTheRetryWaits(t *testing.T) {
	shed := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		_, _ = io.ReadFull(r.Body, make([]byte, prefixBytes))
		write(c, withEcho(r, earlyShedAnswer))
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	var second atomic.Pointer[string]
	good := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		raw, err := io.ReadAll(r.Body)
		got := string(raw)
		second.Store(&got)
		return err == nil && write(c, withEcho(r, okAnswer))
	})
	f := startHarnessAt(t, shed.address, good.address)
	f.handler.cfg.Picker = queuedRetries{f}
	dialer := &net.Dialer{}
	f.handler.transport.DialContext = guardedDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		return &slowWriteConn{Conn: c}, err
	})
	body := strings.Repeat("x", prefixBytes+5000)
	a := f.do("POST", "/post/x", body, "X-Early: 1")
	if got := second.Load(); a.StatusCode != http.StatusOK || got == nil || *got != body {
		t.Errorf("status %d %s; want 200 after the second target has read the whole body", a.StatusCode, a.body)
	}
}

// Guards against a lost connection that is reported only when a slow caller has sent more of its body.
func TestLostConnectionDoesNotWaitForASlowCaller(t *testing.T) {
	target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		_, _ = io.ReadFull(r.Body, make([]byte, prefixBytes))
		time.Sleep(10 * time.Millisecond)
		return false
	})
	f := startHarnessAt(t, target.address)
	c, err := net.Dial("tcp", f.url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	write(c, "POST /post/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\nX-Early: 1\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", prefixBytes))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if waited := time.Since(began); waited > time.Second {
		t.Errorf("status %d after %v; the connection was lost after 10 ms", resp.StatusCode, waited)
	}
}
