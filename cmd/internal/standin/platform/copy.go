package platform

import (
	"maps"

	"github.com/galenasail/galenasail/core/document"
)

// Copy is a copy of the platform's content, from which a Server may return. It is
// immutable.
type Copy struct {
	values           map[string]value
	revision         uint64
	index            *document.Index
	lastTicketDigest string
	listVersion      uint64
}

// Copy returns a copy of the present content.
func (s *Server) Copy() *Copy {
	return s.store.copy()
}

// ReturnFrom replaces the content by that of an older copy: everything written since is
// gone, and revisions, ticket numbers and list versions are assigned again from those of
// the copy. A watch from a revision above that of the copy gets status 410.
func (s *Server) ReturnFrom(c *Copy) {
	s.store.returnFrom(c)
}

func (s *store) copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{maps.Clone(s.values), s.revision, s.index, s.lastTicketDigest, s.acceptedListVersion}
}

func (s *store) returnFrom(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values, s.revision = maps.Clone(c.values), c.revision
	s.index, s.lastTicketDigest, s.acceptedListVersion = c.index, c.lastTicketDigest, c.listVersion
	s.notify()
}

// hasRevision reports whether the store has assigned a revision.
func (s *store) hasRevision(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision <= s.revision
}
