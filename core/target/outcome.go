package target

import (
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// Outcome is how a request at a target ended. The values are those of node.Outcome
// and of the peer protocol.
type Outcome uint8

// The outcomes of a request at a target.
const (
	// OK is a complete answer with a status below 500.
	OK Outcome = iota + 1
	// Error is a complete answer with status 500 or above.
	Error
	// Shed is a refusal by the target which says that the request did not run.
	Shed
	// Unreachable is a connection that could not be established.
	Unreachable
	// Lost is a connection that broke before the answer began.
	Lost
	// Truncated is an answer that ended before it was complete.
	Truncated
	// Timeout is a deadline that passed while the target had the request.
	Timeout
	// Canceled is a request whose caller closed the connection.
	Canceled
	// Unused is a permit that was not used.
	Unused
)

// Event is a change of a target or of its group that is recorded for operators.
type Event struct {
	// Kind is the kind of event.
	Kind event.Kind
	// Subject is the service and target, or the group.
	Subject string
	// Detail is one sentence with figures and units.
	Detail string
}

// Release ends a permit, or adds an outcome to a permit that ends in the same call.
type Release struct {
	// Permit is the identifier that the holder issued.
	Permit uint64
	// Outcome is how the request ended.
	Outcome Outcome
	// Latency is the time until the answer began; 0 when there was none.
	Latency time.Duration
}

// Caller identifies an entry VM and its process.
type Caller struct {
	// VM is the identifier in the VM list.
	VM string
	// Instance identifies the process.
	Instance uint64
}
