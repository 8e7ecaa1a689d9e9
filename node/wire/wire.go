// Package wire holds what the command and the query side share towards callers
// and targets: header names, the error answer and the place of the key.
package wire

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// Headers between callers, the fleet and targets.
const (
	// HeaderPrefix starts the names of headers that only the fleet may set.
	HeaderPrefix = "Galenasail-"
	// HeaderWorkspace tells the target whose request it runs.
	HeaderWorkspace = "Galenasail-Workspace"
	// HeaderRequestID names a request on the whole way.
	HeaderRequestID = "Galenasail-Request-Id"
	// HeaderTimeout is the remaining time of a request, in milliseconds.
	HeaderTimeout = "Galenasail-Timeout-Ms"
	// HeaderRan says whether a failed request ran: no, unknown or yes.
	HeaderRan = "Galenasail-Ran"
	// HeaderShed is set to ShedNotRun by a target that refused to run a request.
	HeaderShed = "Galenasail-Shed"
	// ShedNotRun is the value of HeaderShed.
	ShedNotRun = "not-run"
	// HeaderTrace asks for an event about a request that succeeds.
	HeaderTrace = "Galenasail-Trace"
	// HeaderReplayed marks a kept answer to a repeated idempotency key.
	HeaderReplayed = "Galenasail-Replayed"
	// HeaderTargetIdempotencyKey carries the idempotency key to the target.
	HeaderTargetIdempotencyKey = "Galenasail-Idempotency-Key"
	// HeaderIdempotencyKey carries the idempotency key from the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// AddressesPath is where callers ask which VMs to use.
const AddressesPath = "/galenasail/v1/addresses"

// ErrorAnswer is the JSON body of an error answer.
type ErrorAnswer struct {
	// Error is the name of the error kind.
	Error string `json:"error"`
	// Ran says whether the request ran: no, unknown or yes.
	Ran string `json:"ran"`
	// Retry says whether a repeat is safe.
	Retry string `json:"retry"`
	// RetryAfterMs is the time to wait before a repeat, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Address is the VM to use instead, host:port.
	Address string `json:"address,omitempty"`
	// Detail is a sentence for the caller.
	Detail string `json:"detail"`
	// RequestID names the request.
	RequestID string `json:"requestId,omitempty"`
}

// WriteError answers with the row of the error's kind in the product's dialect.
func WriteError(w http.ResponseWriter, e *fault.Error, requestID string) {
	Native().WriteError(w, e, requestID)
}

// WriteError answers with the row of the error's kind.
func (d *Dialect) WriteError(w http.ResponseWriter, e *fault.Error, requestID string) {
	row := e.Kind.Answer()
	body := ErrorAnswer{
		Error:        row.Name,
		Ran:          row.Ran.String(),
		Retry:        row.Retry.String(),
		RetryAfterMs: e.RetryAfter().Milliseconds(),
		Address:      e.Address,
		Detail:       e.Detail,
		RequestID:    requestID,
	}
	raw, err := json.Marshal(body)
	if err != nil {
		raw = []byte(`{"error":"internal"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRan, row.Ran.String())
	if after := e.RetryAfter(); after > 0 {
		h.Set("Retry-After", d.RetryAfter(after))
	}
	w.WriteHeader(d.Status(e.Kind))
	// A caller that went away cannot be told anything.
	_, _ = w.Write(raw)
}

// wholeSeconds formats d in seconds, rounded up.
func formatWholeSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// Key returns the key of the Authorization header. Several such headers are
// treated as none, because they do not name one workspace.
func Key(h http.Header) (key string, ok bool) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	return key, true
}
