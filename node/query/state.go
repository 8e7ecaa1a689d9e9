package query

import (
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// Health is the response to a health query.
type Health struct {
	// VM is the ID of the VM.
	VM string `json:"vm"`
	// Accepting is true while the VM accepts new work.
	Accepting bool `json:"accepting"`
	// Reason says why the VM does not accept new work.
	Reason string `json:"reason,omitempty"`
	// FailedDuties counts the actors (package duty) that crashed since the start.
	FailedDuties int64 `json:"failedDuties"`
}

// State is the state of a VM that operators can query.
type State struct {
	// VM is the entry of the VM according to its settings.
	VM member.VM `json:"vm"`
	// Instance is the process instance in hexadecimal.
	Instance string `json:"instance"`
	// Accepting is true while the VM accepts new work.
	Accepting bool `json:"accepting"`
	// Reason says why the VM does not accept new work.
	Reason string `json:"reason,omitempty"`
	// FailedDuties counts the actors (package duty) that crashed since the start.
	FailedDuties int64 `json:"failedDuties"`
	// Violations counts violated invariants since the start.
	Violations int64 `json:"violations"`
	// Ticket is the ticket in effect; 0 before the first one.
	Ticket uint64 `json:"ticket"`
	// Digest identifies the configuration in effect.
	Digest string `json:"digest,omitempty"`
	// Excluded lists the entries of the configuration that are not served, and why.
	Excluded []document.Exclusion `json:"excluded,omitempty"`
	// ListVersion is the version of the VM list in effect.
	ListVersion uint64 `json:"listVersion"`
	// Peers lists the other VMs of the VM list.
	Peers []PeerState `json:"peers"`
	// Leases lists the leases for which this VM has grants.
	Leases []LeaseState `json:"leases"`
	// Running is the number of requests running on this VM.
	Running int64 `json:"running"`
	// Targets lists the targets of the groups that this VM holds.
	Targets []TargetState `json:"targets,omitempty"`
	// Workspaces lists the workspaces that were active on this VM.
	Workspaces []WorkspaceState `json:"workspaces,omitempty"`
}

// PeerState is the state of another VM as this VM knows it.
type PeerState struct {
	// ID is the ID of the peer.
	ID string `json:"id"`
	// InContact is true when heartbeats made a recent round trip.
	InContact bool `json:"inContact"`
}

// LeaseState is the state of a lease of this VM.
type LeaseState struct {
	// Shard is the number of the shard.
	Shard member.Shard `json:"shard"`
	// Grants is the number of valid grants.
	Grants int `json:"grants"`
	// Members is the number of VMs that may grant the shard.
	Members int `json:"members"`
	// Exclusive is true when a quorum has granted the lease.
	Exclusive bool `json:"exclusive"`
	// RemainingMs is the time until the lease expires, in milliseconds.
	RemainingMs int64 `json:"remainingMs"`
}

// TargetState is the state of a target as the holder of its group knows it.
type TargetState struct {
	// Group is the name of the target group.
	Group string `json:"group"`
	// ID is the ID of the target.
	ID string `json:"id"`
	// Status is warm, cold, ejected or closed. A closed target is draining or in a failure
	// domain that is taken out.
	Status string `json:"status"`
	// Reason says why the target is not warm.
	Reason string `json:"reason,omitempty"`
	// InUse is the number of permits in use.
	InUse int `json:"inUse"`
	// Limit is the current limit of permits.
	Limit int `json:"limit"`
}

// WorkspaceState holds the request counts of a workspace on this VM.
type WorkspaceState struct {
	// ID is the ID of the workspace.
	ID string `json:"id"`
	// Admitted counts requests that got a token.
	Admitted int64 `json:"admitted"`
	// Refused counts refused requests by error kind.
	Refused []RefusalCount `json:"refused,omitempty"`
}

// RefusalCount is the number of refused requests of one error kind.
type RefusalCount struct {
	// Kind is the error kind.
	Kind string `json:"kind"`
	// Count is the number of refusals.
	Count int64 `json:"count"`
}
