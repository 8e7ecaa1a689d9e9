package command

import (
	"io"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/invariant"
)

// fail answers with an error, or aborts the connection or HTTP/2 stream if the status of
// an answer was already sent.
func (ex *exchange) fail(err error) {
	e := ex.spreadReturn(ex.correctOutcome(ex.whenStopped(fault.From(err))))
	ex.h.cfg.Metrics.Failed(e.Kind, ex.workspaceID())
	ex.recordDone(ex.h.reporter.failed, e.Error())
	if ex.statusSent {
		// net/http closes the connection (HTTP/1.1) or resets the stream (HTTP/2).
		panic(http.ErrAbortHandler)
	}
	ex.checkRefusal(e.Kind)
	ex.h.cfg.Metrics.AddedLatency(time.Since(ex.start) - ex.externalTime)
	// This call fails only on writers without a connection, as in tests.
	_ = http.NewResponseController(ex.w).SetWriteDeadline(time.Now().Add(writeGrace))
	ex.setConnectionClose()
	if !ex.bodyLeftUnread() {
		ex.h.cfg.Dialect.WriteError(ex.w, e, ex.id)
		return
	}
	control := http.NewResponseController(ex.w)
	// These calls fail only on writers without a connection, as in tests.
	_ = control.EnableFullDuplex()
	ex.w.Header().Set("Connection", "close")
	ex.h.cfg.Dialect.WriteError(ex.w, e, ex.id)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, ex.r.Body, lingerBytes)
}

const (
	// lingerTime and lingerBytes bound how much of a refused body is read before the
	// connection is closed.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
	// serverDrainBytes is how much of an unread body net/http itself reads.
	serverDrainBytes = 256 << 10
)

// bodyLeftUnread reports whether net/http would close the connection with unread bytes
// of the body. TCP then resets the connection, and the caller may lose the error answer.
func (ex *exchange) bodyLeftUnread() bool {
	r := ex.r
	if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return false
	}
	if ex.body != nil {
		return !ex.body.fullyRead()
	}
	return r.Close || r.ContentLength < 0 || r.ContentLength > serverDrainBytes
}

// correctOutcome replaces an error that states "not run" if an attempt may have run.
func (ex *exchange) correctOutcome(e *fault.Error) *fault.Error {
	if e.Kind.Answer().Ran != fault.RanNo || ex.ran == fault.RanNo {
		return e
	}
	kind := fault.OutcomeUnknown
	if ex.ran == fault.RanYes {
		kind = fault.AnswerIncomplete
	} else if e.Kind == fault.DeadlineNotRun {
		kind = fault.DeadlineUnknown
	}
	return &fault.Error{Kind: kind, Detail: "an earlier attempt may have run the request; the last attempt failed with " + e.Kind.String() + ": " + e.Detail}
}

// checkRefusal reports a violation of invariant.Refusal if the answer states "not run"
// although an attempt may have run.
func (ex *exchange) checkRefusal(k fault.Kind) {
	if k.Answer().Ran == fault.RanNo && ex.ran != fault.RanNo {
		ex.h.cfg.Events.Violated(invariant.Refusal, ex.id, "answered "+k.String()+" although an attempt may have run: "+ex.ran.String())
	}
}
