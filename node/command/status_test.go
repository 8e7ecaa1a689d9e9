package command

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// answerWithStatus returns an answer whose status line has the given digits.
func answerWithStatus(r *http.Request, digits string) string {
	return withEcho(r, strings.Replace(okAnswer, "200", digits, 1))
}

// Guards against an answer whose status is no final HTTP status: delivered to the caller (600,
// 999), or a panic of the handler that ends the caller's connection without an answer (000).
func TestAnswerWithoutFinalStatusIsNotDelivered(t *testing.T) {
	for _, digits := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, method := range []string{"GET", "POST"} {
			target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
				return write(c, answerWithStatus(r, digits))
			})
			f := startHarnessAt(t, target.address)
			a := f.do(method, "/"+strings.ToLower(method)+"/x", "")
			if a.err != nil || a.StatusCode != http.StatusBadGateway {
				t.Errorf("%s, target's status %s: got status %d, error %v, want 502", method, digits, a.StatusCode, a.err)
			}
			if runs := target.received.Load(); method == "POST" && runs != 1 {
				t.Errorf("target's status %s: a non-idempotent request was sent %d times", digits, runs)
			}
		}
	}
}

// Guards against a request whose caller gets no answer, or a process that ends, because the
// handler panicked; the caller learns that the request may have run.
func TestPanicOfHandlerIsAnswered(t *testing.T) {
	f := startHarnessAt(t, "127.0.0.1:1")
	f.admit = func() error { panic("defect") }
	a := f.do("POST", "/post/x", "body")
	if a.err != nil || a.StatusCode != http.StatusBadGateway {
		t.Fatalf("got status %d, error %v, want 502", a.StatusCode, a.err)
	}
	if !f.panicked() {
		t.Error("the panic was not recorded")
	}
}

// panicked reports whether an event about a panic was recorded.
func (f *harness) panicked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.events, func(e string) bool { return strings.HasPrefix(e, event.RequestPanicked.String()) })
}

// Guards against any answer of a target, however malformed, that makes the handler panic.
func FuzzAnswer(f *testing.F) {
	for _, answer := range []string{
		okAnswer, "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 -10 X\r\n\r\n",
		"HTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nTrailer: \x00, Content-Length\r\n\r\n1;\x01=\"\r\na\r\n0\r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 5, 5\r\nConnection: \x7f\r\n: \r\n\r\nabcde", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 099 Y\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\nTrailer: A\r\n\r\nok", "HTTP/1.1 200 X\r\nRetry-After: NaN\r\nGalenasail-Leaving: \x00\r\n\r\n",
	} {
		f.Add(answer)
	}
	f.Fuzz(func(t *testing.T, answer string) {
		h := &harness{t: t}
		h.snapshot.Store(buildSnapshot(t, testKey, "127.0.0.1:1"))
		h.list = &member.List{Version: 1, VMs: []member.VM{{ID: "vm-1", Address: "127.0.0.1:1"}}}
		dial := func(context.Context, string, string) (net.Conn, error) { return answeringConn(answer), nil }
		handler := New(Config{
			Identity: node.Identity{VM: h.list.VMs[0], Instance: testInstance}, Configs: h, Contact: h, Limiter: h, Picker: h,
			PoisonMarks: h, Events: h, Dial: dial,
		})
		for _, method := range []string{"GET", "POST"} {
			r := httptest.NewRequest(method, "/"+strings.ToLower(method)+"/x", nil)
			r.Header.Set("Authorization", "Bearer "+testKey)
			r.Header.Set(wire.HeaderTimeout, "50")
			serveRecovered(handler, r)
		}
		if h.panicked() {
			t.Errorf("the handler panicked: %q", h.events)
		}
	})
}

// serveRecovered serves a request; an aborted answer ends it as in net/http.
func serveRecovered(h http.Handler, r *http.Request) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	h.ServeHTTP(httptest.NewRecorder(), r)
}

// answeringConn returns a connection to a target that answers one request with the given
// bytes, with the ID of the request after the first line, and closes it.
func answeringConn(answer string) net.Conn {
	caller, target := net.Pipe()
	go func() {
		defer target.Close()
		if r, err := http.ReadRequest(bufio.NewReader(target)); err == nil {
			write(target, withEcho(r, answer))
		}
	}()
	return caller
}

// Guards against a connection that carries the next request after an answer without a final
// status: what follows on it belongs to no request for sure.
func TestConnectionClosesAfterAnswerWithoutFinalStatus(t *testing.T) {
	var bad atomic.Bool
	from := make(chan string, 8)
	target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		from <- c.RemoteAddr().String()
		status := 200
		if bad.Load() {
			status = 600
		}
		return write(c, answerWithStatus(r, strconv.Itoa(status)))
	})
	f := startHarnessAt(t, target.address)
	bad.Store(true)
	f.do("POST", "/post/x", "body")
	bad.Store(false)
	if a := f.do("POST", "/post/x", "body"); a.StatusCode != http.StatusOK {
		t.Fatalf("status %d, error %v", a.StatusCode, a.err)
	}
	if first, second := <-from, <-from; first == second {
		t.Error("the connection with the unusable answer was used again")
	}
}
