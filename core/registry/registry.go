// Package registry builds the configuration documents from a store in which the
// operator keeps one configuration and the targets register themselves. The documents
// of a revision depend on the store's content alone, so all readers of a revision build
// identical documents. The package starts no goroutines and reads no clock.
package registry

import (
	"encoding/json"
	"maps"
	"sort"
	"strings"
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
	// Version is the operator's version, which only rises; 0 where it does not matter,
	// because the store never returns from an older copy.
	Version uint64
	// Services holds the services, each without targets.
	Services   []document.Service
	Workspaces []document.Workspace
	Routes     []document.Route
	// Excluded lists the entries that are not served, and why.
	Excluded []document.Exclusion
	// documents holds the documents of workspaces and routes, which replace Workspaces
	// and Routes; nil for a configuration read from the store.
	documents document.Content
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
	// Key is the target's ID in a registration; Registration is nil when it was removed.
	Key          string
	Registration *Registration
	// Revision is the revision of the change; 0 when unknown.
	Revision uint64
}

// Answer describes an answer of the store and what this VM knows when it arrives.
type Answer struct {
	// At is the position of the store.
	At Position
	// Outage is what this VM knows about an outage that ends with the answer.
	Outage Outage
	// Known is what this VM knows of the fleet's configuration.
	Known Known
	// Now is the time at which the answer arrived.
	Now time.Time
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
	carried       carryState
	position      Position
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

// Position returns the position of the store up to which changes have been applied.
func (r *Registry) Position() Position { return r.position }

// Reset replaces the registry's content by the full content of the store. The caller
// must not pass an answer with an epoch lower than that of the registry or of the
// applied documents.
func (r *Registry) Reset(all []Change, a Answer) {
	entries, domainsOut, previous := r.entries, r.domainsOut, r.retainable(a.Outage)
	r.entries = map[string]Registration{}
	r.domainsOut = map[string]bool{}
	for _, c := range all {
		r.applyChange(c)
	}
	if a.At.Epoch > r.position.Epoch || r.knowsFleetNow(a) {
		r.beginEpoch(a)
	} else {
		r.dropMissingCarried(entries, domainsOut, a)
		r.retainVanished(previous, a.Now)
	}
	for _, c := range all {
		r.dropCarried(c, a.Now)
	}
	r.position = a.At
}

// Apply applies the changes of the registry's epoch up to a.At.
func (r *Registry) Apply(changes []Change, a Answer) {
	previous := r.retainable(a.Outage)
	for _, c := range changes {
		r.applyChange(c)
		r.dropCarried(c, a.Now)
	}
	r.retainVanished(previous, a.Now)
	if r.knowsFleetNow(a) {
		r.beginEpoch(a)
	}
	r.position.Revision = max(r.position.Revision, a.At.Revision)
}

// retainable returns a copy of the registrations that are retained if they vanished
// during the outage: none unless the store itself was unavailable, and none that carried
// knowledge replaces.
func (r *Registry) retainable(outage Outage) map[string]Registration {
	if !outage.StoreWide() {
		return nil
	}
	out := maps.Clone(r.entries)
	for key := range r.carried.targets {
		delete(out, key)
	}
	return out
}

// retainVanished keeps the active targets whose registrations vanished during an outage
// of the store.
func (r *Registry) retainVanished(previous map[string]Registration, now time.Time) {
	for key, entry := range previous {
		if _, ok := r.entries[key]; !ok && entry.Target.State == document.Active {
			r.retained[key] = retainedTarget{entry, now.Add(retentionPeriod)}
		}
	}
}

func (r *Registry) applyChange(c Change) {
	switch {
	case c.Configuration != nil:
		if r.configuration == nil || c.Configuration.Version >= r.configuration.Version {
			r.configuration = c.Configuration.servable()
		}
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

// ticket returns the ticket of the documents.
func (r *Registry) ticket() uint64 { return r.position.ticket(r.provisional()) }

// documentTicket is the ticket of each document: a reader does not know at which
// revision a document last changed, and all readers must build the same index.
const documentTicket = 1

// Build returns the documents and their index. Both are nil before the first
// configuration. The index keeps its ticket while no document changes, unless another
// reader's documents have been applied since.
func (r *Registry) Build(known Known, now time.Time) (*document.Index, document.Content, error) {
	configuration := r.newestConfiguration(known.Applied)
	if configuration == nil {
		return nil, nil, nil
	}
	content, err := r.documents(configuration)
	if err != nil {
		return nil, nil, err
	}
	r.adoptApplied(known.Applied, content)
	next := &document.Index{Ticket: r.ticket(), ConfigVersion: configuration.Version, Unverified: r.unverified(now)}
	unchanged := r.index != nil && r.index.ConfigVersion == next.ConfigVersion && r.index.Unverified == next.Unverified
	if unchanged && sameContent(content, r.content) && !r.mustReissue(known) {
		return r.index, r.content, nil
	}
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

// documents builds the documents from a configuration and the registry's content.
func (r *Registry) documents(c *Configuration) (document.Content, error) {
	content := document.Content{}
	domains := map[string]bool{}
	for _, d := range r.domains {
		domains[d] = true
	}
	for _, service := range c.Services {
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
	if err := c.addWorkspacesAndRoutes(content); err != nil {
		return nil, trace.Wrap(err)
	}
	return content, r.addDomains(content, domains)
}

// targets returns the registered, the carried and the retained targets of a service,
// sorted by ID.
func (r *Registry) targets(service string) []document.Target {
	out := []document.Target{}
	for key, e := range r.entries {
		if _, replaced := r.carried.targets[key]; !replaced && e.Service == service {
			out = append(out, e.Target)
		}
	}
	for _, t := range r.carried.targets {
		if t.registration != nil && t.registration.Service == service {
			out = append(out, t.registration.Target)
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

// isOperatorDocument reports whether a document holds workspaces or routes.
func isOperatorDocument(name string) bool {
	return strings.HasPrefix(name, "workspaces/") || strings.HasPrefix(name, "routes/")
}

func (c *Configuration) addWorkspacesAndRoutes(content document.Content) error {
	if c.documents != nil {
		maps.Copy(content, c.documents)
		return nil
	}
	workspaces, err := document.SplitWorkspaces("workspaces/all", c.Workspaces, document.MaxValueBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	routes, err := document.SplitRoutes("routes/all", c.Routes, document.MaxValueBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	excluded, err := document.ExclusionsDocument(c.Excluded)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, part := range []document.Content{workspaces, routes, excluded} {
		for name, raw := range part {
			content[name] = raw
		}
	}
	return nil
}

func (r *Registry) addDomains(content document.Content, names map[string]bool) error {
	doc := document.Domains{Kind: "domains", Domains: []document.FailureDomain{}}
	out := r.outDomains()
	for name := range out {
		names[name] = true
	}
	for name := range names {
		state := document.DomainIn
		if out[name] {
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
