package command

import (
	"io"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
)

// fail answers with an error, or ends the connection when the status of an
// answer was already sent.
func (j *job) fail(err error) {
	e := j.truthful(fault.From(err))
	j.h.cfg.Metrics.Failed(e.Kind, j.workspaceID())
	j.report(j.h.reporter.failed, e.Error())
	if j.statusSent {
		// net/http closes the connection (HTTP/1.1) or resets the stream.
		panic(http.ErrAbortHandler)
	}
	j.checkRefusal(e.Kind)
	j.h.cfg.Metrics.Added(time.Since(j.start) - j.elsewhere)
	j.finishHeader()
	if !j.leavesBody() {
		j.h.cfg.Dialect.WriteError(j.w, e, j.id)
		return
	}
	control := http.NewResponseController(j.w)
	// These calls fail only on writers without a connection, as in tests.
	_ = control.EnableFullDuplex()
	j.w.Header().Set("Connection", "close")
	j.h.cfg.Dialect.WriteError(j.w, e, j.id)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, j.r.Body, lingerBytes)
}

const (
	// lingerTime and lingerBytes bound what is read of a refused body.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
	// serverReads is what net/http itself reads of an unread body.
	serverReads = 256 << 10
)

// leavesBody tells whether net/http would close the connection with unread
// bytes. That resets it, and the caller may lose the error answer.
func (j *job) leavesBody() bool {
	r := j.r
	if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return false
	}
	if j.body != nil {
		return !j.body.complete()
	}
	return r.Close || r.ContentLength < 0 || r.ContentLength > serverReads
}

// truthful replaces an error that says "not run" when an attempt may have run.
func (j *job) truthful(e *fault.Error) *fault.Error {
	if e.Kind.Answer().Ran != fault.RanNo || j.ran == fault.RanNo {
		return e
	}
	kind := fault.OutcomeUnknown
	if j.ran == fault.RanYes {
		kind = fault.AnswerIncomplete
	} else if e.Kind == fault.DeadlineNotRun {
		kind = fault.DeadlineUnknown
	}
	return &fault.Error{Kind: kind, Detail: "an attempt may have run; the last one failed with " + e.Kind.String() + ": " + e.Detail}
}

// checkRefusal asserts that an answer with "not run" is true.
func (j *job) checkRefusal(k fault.Kind) {
	if k.Answer().Ran == fault.RanNo && j.ran != fault.RanNo {
		j.h.cfg.Events.Violated(invariant.Refusal, j.id, "answered "+k.String()+" although an attempt may have run: "+j.ran.String())
	}
}
