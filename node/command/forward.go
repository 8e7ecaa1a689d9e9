package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// maxAttempts is the maximum number of attempts of one request. Four attempts reach
// a working target with probability 0.996 while a quarter of the targets is down.
const maxAttempts = 4

// forward sends the request to targets until one answers or no retry is allowed. It
// returns nil once the answer has been delivered.
func (ex *exchange) forward() error {
	var last *failure
	for {
		f, err := ex.acquireAndAttempt()
		if err != nil && last != nil && last.ran != fault.RanNo {
			return last.err
		}
		if err != nil && last != nil && ex.shedWithControl(last) && fault.KindOf(err) == fault.Overloaded {
			return ex.shedRefusal(last)
		}
		if err != nil && last != nil && ex.refusedWhileSending(last) && fault.KindOf(err) == fault.NoCapacity {
			return ex.refusal(last)
		}
		if err != nil {
			return err
		}
		last = f
		if f == nil {
			return nil
		}
		if !f.retryApproved && !ex.mayRetry(f) || !ex.body.replayable() {
			return ex.refusal(f)
		}
		ex.h.cfg.Metrics.Retried(ex.service.Name)
	}
}

// refusedWhileSending reports whether a target refused the request in f while the caller was
// sending its body. If no other target takes the request, its caller gets that refusal.
func (ex *exchange) refusedWhileSending(f *failure) bool {
	return f.arrived && f.ran == fault.RanNo && !ex.body.buffered
}

// acquireAndAttempt acquires a permit and runs one attempt, plus a hedged attempt if
// the first one does not answer in time. The failure is nil if the answer was
// delivered. An error means that no attempt was made.
func (ex *exchange) acquireAndAttempt() (*failure, error) {
	probe, err := ex.h.quarantine.allow(ex.fingerprint)
	if err != nil {
		return nil, err
	}
	var f *failure
	if probe {
		defer func() { ex.h.quarantine.probeEnded(ex.fingerprint, f) }()
	}
	began := time.Now()
	stop := ex.h.transfers.endWhileWaiting(ex.service.Name)
	p, err := ex.acquire()
	stop()
	ex.permitWait += time.Since(began)
	if err != nil {
		err = ex.h.notices.withReturnTime(ex.service.Name, err, time.Now())
		f = &failure{err: err, outcome: node.OutcomeUnused}
		return nil, err
	}
	f = ex.runAttempts(p)
	ex.stop.endAttempt()
	if f == nil {
		ex.ran = fault.RanYes
		ex.h.quarantine.clearMarks(ex.fingerprint)
	}
	return f, nil
}

// acquire waits for a permit. After an error no attempt may begin.
func (ex *exchange) acquire() (node.Permit, error) {
	var p node.Permit
	err := ex.waitWithBody(func(ctx context.Context) (err error) {
		p, err = ex.h.cfg.Picker.Acquire(ctx, ex.permitRequest())
		return err
	})
	if err == nil && !ex.stop.beginAttempt() {
		err = errStopping()
	}
	if err != nil && p != nil {
		p.Release(node.OutcomeUnused, 0)
	}
	return p, err
}

func (ex *exchange) permitRequest() node.PermitRequest {
	return node.PermitRequest{
		Service:     ex.service,
		Workspace:   ex.workspaceID(),
		Route:       ex.route.ID,
		Idempotent:  ex.idempotent(),
		DueAfter:    ex.dueAfter(),
		Objective:   ex.remainingObjective(),
		Retry:       ex.mayHaveArrived,
		Failing:     ex.h.outcomes.failing(ex.service.Name, time.Now()),
		Avoid:       ex.avoidedTargets(),
		MaxDuration: time.Until(ex.deadline),
	}
}

// avoidedTargets returns the targets that must not get the request: those that failed it and
// those that want no requests from this VM.
func (ex *exchange) avoidedTargets() []string {
	unwanted := ex.h.notices.unwanted(ex.service, time.Now())
	if len(unwanted) == 0 {
		return ex.failedTargets
	}
	return append(unwanted, ex.failedTargets...)
}

const (
	// defaultObjective is the latency objective of routes that configure none.
	defaultObjective = time.Second
	// routePriorityStep and workspacePriorityStep are added to the due time of a
	// request, as multiples of its objective, for each priority level below the
	// highest.
	routePriorityStep     = 0.5
	workspacePriorityStep = 2
)

// dueAfter returns the time after arrival by which a queued request should get a
// target: the latency objective of its route, multiplied for lower priorities.
func (ex *exchange) dueAfter() time.Duration {
	return dueAfter(ex.route, ex.workspace)
}

// dueAfter returns the due time of requests of workspace w, nil for none, to route rt.
func dueAfter(rt *document.Route, w *document.Workspace) time.Duration {
	objective := defaultObjective
	if rt.ObjectiveMs > 0 {
		objective = time.Duration(rt.ObjectiveMs) * time.Millisecond
	}
	factor := 1 + routePriorityStep*float64(rt.Priority)
	if w != nil {
		factor += workspacePriorityStep * float64(w.Priority)
	}
	return time.Duration(factor * float64(objective))
}

// remainingObjective returns the time left within the route's latency objective, 0 if
// the route has none or the objective has already been missed.
func (ex *exchange) remainingObjective() time.Duration {
	if ex.route.ObjectiveMs <= 0 {
		return 0
	}
	objective := time.Duration(ex.route.ObjectiveMs) * time.Millisecond
	return max(0, objective-time.Since(ex.start)-ex.returnedAfter)
}

// recordFailure records the failure of an attempt and releases its permit.
func (ex *exchange) recordFailure(a *attempt, f *failure) {
	ex.body.endAttempt()
	a.permit.Release(f.outcome, a.latency)
	ex.externalTime += a.targetTime
	ex.ran = max(ex.ran, f.ran)
	if f.ran == fault.RanNo {
		ex.possibleRuns--
		a.takeBackSent()
	}
	if f.ran != fault.RanNo || f.arrived {
		ex.mayHaveArrived = true
	}
	if f.avoidTarget {
		ex.failedTargets = append(ex.failedTargets, a.permit.Target().ID)
	}
	if f.outcome == node.OutcomeLost {
		ex.h.quarantine.connectionLost(ex.fingerprint, a.permit.Target().Address)
	}
}

// mayRetry reports whether another attempt may follow f. If f.retry requires budget, an
// allowed attempt is taken from the retry budget.
func (ex *exchange) mayRetry(f *failure) bool {
	if !ex.mayAttempt() {
		return false
	}
	switch f.retry {
	case retryWithoutBudget:
		return true
	case retryWithinBudget:
		return ex.h.retryBudgets.forService(ex.service.Name).takeRetryWithin(ex.retryShare(f))
	case retryIfIdempotent:
		return ex.allowsSecondRun() && ex.h.retryBudgets.forService(ex.service.Name).takeRetry()
	}
	return false
}

// mayAttempt reports whether the limits of the request allow another attempt.
func (ex *exchange) mayAttempt() bool {
	if ex.possibleRuns >= ex.attemptLimit() || ex.totalAttempts >= maxAttempts || ex.statusSent {
		return false
	}
	return time.Now().Before(ex.deadline) && ex.body.replayable() && ex.r.Context().Err() == nil
}

// attemptLimit returns the maximum number of attempts that may have run the request.
func (ex *exchange) attemptLimit() int {
	if ex.route.MaxAttempts > 0 {
		return min(ex.route.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// idempotent reports whether running the request twice has the same effect as running
// it once: as configured for the route, else by method (RFC 9110, section 9.2.2).
func (ex *exchange) idempotent() bool {
	return isIdempotent(ex.route, ex.r.Method)
}

// isIdempotent reports whether requests of a method to rt are idempotent.
func isIdempotent(rt *document.Route, method string) bool {
	if rt.Idempotent != nil {
		return *rt.Idempotent
	}
	return isIdempotentMethod(method)
}

// allowsSecondRun reports whether the request may run a second time: under the configuration
// that admitted it and under the one in force.
func (ex *exchange) allowsSecondRun() bool {
	return ex.idempotent() && ex.stillIdempotent()
}

// stillIdempotent reports whether the configuration in force does not make the request
// non-idempotent. One without a route for the request leaves its kind unchanged.
func (ex *exchange) stillIdempotent() bool {
	current := ex.h.currentIndex()
	if current == nil || current.snapshot == ex.snapshot {
		return true
	}
	rt, ok := current.routes.Match(ex.r.Host, ex.r.Method, requestPath(ex.r))
	return !ok || isIdempotent(rt, ex.r.Method)
}

// isIdempotentMethod reports whether requests of a method are idempotent (RFC 9110, section 9.2.2).
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// notRunFailure returns the failure of an attempt that the target answered without
// running the request.
func (a *attempt) notRunFailure(resp *http.Response, outcome node.Outcome, detail string) *failure {
	// Reading a short answer to its end lets the connection be reused.
	_, _ = io.CopyN(io.Discard, resp.Body, maxBufferedBytes)
	return &failure{
		err:         fault.New(fault.Overloaded, "%s", detail),
		outcome:     outcome,
		ran:         fault.RanNo,
		retry:       retryWithinBudget,
		arrived:     true,
		avoidTarget: true,
	}
}

var errNoFraming = errors.New("response has neither a Content-Length nor chunked encoding")

// hedgePermitWait bounds the wait for the permit of a hedged attempt.
const hedgePermitWait = 20 * time.Millisecond

// hedgePermit acquires the permit for a hedged attempt. It returns nil if the limits of
// the request, the retry budget or the targets do not allow one.
func (ex *exchange) hedgePermit(first node.Permit) node.Permit {
	if !ex.mayAttempt() || !ex.allowsSecondRun() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ex.ctx, hedgePermitWait)
	defer cancel()
	r := ex.permitRequest()
	r.Avoid = append(r.Avoid[:len(r.Avoid):len(r.Avoid)], first.Target().ID)
	r.Hedge = true
	p, err := ex.h.cfg.Picker.Acquire(ctx, r)
	if err != nil {
		return nil
	}
	if !ex.h.retryBudgets.forService(ex.service.Name).takeRetry() {
		p.Release(node.OutcomeUnused, 0)
		return nil
	}
	return p
}
