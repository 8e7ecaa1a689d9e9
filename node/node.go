// Package node defines the interfaces between the parts of a VM. Each part is a package
// of its own and depends on the others only through these interfaces.
//
// All implementations are safe for concurrent use.
package node

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/poison"
)

// Identity identifies this VM and its process.
type Identity struct {
	// VM is the entry of this VM according to its settings.
	VM member.VM
	// Instance is a random number that identifies this process; it changes at each start.
	Instance uint64
}

// Configs provides the configuration that is in effect.
type Configs interface {
	// Snapshot returns the configuration in effect; nil before the first one.
	Snapshot() *document.Snapshot
	// List returns the VM list in effect; nil before the first one.
	List() *member.List
}

// Contact reports which VMs this VM is in contact with, and whether the contact rule
// allows this VM to accept work.
type Contact interface {
	// Check returns nil while this VM may accept new work, otherwise an error of
	// kind NotInContact, NotReady or ShuttingDown.
	Check() error
	// InContact reports whether the given VM answers heartbeats and is not
	// leaving; for this VM itself, whether Check returns nil and it is not leaving.
	InContact(id string) bool
	// InstanceOf returns the last known process instance of a VM.
	InstanceOf(id string) (instance uint64, ok bool)
}

// HeldLease is the state of a lease that this VM holds.
type HeldLease struct {
	// Grants is the number of valid grants, this VM's own included.
	Grants int
	// Members is the number of VMs that may grant the shard.
	Members int
	// Fleet is the number of VMs among which rates are divided. It is larger than
	// Members in a fleet of several cells that share the workspaces.
	Fleet int
	// Exclusive is true when a quorum has granted the lease.
	Exclusive bool
	// Until is the time at which the grants that this state depends on expire.
	Until time.Time
	// Epoch changes each time this VM acquires the lease anew.
	Epoch uint64
}

// Ownership reports which VM holds the lease of a shard.
type Ownership interface {
	// Held returns this VM's current lease on s. ok is false when it has no grant.
	// Callers check again immediately before an action that depends on the lease.
	Held(s member.Shard) (h HeldLease, ok bool)
	// Holder returns the member that is known to claim s; it may be this VM.
	Holder(s member.Shard) (vm member.VM, ok bool)
}

// Limiter admits requests within the fleet-wide rate of a workspace.
type Limiter interface {
	// Admit takes one token. It waits for a token in a bounded queue and returns an
	// error of kind RateLimited, Overloaded or DeadlineNotRun if it gets none.
	Admit(ctx context.Context, w *document.Workspace) error
}

// Outcome is the result of a request at a target.
type Outcome uint8

// The outcomes of a request at a target.
const (
	// OutcomeOK is a complete response with a status below 500.
	OutcomeOK Outcome = iota + 1
	// OutcomeError is a complete response with status 500 or above.
	OutcomeError
	// OutcomeShed is a response by which the target states that it did not run the
	// request.
	OutcomeShed
	// OutcomeUnreachable is a connection that could not be established.
	OutcomeUnreachable
	// OutcomeLost is a connection that was lost before the response began.
	OutcomeLost
	// OutcomeTruncated is a response that ended early.
	OutcomeTruncated
	// OutcomeTimeout is a request whose deadline passed while the target had it.
	OutcomeTimeout
	// OutcomeCanceled is a request whose caller disconnected.
	OutcomeCanceled
	// OutcomeUnused is a permit that was released without sending a request.
	OutcomeUnused
)

// PermitRequest describes a request that needs a target of a service.
type PermitRequest struct {
	// Service is the service of the route.
	Service *document.Service
	// Route is the ID of the route; requests of one route have similar service times.
	Route string
	// Idempotent is true when the request may run more than once.
	Idempotent bool
	// DueAfter is the time, counted from the start of the wait for a permit, within
	// which the request should be served.
	DueAfter time.Duration
	// Objective is the remaining time until the response would miss the route's latency
	// objective; 0 when the route has none or it has already been missed.
	Objective time.Duration
	// Retry is true when an earlier attempt may have reached a target.
	Retry bool
	// Hedge is true for a second attempt that is sent while the first is still running.
	Hedge bool
	// Failing is true when many of the requests for the service that this VM received were
	// not served.
	Failing bool
	// Workspace is used for fairness; empty for open routes.
	Workspace string
	// Avoid lists targets that already failed this request.
	Avoid []string
	// MaxDuration is the longest time that the request may run.
	MaxDuration time.Duration
}

// Permit is the right to send one request to one target.
type Permit interface {
	// Target returns the target of the permit.
	Target() document.Target
	// Check returns an error of kind NoCapacity when the permit has expired or its
	// target may no longer get new work. It is called immediately before the request
	// is sent.
	Check() error
	// HedgeAfter returns the time without a response after which a second attempt of an
	// idempotent request is worth starting; 0 means never.
	HedgeAfter() time.Duration
	// Release ends the permit. latency is the time until the response began, 0 when there
	// was none. Only the first call has an effect.
	Release(o Outcome, latency time.Duration)
}

// Picker chooses targets and grants permits for them.
type Picker interface {
	// Acquire waits for a permit until ctx ends. It returns an error of kind
	// NoCapacity, Overloaded or DeadlineNotRun.
	Acquire(ctx context.Context, r PermitRequest) (Permit, error)
}

// PoisonMark records that a target's connection was lost while it had a request.
type PoisonMark struct {
	// Fingerprint is the poison fingerprint of the request.
	Fingerprint uint64
	// Target is the xxhash64 of the target's address.
	Target uint64
}

// PoisonMarks distributes poison marks and quarantines within the cell.
type PoisonMarks interface {
	// Report adds a mark observed by this VM and sends it to the peers.
	Report(m PoisonMark)
	// Subscribe registers f to be called for marks of peers. f must not block.
	Subscribe(f func(PoisonMark))
	// ExchangeQuarantines registers the functions that list the quarantines for the next
	// heartbeat, at most limit of them, and that learn a quarantine of a peer. They must
	// not block.
	ExchangeQuarantines(list func(limit int) []poison.Announcement, learn func(poison.Announcement))
	// Announce sends a heartbeat to each peer at once.
	Announce()
}

// Events records events and violated invariants.
type Events interface {
	// Record adds an event. It does not block.
	Record(k event.Kind, subject, detail string)
	invariant.Reporter
}
