package explain

import (
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/node"
)

// Decision is what the caller path decides about a request before its rate limit and its
// target, with the inputs of these steps.
type Decision struct {
	// Admission is the part of the result.
	Admission Admission
	// Refusal is the first refusal; nil for none.
	Refusal *Refusal
	// Quarantine is the refusal of a quarantined request, after the rate limit; nil for none.
	Quarantine *Refusal
	// NoCapacity replaces the refusal for want of a target while targets want a pause; nil
	// without a pause.
	NoCapacity *Refusal
	// Workspace is the workspace whose rate applies; nil for none.
	Workspace *document.Workspace
	// Permit is the request for a permit. It has no service when no route matches.
	Permit node.PermitRequest
}
