package command

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenasail/galenasail/node"
)

// Guards against an unusable answer to one attempt that ends another one, which would have answered.
func TestUnusableAnswerDoesNotEndTheOtherAttempt(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"ID of another request", "HTTP/1.1 200 OK\r\nGalenasail-Request-Id: 7\r\nContent-Length: 5\r\n\r\nother"},
		{"coding that was not requested", "HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nContent-Length: 5\r\n\r\nother"},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				time.Sleep(150 * time.Millisecond)
				return write(conn, okAnswer)
			})
			second := startRaw(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return write(conn, c.answer) })
			f := startHarnessAt(t, first.address, second.address)
			f.hedgeAfter = 20 * time.Millisecond
			a := f.do("GET", "/get/x", "")
			if a.body != "ok" || first.received.Load() != 1 || f.releasedByTarget()["citas-01"] != node.OutcomeOK {
				t.Errorf("status %d, body %q, %d requests at the first target with outcomes %v, want its answer after one", a.StatusCode, a.body, first.received.Load(), f.releasedByTarget())
			}
		})
	}
}
