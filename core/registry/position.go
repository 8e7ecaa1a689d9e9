package registry

import "github.com/gravitational/trace"

// epochShift is the bit of a ticket at which the store epoch begins; the lower bits
// hold the revision.
const epochShift = 40

// Limits of a position, so that it fits into a ticket.
const (
	// MaxEpoch is the highest store epoch.
	MaxEpoch = 1<<(64-epochShift) - 1
	// MaxRevision is the highest revision of a store that reports its epoch.
	MaxRevision = 1<<(epochShift-1) - 1
)

// Position is a place in the history of the store. Positions are ordered by epoch, then
// by revision.
type Position struct {
	// Epoch is the number of times that the store has returned from an older copy of its
	// content; 0 for a store that does not report it.
	Epoch uint64
	// Revision counts the changes of the store. It decreases only when Epoch rises.
	Revision uint64
}

// NewPosition returns a position. It returns an error when a number exceeds its limit.
func NewPosition(epoch, revision uint64) (Position, error) {
	if epoch > MaxEpoch || (epoch > 0 && revision > MaxRevision) {
		return Position{}, trace.BadParameter("store epoch %d, revision %d: the limits are %d and %d", epoch, revision, uint64(MaxEpoch), uint64(MaxRevision))
	}
	return Position{Epoch: epoch, Revision: revision}, nil
}

// TicketEpoch returns the epoch that a ticket of the position has. It differs from Epoch
// where a store without epochs has a revision above MaxRevision.
func (p Position) TicketEpoch() uint64 { return EpochOf(p.ticket(true)) }

// Before reports whether p is lower than q.
func (p Position) Before(q Position) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch < q.Epoch
	}
	return p.Revision < q.Revision
}

// ticket returns the ticket of the documents at p. Each position has two tickets; the
// lower one is used while documents hold targets or failure domains that differ from
// the store's content.
func (p Position) ticket(provisional bool) uint64 {
	t := p.Epoch<<epochShift + 2*p.Revision
	if !provisional {
		t++
	}
	return t
}

// EpochOf returns the store epoch of a ticket that a Registry has built; 0 for no
// ticket.
func EpochOf(ticket uint64) uint64 { return ticket >> epochShift }

// isProvisional reports whether documents of the ticket differ from the store's content.
func isProvisional(ticket uint64) bool { return ticket%2 == 0 }
