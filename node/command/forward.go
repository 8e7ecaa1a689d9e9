package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// maxAttempts bounds the targets that one request is sent to. Four tries meet
// a working target with probability 0.996 while a quarter of them is down.
const maxAttempts = 4

// forward sends the request to targets until one answers or no retry is
// allowed. It returns nil once the answer was delivered.
func (ex *exchange) forward() error {
	var last *failure
	for {
		f, err := ex.acquireAndAttempt()
		if err != nil && last != nil && last.ran != fault.RanNo {
			return last.err
		}
		if err != nil {
			return err
		}
		last = f
		if f == nil {
			return nil
		}
		if !f.retryApproved && !ex.mayRetry(f) {
			return f.err
		}
		ex.h.cfg.Metrics.Retried(ex.service.Name)
	}
}

// tryOnce acquires a permit and runs one attempt, or two when the first hangs.
// The failure is nil when the answer was delivered; an error means that there
// was no attempt.
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
	p, err := ex.h.cfg.Picker.Acquire(ex.ctx, ex.permitRequest())
	ex.permitWait += time.Since(began)
	if err != nil {
		f = &failure{err: err, outcome: node.OutcomeUnused}
		return nil, err
	}
	f = ex.runAttempts(p)
	if f == nil {
		ex.ran = fault.RanYes
		ex.h.quarantine.clearMarks(ex.fingerprint)
	}
	return f, nil
}

func (ex *exchange) permitRequest() node.PermitRequest {
	return node.PermitRequest{
		Service:    ex.service,
		Workspace:  ex.workspaceID(),
		Route:      ex.route.ID,
		Idempotent: ex.idempotent(),
		Patience:   ex.dueAfter(),
		Objective:  ex.remainingObjective(),
		Repeat:     ex.mayHaveArrived,
		Avoid:      ex.failedTargets,
		Hold:       time.Until(ex.deadline),
	}
}

const (
	// defaultObjective is the time for an answer of routes that state none.
	defaultObjective = time.Second
	// routeStep and workspaceStep are how much longer, in parts of its objective, a
	// request may wait for each step of priority below the first.
	routePriorityStep     = 0.5
	workspacePriorityStep = 2
)

// patience is the time after which the request should have a target: its
// objective, longer for less urgent ones.
func (ex *exchange) dueAfter() time.Duration {
	objective := defaultObjective
	if ex.route.ObjectiveMs > 0 {
		objective = time.Duration(ex.route.ObjectiveMs) * time.Millisecond
	}
	steps := 1 + routePriorityStep*float64(ex.route.Priority)
	if ex.workspace != nil {
		steps += workspacePriorityStep * float64(ex.workspace.Priority)
	}
	return time.Duration(steps * float64(objective))
}

// objectiveLeft returns what is left of the route's objective, 0 when it states none
// or the answer is late already.
func (ex *exchange) remainingObjective() time.Duration {
	if ex.route.ObjectiveMs <= 0 {
		return 0
	}
	objective := time.Duration(ex.route.ObjectiveMs) * time.Millisecond
	return max(0, objective-time.Since(ex.start))
}

// settle records the failure of an attempt and releases its permit.
func (ex *exchange) recordFailure(a *attempt, f *failure) {
	a.permit.Release(f.outcome, a.latency)
	ex.externalTime += a.targetTime
	ex.ran = max(ex.ran, f.ran)
	if f.ran == fault.RanNo {
		ex.possibleRuns--
	}
	if f.ran != fault.RanNo || f.outcome == node.OutcomeShed {
		ex.mayHaveArrived = true
	}
	if f.avoidTarget {
		ex.failedTargets = append(ex.failedTargets, a.permit.Target().ID)
	}
	if f.outcome == node.OutcomeLost {
		ex.h.quarantine.connectionLost(ex.fingerprint, a.permit.Target().Address)
	}
}

// mayRetry decides whether another attempt may follow f.
func (ex *exchange) mayRetry(f *failure) bool {
	if !ex.mayAttempt() {
		return false
	}
	switch f.retry {
	case retryWithoutBudget:
		return true
	case retryWithinBudget:
		return ex.h.retryBudgets.forService(ex.service.Name).takeRetry()
	case retryIfIdempotent:
		return ex.idempotent() && ex.h.retryBudgets.forService(ex.service.Name).takeRetry()
	}
	return false
}

// mayAttempt tells whether the limits of the request allow another attempt.
func (ex *exchange) mayAttempt() bool {
	if ex.possibleRuns >= ex.attemptLimit() || ex.totalAttempts >= maxAttempts || ex.statusSent {
		return false
	}
	return time.Now().Before(ex.deadline) && ex.body.replayable() && ex.r.Context().Err() == nil
}

// attemptLimit returns how many targets may get the request.
func (ex *exchange) attemptLimit() int {
	if ex.route.MaxAttempts > 0 {
		return min(ex.route.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// idempotent tells whether running the request twice equals running it once:
// as the route says, else by method (RFC 9110, section 9.2.2).
func (ex *exchange) idempotent() bool {
	if ex.route.Idempotent != nil {
		return *ex.route.Idempotent
	}
	switch ex.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// notRun is the failure of a target that did not run the request.
func (a *attempt) notRunFailure(resp *http.Response, outcome node.Outcome, detail string) *failure {
	// The rest of a short answer is read so that the connection can be reused.
	_, _ = io.CopyN(io.Discard, resp.Body, maxBufferedBytes)
	return &failure{
		err:         fault.New(fault.Overloaded, "%s", detail),
		outcome:     outcome,
		ran:         fault.RanNo,
		retry:       retryWithinBudget,
		avoidTarget: true,
	}
}

var errNoFraming = errors.New("the answer has neither a length nor chunks")

// hedgeWait bounds the wait for the permit of a second attempt.
const hedgePermitWait = 20 * time.Millisecond

// secondPermit acquires the permit of a second attempt while the first one
// hangs. It returns nil when the limits, the budget or the targets do not allow
// one.
func (ex *exchange) hedgePermit(first node.Permit) node.Permit {
	if !ex.mayAttempt() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ex.ctx, hedgePermitWait)
	defer cancel()
	r := ex.permitRequest()
	r.Avoid = append(r.Avoid[:len(r.Avoid):len(r.Avoid)], first.Target().ID)
	r.Second = true
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
