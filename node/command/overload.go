package command

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/overload"
	"github.com/galenasail/galenasail/node"
)

// assumedAnswerShare is the share of the latency objective of a route that an answer is
// assumed to take. This VM sees too few answers of most routes for an estimate.
const assumedAnswerShare = 1.0 / 3

// callerReturns recognizes requests of callers that have been refused before: they have less
// time left until their deadline than new ones (see overload.Deadlines). It is safe for concurrent use.
type callerReturns struct {
	mu        sync.Mutex
	deadlines overload.Deadlines
}

// elapsed returns the time since the caller of a request first sent it.
func (c *callerReturns) elapsed(route string, left time.Duration, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlines.Elapsed(route, left, now)
}

// shown reports whether the deadlines of a route show which callers return.
func (c *callerReturns) shown(route string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlines.ShowReturns(route, now)
}

// retain drops the routes that a new configuration lacks.
func (c *callerReturns) retain(s *document.Snapshot) {
	known := make(map[string]bool, len(s.Routes))
	for _, r := range s.Routes {
		known[r.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines.Retain(func(route string) bool { return known[route] })
}

// shedWithControl reports whether f is a shed that overload control decides about.
func (ex *exchange) shedWithControl(f *failure) bool {
	return ex.h.cfg.OverloadControl && f.outcome == node.OutcomeShed
}

// retryShare returns the share of the retry budget that a retry after f may use.
func (ex *exchange) retryShare(f *failure) float64 {
	if !ex.shedWithControl(f) {
		return 1
	}
	return overload.RepeatShare(ex.overloadRequest())
}

// overloadRequest describes the request for the decisions of package overload.
func (ex *exchange) overloadRequest() overload.Request {
	objective := defaultObjective
	if ex.route.ObjectiveMs > 0 {
		objective = time.Duration(ex.route.ObjectiveMs) * time.Millisecond
	}
	elapsed := time.Since(ex.start) + ex.returnedAfter
	workspacePriority := 0
	if ex.workspace != nil {
		workspacePriority = ex.workspace.Priority
	}
	return overload.Request{
		Deadline:  time.Until(ex.deadline),
		Objective: max(0, objective-elapsed),
		Elapsed:   elapsed,

		ShowsReturns: ex.h.returns.shown(ex.route.ID, time.Now()),

		Answer: time.Duration(assumedAnswerShare * float64(objective)),
		Rank:   overload.RankOf(workspacePriority, ex.route.Priority),
	}
}

// refusal returns the error of a request whose last attempt failed with f.
func (ex *exchange) refusal(f *failure) error {
	if !ex.shedWithControl(f) {
		return f.err
	}
	return ex.shedRefusal(f)
}

// shedRefusal returns the error of a request that the last target shed, with the time
// after which its caller should return.
func (ex *exchange) shedRefusal(f *failure) error {
	ex.h.cfg.Metrics.Withheld(ex.service.Name)
	delay := overload.RetryDelay(ex.overloadRequest(), rand.Float64())
	return fault.NewWithDelay(fault.Overloaded, delay, "%s", fault.From(f.err).Detail)
}

// spreadReturn spreads the default delay of an error that lets the caller return, so that
// callers refused together do not return together.
func (ex *exchange) spreadReturn(e *fault.Error) *fault.Error {
	answer := e.Kind.Answer()
	left := time.Until(ex.deadline)
	if !ex.h.cfg.OverloadControl || e.RetryDelay > 0 || answer.RetryDelay == 0 || answer.Retry != fault.RetryYes || left <= 0 {
		return e
	}
	spread := *e
	spread.RetryDelay = overload.SpreadDelay(answer.RetryDelay, left, rand.Float64())
	return &spread
}
