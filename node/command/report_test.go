package command

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

// recorded reports whether an event request_done was recorded for the request ID.
func (f *harness) recorded(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if strings.HasPrefix(e, event.RequestDone.String()+" "+id) {
			return true
		}
	}
	return false
}

// Guards against failed requests without an event because answered requests have used up
// the rate limit of events about requests.
func TestFailedRequestsAreRecordedBesideAnsweredOnes(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	for range 2 * answeredBurst {
		if a := f.do("GET", "/get/x", "", wire.HeaderTrace+": 1"); a.err != nil {
			t.Fatal(a.err)
		}
	}
	for n := range 5 {
		a := f.do("GET", "/get/x", "", "Authorization: Bearer unknown")
		f.wantKind(a, fault.Unauthorized)
		if id := a.Header.Get(wire.HeaderRequestID); !f.recorded(id) {
			t.Errorf("failed request %d (%s) is not recorded", n, id)
		}
	}
}

// Guards against an event from which the attempts of a request cannot be told apart.
func TestEventDescribesEachAttempt(t *testing.T) {
	shed := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		return write(c, withEcho(r, "HTTP/1.1 503 Busy\r\nGalenasail-Shed: not-run\r\nContent-Length: 0\r\n\r\n"))
	})
	f := startHarnessAt(t, shed.address, shed.address)
	f.wantKind(f.do("POST", "/post/x", ""), fault.NoCapacity)
	f.mu.Lock()
	defer f.mu.Unlock()
	events := strings.Join(f.events, "\n")
	for n, id := range []string{"citas-01", "citas-02"} {
		want := fmt.Sprintf(`attempt %d: %s at %s, written at \d+\.\d ms under ticket 1 as request \d of connection \d+, `+
			`answered after \d+\.\d ms, failed at \d+\.\d ms, ran no: overloaded`, n+1, id, shed.address)
		if !regexp.MustCompile(want).MatchString(events) {
			t.Errorf("no text like %q in %q", want, events)
		}
	}
}
