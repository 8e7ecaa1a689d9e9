package command

import (
	"net/http"
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
