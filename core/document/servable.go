package document

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

const (
	// maxExclusions is the number of exclusions that a configuration lists one by one.
	maxExclusions = 32
	// maxReasonBytes is the length to which the texts of an exclusion are cut.
	maxReasonBytes = 200
	// exclusionsName is the name of the document that lists the exclusions.
	exclusionsName = "routes/excluded"
)

// Exclusion is an entry of the operator's configuration that is not served.
type Exclusion struct {
	// Entry is the kind and the name of the entry, for example "route r-1".
	Entry string `json:"entry"`
	// Reason names the field and the error.
	Reason string `json:"reason"`
}

// Entries are the entries of a configuration that was accepted elsewhere and is served as
// far as possible, where Build would refuse it as a whole.
type Entries struct {
	// Services, Workspaces and Routes are in the order in which an earlier entry goes before a
	// later one that contradicts it.
	Services   []Service
	Workspaces []Workspace
	Routes     []Route
}

// servableEntries collects the entries that can be served together.
type servableEntries struct {
	Entries
	excluded   []Exclusion
	services   map[string]bool
	workspaces map[string]bool
	keyOwners  map[string]string // by digest of the key, the ID of its workspace
	routeIDs   map[string]bool
}

// Servable returns the entries that Build accepts together, and what was excluded. An
// entry that is not valid by itself, or repeats an earlier one, is left out, with two
// exceptions. A key that already has a workspace is only removed from the later one. A
// route whose path prefix is valid stays, because its requests must not take the route of a
// shorter prefix: it becomes unavailable. Routes need no ID or a unique one; they get one.
func (e Entries) Servable() (Entries, []Exclusion) {
	s := &servableEntries{
		Entries:  Entries{Services: []Service{}, Workspaces: []Workspace{}, Routes: []Route{}},
		services: map[string]bool{}, workspaces: map[string]bool{}, keyOwners: map[string]string{}, routeIDs: map[string]bool{},
	}
	for _, v := range e.Services {
		s.addService(v)
	}
	for _, w := range e.Workspaces {
		s.addWorkspace(w)
	}
	for _, r := range e.Routes {
		s.addRoute(r)
	}
	return s.Entries, s.excluded
}

func (s *servableEntries) exclude(kind, name, reason string) {
	s.excluded = append(s.excluded, Exclusion{Entry: kind + " " + name, Reason: reason})
}

func (s *servableEntries) addService(v Service) {
	if field, reason := v.validate(); reason != "" {
		s.exclude("service", v.Name, field+": "+reason)
		return
	}
	if s.services[v.Name] {
		s.exclude("service", v.Name, "duplicate")
		return
	}
	s.services[v.Name] = true
	s.Services = append(s.Services, v)
}

func (s *servableEntries) addWorkspace(w Workspace) {
	if s.workspaces[w.ID] {
		s.exclude("workspace", w.ID, "duplicate")
		return
	}
	if field, reason := w.validate(); reason != "" {
		s.exclude("workspace", w.ID, strings.TrimPrefix(field, ".")+": "+reason)
		return
	}
	w.KeyDigests = s.ownKeys(w)
	if size := entryBytes(w); size > MaxValueBytes {
		s.exclude("workspace", w.ID, fmt.Sprintf("the entry may need %d bytes, at most %d are allowed", size, MaxValueBytes))
		return
	}
	s.workspaces[w.ID] = true
	for _, digest := range w.KeyDigests {
		s.keyOwners[digest] = w.ID
	}
	s.Workspaces = append(s.Workspaces, w)
}

// ownKeys returns the keys of w that no earlier workspace has, without duplicates.
func (s *servableEntries) ownKeys(w Workspace) []string {
	own := make([]string, 0, len(w.KeyDigests))
	seen := map[string]bool{}
	for _, digest := range w.KeyDigests {
		owner, taken := s.keyOwners[digest]
		switch {
		case taken:
			s.exclude("workspace", w.ID, "keyDigests: a key already belongs to "+owner)
		case !seen[digest]:
			seen[digest] = true
			own = append(own, digest)
		}
	}
	return own
}

func (s *servableEntries) addRoute(r Route) {
	r.ID = s.uniqueRouteID(r)
	if !strings.HasPrefix(r.PathPrefix, "/") {
		s.exclude("route", r.ID, fmt.Sprintf("pathPrefix: %q does not begin with a slash", r.PathPrefix))
		return
	}
	if reason := s.routeDefect(r); reason != "" {
		s.exclude("route", r.ID, reason)
		r = unavailable(r, cut(reason))
	}
	s.Routes = append(s.Routes, r)
}

// routeDefect returns why the requests of r cannot be served; empty if they can.
func (s *servableEntries) routeDefect(r Route) string {
	if r.Unavailable != "" {
		return r.Unavailable
	}
	if field, reason := r.validate(); reason != "" {
		return strings.TrimPrefix(field, ".") + ": " + reason
	}
	return s.missingReference(r)
}

// unavailable returns the route that refuses the requests of r.
func unavailable(r Route, reason string) Route {
	return Route{
		ID: r.ID, Host: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods,
		Open: r.Open, Workspaces: r.Workspaces, Unavailable: reason,
	}
}

// uniqueRouteID returns the ID of r, or one made of host and path prefix where r has none
// or that of an earlier route.
func (s *servableEntries) uniqueRouteID(r Route) string {
	id := r.ID
	if id == "" || s.routeIDs[id] {
		id = r.Host + " " + r.PathPrefix
	}
	for n, base := 2, id; s.routeIDs[id]; n++ {
		id = fmt.Sprintf("%s #%d", base, n)
	}
	s.routeIDs[id] = true
	return id
}

// missingReference returns which service or workspace of r does not exist; empty if all do.
func (s *servableEntries) missingReference(r Route) string {
	if !s.services[r.Service] {
		return "service: no service " + r.Service
	}
	for _, part := range r.Split {
		if !s.services[part.Service] {
			return "split: no service " + part.Service
		}
	}
	for _, w := range r.Workspaces {
		if !s.workspaces[w] {
			return "workspaces: no workspace " + w
		}
	}
	return ""
}

// entryBytes returns an upper bound of the size of a document with w alone.
func entryBytes(w Workspace) int {
	const (
		fieldBytes     = 1000 // all but ID and keys
		escapedBytes   = 6    // the longest form of one byte of a text
		separatorBytes = 3    // of a key: quotes and comma
	)
	size := fieldBytes + escapedBytes*len(w.ID)
	for _, digest := range w.KeyDigests {
		size += len(digest) + separatorBytes
	}
	return size
}

// cut shortens a text to maxReasonBytes.
func cut(text string) string {
	if len(text) <= maxReasonBytes {
		return text
	}
	return text[:maxReasonBytes] + "…"
}

// ExclusionsDocument returns the document that lists what is excluded; none when nothing
// is. It lists maxExclusions entries, and counts the others.
func ExclusionsDocument(all []Exclusion) (Content, error) {
	if len(all) == 0 {
		return Content{}, nil
	}
	listed := make([]Exclusion, 0, maxExclusions+1)
	for _, x := range all[:min(len(all), maxExclusions)] {
		listed = append(listed, Exclusion{Entry: cut(x.Entry), Reason: cut(x.Reason)})
	}
	if more := len(all) - maxExclusions; more > 0 {
		listed = append(listed, Exclusion{Entry: fmt.Sprintf("%d more entries", more), Reason: "not listed"})
	}
	raw, err := json.Marshal(Routes{Kind: "routes", Routes: []Route{}, Excluded: listed})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return Content{exclusionsName: raw}, nil
}
