package command

import (
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// hangingTarget starts a target that does not answer until its client disconnects, or
// for 5 s.
func hangingTarget(t *testing.T) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func quickTarget(t *testing.T) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("quick"))
	}))
	t.Cleanup(s.Close)
	return s
}

func hostOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// Guards against an idempotent request that waits for a hanging target although another
// target would answer, and against a hedged attempt of a non-idempotent request, which must
// not be sent twice.
func TestSecondAttemptWhileTheFirstHangs(t *testing.T) {
	hanging, quick := hangingTarget(t), quickTarget(t)
	f := startHarnessAt(t, hostOf(hanging), hostOf(quick))
	f.hedgeAfter = 50 * time.Millisecond
	began := time.Now()
	a := f.do(http.MethodGet, "/get/x", "")
	if a.StatusCode != http.StatusOK || a.body != "quick" || time.Since(began) > time.Second {
		t.Fatalf("status %d, body %q after %v", a.StatusCode, a.body, time.Since(began))
	}
	deadline := time.Now().Add(time.Second)
	for len(f.released()) < 2 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	// The permit of the abandoned attempt may be released before the answer is
	// delivered, so the outcomes are compared by target and not by order.
	want := map[string]node.Outcome{"citas-01": node.OutcomeTimeout, "citas-02": node.OutcomeOK}
	if got := f.released(); len(got) != 2 || !maps.Equal(f.releasedByTarget(), want) {
		t.Fatalf("outcomes %v, by target %v, want %v", got, f.releasedByTarget(), want)
	}
	if a := f.do(http.MethodPost, "/post/x", ""); a.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("status %d of a non-idempotent request, want 504", a.StatusCode)
	}
	if n := len(f.released()); n != 3 {
		t.Fatalf("%d attempts of the non-idempotent request, want 1", n-2)
	}
}

// released returns the outcomes of the released permits, in order of release.
func (f *harness) released() []node.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]node.Outcome(nil), f.outcomes...)
}

// releasedByTarget returns the outcome of the last released permit of each target.
func (f *harness) releasedByTarget() map[string]node.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.outcomeOf)
}

// Guards against a data race between the final check of a hedged attempt and the end of the first one.
func TestHedgedAttemptIsCheckedWhileTheFirstOneEnds(t *testing.T) {
	f := startHarnessAt(t, "127.0.0.1:1")
	ex := f.newExchange(http.MethodGet, "/get/x")
	first, second := ex.newAttempt(&fakePermit{harness: f}), ex.newAttempt(&fakePermit{harness: f})
	var check sync.WaitGroup
	check.Go(func() {
		if err := second.checkBeforeWrite(); err != nil {
			t.Error(err)
		}
	})
	ex.recordFailure(first, &failure{ran: fault.RanUnknown})
	check.Wait()
}
