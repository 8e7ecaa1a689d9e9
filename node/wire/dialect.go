package wire

import (
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// Statement is what the answer of a target says about a request.
type Statement uint8

// The statements.
const (
	// Answered is the answer of the target that ran the request.
	Answered Statement = iota + 1
	// NotRun says that the target did not run the request and will not.
	NotRun
	// Misdirected says that another target has the address; the request did not run.
	Misdirected
	// Unproven is an answer that must not be passed on: a success without the
	// target's mark, or a status that callers read as "not run" without the
	// target's own statement.
	Unproven
)

// Dialect is how the fleet speaks with callers and targets: the names of headers
// and what an answer states. The zero value is not usable; see Native.
type Dialect struct {
	// Workspace is the header that names the workspace to the target.
	Workspace string
	// RequestID is the header that names a request.
	RequestID string
	// Timeout is the header with the remaining time, in milliseconds.
	Timeout string
	// Target is the header that names the target to itself; empty for none.
	Target string
	// Reserved lists further headers that only the fleet may set, in canonical form.
	Reserved []string
	// CallerIDs is true when callers name their requests; the name is passed on.
	CallerIDs bool
	// IdempotencyKeys is true when callers may send idempotency keys.
	IdempotencyKeys bool
	// EchoRequired is true when targets repeat the request ID in each answer, so
	// that a success without it answers another request.
	EchoRequired bool
	// EndByClose is true when an answer without length may end with its connection.
	EndByClose bool
	// Read tells what an answer states.
	Read func(resp *http.Response) Statement
	// Status returns the status of an error kind.
	Status func(k fault.Kind) int
	// RetryAfter formats the time to wait before a repeat.
	RetryAfter func(d time.Duration) string
}

// Native returns the product's own dialect.
func Native() *Dialect {
	return &Dialect{
		Workspace:       HeaderWorkspace,
		RequestID:       HeaderRequestID,
		Timeout:         HeaderTimeout,
		IdempotencyKeys: true,
		Read:            classifyNative,
		Status:          func(k fault.Kind) int { return k.Answer().Status },
		RetryAfter:      formatWholeSeconds,
	}
}

func classifyNative(resp *http.Response) Statement {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == ShedNotRun {
		return NotRun
	}
	return Answered
}
