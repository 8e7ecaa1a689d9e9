package registry

import (
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// mustReissue reports whether unchanged documents need an index with a higher ticket.
func (r *Registry) mustReissue(known Known, now time.Time) bool {
	if r.superseded(known.index(), now) {
		return true
	}
	if r.position.Epoch == 0 {
		return false
	}
	outbids := known.ContestedTicket >= r.index.Ticket && known.ContestedTicket < r.ticket()
	return outbids || EpochOf(r.index.Ticket) < r.position.Epoch || r.hasSettled(known.index())
}

// hasSettled reports whether the index still has a provisional ticket although the
// documents equal the store's content, and no other reader has said so: a VM that
// becomes a reader would carry what nobody carries any more.
func (r *Registry) hasSettled(applied *document.Index) bool {
	if r.provisional() || !isProvisional(r.index.Ticket) {
		return false
	}
	known := applied != nil && applied.Ticket > r.index.Ticket && !isProvisional(applied.Ticket)
	return !known || !slices.Equal(applied.Documents, r.index.Documents)
}

// superseded reports whether the applied documents were read before this registry's
// revision and differ from its own, which have a lower ticket. Provisional documents
// are left as they are, because other readers may know that these targets have
// deregistered.
func (r *Registry) superseded(applied *document.Index, now time.Time) bool {
	if applied == nil || applied.Ticket <= r.index.Ticket || applied.Ticket >= r.ticket() {
		return false
	}
	if slices.Equal(applied.Documents, r.index.Documents) {
		return false
	}
	switch {
	case r.position.Epoch > 0 && now.Before(r.carried.settledAfter):
		// Carried knowledge replaces the content of a reader that has none, never the
		// reverse.
		return !isProvisional(applied.Ticket)
	default:
		return !r.provisional()
	}
}
