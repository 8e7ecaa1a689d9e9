// Package rate limits the requests of each workspace to its fleet-wide rate.
//
// Each VM runs a Limiter with two sides. The entry side implements
// node.Limiter: it keeps tokens in a local cache and requests more from the
// holder of the workspace's shard. The holder side is an actor that keeps the
// token buckets of the shards that this VM holds and implements AcquireTokens.
//
// All methods are safe for concurrent use.
package rate

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// TokenPeer calls other VMs. It is safe for concurrent use.
type TokenPeer interface {
	// AcquireTokens acquires tokens from the holder vm. It returns when ctx
	// ends.
	AcquireTokens(ctx context.Context, vm member.VM, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error)
}

// Config holds the dependencies and the limits of a Limiter.
type Config struct {
	// Identity is this VM.
	Identity node.Identity
	// Configs returns the applied configuration, which contains the rates.
	Configs node.Configs
	// Ownership reports which VM holds a shard.
	Ownership node.Ownership
	// Peer calls the holders on other VMs.
	Peer TokenPeer
	// System runs the actor of the holder side.
	System *duty.System
	// Events receives violations of the invariant "rate".
	Events node.Events
	// Now returns the time including a monotonic clock reading. Default:
	// time.Now.
	Now func() time.Time
	// LentFraction is the fraction of each rate that grants lend to the holder,
	// above 0 and at most 1. The exclusive holder may use the rest. Default: 1.
	LentFraction float64
	// MaxWait is the longest wait for a token of a request whose workspace is
	// above its rate. Default: 2 s.
	MaxWait time.Duration
	// TakeoverWait is the longest wait of all other requests. Only a lost
	// holder keeps those waiting, and a takeover ends soon. It is at least
	// MaxWait. Default: MaxWait.
	TakeoverWait time.Duration
	// QueuePerWorkspace bounds the waiting requests of one workspace. Default:
	// 512.
	QueuePerWorkspace int
	// QueueTotal bounds the waiting requests of all workspaces. Default: 4096.
	QueueTotal int
	// MailboxSize bounds the queued calls to the actor of the holder side.
	// Default: 1024.
	MailboxSize int
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.LentFraction <= 0 || c.LentFraction > 1 {
		c.LentFraction = 1
	}
	if c.MaxWait <= 0 {
		c.MaxWait = 2 * time.Second
	}
	c.TakeoverWait = max(c.TakeoverWait, c.MaxWait)
	if c.QueuePerWorkspace <= 0 {
		c.QueuePerWorkspace = 512
	}
	if c.QueueTotal <= 0 {
		c.QueueTotal = 4096
	}
	if c.MailboxSize <= 0 {
		c.MailboxSize = 1024
	}
}

// Limiter is the rate limiter of one VM. Create it with New.
type Limiter struct {
	entry  *entry
	holder *holder
}

// New starts a limiter. Call Close to end it.
func New(c Config) *Limiter {
	c.setDefaults()
	h := newHolder(c)
	return &Limiter{entry: newEntry(c, h), holder: h}
}

// Admit takes one token of the workspace w. It waits in a bounded queue for at
// most MaxWait if the workspace is above its rate, and at most TakeoverWait
// otherwise. It returns an error of kind RateLimited, Overloaded or
// DeadlineNotRun.
func (l *Limiter) Admit(ctx context.Context, w *document.Workspace) error {
	return l.entry.admit(ctx, w)
}

// AcquireTokens issues tokens to an entry VM. It returns an error of kind
// Overloaded when the mailbox is full, or the error of ctx.
func (l *Limiter) AcquireTokens(ctx context.Context, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	return l.holder.acquire(ctx, r)
}

// Stats returns the counters of this VM since its start.
func (l *Limiter) Stats() Stats {
	s := l.entry.stats()
	s.Buckets = int(l.holder.buckets.Load())
	s.Issued = l.holder.issued.Load()
	return s
}

// Close stops the actor and refuses the waiting requests.
func (l *Limiter) Close() {
	l.holder.close()
	l.entry.close()
}

// Stats holds the counters of a Limiter.
type Stats struct {
	// Admitted is the number of requests that got a token.
	Admitted uint64
	// Refused is the number of requests that got an error.
	Refused uint64
	// Received is the number of tokens that this VM got from holders.
	Received uint64
	// Expired is the number of received tokens that expired unused.
	Expired uint64
	// Calls is the number of calls to holders.
	Calls uint64
	// Waiting is the number of requests in the queue.
	Waiting int
	// Issued is the number of tokens that this VM issued as a holder.
	Issued uint64
	// Buckets is the number of buckets that this VM keeps as a holder.
	Buckets int
}
