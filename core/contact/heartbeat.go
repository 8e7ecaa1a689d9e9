// Package contact keeps the state of a VM's peers, as learned from their heartbeats, and
// evaluates the contact rule.
//
// A VM is in contact with a peer while the peer has recently echoed one of its datagrams,
// which proves a round trip. The contact rule holds for a VM that is in contact with at
// least half of its cell, itself included, or that knows of a recent platform response.
//
// Time is passed in. The package is not safe for concurrent use; the caller
// serialises access.
package contact

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/poison"
)

// Interval is the default time between two heartbeats to the same peer.
const Interval = 500 * time.Millisecond

// Timeout is the default time for which a round trip proves contact, counted from when the
// echoed datagram was sent. It tolerates the loss of two consecutive heartbeats.
const Timeout = 1500 * time.Millisecond

// PlatformTimeout is how long a platform response satisfies the contact rule.
const PlatformTimeout = 3 * time.Second

// ReadAgeMax is the greatest ReadAge that heartbeats carry. A VM must apply a configuration
// change within 2 s, so an older platform read does not show that it is up to date.
const ReadAgeMax = 4 * time.Second

// PlatformAgeMax is the greatest PlatformAge that heartbeats carry. It stands for any
// greater age and for no response at all; neither satisfies the contact rule.
const PlatformAgeMax = time.Minute

// Every fullEvery-th heartbeat is full, and so are all to a peer instance that has been known
// for less than fullPeriod, so that a peer that lost its state learns the sender again. The
// others are brief: they omit fields that seldom change, which saves a fifth of the bytes.
const (
	fullEvery  = 4
	fullPeriod = 3 * time.Second
)

// PoisonMark reports that a target lost the connection while it ran a request.
type PoisonMark struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Target is the xxhash64 of the target's address.
	Target uint64
}

// Heartbeat is the content of one heartbeat datagram.
type Heartbeat struct {
	// From is the HashVMID of the sender's VM ID. It is 0 in a brief heartbeat, whose
	// sender is identified by Instance.
	From uint64
	// Instance is the process instance of the sender.
	Instance uint64
	// Seq numbers the datagrams of the sender to this destination from 1.
	Seq uint64
	// EchoInstance holds the low 32 bits of the destination's instance.
	EchoInstance uint32
	// Echo is the highest sequence number received from the destination.
	Echo uint64
	// ListVersion is the version of the VM list in effect at the sender. ListVersion,
	// Ticket, Digest and Load are omitted from brief heartbeats; when ListVersion and
	// Ticket are both 0, the receiver keeps the last values of all four.
	ListVersion uint64
	// Ticket is the configuration ticket in effect at the sender.
	Ticket uint64
	// Digest holds the first 32 bits of the configuration digest.
	Digest uint32
	// PlatformAge is the age of the newest platform response that the sender
	// knows of, at most PlatformAgeMax.
	PlatformAge time.Duration
	// ReadAge is the age of the last platform read by the sender itself that returned
	// nothing newer than Ticket, at least 1 ms; 0 when there was none within
	// ReadAgeMax.
	ReadAge time.Duration
	// Load is the number of requests in progress at the sender.
	Load uint32
	// Leaving is true when the sender accepts no new work.
	Leaving bool
	// Claims holds the shards that the sender claims.
	Claims member.ShardSet
	// Held holds the claims for which the sender has a quorum.
	Held member.ShardSet
	// Granted holds the shards that the sender grants to the destination in answer to
	// its datagram number Echo.
	Granted member.ShardSet
	// Unclaimed is true when the sender had claimed no shard before it received the
	// first heartbeat of the destination's instance. Then no earlier instance of the
	// destination granted it any.
	Unclaimed bool
	// Marks holds the sender's recent poison marks.
	Marks []PoisonMark
	// Quarantines holds quarantines that the sender knows, at most MaxQuarantines of them.
	Quarantines []poison.Announcement
}

// MaxQuarantines is the largest number of quarantines in one heartbeat.
const MaxQuarantines = 8

// HashVMID returns the number that identifies a VM ID in heartbeats.
func HashVMID(id string) uint64 {
	return xxhash.Sum64String(id)
}
