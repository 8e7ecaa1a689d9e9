package command

import (
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// result is how an attempt ended: with the head of an answer or a failure.
type attemptResult struct {
	attempt *attempt
	resp    *http.Response
	failure *failure
}

// tryTargets runs an attempt with p. When the permit says so and the request is
// idempotent, a second attempt starts elsewhere while the first one hangs, and
// the first good answer counts. It releases all permits and returns nil when an
// answer was delivered.
func (ex *exchange) runAttempts(p node.Permit) *failure {
	results := make(chan attemptResult, 2)
	first := ex.startAttempt(p, results)
	open := []*attempt{first}
	hedge := ex.hedgeTimer(p)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if second := ex.hedgePermit(p); second != nil {
				ex.h.cfg.Metrics.Hedged(ex.service.Name)
				open = append(open, ex.startAttempt(second, results))
			}
		case r := <-results:
			open = removeAttempt(open, r.attempt)
			f, final := ex.handleResult(r, open, results)
			if final || len(open) == 0 {
				return f
			}
		}
	}
}

// launch starts an attempt; its result is sent to results once.
func (ex *exchange) startAttempt(p node.Permit, results chan<- attemptResult) *attempt {
	ex.possibleRuns++
	ex.totalAttempts++
	ex.triedTargets = append(ex.triedTargets, p.Target().ID)
	a := ex.newAttempt(p)
	go func() {
		resp, f := a.send()
		results <- attemptResult{a, resp, f}
	}()
	return a
}

// neverHedge is longer than any request.
const noHedge = time.Hour

func (ex *exchange) hedgeTimer(p node.Permit) *time.Timer {
	after := p.HedgeAfter()
	if after <= 0 || !ex.idempotent() || !ex.body.buffered || ex.recordPending {
		after = noHedge
	}
	return time.NewTimer(after)
}

// take delivers or settles a result. It is final when no other attempt matters
// any more; the others are abandoned then.
func (ex *exchange) handleResult(r attemptResult, open []*attempt, results <-chan attemptResult) (f *failure, final bool) {
	a := r.attempt
	defer a.cancel()
	defer a.guard.close()
	f = r.failure
	if f == nil {
		answered := r.resp.StatusCode < http.StatusInternalServerError
		if answered {
			ex.abandon(open, results)
		}
		f = a.deliver(r.resp, len(open) > 0 && !answered)
		if f == nil && !answered {
			ex.abandon(open, results)
		}
		if answered {
			open = nil
		}
	}
	if f == nil {
		ex.externalTime += a.targetTime
		return nil, true
	}
	ex.recordFailure(a, f)
	return f, len(open) == 0 || ex.statusSent
}

// abandon ends attempts whose answers are not needed. What they observed is
// still reported.
func (ex *exchange) abandon(open []*attempt, results <-chan attemptResult) {
	for _, a := range open {
		a.abandoned.Store(true)
		a.cancel()
		ex.ran = max(ex.ran, fault.RanUnknown)
	}
	for range open {
		go discardResult(results)
	}
}

// discard closes the answer of an abandoned attempt and releases its permit.
func discardResult(results <-chan attemptResult) {
	r := <-results
	a := r.attempt
	a.guard.close()
	outcome := node.OutcomeTimeout
	if r.failure != nil {
		outcome = r.failure.outcome
	} else {
		_ = r.resp.Body.Close()
		outcome = node.OutcomeCanceled
	}
	a.cancel()
	a.permit.Release(outcome, a.latency)
}

func removeAttempt(all []*attempt, a *attempt) []*attempt {
	var rest []*attempt
	for _, other := range all {
		if other != a {
			rest = append(rest, other)
		}
	}
	return rest
}
