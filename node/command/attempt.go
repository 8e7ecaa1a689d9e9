package command

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// retryRule says under which conditions a failed attempt may be retried; 0 means
// never.
type retryRule uint8

const (
	// retryWithoutBudget always allows a retry, because no target received any work.
	retryWithoutBudget retryRule = iota + 1
	// retryWithinBudget allows a retry within the retry budget: the target received the
	// request but did not run it.
	retryWithinBudget
	// retryIfIdempotent allows a retry of idempotent requests within the retry budget.
	retryIfIdempotent
)

// attempt sends the request of an exchange to one target.
type attempt struct {
	exchange *exchange
	permit   node.Permit
	ctx      context.Context
	cancel   context.CancelFunc
	// sent is true while the attempt counts in exchange.sent.
	sent bool
	// abandoned is set once another attempt has answered the request.
	abandoned atomic.Bool
	// targetTime is the time spent waiting for the target.
	targetTime time.Duration
	guard      *writeGuard
	startedAt  time.Time
	latency    time.Duration // from the first byte written to the start of the answer
	result     string        // how the attempt ended
	// sentUnder is the ticket in force at the first byte; 0 before.
	sentUnder atomic.Uint64
}

// failure describes an attempt that produced no answer to deliver.
type failure struct {
	err           error
	outcome       node.Outcome
	ran           fault.Ran
	retry         retryRule
	arrived       bool // a target received the request, although it did not run it
	avoidTarget   bool // later attempts avoid the target
	retryApproved bool // mayRetry already allowed the retry
}

// newAttempt returns an attempt that uses permit p.
func (ex *exchange) newAttempt(p node.Permit) *attempt {
	a := &attempt{exchange: ex, permit: p, startedAt: time.Now(), result: resultPending}
	a.ctx, a.cancel = context.WithCancel(ex.ctx)
	a.guard = &writeGuard{check: a.checkBeforeWrite, checkHeader: a.checkHeader, method: ex.r.Method, echo: requestEcho{ex.h.cfg.Dialect.RequestID, ex.id}}
	if !ex.idempotent() {
		a.guard.maxIdle = maxIdleNonIdempotent
	}
	return a
}

// maxIdleNonIdempotent is the longest idle time of a connection that is used for a
// non-idempotent request. It is below the idle timeout of common servers (5 s and
// more): a request sent while the target closes the connection ends with an unknown
// outcome and must not be retried.
const maxIdleNonIdempotent = 4 * time.Second

// send writes the request and returns the answer once its header was received.
func (a *attempt) send() (*http.Response, *failure) {
	for {
		resp, err := a.exchange.h.transport.RoundTrip(a.request())
		if err == nil {
			return a.rejectUnsolicited(resp)
		}
		// The transport closes an unusable connection, so the loop ends at the latest
		// with a new one.
		if !a.guard.takeConnUnusable() || !a.exchange.body.replayable() || a.ctx.Err() != nil {
			return nil, a.classify(err)
		}
	}
}

// rejectUnsolicited rejects an answer if the request was never written: net/http may
// parse bytes left on a connection as the answer although the write failed.
func (a *attempt) rejectUnsolicited(resp *http.Response) (*http.Response, *failure) {
	at := a.writtenAt()
	if at.IsZero() {
		_ = resp.Body.Close()
		return nil, a.classify(errUnsolicited)
	}
	a.latency = time.Since(at)
	a.recordNotices(resp)
	return resp, nil
}

// recordNotices records what the target says about itself in an answer to this request. An
// answer of another target at the same address says nothing about this one.
func (a *attempt) recordNotices(resp *http.Response) {
	d := a.exchange.h.cfg.Dialect
	echo := resp.Header.Get(d.RequestID)
	ownAnswer := echo == a.exchange.id || echo == "" && !d.RequireRequestIDEcho
	if ownAnswer && d.Classify(resp) != wire.Misdirected {
		a.exchange.h.notices.record(a.exchange.service.Name, a.permit.Target(), d.Notices(resp), time.Now())
	}
}

// writtenAt returns the time of the first write, or zero if nothing was written.
func (a *attempt) writtenAt() time.Time {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	return a.guard.writtenAt
}

// request returns the request to send to the target.
func (a *attempt) request() *http.Request {
	ex := a.exchange
	// The transport of an earlier attempt may still be reading ex.header.
	header := maps.Clone(ex.header)
	remaining := time.Until(ex.deadline).Milliseconds()
	header[ex.h.cfg.Dialect.Timeout] = []string{strconv.FormatInt(max(remaining, 1), 10)}
	if name := ex.h.cfg.Dialect.Target; name != "" {
		header[name] = []string{a.permit.Target().ID}
	}
	req := &http.Request{
		Method:     ex.r.Method,
		URL:        targetURL(ex.r, a.permit.Target().Address, ex.query),
		Host:       ex.r.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
	}
	a.setBody(req)
	return req.WithContext(a.withConnTrace(a.ctx))
}

// setBody sets the body of req to the caller's body, from its start.
func (a *attempt) setBody(req *http.Request) {
	b := a.exchange.body
	announced := b.announced
	if b.buffered && len(announced) == 0 {
		if len(b.prefix) > 0 {
			req.Body = io.NopCloser(b.completeReader())
			req.ContentLength = b.consumed
		} else if replayedByTransport(req.Method) {
			// A body without GetBody prevents silent replays by net/http. With the
			// encoding "identity", net/http neither probes the empty body nor sends
			// a header for it.
			req.Body = io.NopCloser(bytes.NewReader(nil))
			req.TransferEncoding = []string{"identity"}
		}
		return
	}
	req.ContentLength = b.length
	if len(announced) > 0 {
		req.ContentLength = -1
		req.Trailer = make(http.Header, len(announced))
		for name := range announced {
			if a.exchange.mayForwardTrailer(name) {
				req.Trailer[name] = nil
			}
		}
	}
	body := b.forAttempt(func() { a.copyTrailer(req.Trailer) })
	a.guard.setBody(body)
	req.Body = body
}

// replayedByTransport reports whether net/http replays requests of this method.
func replayedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// copyTrailer sets the values of the announced trailer after the end of the body.
func (a *attempt) copyTrailer(to http.Header) {
	for name := range to {
		to[name] = a.exchange.r.Trailer[name]
	}
	removeKey(to, a.exchange.key)
}

// withConnTrace returns ctx with a trace hook that sets the guard of the connection
// that the transport selects.
func (a *attempt) withConnTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*targetConn); ok {
				c.guard.Store(a.guard)
			}
		},
	})
}

// classify converts an error of the transport into a failure.
func (a *attempt) classify(err error) *failure {
	s := a.guard.close()
	ex := a.exchange
	if !s.written {
		return a.classifyUnwritten(err, s.refusal)
	}
	a.targetTime += time.Since(a.writtenAt())
	f := &failure{ran: fault.RanUnknown}
	switch {
	case a.abandoned.Load():
		f.outcome = node.OutcomeTimeout
		f.err = fault.New(fault.OutcomeUnknown, "another attempt answered first")
	case ex.body.readError() != nil:
		f.outcome = node.OutcomeCanceled
		f.err = fault.Wrap(ex.body.readError(), fault.OutcomeUnknown, "the request body of the caller ended early")
	case !time.Now().Before(ex.deadline):
		f.outcome = node.OutcomeTimeout
		f.err = fault.New(fault.DeadlineUnknown, "the deadline passed while a target had the request")
	case ex.stop.isEnded():
		f.outcome = node.OutcomeCanceled
		f.err = fault.New(fault.OutcomeUnknown, "this VM shut down while a target had the request")
	case ex.r.Context().Err() != nil:
		f.outcome = node.OutcomeCanceled
		f.err = fault.New(fault.OutcomeUnknown, "the caller disconnected or canceled the request")
	case s.answered:
		f.outcome = node.OutcomeTruncated
		f.err = fault.Wrap(err, fault.OutcomeUnknown, "the answer of the target could not be read")
		f.retry = retryIfIdempotent
		f.avoidTarget = true
	default:
		f.outcome = node.OutcomeLost
		f.err = fault.Wrap(err, fault.OutcomeUnknown, "the connection to the target was lost")
		f.retry = retryIfIdempotent
		f.avoidTarget = true
	}
	return f
}

// slowConnect is 100 times the usual time to connect. If the deadline ends a wait of at
// least this length, the attempt counts as a failure of the target to accept the
// connection.
const slowConnect = 100 * time.Millisecond

// classifyUnwritten classifies attempts that provably sent nothing to the target.
func (a *attempt) classifyUnwritten(err, refusal error) *failure {
	ex := a.exchange
	f := &failure{ran: fault.RanNo, outcome: node.OutcomeUnused}
	var dial *dialError
	switch {
	case a.abandoned.Load():
		f.err = fault.New(fault.OutcomeUnknown, "another attempt answered first")
	case refusal != nil:
		f.err = refusal
		if fault.KindOf(refusal) == fault.NoCapacity {
			f.retry = retryWithoutBudget
			f.avoidTarget = true
		}
	case ex.stop.isEnded():
		f.err = errStopping()
	case ex.r.Context().Err() != nil:
		f.err = fault.New(fault.DeadlineNotRun, "the caller disconnected or canceled the request")
	case !time.Now().Before(ex.deadline):
		f.err = fault.New(fault.DeadlineNotRun, "the deadline passed before the request was sent")
		if time.Since(a.startedAt) >= slowConnect {
			f.outcome = node.OutcomeUnreachable
		}
	case errors.As(err, &dial):
		f.outcome = node.OutcomeUnreachable
		f.err = fault.Wrap(err, fault.NoCapacity, "the target could not be reached")
		f.retry = retryWithoutBudget
		f.avoidTarget = true
	default:
		f.err = fault.Wrap(err, fault.NoCapacity, "the connection to the target ended before the request was written")
		f.retry = retryWithoutBudget
	}
	return f
}

// checkBeforeWrite runs the final checks immediately before the first byte is written.
func (a *attempt) checkBeforeWrite() error {
	if err := a.exchange.checkSingleRun(); err != nil {
		return err
	}
	if err := a.permit.Check(); err != nil {
		return err
	}
	if err := a.exchange.recheckAdmission(); err != nil {
		return err
	}
	if err := a.exchange.h.notices.check(a.exchange.service.Name, a.permit.Target(), time.Now()); err != nil {
		return err
	}
	return a.countSent()
}

// countSent counts the attempt as sent. It returns an error if another attempt may have run and
// the configuration in force does not allow a second run.
func (a *attempt) countSent() error {
	ex := a.exchange
	a.sentUnder.Store(ex.h.cfg.Configs.Snapshot().Ticket())
	if !a.sent {
		if !ex.held.BeginAttempt() {
			return fault.New(fault.Overloaded, "the connection of the caller was closed")
		}
		a.sent = true
		ex.sent.Add(1)
	}
	if ex.sent.Load() > 1 && !ex.stillIdempotent() {
		a.takeBackSent()
		return fault.New(fault.OutcomeUnknown, "the route is no longer idempotent and another attempt may have run")
	}
	return nil
}

// takeBackSent takes back what countSent has counted, for an attempt that did not run.
func (a *attempt) takeBackSent() {
	if !a.sent {
		return
	}
	a.sent = false
	a.exchange.sent.Add(-1)
	a.exchange.held.EndAttempt()
}

// recheckAdmission repeats the admission checks whose result may have changed since
// admit. A VM that began to shut down in the meantime still completes the request.
func (ex *exchange) recheckAdmission() error {
	err := ex.h.cfg.Contact.Check()
	if err != nil && fault.KindOf(err) != fault.ShuttingDown {
		return err
	}
	snapshot := ex.h.cfg.Configs.Snapshot()
	if ex.workspace == nil || snapshot == ex.snapshot {
		return nil
	}
	w, ok := snapshot.WorkspaceByKey(ex.key)
	if !ok || w.ID != ex.workspace.ID {
		return fault.New(fault.Unauthorized, "the key was revoked after the request was admitted")
	}
	return nil
}
