// Package wire defines the HTTP conventions towards callers and targets that packages
// command and query share: header names, error responses and the location of the API key.
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
	// HeaderPrefix is the prefix of headers that only the fleet may set.
	HeaderPrefix = "Galenasail-"
	// HeaderWorkspace carries the workspace of the request to the target.
	HeaderWorkspace = "Galenasail-Workspace"
	// HeaderRequestID identifies a request from the caller to the target.
	HeaderRequestID = "Galenasail-Request-Id"
	// HeaderTimeout carries the remaining time of a request, in milliseconds.
	HeaderTimeout = "Galenasail-Timeout-Ms"
	// HeaderRan reports whether a failed request ran: no, unknown or yes.
	HeaderRan = "Galenasail-Ran"
	// HeaderShed is set to ShedNotRun by a target that refused to run a request.
	HeaderShed = "Galenasail-Shed"
	// ShedNotRun is the value of HeaderShed.
	ShedNotRun = "not-run"
	// HeaderLeaving is set by a target that leaves the fleet, in all its answers.
	HeaderLeaving = "Galenasail-Leaving"
	// HeaderTrace requests that an event is recorded even if the request succeeds.
	HeaderTrace = "Galenasail-Trace"
	// HeaderReplayed marks a stored response to a repeated idempotency key.
	HeaderReplayed = "Galenasail-Replayed"
	// HeaderTargetIdempotencyKey carries the idempotency key to the target.
	HeaderTargetIdempotencyKey = "Galenasail-Idempotency-Key"
	// HeaderIdempotencyKey carries the idempotency key from the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// AddressesPath is the path at which callers query the VMs to use.
const AddressesPath = "/galenasail/v1/addresses"

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	// Error is the name of the error kind.
	Error string `json:"error"`
	// Ran reports whether the request ran: no, unknown or yes.
	Ran string `json:"ran"`
	// Retry says whether a retry is safe: no, yes, elsewhere, same_key or if_idempotent
	// (see fault.Retry).
	Retry string `json:"retry"`
	// RetryAfterMs is the time to wait before a retry, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Address is the VM to use instead, host:port.
	Address string `json:"address,omitempty"`
	// Detail describes the error to the caller.
	Detail string `json:"detail"`
	// RequestID is the ID of the request.
	RequestID string `json:"requestId,omitempty"`
}

// WriteError writes the error response of e in the product's own dialect.
func WriteError(w http.ResponseWriter, e *fault.Error, requestID string) {
	Native().WriteError(w, e, requestID)
}

// WriteError writes the error response of e.
func (d *Dialect) WriteError(w http.ResponseWriter, e *fault.Error, requestID string) {
	answer := e.Kind.Answer()
	body := ErrorResponse{
		Error:        answer.Name,
		Ran:          answer.Ran.String(),
		Retry:        answer.Retry.String(),
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
	h.Set(HeaderRan, answer.Ran.String())
	if after := e.RetryAfter(); after > 0 {
		h.Set("Retry-After", d.RetryAfter(after))
	}
	w.WriteHeader(d.Status(e.Kind))
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(raw)
}

// formatWholeSeconds formats d in seconds, rounded up.
func formatWholeSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

// BearerKey returns the API key in the Authorization header. Several such headers are
// treated as none, because they do not identify a single workspace.
func BearerKey(h http.Header) (key string, ok bool) {
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
