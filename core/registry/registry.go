// Package registry builds the configuration documents from a store in which the
// operator keeps one configuration and the targets register themselves. The documents
// of a revision depend on the store's content alone, so all readers of a revision build
// identical documents. The package starts no goroutines and reads no clock.
package registry

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/document"
)

// retentionPeriod is how long a target whose registration vanished while the store was
// unavailable is kept after the store's return: targets that are alive register again
// within that time.
const retentionPeriod = 2 * time.Second

// minOutage is how long the store must have answered no VM before registrations that
// vanished are treated as lapsed in the outage: registrations lapse after several
// missed heartbeats of a target, and VMs that can read take over from readers that
// cannot in less time.
const minOutage = 2 * time.Second

// maxResponseGap is the time by which this VM's own last response may be older than
// that of other VMs and still count as equally old: a reader calls the store more often
// than that.
const maxResponseGap = time.Second

// Outage is what a VM knows about the store at its first response after failed calls.
type Outage struct {
	// Own is how long the store had not answered this VM; 0 when no call failed.
	Own time.Duration
	// Fleet is how long the store had answered no VM, as far as this VM knows.
	Fleet time.Duration
	// PeerReports is true when this VM receives reports from another VM that holds
	// shards, which would report the store's responses.
	PeerReports bool
}

// StoreWide reports whether the store itself was unavailable, and not only unreachable
// from this VM, and whether this VM knew the store's content when the outage began:
// targets may have deregistered between its last response and that of other VMs.
func (o Outage) StoreWide() bool {
	return o.PeerReports && o.Own >= minOutage && o.Fleet >= minOutage && o.Own-o.Fleet < maxResponseGap
}

// Configuration is the configuration set by the operator, without targets and failure
// domains.
type Configuration struct {
	// Services holds the services, each without targets.
	Services   []document.Service
	Workspaces []document.Workspace
	Routes     []document.Route
}

// Registration is the store's entry of one target.
type Registration struct {
	// Service is the service that the target belongs to.
	Service string
	Target  document.Target
}

// Change is one change of the store. Exactly one of configuration, failure domain and
// registration is set.
type Change struct {
	// Configuration is the newest configuration.
	Configuration *Configuration
	// Domain is a failure domain that was taken out of service (DomainOut) or brought back.
	Domain    string
	DomainOut bool
	// Key identifies a registration; Registration is nil when it was removed.
	Key          string
	Registration *Registration
}

// retainedTarget is a registration that vanished while the store was unavailable and is
// kept until a given time.
type retainedTarget struct {
	registration Registration
	until        time.Time
}

// Registry is a local copy of the store's content. It is not safe for concurrent use.
type Registry struct {
	domains       []string
	configuration *Configuration
	domainsOut    map[string]bool
	entries       map[string]Registration
	retained      map[string]retainedTarget
	revision      uint64
	index         *document.Index
	content       document.Content
}

// New returns an empty registry. Domains lists the failure domains that exist even
// without targets.
func New(domains []string) *Registry {
	return &Registry{
		domains:    domains,
		domainsOut: map[string]bool{},
		entries:    map[string]Registration{},
		retained:   map[string]retainedTarget{},
		content:    document.Content{},
	}
}

// Revision returns the store revision up to which changes have been applied.
func (r *Registry) Revision() uint64 { return r.revision }

// Reset replaces the registry's content by the full content of the store at a revision.
func (r *Registry) Reset(all []Change, revision uint64, outage Outage, now time.Time) {
	previous := r.entries
	r.entries = map[string]Registration{}
	r.domainsOut = map[string]bool{}
	for _, c := range all {
		r.applyChange(c)
	}
	r.retainVanished(previous, outage, now)
	r.revision = revision
}

// Apply applies the changes up to a revision.
func (r *Registry) Apply(changes []Change, revision uint64, outage Outage, now time.Time) {
	previous := r.entries
	if outage.StoreWide() {
		previous = maps.Clone(previous)
	}
	for _, c := range changes {
		r.applyChange(c)
	}
	r.retainVanished(previous, outage, now)
	r.revision = max(r.revision, revision)
}

// retainVanished keeps the active targets whose registrations vanished during an outage
// of the store.
func (r *Registry) retainVanished(previous map[string]Registration, outage Outage, now time.Time) {
	if !outage.StoreWide() {
		return
	}
	for key, entry := range previous {
		if _, ok := r.entries[key]; !ok && entry.Target.State == document.Active {
			r.retained[key] = retainedTarget{entry, now.Add(retentionPeriod)}
		}
	}
}

func (r *Registry) applyChange(c Change) {
	switch {
	case c.Configuration != nil:
		r.configuration = c.Configuration
	case c.Domain != "":
		if c.DomainOut {
			r.domainsOut[c.Domain] = true
		} else {
			delete(r.domainsOut, c.Domain)
		}
	case c.Registration != nil:
		r.entries[c.Key] = *c.Registration
		delete(r.retained, c.Key)
	default:
		delete(r.entries, c.Key)
	}
}

// NextExpiry returns when the next retained registration expires; ok is false when
// there is none.
func (r *Registry) NextExpiry() (at time.Time, ok bool) {
	for _, t := range r.retained {
		if !ok || t.until.Before(at) {
			at, ok = t.until, true
		}
	}
	return at, ok
}

// Expire drops the retained registrations whose retention period has ended.
func (r *Registry) Expire(now time.Time) {
	for key, t := range r.retained {
		if !now.Before(t.until) {
			delete(r.retained, key)
		}
	}
}

// ticket returns the ticket of the documents. Each revision has two tickets; the lower
// one is used while registrations are retained.
func (r *Registry) ticket() uint64 {
	if len(r.retained) > 0 {
		return 2 * r.revision
	}
	return 2*r.revision + 1
}

// documentTicket is the ticket of each document: a reader does not know at which
// revision a document last changed, and all readers must build the same index.
const documentTicket = 1

// Build returns the documents and their index. Both are nil before the first
// configuration. The index keeps its ticket while no document changes, unless another
// reader's documents have been applied since: applied is the index applied on this VM,
// nil for none.
func (r *Registry) Build(applied *document.Index) (*document.Index, document.Content, error) {
	if r.configuration == nil {
		return nil, nil, nil
	}
	content, err := r.documents()
	if err != nil {
		return nil, nil, err
	}
	if r.index != nil && sameContent(content, r.content) && !r.superseded(applied) {
		return r.index, r.content, nil
	}
	next := &document.Index{Ticket: r.ticket()}
	if r.index != nil && next.Ticket <= r.index.Ticket {
		return r.index, r.content, nil
	}
	for name, raw := range content {
		next.Documents = append(next.Documents, document.IndexEntry{Name: name, Ticket: documentTicket, Digest: document.Digest(raw)})
	}
	sort.Slice(next.Documents, func(i, j int) bool { return next.Documents[i].Name < next.Documents[j].Name })
	r.index, r.content = next, content
	return r.index, r.content, nil
}

// superseded reports whether the applied documents were read before this registry's
// revision and differ from its own, which have a lower ticket. The index is left as it
// is while targets are retained, because other readers may know that these targets have
// deregistered.
func (r *Registry) superseded(applied *document.Index) bool {
	if applied == nil || len(r.retained) > 0 || applied.Ticket <= r.index.Ticket || applied.Ticket >= r.ticket() {
		return false
	}
	return !slices.Equal(applied.Documents, r.index.Documents)
}

func sameContent(a, b document.Content) bool {
	if len(a) != len(b) {
		return false
	}
	for name, raw := range a {
		if string(b[name]) != string(raw) {
			return false
		}
	}
	return true
}

// documents builds the documents from the registry's content.
func (r *Registry) documents() (document.Content, error) {
	content := document.Content{}
	domains := map[string]bool{}
	for _, d := range r.domains {
		domains[d] = true
	}
	for _, service := range r.configuration.Services {
		service.Targets = r.targets(service.Name)
		for _, t := range service.Targets {
			domains[t.FailureDomain] = true
		}
		raw, err := json.Marshal(service)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		content["services/"+service.Name] = raw
	}
	if err := r.addWorkspacesAndRoutes(content); err != nil {
		return nil, trace.Wrap(err)
	}
	return content, r.addDomains(content, domains)
}

// targets returns the registered and the retained targets of a service, sorted by ID.
func (r *Registry) targets(service string) []document.Target {
	out := []document.Target{}
	for _, e := range r.entries {
		if e.Service == service {
			out = append(out, e.Target)
		}
	}
	for _, t := range r.retained {
		if t.registration.Service == service {
			out = append(out, t.registration.Target)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (r *Registry) addWorkspacesAndRoutes(content document.Content) error {
	workspaces, err := document.SplitWorkspaces("workspaces/all", r.configuration.Workspaces, document.MaxValueBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	routes, err := document.SplitRoutes("routes/all", r.configuration.Routes, document.MaxValueBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, part := range []document.Content{workspaces, routes} {
		for name, raw := range part {
			content[name] = raw
		}
	}
	return nil
}

func (r *Registry) addDomains(content document.Content, names map[string]bool) error {
	doc := document.Domains{Kind: "domains", Domains: []document.FailureDomain{}}
	for name := range r.domainsOut {
		names[name] = true
	}
	for name := range names {
		state := document.DomainIn
		if r.domainsOut[name] {
			state = document.DomainOut
		}
		doc.Domains = append(doc.Domains, document.FailureDomain{Name: name, State: state})
	}
	sort.Slice(doc.Domains, func(i, j int) bool { return doc.Domains[i].Name < doc.Domains[j].Name })
	raw, err := json.Marshal(doc)
	if err != nil {
		return trace.Wrap(err)
	}
	content["domains"] = raw
	return nil
}
