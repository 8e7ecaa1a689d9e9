package command

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
)

// maxPanicStack bounds the part of the stack in an event, in bytes.
const maxPanicStack = 2 << 10

// recoverPanic turns a panic of the request's handler into an event and an error answer, which
// states that the request may have run. It is deferred. A panic that aborts the caller's
// connection on purpose continues.
func (ex *exchange) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	stack := debug.Stack()
	ex.h.cfg.Events.Record(event.RequestPanicked, ex.id, fmt.Sprintf("%v, %s", v, stack[:min(len(stack), maxPanicStack)]))
	ex.h.cfg.Metrics.Failed(fault.Internal, ex.workspaceID())
	if ex.callerWriter.status != 0 {
		panic(http.ErrAbortHandler)
	}
	ex.w.Header().Set("Connection", "close")
	ex.h.cfg.Dialect.WriteError(ex.w, &fault.Error{Kind: fault.OutcomeUnknown, Detail: "the request ended with an internal failure"}, ex.id)
}
