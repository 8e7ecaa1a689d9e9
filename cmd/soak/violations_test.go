package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/load"
)

// violations returns the promises that callers and targets saw broken so far.
func (tb *testbed) violations() []string {
	var out []string
	if n := tb.ledger.Duplicates(); n > 0 {
		out = append(out, fmt.Sprintf("once: %d non-idempotent requests ran twice", n))
	}
	if n := tb.ledger.FalseRefusals(); n > 0 {
		out = append(out, fmt.Sprintf("refusal: %d requests ran although their answer said that they did not", n))
	}
	for _, t := range tb.targets {
		if n := t.Stats().KeysSeen; n > 0 {
			out = append(out, fmt.Sprintf("key: a target saw %d workspace keys", n))
		}
	}
	for _, ws := range tb.deployment.Workspaces {
		if x := tb.ledger.Excess(ws.ID, ws.Rate, ws.Burst); x > 0 {
			out = append(out, fmt.Sprintf("rate: %s ran %.0f requests above its rate and burst", ws.ID, x))
		}
	}
	tb.results.mu.Lock()
	defer tb.results.mu.Unlock()
	if len(tb.results.mismatched) > 0 {
		out = append(out, fmt.Sprintf("answer: the answers of %v belong to other requests", tb.results.mismatched))
	}
	return out
}

// Guards against a judge that cannot find anything: each planted observation has to
// break its promise.
func TestChecksDetectViolations(t *testing.T) {
	post := load.Request{Method: http.MethodPost, Path: "/citas/clinic-1/0"}
	run := func(tb *testbed, path string) {
		r := httptest.NewRequest(http.MethodPost, path, nil)
		r.Header.Set("Galenasail-Workspace", "clinic-1")
		tb.ledger.Ran("gt-central-a")(r)
	}
	plants := map[string]func(tb *testbed){
		"once": func(tb *testbed) {
			run(tb, post.Path)
			run(tb, post.Path)
		},
		"refusal": func(tb *testbed) {
			tb.ledger.Note(post, load.Result{Status: http.StatusServiceUnavailable, Ran: "no"})
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
	for promise, plant := range plants {
		tb := newIdleTestbed()
		if found := tb.violations(); len(found) > 0 {
			t.Fatalf("%v without anything planted", found)
		}
		plant(tb)
		if found := tb.violations(); len(found) != 1 || found[0][:len(promise)] != promise {
			t.Errorf("%s: the judge found %v", promise, found)
		}
	}
}

// Guards against a judge of the calm checks that cannot find anything: a cut answer
// around a stop, an answer for a withdrawn key, new work in a failure domain that is
// out, and bad answers without a fault.
func TestFaultFreeChecksDetectViolations(t *testing.T) {
	tb := newIdleTestbed()
	get := load.Request{Method: http.MethodGet, Path: "/citas/clinic-2/0"}
	bad := load.Result{Status: http.StatusBadGateway, Broken: true}
	good := load.Result{Status: http.StatusOK, Body: `{"path":"/citas/clinic-2/0","workspace":"clinic-2"}`}
	published := time.Now().Add(-2 * applyTimeout)
	verdicts := func() []string {
		return []string{tb.incompleteSince(published), tb.revokedKeyUsed("clinic-2", 0), tb.domainUsedAfter("gt-central-a", published)}
	}
	for _, v := range verdicts() {
		if v != "" {
			t.Fatalf("%q without anything planted", v)
		}
	}
	tb.results.record("clinic-2", get, bad)
	tb.results.record("clinic-2", get, good)
	tb.ledger.Ran("gt-central-a")(httptest.NewRequest(http.MethodGet, get.Path, nil))
	for i, v := range verdicts() {
		if v == "" {
			t.Errorf("verdict %d found nothing", i)
		}
	}
	go func() {
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			tb.results.record("clinic-2", get, bad)
		}
	}()
	if tb.isServing(100*time.Millisecond, minSuccessShare) {
		t.Error("callers count as served with bad answers only")
	}
}
