package registry

import (
	"slices"

	"github.com/galenasail/galenasail/core/document"
)

// mustReissue reports whether unchanged documents need an index with a higher ticket.
func (r *Registry) mustReissue(known Known) bool {
	applied := known.index()
	if r.superseded(applied) {
		return true
	}
	if r.position.Epoch == 0 {
		return false
	}
	announced := r.announcedTicket(applied)
	contested := known.ContestedTicket >= announced && known.ContestedTicket < r.ticket()
	// A provisional ticket does not outlast its reason: a VM that becomes a reader would
	// carry what nobody carries any more.
	provisionalEnded := isProvisional(announced) && !r.provisional()
	return contested || provisionalEnded || EpochOf(announced) < r.position.Epoch
}

// adoptApplied makes the applied index of the same epoch that of the registry where its
// documents are those given, so that VMs that read later than others give unchanged
// documents no further tickets.
func (r *Registry) adoptApplied(applied *document.Snapshot, content document.Content) {
	ticket := applied.Ticket()
	if r.position.Epoch == 0 || EpochOf(ticket) != r.position.Epoch || ticket >= r.ticket() {
		return
	}
	if (r.index == nil || ticket > r.index.Ticket) && sameContent(content, applied.Raw) {
		r.index, r.content = applied.Index, applied.Raw
	}
}

// announcedTicket returns the highest ticket known here under which the documents of
// the index are in use: that of the index, or that of the applied one.
func (r *Registry) announcedTicket(applied *document.Index) uint64 {
	if applied != nil && slices.Equal(applied.Documents, r.index.Documents) {
		return max(applied.Ticket, r.index.Ticket)
	}
	return r.index.Ticket
}

// superseded reports whether the applied documents were read before this registry's
// revision and differ from its own, which have a lower ticket. Provisional documents are
// left as they are, because other readers may know that these targets have
// deregistered.
func (r *Registry) superseded(applied *document.Index) bool {
	if applied == nil || applied.Ticket <= r.index.Ticket || applied.Ticket >= r.ticket() {
		return false
	}
	if slices.Equal(applied.Documents, r.index.Documents) {
		return false
	}
	return !r.provisional()
}
