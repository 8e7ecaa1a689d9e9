package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/poison"
)

// job is one request of a caller.
type exchange struct {
	h     *Handler
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time

	snapshot  *document.Snapshot
	key       string
	workspace *document.Workspace // nil without a key on an open route
	route     *document.Route
	service   *document.Service
	header    http.Header // what targets get
	query     string
	ctx       context.Context
	deadline  time.Time
	body      *callerBody
	// fingerprint identifies requests that crash targets.
	fingerprint    uint64
	idempotencyKey string // text of the idempotency key, empty without one
	recordPending  bool   // the idempotency record has to be ended

	callerWriter   *countingWriter // the caller's side of the answer; w is the same
	targetBody     *countingBody   // the target's side; nil without a body
	possibleRuns   int             // attempts of which the target may have run the request
	totalAttempts  int             // all attempts
	mayHaveArrived bool            // an attempt may have arrived at a target
	triedTargets   []string        // targets that the request was sent to
	failedTargets  []string        // targets that failed
	ran            fault.Ran       // the most that any attempt may have done
	externalTime   time.Duration   // time taken by targets and by the caller's upload
	statusSent     bool
	tokenWait      time.Duration // for a token of the workspace's rate
	permitWait     time.Duration // for permits of targets
}

// ServeHTTP admits, forwards and answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	out := &countingWriter{ResponseWriter: w}
	ex := &exchange{h: h, w: out, callerWriter: out, r: r, id: h.requestID(r), start: time.Now()}
	w.Header().Set(h.cfg.Dialect.RequestID, ex.id)
	if h.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := ex.serve(); err != nil {
		ex.fail(err)
		return
	}
	ex.finish()
}

// requestID returns the caller's name of the request where the dialect has one,
// else a new one.
func (h *Handler) requestID(r *http.Request) string {
	if id := r.Header.Get(h.cfg.Dialect.RequestID); id != "" && h.cfg.Dialect.CallerIDs {
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
	if err := ex.readBody(); err != nil {
		return err
	}
	defer ex.body.detach()
	ex.fingerprint = poison.Fingerprint(ex.workspaceID(), ex.r.Method, ex.r.URL.Path, ex.body.length, ex.body.prefix)
	if ex.idempotencyKey != "" {
		return ex.runIdempotent()
	}
	return ex.forwardWithinRate()
}

// run takes a token of the workspace's rate and forwards the request.
func (ex *exchange) forwardWithinRate() error {
	if ex.workspace != nil {
		began := time.Now()
		err := ex.h.cfg.Limiter.Admit(ex.ctx, ex.workspace)
		ex.tokenWait = time.Since(began)
		if err != nil {
			return err
		}
	}
	ex.h.retryBudgets.forService(ex.service.Name).addRequest()
	return ex.forward()
}

// workspaceID returns the workspace's ID, empty when there is none.
func (ex *exchange) workspaceID() string {
	if ex.workspace == nil {
		return ""
	}
	return ex.workspace.ID
}
