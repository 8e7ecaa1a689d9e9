// Package lease implements the shard leases of a cell. Each VM is a grantor, which keeps a
// table of its grants, and may be a holder, which claims shards in its heartbeats.
//
// A lease is exclusive with valid grants from a quorum of the members. Each grant also
// lends the holder the grantor's share of the rates of the shard's workspaces.
//
// A grant expires at the holder before it expires at the grantor, so a grantor is never
// counted by two holders at once. Time is passed in and must be monotonic. The package is
// not safe for concurrent use, except for View.
package lease

import (
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// Term is how long a grant is valid at the holder, from when the holder sent the claim.
const Term = 2 * time.Second

// GrantRetention is how long a grantor keeps a grant, from when it received the claim: Term
// plus 2%, because clock rates differ by less than that, plus 20 ms for the granularity
// of timers.
const GrantRetention = Term*102/100 + 20*time.Millisecond

// GrantRetentionFor returns how long a grantor keeps a grant for the given term: the term
// plus 2%, because clock rates differ by less than that, plus 20 ms for the granularity
// of timers.
func GrantRetentionFor(term time.Duration) time.Duration {
	return term*102/100 + 20*time.Millisecond
}

// removedRetention is how long a VM that was removed from the list is still counted as a
// member that grants nothing, so that VMs on the former list do not exceed the rates.
const removedRetention = 10 * time.Second

// Config holds the parameters of a State. Zero fields take their defaults.
type Config struct {
	// Term is how long a grant is valid at the holder. Default: Term.
	Term time.Duration
	// GrantRetention is how long a grantor keeps a grant.
	// Default: GrantRetentionFor(Term).
	GrantRetention time.Duration
	// Wait is how long a VM neither claims nor grants after its process started, or
	// after a list change so large that quorums of the former and the new list might
	// not intersect. Default: GrantRetention. Negative: no wait.
	Wait time.Duration
	// FastHeartbeats and SlowHeartbeats are the timing of heartbeats. Pairs of VMs of
	// which one holds shards, or is among the next to hold them, use the fast rate;
	// all other pairs use the slow one. Defaults: the interval and timeout of
	// package contact for both.
	FastHeartbeats, SlowHeartbeats Timing
	// DynamicQuorum lowers the quorum to a fraction of the VMs in contact, so that a
	// fleet that lost most of its VMs still has holders. During a network partition
	// two sides may then both hold a shard, each with the shares of its own VMs.
	DynamicQuorum bool
	// Seats is the least number of seats of a cell. A seat is a group of shards with
	// the same holder; see member.Seats. With 0 there are no seats, and the VMs are
	// ranked for each shard separately.
	Seats int
	// MaxSeats bounds the number of seats, because each VM exchanges fast heartbeats with
	// the holder of each. Default: member.ShardCount.
	MaxSeats int
	// SeatDomains assigns seat i to failure domain i modulo their number: VMs of that
	// domain come first for the seat within their capacity class. All VMs must have the
	// same list. Default: seats are spread over the domains, without assignment.
	SeatDomains []string
	// Quorum returns the number of grants that make a lease exclusive among n members.
	// Default: member.Quorum.
	Quorum func(n int) int
}

// Timing is the interval between heartbeats to a peer, and the age up to which an echo of
// one proves contact.
type Timing struct {
	Interval, Timeout time.Duration
}

func (t Timing) withDefaults() Timing {
	if t.Interval == 0 {
		return Timing{contact.Interval, contact.Timeout}
	}
	return t
}

func (c Config) withDefaults() Config {
	c.FastHeartbeats, c.SlowHeartbeats = c.FastHeartbeats.withDefaults(), c.SlowHeartbeats.withDefaults()
	if c.Term == 0 {
		c.Term = Term
	}
	if c.GrantRetention == 0 {
		c.GrantRetention = GrantRetentionFor(c.Term)
	}
	if c.Wait == 0 {
		c.Wait = c.GrantRetention
	}
	if c.MaxSeats == 0 {
		c.MaxSeats = member.ShardCount
	}
	if c.Quorum == nil {
		c.Quorum = member.Quorum
	}
	return c
}

// Claim is the set of shards that a member claims in a heartbeat.
type Claim struct {
	// ID is the VM ID of the sender.
	ID string
	// Instance is the process instance of the sender.
	Instance uint64
	// Claims holds the claimed shards.
	Claims member.ShardSet
	// Held holds the claims for which it has a quorum.
	Held member.ShardSet
}

// Grant is the set of shards that a member grants to this VM in a heartbeat.
type Grant struct {
	// ID is the VM ID of the grantor.
	ID string
	// Shards holds the granted shards.
	Shards member.ShardSet
	// SentAt is when this VM sent the claim that the grant answers.
	SentAt time.Time
	// Epoch is the value of State.Epoch at SentAt.
	Epoch uint64
}
