package command

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenasail/galenasail/node/wire"
)

const (
	shedAnswer        = "HTTP/1.1 503 Busy\r\nGalenasail-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	misdirectedAnswer = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
)

// classifyMisdirected classifies like the native dialect, and 421 as an answer of another target.
func classifyMisdirected(resp *http.Response) wire.ResponseClass {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return wire.Misdirected
	}
	return wire.Native().Classify(resp)
}

// Guards against a late second copy of "not run" that is taken for the answer to the next attempt.
func TestLateCopyOfNotRunIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	for _, c := range []struct {
		name, notRun string
		targetIDs    int
	}{
		{"shed, 2 target IDs at one address", shedAnswer, 2},
		{"shed, 3 target IDs at one address", shedAnswer, 3},
		{"misdirected, 2 target IDs at one address", misdirectedAnswer, 2},
		{"misdirected, 3 target IDs at one address", misdirectedAnswer, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var refusedOn sync.Map // connections on which a request was refused
			var runs atomic.Int64
			target := startRaw(t, func(n int64, r *http.Request, conn net.Conn) bool {
				if n == 1 {
					refusedOn.Store(conn, true)
					return write(conn, withEcho(r, c.notRun))
				}
				if _, refused := refusedOn.Load(conn); refused {
					write(conn, withEcho(r, c.notRun))
				}
				runs.Add(1)
				return write(conn, withEcho(r, okAnswer))
			})
			f := startHarnessAt(t, slices.Repeat([]string{target.address}, c.targetIDs)...)
			f.handler.cfg.Dialect.Classify = classifyMisdirected
			a := f.do("POST", "/post/x", "body")
			if a.StatusCode != http.StatusOK || runs.Load() != 1 || target.received.Load() != 2 {
				t.Errorf("status %d after %d runs and %d attempts, want 200 after 1 run and 2 attempts; events %q",
					a.StatusCode, runs.Load(), target.received.Load(), f.events)
			}
		})
	}
}
