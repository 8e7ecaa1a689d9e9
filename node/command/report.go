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
type reporter struct {
	failed, answered *rate.Limiter
	suppressed       atomic.Int64
}

func newReporter() *reporter {
	return &reporter{
		failed:   rate.NewLimiter(failedPerSecond, failedBurst),
		answered: rate.NewLimiter(answeredPerSecond, answeredBurst),
	}
}

// report records RequestDone for a request within a limit. What names its end.
func (j *job) report(limit *rate.Limiter, what string) {
	rep := j.h.reporter
	if !limit.Allow() {
		rep.suppressed.Add(1)
		return
	}
	routeID := ""
	if j.route != nil {
		routeID = j.route.ID
	}
	detail := fmt.Sprintf("%s, route %q, workspace %q, %d attempts, %.1f ms, waited %.1f ms for a token and %.1f ms for a target",
		what, routeID, j.workspaceID(), j.sends, ms(time.Since(j.start)), ms(j.tokenWait), ms(j.permitWait))
	if len(j.targets) > 0 {
		detail += fmt.Sprintf(", targets %v", j.targets)
	}
	if n := rep.suppressed.Swap(0); n > 0 {
		detail += fmt.Sprintf(", %d earlier requests not recorded", n)
	}
	j.h.cfg.Events.Record(event.RequestDone, j.id, detail)
}

// noticeableWait is the wait inside the fleet from which an answered request is
// worth a record.
const noticeableWait = 50 * time.Millisecond

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// succeed checks and accounts for a delivered answer.
func (j *job) succeed() {
	j.checkAnswer()
	if j.sends > 1 || j.tokenWait+j.permitWait > noticeableWait || len(j.r.Header[wire.HeaderTrace]) > 0 {
		j.report(j.h.reporter.answered, fmt.Sprintf("answered with status %d", j.out.status))
	}
}

// checkAnswer asserts that the caller got every byte of the target's answer.
// Otherwise it ends the connection, so that the caller sees the cut.
func (j *job) checkAnswer() {
	if j.in == nil || j.out.err != nil {
		return
	}
	cut := ""
	switch {
	case !j.in.ended:
		cut = "the end of the target's answer was not read"
	case j.in.stated >= 0 && j.in.read != j.in.stated:
		cut = fmt.Sprintf("the target stated %d bytes, %d were read", j.in.stated, j.in.read)
	case j.out.written != j.in.read:
		cut = fmt.Sprintf("%d bytes were read from the target, %d written to the caller", j.in.read, j.out.written)
	default:
		return
	}
	j.h.cfg.Events.Violated(invariant.Answer, j.id, cut)
	panic(http.ErrAbortHandler)
}

// checkOnce asserts that no second attempt of a non-idempotent request starts
// after one that may have run. It is called before the first byte is written.
func (j *job) checkOnce() error {
	if j.ran == fault.RanNo || j.idempotent() {
		return nil
	}
	j.h.cfg.Events.Violated(invariant.Once, j.id, fmt.Sprintf("attempt %d after one with outcome %q", j.attempts, j.ran))
	return fault.New(fault.OutcomeUnknown, "a repeat of a non-idempotent request was withheld")
}
