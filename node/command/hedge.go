package command

import (
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// attemptResult is the result of an attempt: the header of an answer or a failure.
type attemptResult struct {
	attempt *attempt
	resp    *http.Response
	failure *failure
}

// runAttempts runs an attempt with permit p. If the attempt of an idempotent request has
// not answered after p.HedgeAfter, a hedged attempt is sent to another target and the
// first successful answer is delivered. runAttempts releases all permits and returns nil
// if an answer was delivered.
func (ex *exchange) runAttempts(p node.Permit) *failure {
	results := make(chan attemptResult, 2)
	first := ex.startAttempt(p, results)
	running := []*attempt{first}
	hedge := ex.hedgeTimer(p)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if second := ex.hedgePermit(p); second != nil {
				ex.h.cfg.Metrics.Hedged(ex.service.Name)
				running = append(running, ex.startAttempt(second, results))
			}
		case r := <-results:
			running = removeAttempt(running, r.attempt)
			f, final := ex.handleResult(r, running, results)
			if final || len(running) == 0 {
				return f
			}
		}
	}
}

// startAttempt starts an attempt in a new goroutine, which sends its result to results.
func (ex *exchange) startAttempt(p node.Permit, results chan<- attemptResult) *attempt {
	a := ex.newAttempt(p)
	ex.possibleRuns++
	ex.totalAttempts++
	ex.attempts = append(ex.attempts, a)
	go func() {
		resp, f := a.send()
		results <- attemptResult{a, resp, f}
	}()
	return a
}

// noHedge is a hedge delay that is longer than any request.
const noHedge = time.Hour

// hedgeTimer returns the timer that starts a hedged attempt. It does not fire during the
// request if hedging is not allowed.
func (ex *exchange) hedgeTimer(p node.Permit) *time.Timer {
	after := p.HedgeAfter()
	if after <= 0 || !ex.idempotent() || !ex.body.buffered || ex.recordPending {
		after = noHedge
	}
	return time.NewTimer(after)
}

// handleResult delivers the answer of an attempt or records its failure. final is true
// if the exchange does not wait for the other attempts; after a delivered answer these
// are abandoned.
func (ex *exchange) handleResult(r attemptResult, running []*attempt, results <-chan attemptResult) (f *failure, final bool) {
	a := r.attempt
	defer a.cancel()
	defer a.guard.close()
	f = r.failure
	if f == nil {
		f = a.checkAnswer(r.resp)
	}
	if f == nil {
		answered := r.resp.StatusCode < http.StatusInternalServerError
		if answered {
			ex.abandon(running, results)
		}
		f = a.deliver(r.resp, len(running) > 0 && !answered)
		if f == nil && !answered {
			ex.abandon(running, results)
		}
		if answered {
			running = nil
		}
	}
	a.endedWith(f)
	if f == nil {
		ex.externalTime += a.targetTime
		return nil, true
	}
	ex.recordFailure(a, f)
	return f, len(running) == 0 || ex.statusSent
}

// abandon cancels attempts whose answers are no longer needed. Their outcomes are still
// reported when their permits are released.
func (ex *exchange) abandon(running []*attempt, results <-chan attemptResult) {
	for _, a := range running {
		a.abandoned.Store(true)
		a.cancel()
		ex.ran = max(ex.ran, fault.RanUnknown)
	}
	for range running {
		go discardResult(results)
	}
}

// discardResult closes the answer of an abandoned attempt and releases its permit.
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

// removeAttempt returns all without a.
func removeAttempt(all []*attempt, a *attempt) []*attempt {
	var rest []*attempt
	for _, other := range all {
		if other != a {
			rest = append(rest, other)
		}
	}
	return rest
}
