package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node/limit"
)

// exchange is one request of a caller, its attempts and its answer.
type exchange struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string    // request ID
	start time.Time // arrival of the request

	snapshot  *document.Snapshot
	key       string              // the caller's key; empty if it sent none
	workspace *document.Workspace // nil on an open route without a valid key
	route     *document.Route
	service   *document.Service
	header    http.Header // sent to targets
	query     string      // sent to targets, without the key
	ctx       context.Context
	deadline  time.Time
	// returnedAfter is the time since the caller first sent the request, as far as the
	// deadline shows; 0 without overload control.
	returnedAfter time.Duration
	body          *callerBody
	// fingerprint identifies the request in the quarantine table.
	fingerprint    uint64
	idempotencyKey string // text of the idempotency key; empty if the caller sent none
	recordPending  bool   // the idempotency record must still be completed

	callerWriter   *countingWriter // counts the bytes sent to the caller; same value as w
	targetBody     *countingBody   // counts the bytes read from the target; nil without a body
	possibleRuns   int             // attempts in which the target may have run the request
	sent           atomic.Int32    // attempts that were or are about to be written, less those that did not run
	totalAttempts  int             // all attempts, including those that provably did not run
	mayHaveArrived bool            // the request may have reached a target
	attempts       []*attempt      // all attempts, in the order of their start
	failedTargets  []string        // targets that later attempts avoid
	ran            fault.Ran       // strongest statement over all attempts
	externalTime   time.Duration   // time spent in targets and in reading the caller's body
	statusSent     bool
	tokenWait      time.Duration  // wait for a token of the workspace's rate limit
	permitWait     time.Duration  // wait for permits of targets
	held           *limit.Request // what is held for the request; nil without a bound
	stop           stoppable
}

// ServeHTTP admits, forwards and answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	r, release := endWithConn(r)
	defer release()
	out := &countingWriter{ResponseWriter: w}
	ex := &exchange{h: h, w: out, callerWriter: out, r: r, id: h.requestID(r), start: time.Now()}
	w.Header().Set(h.cfg.Dialect.RequestID, ex.id)
	if h.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
	}
	defer ex.recoverPanic()
	held, err := limit.Begin(r)
	if err == nil {
		defer held.End()
		ex.held = held
		err = ex.serve()
	}
	if ex.service != nil {
		h.outcomes.record(ex.service.Name, err == nil && out.status < http.StatusInternalServerError, time.Now())
	}
	if err != nil {
		if held == nil && limit.Unanswerable(r) {
			panic(http.ErrAbortHandler)
		}
		ex.fail(err)
		return
	}
	ex.finish()
}

// requestID returns the request ID sent by the caller if the dialect accepts one,
// else a new ID.
func (h *Handler) requestID(r *http.Request) string {
	if id := r.Header.Get(h.cfg.Dialect.RequestID); id != "" && h.cfg.Dialect.AcceptRequestIDs {
		return id
	}
	return newRequestID()
}

func newRequestID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

func (ex *exchange) serve() error {
	ex.awaitStartup()
	if err := ex.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ex.r.Context(), ex.deadline)
	defer cancel()
	ex.ctx = ctx
	ex.h.stopping.add(&ex.stop, ex.attemptLead(), cancel)
	defer ex.stop.remove()
	if err := ex.readBody(); err != nil {
		return err
	}
	defer ex.body.detach()
	ex.fingerprint = poison.Fingerprint(ex.workspaceID(), ex.r.Method, requestPath(ex.r), ex.body.length, ex.body.prefix)
	if ex.idempotencyKey != "" {
		return ex.runIdempotent()
	}
	return ex.forwardWithinRate()
}

// forwardWithinRate waits for a token of the workspace's rate limit and forwards
// the request.
func (ex *exchange) forwardWithinRate() error {
	if err := ex.held.ReserveResponse(answerPrefixBytes); err != nil {
		return err
	}
	if ex.workspace != nil {
		began := time.Now()
		err := ex.waitWithBody(func(ctx context.Context) error { return ex.h.cfg.Limiter.Admit(ctx, ex.workspace) })
		ex.tokenWait = time.Since(began)
		if err != nil {
			return err
		}
	}
	ex.h.retryBudgets.forService(ex.service.Name).addRequest()
	return ex.forward()
}

// workspaceID returns the ID of the workspace, or "" if there is none.
func (ex *exchange) workspaceID() string {
	if ex.workspace == nil {
		return ""
	}
	return ex.workspace.ID
}
