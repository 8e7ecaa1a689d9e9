package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/load"
)

// violations returns the invariants that have been violated so far, as seen by
// callers and targets. Each text starts with the name of the check and a colon.
func (tb *testbed) violations() []string {
	var out []string
	if twice := tb.ledger.DuplicateRuns(); len(twice) > 0 {
		out = append(out, fmt.Sprintf("once: %d repeated runs of non-idempotent requests: %v", len(twice), twice))
	}
	if refused := tb.ledger.FalseNotRunAnswers(); len(refused) > 0 {
		out = append(out, fmt.Sprintf("refusal: %d requests ran although their answer said that they did not: %v", len(refused), refused))
	}
	for _, t := range tb.targets {
		if n := t.Stats().KeysSeen; n > 0 {
			out = append(out, fmt.Sprintf("key: a target received %d workspace keys", n))
		}
	}
	for i, vm := range tb.vms {
		vm.mu.Lock()
		if vm.overdue > 0 {
			out = append(out, fmt.Sprintf("exit: VM %d had not exited %v after SIGTERM, %d times; its log has the stacks", i+1, exitTimeout, vm.overdue))
		}
		vm.mu.Unlock()
	}
	for _, ws := range tb.workspaces() {
		if x := tb.ledger.RateExcess(ws.ID, ws.Rate, ws.Burst); x > 0 {
			out = append(out, fmt.Sprintf("rate: %s ran %.0f requests above its rate and burst", ws.ID, x))
		}
	}
	tb.results.mu.Lock()
	defer tb.results.mu.Unlock()
	if len(tb.results.mismatched) > 0 {
		out = append(out, fmt.Sprintf("answer: the answers to %v belong to other requests", tb.results.mismatched))
	}
	return out
}

// Guards against checks that never fail: each simulated violation must be detected,
// by its own check and no other.
func TestChecksDetectViolations(t *testing.T) {
	post := load.Request{Method: http.MethodPost, Path: "/citas/clinic-1/0"}
	run := func(tb *testbed, path string) {
		r := httptest.NewRequest(http.MethodPost, path, nil)
		r.Header.Set("Galenasail-Workspace", "clinic-1")
		tb.ledger.RunRecorder("gt-central-a")(r)
	}
	scenarios := map[string]func(tb *testbed){
		"exit": func(tb *testbed) { tb.vms = []*process{{overdue: 1}} },
		"once": func(tb *testbed) {
			run(tb, post.Path)
			run(tb, post.Path)
		},
		"refusal": func(tb *testbed) {
			tb.ledger.RecordNotRun(post, load.Result{Status: http.StatusServiceUnavailable, Ran: "no"})
			run(tb, post.Path)
		},
		"rate": func(tb *testbed) {
			for n := range 1000 {
				run(tb, fmt.Sprint("/citas/clinic-1/", n))
			}
		},
		"answer": func(tb *testbed) {
			tb.results.record("clinic-1", post, load.Result{Status: http.StatusOK, Body: `{"path":"/citas/clinic-1/1"}`})
		},
	}
	for check, violate := range scenarios {
		tb := newIdleTestbed()
		if found := tb.violations(); len(found) > 0 {
			t.Fatalf("got %v without a violation", found)
		}
		violate(tb)
		if found := tb.violations(); len(found) != 1 || found[0][:len(check)] != check {
			t.Errorf("%s: got violations %v, want one of this check", check, found)
		}
	}
}

// Guards against fault-free checks that never fail: they must detect a truncated answer
// around a graceful stop, a successful answer for a revoked key, and a request started in a
// failure domain that is out of service. For failing requests without a fault see
// TestServiceCheckCountsRequestsSentDuringIt.
func TestFaultFreeChecksDetectViolations(t *testing.T) {
	tb := newIdleTestbed()
	get := load.Request{Method: http.MethodGet, Path: "/citas/clinic-2/0"}
	bad := load.Result{Status: http.StatusBadGateway, Broken: true}
	good := load.Result{Status: http.StatusOK, Body: `{"path":"/citas/clinic-2/0","workspace":"clinic-2"}`}
	published := time.Now().Add(-2 * applyTimeout)
	problems := func() []string {
		return []string{tb.incompleteSince(published), tb.revokedKeyUsed("clinic-2", 0), tb.domainUsedAfter("gt-central-a", published)}
	}
	for _, v := range problems() {
		if v != "" {
			t.Fatalf("got %q without a violation", v)
		}
	}
	tb.results.record("clinic-2", get, bad)
	tb.results.record("clinic-2", get, good)
	tb.ledger.RunRecorder("gt-central-a")(httptest.NewRequest(http.MethodGet, get.Path, nil))
	for i, v := range problems() {
		if v == "" {
			t.Errorf("check %d: got no problem, want one", i)
		}
	}
}

// Guards against a check of service that misses requests without an answer until the check
// ends, and against one that counts requests sent before it, during faults.
func TestServiceCheckCountsRequestsSentDuringIt(t *testing.T) {
	good := load.Result{Status: http.StatusOK, Body: `{"path":"/citas/clinic-2/0","workspace":"clinic-2"}`}
	bad := load.Result{Status: http.StatusBadGateway}
	const during = 20 * time.Millisecond
	for _, c := range []struct {
		name        string
		sentBefore  bool
		answerAfter time.Duration
		result      load.Result
		want        bool
	}{
		{"served", false, during / 2, good, true},
		{"failed", false, during / 2, bad, false},
		{"served after the check", false, 4 * during, good, true},
		{"failed after the check", false, 4 * during, bad, false},
		{"failed, sent before the check", true, during / 2, bad, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tb := newIdleTestbed()
			other := load.Request{Method: http.MethodGet, Path: "/citas/clinic-2/0"}
			checked := load.Request{Method: http.MethodGet, Path: "/citas/clinic-2/1"}
			if c.sentBefore {
				tb.results.begin("clinic-2", checked)
			}
			go func() {
				time.Sleep(during / 4)
				tb.results.begin("clinic-2", other)
				tb.results.record("clinic-2", other, good)
				if !c.sentBefore {
					tb.results.begin("clinic-2", checked)
				}
				time.Sleep(c.answerAfter)
				tb.results.record("clinic-2", checked, c.result)
			}()
			if got := tb.isServing(during, minSuccessShare); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
