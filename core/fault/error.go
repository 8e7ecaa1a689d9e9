package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error is an error with a kind. Create it with New, NewWithDelay, WithAddress or
// Wrap.
type Error struct {
	// Kind determines the answer.
	Kind Kind
	// Detail is a sentence for the caller. It must not contain keys or bodies.
	Detail string
	// RetryDelay, if positive, overrides the default retry delay of the kind.
	RetryDelay time.Duration
	// Address is the host:port of the VM to use instead, for WrongInstance; it may be
	// empty.
	Address string

	cause error
}

// Error returns kind, detail and cause.
func (e *Error) Error() string {
	if e.cause != nil {
		return e.Kind.String() + ": " + e.Detail + ": " + e.cause.Error()
	}
	return e.Kind.String() + ": " + e.Detail
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// RetryAfter returns how long the caller should wait before a retry.
func (e *Error) RetryAfter() time.Duration {
	if e.RetryDelay > 0 {
		return e.RetryDelay
	}
	return e.Kind.Answer().RetryDelay
}

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Detail: fmt.Sprintf(format, args...)})
}

// NewWithDelay returns an error of kind k with a formatted detail, which asks the
// caller to wait for d before a retry.
func NewWithDelay(k Kind, d time.Duration, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Detail: fmt.Sprintf(format, args...), RetryDelay: d})
}

// Wrap returns an error of kind k with cause err. It returns nil for a nil err.
func Wrap(err error, k Kind, detail string) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Kind: k, Detail: detail, cause: err})
}

// From returns the Error that err wraps. For an error without a kind, it returns an
// Error of kind Internal with err as its cause.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: "unexpected failure", cause: err}
}

// KindOf returns the kind of err, or Internal for an error without a kind.
func KindOf(err error) Kind {
	return From(err).Kind
}

// WithAddress returns an error of kind k with the address of the VM to use instead.
func WithAddress(k Kind, address, detail string) error {
	return trace.Wrap(&Error{Kind: k, Detail: detail, Address: address})
}
