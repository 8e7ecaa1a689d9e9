package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// MaxValueBytes is the size of the largest value that the platform stores, in
// bytes.
const MaxValueBytes = 1_000_000

// TicketFile is a ticket (a numbered configuration change) as the operator writes
// it. A document that is null is removed; a document that is not listed stays
// unchanged.
type TicketFile struct {
	// Ticket is the number of the ticket. It is greater than the numbers of all
	// earlier tickets.
	Ticket uint64 `json:"ticket"`
	// Documents maps document names to their complete new content or to null.
	Documents map[string]json.RawMessage `json:"documents"`
}

// ParseTicket decodes a ticket file and validates its number and the names and
// sizes of its documents. Build validates the contents of the documents. On failure
// it returns a *ValidationError.
func ParseTicket(raw []byte) (*TicketFile, error) {
	var t TicketFile
	if err := decode(raw, &t); err != nil {
		field, reason := decodeProblem(err)
		return nil, &ValidationError{Document: "ticket", Field: field, Reason: reason}
	}
	if t.Ticket == 0 {
		return nil, &ValidationError{Document: "ticket", Field: "ticket", Reason: "must be at least 1"}
	}
	for _, name := range t.Names() {
		if !isDocumentName(name) {
			return nil, &ValidationError{Ticket: t.Ticket, Document: "ticket", Field: "documents", Reason: fmt.Sprintf("unknown document name %q", name)}
		}
		compact, err := compactValue(t.Documents[name])
		if err != nil {
			return nil, &ValidationError{Ticket: t.Ticket, Document: name, Reason: err.Error()}
		}
		if len(compact) > MaxValueBytes {
			return nil, &ValidationError{Ticket: t.Ticket, Document: name, Reason: fmt.Sprintf("has %d bytes, the limit is %d", len(compact), MaxValueBytes)}
		}
		t.Documents[name] = compact
	}
	return &t, nil
}

// Names returns the sorted names of the ticket's documents.
func (t *TicketFile) Names() []string {
	names := make([]string, 0, len(t.Documents))
	for name := range t.Documents {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// compactValue removes insignificant white space, so that the digest of a document
// does not depend on the formatting of the ticket file. It returns nil for null.
func compactValue(raw json.RawMessage) (json.RawMessage, error) {
	if raw == nil || bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return nil, nil
	}
	var buf bytes.Buffer
	if err := json.Compact(&buf, raw); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Apply returns the index and content that result from applying t to the given
// ones; old may be nil. The arguments are not modified.
func (t *TicketFile) Apply(old *Index, content Content) (*Index, Content) {
	next := &Index{Ticket: t.Ticket, Documents: []IndexEntry{}}
	contents := make(Content, len(content)+len(t.Documents))
	if old != nil {
		next.ConfigVersion = old.ConfigVersion
		for _, e := range old.Documents {
			if _, changed := t.Documents[e.Name]; !changed {
				next.Documents = append(next.Documents, e)
				contents[e.Name] = content[e.Name]
			}
		}
	}
	for _, name := range t.Names() {
		raw := t.Documents[name]
		if raw == nil {
			continue
		}
		next.Documents = append(next.Documents, IndexEntry{Name: name, Ticket: t.Ticket, Digest: Digest(raw)})
		contents[name] = raw
	}
	sort.Slice(next.Documents, func(i, j int) bool { return next.Documents[i].Name < next.Documents[j].Name })
	return next, contents
}
