// Package fault defines the error kinds and the table that maps each kind to the
// answer that a caller gets.
//
// Each refusal and each failed answer of the fleet has one of these kinds. The table
// states for each kind whether the request ran.
package fault

import "time"

// Kind is the kind of an error. No other kinds than the listed ones exist.
type Kind uint8

// The error kinds.
const (
	// Internal: a fault inside the fleet; the outcome of the request is not known.
	Internal Kind = iota
	// BadRequest: the request is malformed or cannot be accepted.
	BadRequest
	// Unauthorized: the key is missing, unknown or revoked.
	Unauthorized
	// Forbidden: the key is valid, but its workspace may not use the route.
	Forbidden
	// NoRoute: no route matches the path and method.
	NoRoute
	// TooLarge: the header or body exceeds its limit; nothing ran.
	TooLarge
	// WrongInstance: the idempotency key belongs to another live VM instance.
	WrongInstance
	// KeyReused: the idempotency key was used for a different request.
	KeyReused
	// Poisoned: the request crashed several targets and is quarantined.
	Poisoned
	// RateLimited: the workspace exceeds its rate and burst.
	RateLimited
	// Overloaded: a queue or table is full, a target sheds load, or no slot or holder
	// is available in time.
	Overloaded
	// NoCapacity: no target or VM may receive the request, or the chosen target could
	// not be reached.
	NoCapacity
	// NotInContact: the VM is cut off from the fleet and may have outdated state.
	NotInContact
	// ShuttingDown: the VM is shutting down gracefully.
	ShuttingDown
	// NotReady: the VM has no configuration yet.
	NotReady
	// DeadlineNotRun: the deadline passed before the request was sent to a target.
	DeadlineNotRun
	// InProgress: the first request with the same idempotency key is still running.
	InProgress
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown
	// DeadlineUnknown: the deadline passed while a target was processing the request.
	DeadlineUnknown
	// AnswerIncomplete: the request ran, but its answer was truncated.
	AnswerIncomplete
	// AnswerNotKept: the request with this idempotency key has finished, but its answer
	// was not kept for retries.
	AnswerNotKept

	kindCount
)

// Ran states whether the request ran on a target.
type Ran uint8

// The values of Ran.
const (
	// RanNo means that the request provably did not run.
	RanNo Ran = iota
	// RanUnknown means that the request may or may not have run.
	RanUnknown
	// RanYes means that the request ran.
	RanYes
)

// String returns the value used in answers and in the header Galenasail-Ran.
func (r Ran) String() string {
	return [...]string{"no", "unknown", "yes"}[r]
}

// Retry states whether the caller may retry the request.
type Retry uint8

// The values of Retry.
const (
	// RetryNo means that a retry fails in the same way.
	RetryNo Retry = iota
	// RetryYes means that a retry is safe.
	RetryYes
	// RetryElsewhere means that a retry is safe on another VM.
	RetryElsewhere
	// RetrySameKey means that a retry is safe with the same idempotency key.
	RetrySameKey
	// RetryIfIdempotent means that only an idempotent request may be retried.
	RetryIfIdempotent
)

// String returns the value used in answers.
func (r Retry) String() string {
	return [...]string{"no", "yes", "elsewhere", "same_key", "if_idempotent"}[r]
}

// Answer describes the answer that a caller gets for one kind.
type Answer struct {
	// Name is the stable identifier of the kind in answers, logs and metrics.
	Name string
	// Status is the HTTP status code.
	Status int
	// Ran states whether the request ran.
	Ran Ran
	// Retry states whether a retry is safe.
	Retry Retry
	// RetryDelay is the default time to wait before a retry.
	RetryDelay time.Duration
}

// defaultRetryDelay keeps refused callers from retrying immediately.
const defaultRetryDelay = 500 * time.Millisecond

var table = [kindCount]Answer{
	Internal:         {"internal", 500, RanUnknown, RetryIfIdempotent, defaultRetryDelay},
	BadRequest:       {"bad_request", 400, RanNo, RetryNo, 0},
	Unauthorized:     {"unauthorized", 401, RanNo, RetryNo, 0},
	Forbidden:        {"forbidden", 403, RanNo, RetryNo, 0},
	NoRoute:          {"no_route", 404, RanNo, RetryNo, 0},
	TooLarge:         {"too_large", 413, RanNo, RetryNo, 0},
	WrongInstance:    {"wrong_instance", 421, RanNo, RetryElsewhere, 0},
	KeyReused:        {"key_reused", 422, RanNo, RetryNo, 0},
	Poisoned:         {"poisoned", 422, RanNo, RetryNo, 0},
	RateLimited:      {"rate_limited", 429, RanNo, RetryYes, defaultRetryDelay},
	Overloaded:       {"overloaded", 503, RanNo, RetryYes, defaultRetryDelay},
	NoCapacity:       {"no_capacity", 503, RanNo, RetryYes, defaultRetryDelay},
	NotInContact:     {"not_in_contact", 503, RanNo, RetryElsewhere, 0},
	ShuttingDown:     {"shutting_down", 503, RanNo, RetryElsewhere, 0},
	NotReady:         {"not_ready", 503, RanNo, RetryElsewhere, defaultRetryDelay},
	DeadlineNotRun:   {"deadline_not_run", 504, RanNo, RetryYes, 0},
	InProgress:       {"in_progress", 409, RanUnknown, RetrySameKey, defaultRetryDelay},
	OutcomeUnknown:   {"outcome_unknown", 502, RanUnknown, RetryIfIdempotent, 0},
	DeadlineUnknown:  {"deadline_unknown", 504, RanUnknown, RetryIfIdempotent, 0},
	AnswerIncomplete: {"answer_incomplete", 502, RanYes, RetryIfIdempotent, 0},
	AnswerNotKept:    {"answer_not_kept", 409, RanYes, RetryNo, 0},
}

// Answer returns the answer for k. For an unknown kind it returns that for Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable identifier of k.
func (k Kind) String() string {
	return k.Answer().Name
}

// Kinds returns all error kinds in the order of their declaration.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}
