package command

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// startControlled starts a harness with overload control in front of targets that all
// shed, with the given retry budget. It counts the attempts.
func startControlled(t *testing.T, reserve float64, targets int) (*harness, *atomic.Int64) {
	var attempts atomic.Int64
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		w.Header().Set(wire.HeaderShed, wire.ShedNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	address := f.snapshot.Load().Services["citas"].Targets[0].Address
	var addresses []string
	for range targets {
		addresses = append(addresses, address)
	}
	f.snapshot.Store(buildSnapshot(t, testKey, addresses...))
	f.handler.cfg.OverloadControl = true
	native := *wire.Native()
	native.RetryAfter = func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	f.handler.cfg.Dialect = &native
	f.handler.retryBudgets.limits = VMRetryBudget{Ratio: 0.0001, Reserve: reserve}
	return f, &attempts
}

// Guards against a refusal after a shed that asks the caller to return when its objective
// has passed, against equal delays, and against a non-idempotent request that is
// refused as "not run" with another kind.
func TestShedRequestReturnsWithinItsObjective(t *testing.T) {
	f, _ := startControlled(t, 1, 3)
	delays := map[string]bool{}
	for range 10 {
		a := f.do("POST", "/post/x", "body")
		f.wantKind(a, fault.Overloaded)
		ms, err := strconv.Atoi(a.Header.Get("Retry-After"))
		if err != nil || ms < 30 || time.Duration(ms)*time.Millisecond > defaultObjective/2 {
			t.Errorf("Retry-After is %q ms, want 30 ms to half of the objective", a.Header.Get("Retry-After"))
		}
		delays[a.Header.Get("Retry-After")] = true
	}
	if len(delays) < 3 {
		t.Errorf("only %d different delays for 10 callers", len(delays))
	}
	f.wantViolations()
}

// Guards against callers that are refused together, for any reason, and return together.
func TestRefusedCallersDoNotReturnTogether(t *testing.T) {
	f, _ := startControlled(t, 1, 1)
	f.admit = func() error { return fault.New(fault.RateLimited, "the workspace is above its rate") }
	delays := map[string]bool{}
	for range 10 {
		a := f.do("POST", "/post/x", "body")
		f.wantKind(a, fault.RateLimited)
		delays[a.Header.Get("Retry-After")] = true
	}
	if len(delays) < 3 {
		t.Errorf("only %d different delays for 10 callers", len(delays))
	}
}

// Guards against a budget that is spent on callers that can return, and against one that
// is kept although a request has no time left for a return.
func TestShedRequestWithLittleTimeIsRetried(t *testing.T) {
	f, attempts := startControlled(t, 8, 4)
	for range 20 {
		f.handler.returns.elapsed("post", 2*time.Second, time.Now())
	}
	f.handler.returns.elapsed("post", time.Second, time.Now())
	for range 12 {
		f.wantKind(f.do("POST", "/post/x", "body"), fault.Overloaded)
	}
	if got := attempts.Load(); got < 12+3 || got > 12+5 {
		t.Errorf("%d attempts of 12 requests that can return, want 3 to 5 retries of a budget of 8", got)
	}
	before := attempts.Load()
	f.wantKind(f.do("POST", "/post/x", "body", wire.HeaderTimeout+": 350"), fault.Overloaded)
	if got := attempts.Load() - before; got < 3 {
		t.Errorf("%d attempts of a request with little time left, want at least 3", got)
	}
	f.wantViolations()
}

// Guards against a route with weights whose excess shifts to its second service: a
// request that is shed must stay with the service that its weight gave it, and the shares
// must stay within the weights.
func TestRetriesStayWithinTheWeights(t *testing.T) {
	f, _ := startControlled(t, 100, 3)
	snapshot := f.snapshot.Load()
	second := *snapshot.Services["citas"]
	second.Name, second.Targets = "second", slices.Clone(second.Targets)
	for i := range second.Targets {
		second.Targets[i].ID = "second-" + second.Targets[i].ID
	}
	snapshot.Services["second"] = &second
	for _, r := range snapshot.Routes {
		r.Split = []document.WeightedService{{Service: "citas", Weight: 3}, {Service: "second", Weight: 1}}
	}
	requests := map[string]int{}
	for range 40 {
		f.outcomeOf = nil
		ex := f.newExchange("POST", "/post/x")
		requests[ex.service.Name]++
		if k := fault.KindOf(ex.forward()); k != fault.Overloaded && k != fault.NoCapacity {
			t.Fatalf("got %v, want a refusal", k)
		}
		for id, o := range f.outcomeOf {
			if strings.HasPrefix(id, "second") != (ex.service.Name == "second") || o != node.OutcomeShed {
				t.Errorf("request of service %s: outcome %v at target %s", ex.service.Name, o, id)
			}
		}
	}
	if requests["citas"] != 30 || requests["second"] != 10 {
		t.Errorf("requests by service: %v, want 30 and 10 by the weights", requests)
	}
}
