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

// Bounds of the events about requests: a failure that hits all requests must not push
// the events about its cause out of the ring. Failed and answered requests have bounds of
// their own, so that those that somebody may ask about are kept.
const (
	failedPerSecond   = 50
	failedBurst       = 200
	answeredPerSecond = 5
	answeredBurst     = 50
)

// reporter records events about requests at a bounded rate.
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

// report records RequestDone for a request within a limit. What names its end.
func (ex *exchange) recordDone(limit *rate.Limiter, what string) {
	rep := ex.h.reporter
	if !limit.Allow() {
		rep.suppressed.Add(1)
		return
	}
	routeID := ""
	if ex.route != nil {
		routeID = ex.route.ID
	}
	detail := fmt.Sprintf("%s, route %q, workspace %q, %d attempts, %.1f ms, waited %.1f ms for a token and %.1f ms for a target",
		what, routeID, ex.workspaceID(), ex.totalAttempts, milliseconds(time.Since(ex.start)), milliseconds(ex.tokenWait), milliseconds(ex.permitWait))
	if len(ex.triedTargets) > 0 {
		detail += fmt.Sprintf(", targets %v", ex.triedTargets)
	}
	if n := rep.suppressed.Swap(0); n > 0 {
		detail += fmt.Sprintf(", %d earlier requests not recorded", n)
	}
	ex.h.cfg.Events.Record(event.RequestDone, ex.id, detail)
}

// noticeableWait is the wait inside the fleet from which an answered request is
// worth a record.
const reportableWait = 50 * time.Millisecond

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// succeed checks and accounts for a delivered answer.
func (ex *exchange) finish() {
	ex.checkDelivery()
	if ex.totalAttempts > 1 || ex.tokenWait+ex.permitWait > reportableWait || len(ex.r.Header[wire.HeaderTrace]) > 0 {
		ex.recordDone(ex.h.reporter.answered, fmt.Sprintf("answered with status %d", ex.callerWriter.status))
	}
}

// checkAnswer asserts that the caller got every byte of the target's answer.
// Otherwise it ends the connection, so that the caller sees the cut.
func (ex *exchange) checkDelivery() {
	if ex.targetBody == nil || ex.callerWriter.err != nil {
		return
	}
	cut := ""
	switch {
	case !ex.targetBody.eof:
		cut = "the end of the target's answer was not read"
	case ex.targetBody.contentLength >= 0 && ex.targetBody.read != ex.targetBody.contentLength:
		cut = fmt.Sprintf("the target stated %d bytes, %d were read", ex.targetBody.contentLength, ex.targetBody.read)
	case ex.callerWriter.written != ex.targetBody.read:
		cut = fmt.Sprintf("%d bytes were read from the target, %d written to the caller", ex.targetBody.read, ex.callerWriter.written)
	default:
		return
	}
	ex.h.cfg.Events.Violated(invariant.Answer, ex.id, cut)
	panic(http.ErrAbortHandler)
}

// checkOnce asserts that no second attempt of a non-idempotent request starts
// after one that may have run. It is called before the first byte is written.
func (ex *exchange) checkSingleRun() error {
	if ex.ran == fault.RanNo || ex.idempotent() {
		return nil
	}
	ex.h.cfg.Events.Violated(invariant.Once, ex.id, fmt.Sprintf("attempt %d after one with outcome %q", ex.possibleRuns, ex.ran))
	return fault.New(fault.OutcomeUnknown, "a repeat of a non-idempotent request was withheld")
}
