package wire

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// ResponseClass is what the response of a target says about whether the request ran.
type ResponseClass uint8

// Classes of responses.
const (
	// Answered is a response of the target that ran the request.
	Answered ResponseClass = iota + 1
	// NotRun is a statement of the target that it did not and will not run the request.
	NotRun
	// Misdirected states that the address belongs to another target now; the request did
	// not run.
	Misdirected
	// Unverified is a response that must not be forwarded: a success without the target's
	// signature, or a status that implies "not run" to callers without the target's
	// explicit statement.
	Unverified
)

// TargetNotices is what a target says about itself in a response.
type TargetNotices struct {
	// Leaving is true when the target leaves the fleet and wants no further requests.
	Leaving bool
	// Pause is how long this VM must send the target no requests; 0 when it may.
	Pause time.Duration
	// Malformed holds the text of a pause that could not be parsed; empty for none.
	Malformed string
}

// Dialect is the HTTP convention between the fleet, callers and targets: header names and
// the meaning of responses. The zero value is not usable; see Native.
type Dialect struct {
	// Workspace is the header that carries the workspace to the target.
	Workspace string
	// RequestID is the header with the ID of the request.
	RequestID string
	// Timeout is the header with the remaining time, in milliseconds.
	Timeout string
	// Target is the header with the ID of the target for which a request is meant; empty
	// for none.
	Target string
	// Reserved lists additional headers that only the fleet may set, in canonical form.
	Reserved []string
	// AcceptRequestIDs is true when request IDs of callers are kept and forwarded.
	AcceptRequestIDs bool
	// IdempotencyKeys is true when callers may send idempotency keys.
	IdempotencyKeys bool
	// RequireRequestIDEcho is true when targets repeat the request ID in each response. A
	// response without it is then treated as belonging to another request.
	RequireRequestIDEcho bool
	// AllowCloseDelimited is true when a response without a length may be delimited by the
	// close of its connection.
	AllowCloseDelimited bool
	// Classify returns the class of a response.
	Classify func(resp *http.Response) ResponseClass
	// Notices returns what a target says about itself in a response.
	Notices func(resp *http.Response) TargetNotices
	// Status returns the HTTP status of an error kind.
	Status func(k fault.Kind) int
	// RetryAfter formats the value of a Retry-After header.
	RetryAfter func(d time.Duration) string
}

// Native returns the product's own dialect.
func Native() *Dialect {
	return &Dialect{
		Workspace:       HeaderWorkspace,
		RequestID:       HeaderRequestID,
		Timeout:         HeaderTimeout,
		IdempotencyKeys: true,
		Classify:        classifyNative,
		Notices:         func(resp *http.Response) TargetNotices { return ParseNotices(resp, HeaderLeaving) },
		Status:          func(k fault.Kind) int { return k.Answer().Status },
		RetryAfter:      formatWholeSeconds,
	}
}

// classifyNative classifies responses of the product's own dialect.
func classifyNative(resp *http.Response) ResponseClass {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == ShedNotRun {
		return NotRun
	}
	return Answered
}

// MaxPause bounds the pause that a target may ask for.
const MaxPause = 10 * time.Minute

// ParseNotices returns the notices in a response: a target leaves if the header named leaving is
// present, and a response with status 503 asks for a pause by Retry-After, in seconds with
// or without fractions. A pause above MaxPause is shortened.
func ParseNotices(resp *http.Response, leaving string) TargetNotices {
	n := TargetNotices{Leaving: resp.Header.Get(leaving) != ""}
	text := resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusServiceUnavailable || text == "" {
		return n
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		n.Malformed = text
		return n
	}
	n.Pause = time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second))
	return n
}
