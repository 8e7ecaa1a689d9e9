package command

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// retry says how a failed attempt may be repeated; 0 for not at all.
type retryRule uint8

const (
	// retryFree repeats without the budget: no target got any work.
	retryWithoutBudget retryRule = iota + 1
	// retryPaid repeats within the budget: the target refused to run it.
	retryWithinBudget
	// retryIdempotent repeats idempotent requests within the budget.
	retryIfIdempotent
)

// attempt is one try at one target.
type attempt struct {
	exchange *exchange
	permit   node.Permit
	ctx      context.Context
	cancel   context.CancelFunc
	// abandoned is set when the answer is not needed any more.
	abandoned atomic.Bool
	// elsewhere is the time that the target took.
	targetTime time.Duration
	guard      *writeGuard
	startedAt  time.Time
	latency    time.Duration // from the first byte written until the answer began
}

// failure is what became of an attempt without an answer to deliver.
type failure struct {
	err           error
	outcome       node.Outcome
	ran           fault.Ran
	retry         retryRule
	avoidTarget   bool // the target is to be avoided by later attempts
	retryApproved bool // the retry is allowed and paid for
}

// newAttempt returns an attempt at the target of p.
func (ex *exchange) newAttempt(p node.Permit) *attempt {
	a := &attempt{exchange: ex, permit: p, startedAt: time.Now()}
	a.ctx, a.cancel = context.WithCancel(ex.ctx)
	a.guard = &writeGuard{check: a.checkBeforeWrite, checkHeader: a.checkHeader, method: ex.r.Method}
	if !ex.idempotent() {
		a.guard.maxIdle = maxIdleNonIdempotent
	}
	return a
}

// staleAfter is below the idle timeout of common servers (5 s and more). A
// non-idempotent request that meets a connection as its target closes it ends
// with an unknown outcome, so it uses a newer one.
const maxIdleNonIdempotent = 4 * time.Second

// send writes the request and returns the answer once its header is here.
func (a *attempt) send() (*http.Response, *failure) {
	for {
		resp, err := a.exchange.h.transport.RoundTrip(a.request())
		if err == nil {
			return a.rejectUnsolicited(resp)
		}
		// Each unusable connection is closed, so this ends at a new one.
		if !a.guard.takeConnUnusable() || !a.exchange.body.replayable() || a.ctx.Err() != nil {
			return nil, a.classify(err)
		}
	}
}

// ownAnswer refuses an answer to a request that was not written: net/http may
// return bytes that were left on a connection although the write failed.
func (a *attempt) rejectUnsolicited(resp *http.Response) (*http.Response, *failure) {
	at := a.writtenAt()
	if at.IsZero() {
		_ = resp.Body.Close()
		return nil, a.classify(errUnsolicited)
	}
	a.latency = time.Since(at)
	return resp, nil
}

func (a *attempt) writtenAt() time.Time {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	return a.guard.writtenAt
}

// request builds what the target gets.
func (a *attempt) request() *http.Request {
	ex := a.exchange
	// The transport may still read the header of an earlier attempt.
	header := maps.Clone(ex.header)
	remaining := time.Until(ex.deadline).Milliseconds()
	header[ex.h.cfg.Dialect.Timeout] = []string{strconv.FormatInt(max(remaining, 1), 10)}
	if name := ex.h.cfg.Dialect.Target; name != "" {
		header[name] = []string{a.permit.Target().ID}
	}
	req := &http.Request{
		Method: ex.r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     a.permit.Target().Address,
			Path:     ex.r.URL.Path,
			RawPath:  ex.r.URL.RawPath,
			RawQuery: ex.query,

			ForceQuery: ex.r.URL.ForceQuery,
		},
		Host:       ex.r.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
	}
	a.setBody(req)
	return req.WithContext(a.withConnTrace(a.ctx))
}

// setBody gives req the body of the caller, from its start.
func (a *attempt) setBody(req *http.Request) {
	b := a.exchange.body
	announced := a.exchange.r.Trailer
	if b.buffered && len(announced) == 0 {
		if len(b.prefix) > 0 {
			req.Body = io.NopCloser(bytes.NewReader(b.prefix))
			req.ContentLength = int64(len(b.prefix))
		} else if replayedByTransport(req.Method) {
			// A body without GetBody stops silent replays. With the encoding
			// "identity" net/http neither probes nor announces the empty body.
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
			if a.exchange.key == "" || !containsKey(name, a.exchange.key) {
				req.Trailer[name] = nil
			}
		}
	}
	req.Body = &attemptBody{body: b, onEOF: func() { a.copyTrailer(req.Trailer) }}
}

// replayedMethod tells whether net/http replays requests of this method.
func replayedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// copyTrailer fills in the announced trailer once the body has ended.
func (a *attempt) copyTrailer(to http.Header) {
	for name := range to {
		to[name] = a.exchange.r.Trailer[name]
	}
	removeKey(to, a.exchange.key)
}

// traced returns ctx with a hook that ties the connection to the gate.
func (a *attempt) withConnTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*targetConn); ok {
				c.guard.Store(a.guard)
			}
		},
	})
}

// classify turns an error of the transport into a failure.
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
		f.err = fault.Wrap(ex.body.readError(), fault.OutcomeUnknown, "the caller's body ended early")
	case !time.Now().Before(ex.deadline):
		f.outcome = node.OutcomeTimeout
		f.err = fault.New(fault.DeadlineUnknown, "the deadline passed while a target had the request")
	case ex.r.Context().Err() != nil:
		f.outcome = node.OutcomeCanceled
		f.err = fault.New(fault.OutcomeUnknown, "the caller went away")
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

// slowConnect is 100 times the usual time of a new connection; a wait this
// long counts against the target even when the deadline ends it.
const slowConnect = 100 * time.Millisecond

// classifyUnwritten handles attempts that provably wrote nothing.
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
		}
	case ex.r.Context().Err() != nil:
		f.err = fault.New(fault.DeadlineNotRun, "the caller went away")
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
		f.err = fault.Wrap(err, fault.NoCapacity, "the connection ended before the request was written")
		f.retry = retryWithoutBudget
	}
	return f
}

// lastCheck runs right before the first byte is written.
func (a *attempt) checkBeforeWrite() error {
	if err := a.exchange.checkSingleRun(); err != nil {
		return err
	}
	if err := a.permit.Check(); err != nil {
		return err
	}
	return a.exchange.recheckAdmission()
}

// stillAdmitted checks again what may have changed since admission. A VM that
// began to stop meanwhile still completes the request.
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
		return fault.New(fault.Unauthorized, "the key was withdrawn")
	}
	return nil
}
