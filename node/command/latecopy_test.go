package command

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
)

const shedAnswer = "HTTP/1.1 503 Busy\r\nGalenasail-Shed: not-run\r\nContent-Length: 0\r\n\r\n"

// Guards against a late second copy of "not run" that is taken for the answer to the next attempt.
func TestLateCopyOfNotRunIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	for _, targetIDs := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d target IDs at one address", targetIDs), func(t *testing.T) {
			var shedOn sync.Map // connections on which a request was shed
			var runs atomic.Int64
			target := startRaw(t, func(n int64, r *http.Request, c net.Conn) bool {
				if n == 1 {
					shedOn.Store(c, true)
					return write(c, withEcho(r, shedAnswer))
				}
				if _, shed := shedOn.Load(c); shed {
					write(c, withEcho(r, shedAnswer))
				}
				runs.Add(1)
				return write(c, withEcho(r, okAnswer))
			})
			f := startHarnessAt(t, slices.Repeat([]string{target.address}, targetIDs)...)
			a := f.do("POST", "/post/x", "body")
			if a.StatusCode != http.StatusOK || runs.Load() != 1 {
				t.Errorf("status %d after %d runs, want 200 after 1; events %q", a.StatusCode, runs.Load(), f.events)
			}
		})
	}
}
