package document

import (
	"encoding/json"
	"sort"
	"strings"
)

// Content maps a document name to its bytes.
type Content map[string][]byte

// Snapshot is one complete, validated configuration. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	// Index is the index that the snapshot was built from.
	Index *Index
	// Digest identifies the configuration; see IndexDigest.
	Digest string
	// Raw holds the documents as published, so that they can be relayed to peers.
	Raw Content
	// Services holds the services by name.
	Services map[string]*Service
	// Workspaces holds the workspaces by ID.
	Workspaces map[string]*Workspace
	// Routes holds the routes, those with the longest prefix first.
	Routes []*Route
	// Excluded lists the entries of the operator's configuration that are not served.
	Excluded []Exclusion
	// Domains holds the states of the failure domains by name.
	Domains map[string]DomainState

	byKey    map[string]*Workspace
	digestOf map[string]string
	// parsed holds the decoded documents by name, each validated by itself.
	parsed map[string]any
}

// DigestOf returns the digest of the named document; empty if there is no such
// document.
func (s *Snapshot) DigestOf(name string) string {
	return s.digestOf[name]
}

// Ticket returns the ticket number; 0 for a nil snapshot.
func (s *Snapshot) Ticket() uint64 {
	if s == nil {
		return 0
	}
	return s.Index.Ticket
}

// ConfigVersion returns the operator's version of the configuration; 0 for none and for
// a nil snapshot.
func (s *Snapshot) ConfigVersion() uint64 {
	if s == nil {
		return 0
	}
	return s.Index.ConfigVersion
}

// Unverified reports whether the snapshot may hold entries of an older copy of the
// store; false for a nil snapshot.
func (s *Snapshot) Unverified() bool { return s != nil && s.Index.Unverified }

// WorkspaceByKey returns the workspace to which a plain-text key belongs.
func (s *Snapshot) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := s.byKey[KeyDigest(key)]
	return w, ok
}

// DomainIsOut reports whether a failure domain is out of service.
func (s *Snapshot) DomainIsOut(name string) bool {
	return s.Domains[name] == DomainOut
}

// Build validates the documents of ix and returns the snapshot. On failure it
// returns a *ValidationError with ticket, document, field and reason, and never a
// partial snapshot.
func Build(ix *Index, content Content) (*Snapshot, error) {
	return BuildFrom(nil, ix, content)
}

// BuildFrom is like Build, but reuses the decoded documents of the previous
// snapshot prev, which may be nil. It decodes only documents that prev lacks.
func BuildFrom(prev *Snapshot, ix *Index, content Content) (*Snapshot, error) {
	var base Snapshot
	if prev != nil {
		base = *prev
	}
	s := &Snapshot{
		Index:      ix,
		Raw:        make(Content, len(ix.Documents)),
		Services:   make(map[string]*Service, len(base.Services)),
		Workspaces: make(map[string]*Workspace, len(base.Workspaces)),
		Routes:     make([]*Route, 0, len(base.Routes)),
		Domains:    make(map[string]DomainState, len(base.Domains)),
		byKey:      make(map[string]*Workspace, len(base.byKey)),
		digestOf:   make(map[string]string, len(ix.Documents)),
		parsed:     make(map[string]any, len(ix.Documents)),
	}
	shared := prev.sameDocuments(ix, workspacesPrefix)
	if shared {
		s.Workspaces, s.byKey = prev.Workspaces, prev.byKey
	}
	for _, e := range ix.Documents {
		raw, ok := content[e.Name]
		if !ok {
			return nil, invalid(ix, e.Name, "", "content is missing")
		}
		if prev.sharesDocument(e, raw) {
			s.parsed[e.Name] = prev.parsed[e.Name]
		} else if got := Digest(raw); got != e.Digest {
			return nil, invalid(ix, e.Name, "", "content digest is "+got+", the index lists "+e.Digest)
		}
		if shared && strings.HasPrefix(e.Name, workspacesPrefix) {
			s.parsed[e.Name] = prev.parsed[e.Name]
		} else if err := s.add(e.Name, raw); err != nil {
			return nil, err
		}
		s.Raw[e.Name] = raw
		s.digestOf[e.Name] = e.Digest
	}
	if err := s.validateReferences(); err != nil {
		return nil, err
	}
	s.Digest = IndexDigest(ix)
	sort.SliceStable(s.Routes, func(i, j int) bool {
		return len(s.Routes[i].PathPrefix) > len(s.Routes[j].PathPrefix)
	})
	return s, nil
}

// workspacesPrefix is the name prefix of workspace documents. These documents are
// by far the largest, so snapshots share their merged maps where possible.
const workspacesPrefix = "workspaces/"

// sameDocuments reports whether s and ix have the same documents under a name
// prefix.
func (s *Snapshot) sameDocuments(ix *Index, prefix string) bool {
	if s == nil || s.Index == nil {
		return false
	}
	count := 0
	for _, e := range ix.Documents {
		if !strings.HasPrefix(e.Name, prefix) {
			continue
		}
		if s.digestOf[e.Name] != e.Digest {
			return false
		}
		count++
	}
	for _, e := range s.Index.Documents {
		if strings.HasPrefix(e.Name, prefix) {
			count--
		}
	}
	return count == 0
}

// sharesDocument reports whether s holds the document of e and raw is the same
// byte slice, so that its digest need not be computed again.
func (s *Snapshot) sharesDocument(e IndexEntry, raw []byte) bool {
	if s == nil || s.digestOf[e.Name] != e.Digest || len(raw) == 0 {
		return false
	}
	own := s.Raw[e.Name]
	return len(own) == len(raw) && &own[0] == &raw[0]
}

// IndexDigest returns a digest that identifies a configuration, independently of
// the order of the index entries. It equals the Digest of the snapshot that is
// built from the index.
func IndexDigest(ix *Index) string {
	entries := append([]IndexEntry(nil), ix.Documents...)
	sort.Slice(entries, func(i, j int) bool { return entries[i].Name < entries[j].Name })
	sorted := *ix
	sorted.Documents = entries
	raw, err := json.Marshal(sorted)
	if err != nil {
		return ""
	}
	return Digest(raw)
}

func invalid(ix *Index, doc, field, reason string) error {
	return &ValidationError{Ticket: ix.Ticket, Document: doc, Field: field, Reason: reason}
}
