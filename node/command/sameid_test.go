package command

import (
	"net"
	"net/http"
	"strconv"
	"testing"
)

const otherAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

// Guards against a late copy that is taken for the answer to a request of another workspace with the same ID.
func TestLateCopyIsNotTheAnswerToAnotherRequestWithTheSameID(t *testing.T) {
	for _, c := range []struct{ name, first string }{
		{"answer", otherAnswer},
		{"not run", shedAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			firstOn := ""
			target := startRaw(t, func(n int64, r *http.Request, conn net.Conn) bool {
				if n == 1 {
					firstOn = conn.RemoteAddr().String()
					return write(conn, withEcho(r, c.first))
				}
				if conn.RemoteAddr().String() == firstOn {
					write(conn, withEcho(r, c.first))
				}
				return write(conn, withEcho(r, okAnswer))
			})
			f := startHarnessAt(t, target.address)
			f.handler.cfg.Dialect.AcceptRequestIDs = true
			f.do("POST", "/post/x", "", "Galenasail-Request-Id: 7")
			a := f.do("POST", "/post/x", "", "Galenasail-Request-Id: 7", "Authorization: Bearer key-b")
			if a.body != "ok" || target.received.Load() != 2 {
				t.Errorf("status %d, body %q after %d requests at the target, want the second request's own answer", a.StatusCode, a.body, target.received.Load())
			}
		})
	}
}

// Guards against a connection that remembers request IDs without a bound.
func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	client, _ := net.Pipe()
	c := newTargetConn(client)
	for n := 1; n <= maxRequestsPerConn; n++ {
		echo := requestEcho{"X-Id", strconv.Itoa(n)}
		if got, err := c.beginAnswer(http.MethodGet, echo); got != n || err != nil {
			t.Fatalf("request %d is number %d, error %v", n, got, err)
		}
		c.framing.feed([]byte("HTTP/1.1 200 OK\r\nX-Id: " + echo.id + "\r\nContent-Length: 0\r\n\r\n"))
	}
	if _, err := c.beginAnswer(http.MethodGet, requestEcho{"X-Id", "new"}); err != errWornOut {
		t.Errorf("error %v after %d requests, want %v", err, maxRequestsPerConn, errWornOut)
	}
}
