package command

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/galenasail/galenasail/node/wire"
)

// Guards against a caller that sets a header of the fleet, as the workspace, in a trailer.
func TestCallerSetsNoFleetHeaderInTrailer(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for name := range r.Trailer {
			w.Header().Add("X-Seen", name)
		}
	})
	f.handler.cfg.Dialect.Reserved = []string{"X-Reserved"}
	for _, h2 := range []bool{false, true} {
		trailer := http.Header{wire.HeaderWorkspace: {"clinic-b"}, wire.HeaderTimeout: {"9000"}, "X-Reserved": {"clinic-b"}, "X-Sum": {"1"}}
		a := f.doOver(h2, "POST", "/post/x", strings.NewReader("body"), trailer)
		if seen := a.Header["X-Seen"]; len(seen) != 1 || seen[0] != "X-Sum" {
			t.Errorf("h2 %t: status %d, the target received the trailers %q, want X-Sum only", h2, a.StatusCode, seen)
		}
	}
}
