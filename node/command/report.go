package command

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/node/wire"
)

// Rate limits of the events about requests: a failure that affects all requests must not
// push the events about its cause out of the event ring buffer. Failed and answered
// requests have separate limits, so that answered requests cannot suppress the events of
// failed ones.
const (
	failedPerSecond   = 50
	failedBurst       = 200
	answeredPerSecond = 5
	answeredBurst     = 50
)

// requestReporter limits the rate of events about requests.
type requestReporter struct {
	failed, answered *rate.Limiter
	suppressed       atomic.Int64
}

func newReporter() *requestReporter {
	return &requestReporter{
		failed:   rate.NewLimiter(failedPerSecond, failedBurst),
		answered: rate.NewLimiter(answeredPerSecond, answeredBurst),
	}
}

// recordDone records a RequestDone event for the request if limit allows it. what says how
// the request ended.
func (ex *exchange) recordDone(limit *rate.Limiter, what string) {
	reporter := ex.h.reporter
	if !limit.Allow() {
		reporter.suppressed.Add(1)
		return
	}
	routeID, idempotent := "", false
	if ex.route != nil {
		routeID = ex.route.ID
		idempotent = ex.idempotent()
	}
	detail := fmt.Sprintf("%s, route %q, idempotent %t, admitted under ticket %d, workspace %q, %d attempts, %.1f ms, waited %.1f ms for a token and %.1f ms for a target",
		what, routeID, idempotent, ex.snapshot.Ticket(), ex.workspaceID(), ex.totalAttempts, milliseconds(time.Since(ex.start)), milliseconds(ex.tokenWait), milliseconds(ex.permitWait))
	for i, a := range ex.attempts {
		detail += fmt.Sprintf("; attempt %d: %s", i+1, a.describe())
	}
	if n := reporter.suppressed.Swap(0); n > 0 {
		detail += fmt.Sprintf(", %d earlier requests not recorded", n)
	}
	ex.h.cfg.Events.Record(event.RequestDone, ex.id, detail)
}

// reportableWait is the total wait for a token and permits above which an answered
// request is recorded.
const reportableWait = 50 * time.Millisecond

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// finish checks a delivered answer and records the request if it was retried, waited
// long or has a trace header.
func (ex *exchange) finish() {
	ex.checkDelivery()
	if ex.totalAttempts > 1 || ex.tokenWait+ex.permitWait > reportableWait || len(ex.r.Header[wire.HeaderTrace]) > 0 {
		ex.recordDone(ex.h.reporter.answered, fmt.Sprintf("answered with status %d", ex.callerWriter.status))
	}
}

// checkDelivery verifies that every byte of the target's answer was written to the caller.
// If not, it reports a violation of invariant.Answer and aborts the connection, so that
// the caller detects the truncated answer.
func (ex *exchange) checkDelivery() {
	if ex.targetBody == nil || ex.callerWriter.err != nil {
		return
	}
	problem := ""
	switch {
	case !ex.targetBody.eof:
		problem = "the target's answer was not read to its end"
	case ex.targetBody.contentLength >= 0 && ex.targetBody.read != ex.targetBody.contentLength:
		problem = fmt.Sprintf("the target announced %d bytes, %d were read", ex.targetBody.contentLength, ex.targetBody.read)
	case ex.callerWriter.written != ex.targetBody.read:
		problem = fmt.Sprintf("%d bytes were read from the target, %d written to the caller", ex.targetBody.read, ex.callerWriter.written)
	default:
		return
	}
	ex.h.cfg.Events.Violated(invariant.Answer, ex.id, problem)
	panic(http.ErrAbortHandler)
}

// checkSingleRun refuses a further attempt of a non-idempotent request after one that may
// have run, and reports a violation of invariant.Once. It is called before the first byte
// is written.
func (ex *exchange) checkSingleRun() error {
	if ex.idempotent() || ex.ran == fault.RanNo {
		return nil
	}
	ex.h.cfg.Events.Violated(invariant.Once, ex.id, fmt.Sprintf("attempt %d after an earlier attempt with outcome %q", ex.possibleRuns, ex.ran))
	return fault.New(fault.OutcomeUnknown, "a second attempt of a non-idempotent request was not sent")
}
