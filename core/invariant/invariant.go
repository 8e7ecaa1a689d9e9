// Package invariant defines the invariants of the fleet. Code that detects a violation
// passes it to a Reporter, which decides how to handle it.
package invariant

// Name is the name of an invariant.
type Name string

// The invariants.
const (
	// Floor: ejection never reduces a service's healthy capacity below its floor.
	Floor Name = "floor"
	// Key: a request runs only for the workspace of its key, no target sees the
	// key, and a revoked key becomes invalid within seconds.
	Key Name = "key"
	// Rate: no workspace gets more than its rate and burst.
	Rate Name = "rate"
	// Cold: a target in cold start never receives more requests than it can handle.
	Cold Name = "cold"
	// Domain: a failure domain that is out of service receives no new work.
	Domain Name = "domain"
	// Answer: each caller receives the complete answer to its own request.
	Answer Name = "answer"
	// Refusal: a request that was refused as not run did not run.
	Refusal Name = "refusal"
	// Once: a non-idempotent request runs at most once.
	Once Name = "once"
	// Leaving: a leaving target receives no new work.
	Leaving Name = "leaving"
	// Shutdown: a graceful shutdown interrupts no request.
	Shutdown Name = "shutdown"
	// Config: an accepted configuration is never replaced by an older one.
	Config Name = "config"
)

// Names returns the names of all invariants.
func Names() []Name {
	return []Name{Floor, Key, Rate, Cold, Domain, Answer, Refusal, Once, Leaving, Shutdown, Config}
}

// Reporter receives violations. Implementations are safe for concurrent use
// and do not block.
type Reporter interface {
	// Violated reports that an invariant did not hold. Subject identifies the target,
	// workspace or request; detail contains the observed figures with units.
	Violated(name Name, subject, detail string)
}

// Discard is a Reporter that ignores violations.
type Discard struct{}

// Violated does nothing.
func (Discard) Violated(Name, string, string) {}

// Panic is a Reporter for tests and test mode. A violation panics, so that the run
// fails.
type Panic struct{}

// Violated panics with a message of name, subject and detail.
func (Panic) Violated(name Name, subject, detail string) {
	panic("invariant " + string(name) + " violated for " + subject + ": " + detail)
}
