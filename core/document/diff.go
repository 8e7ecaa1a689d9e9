package document

import (
	"reflect"
	"slices"
	"sort"
	"strings"
)

// Action is the kind of a change between two configurations.
type Action string

// The kinds of changes.
const (
	// Added means that the entry is new.
	Added Action = "added"
	// Removed means that the entry no longer exists.
	Removed Action = "removed"
	// Changed means that values of the entry differ.
	Changed Action = "changed"
	// Drained means that the target starts to drain.
	Drained Action = "drained"
	// Activated means that a draining target becomes active again.
	Activated Action = "activated"
	// Granted means that the key becomes valid.
	Granted Action = "granted"
	// Revoked means that the key becomes invalid.
	Revoked Action = "withdrawn"
	// TakenOutOfService means that the failure domain receives no more new work.
	TakenOutOfService Action = "out"
	// ReturnedToService means that the failure domain receives new work again.
	ReturnedToService Action = "in"
)

// ServiceChange is a service that is added or removed, or whose settings other
// than its targets change.
type ServiceChange struct {
	// Action is added, removed or changed.
	Action Action `json:"action"`
	// Service is the name of the service.
	Service string `json:"service"`
}

// TargetChange is a change of one target.
type TargetChange struct {
	// Action is added, removed, drained, activated or changed.
	Action Action `json:"action"`
	// Service is the name of the target's service.
	Service string `json:"service"`
	// Target is the ID of the target.
	Target string `json:"target"`
}

// WorkspaceChange is a workspace that is added or removed.
type WorkspaceChange struct {
	// Action is added or removed.
	Action Action `json:"action"`
	// Workspace is the ID of the workspace.
	Workspace string `json:"workspace"`
}

// KeyChange is a key that is granted or revoked.
type KeyChange struct {
	// Action is Granted or Revoked.
	Action Action `json:"action"`
	// Workspace is the ID of the workspace.
	Workspace string `json:"workspace"`
	// Digest is the SHA-256 of the key in hexadecimal.
	Digest string `json:"digest"`
}

// RateChange is a new rate or burst of a workspace.
type RateChange struct {
	// Workspace is the ID of the workspace.
	Workspace string `json:"workspace"`
	// OldRate and NewRate are in requests per second.
	OldRate float64 `json:"oldRate"`
	NewRate float64 `json:"newRate"`
	// OldBurst and NewBurst are in requests.
	OldBurst float64 `json:"oldBurst"`
	NewBurst float64 `json:"newBurst"`
}

// RouteChange is a change of one route.
type RouteChange struct {
	// Action is added, removed or changed.
	Action Action `json:"action"`
	// Route is the ID of the route.
	Route string `json:"route"`
}

// DomainChange is a change of one failure domain.
type DomainChange struct {
	// Action is Added, Removed, TakenOutOfService or ReturnedToService. A domain
	// that is added in the state DomainOut is reported twice, as Added and as
	// TakenOutOfService.
	Action Action `json:"action"`
	// Domain is the name of the failure domain.
	Domain string `json:"domain"`
}

// Changes lists the differences between two configurations. Each list is sorted by
// name.
type Changes struct {
	// From and To are the ticket numbers; From is 0 without an old configuration.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Services and the other lists hold the changes of each kind of entry.
	Services   []ServiceChange   `json:"services,omitempty"`
	Targets    []TargetChange    `json:"targets,omitempty"`
	Workspaces []WorkspaceChange `json:"workspaces,omitempty"`
	Keys       []KeyChange       `json:"keys,omitempty"`
	Rates      []RateChange      `json:"rates,omitempty"`
	Routes     []RouteChange     `json:"routes,omitempty"`
	Domains    []DomainChange    `json:"domains,omitempty"`
}

// Len returns the number of changes.
func (c *Changes) Len() int {
	return len(c.Services) + len(c.Targets) + len(c.Workspaces) + len(c.Keys) +
		len(c.Rates) + len(c.Routes) + len(c.Domains)
}

// Diff returns the changes from old to next; old may be nil, next must not be.
func Diff(old, next *Snapshot) *Changes {
	c := &Changes{From: old.Ticket(), To: next.Ticket()}
	if old == nil {
		old = &Snapshot{}
	}
	for _, name := range changedKeys(old.Services, next.Services) {
		c.compareService(name, old.Services[name], next.Services[name])
	}
	if !old.sameDocuments(next.Index, workspacesPrefix) {
		for _, id := range changedKeys(old.Workspaces, next.Workspaces) {
			c.compareWorkspace(id, old.Workspaces[id], next.Workspaces[id])
		}
	}
	before, after := routesWithout(old, next), routesWithout(next, old)
	for _, id := range union(before, after) {
		if action, ok := compareEntries(before[id], after[id]); ok {
			c.Routes = append(c.Routes, RouteChange{Action: action, Route: id})
		}
	}
	for _, name := range changedKeys(old.Domains, next.Domains) {
		c.compareDomain(name, old.Domains[name], next.Domains[name])
	}
	return c
}

// changedKeys returns the sorted keys whose values differ. Snapshots share the
// entries of unchanged documents, so comparing pointers suffices for them.
func changedKeys[V comparable](a, b map[string]V) []string {
	var keys []string
	for k, v := range b {
		if w, ok := a[k]; !ok || w != v {
			keys = append(keys, k)
		}
	}
	for k := range a {
		if _, ok := b[k]; !ok {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// union returns the sorted keys of both maps.
func union[V any](a, b map[string]V) []string {
	keys := make([]string, 0, len(b))
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// compareEntries returns the change from old to next, of which at most one is nil.
// ok is false when they are equal.
func compareEntries[V any](old, next *V) (a Action, ok bool) {
	switch {
	case old == nil:
		return Added, true
	case next == nil:
		return Removed, true
	case !reflect.DeepEqual(old, next):
		return Changed, true
	}
	return "", false
}

// routesWithout returns, by ID, the routes of s that it does not share with other.
func routesWithout(s, other *Snapshot) map[string]*Route {
	shared := make(map[*Route]bool, len(other.Routes))
	for _, r := range other.Routes {
		shared[r] = true
	}
	byID := map[string]*Route{}
	for _, r := range s.Routes {
		if !shared[r] {
			byID[r.ID] = r
		}
	}
	return byID
}

func (c *Changes) compareService(name string, old, next *Service) {
	a, b := withoutTargets(old), withoutTargets(next)
	if action, ok := compareEntries(a, b); ok {
		c.Services = append(c.Services, ServiceChange{Action: action, Service: name})
	}
	before, after := targetsByID(old), targetsByID(next)
	for _, id := range union(before, after) {
		action, ok := compareEntries(before[id], after[id])
		if !ok {
			continue
		}
		if action == Changed && before[id].State != after[id].State {
			action = map[TargetState]Action{Draining: Drained, Active: Activated}[after[id].State]
		}
		c.Targets = append(c.Targets, TargetChange{Action: action, Service: name, Target: id})
	}
}

func withoutTargets(s *Service) *Service {
	if s == nil {
		return nil
	}
	bare := *s
	bare.Targets = nil
	return &bare
}

func targetsByID(s *Service) map[string]*Target {
	byID := map[string]*Target{}
	if s == nil {
		return byID
	}
	for i := range s.Targets {
		byID[s.Targets[i].ID] = &s.Targets[i]
	}
	return byID
}

func (c *Changes) compareWorkspace(id string, old, next *Workspace) {
	var before, after []string
	if old != nil {
		before = old.KeyDigests
	}
	if next != nil {
		after = next.KeyDigests
	}
	if old == nil {
		c.Workspaces = append(c.Workspaces, WorkspaceChange{Action: Added, Workspace: id})
	} else if next == nil {
		c.Workspaces = append(c.Workspaces, WorkspaceChange{Action: Removed, Workspace: id})
	} else if old.RatePerSecond != next.RatePerSecond || old.Burst != next.Burst {
		c.Rates = append(c.Rates, RateChange{
			Workspace: id,
			OldRate:   old.RatePerSecond, NewRate: next.RatePerSecond,
			OldBurst: old.Burst, NewBurst: next.Burst,
		})
	}
	c.addKeys(Revoked, id, before, after)
	c.addKeys(Granted, id, after, before)
}

// addKeys records a change for each digest of in that is not in other.
func (c *Changes) addKeys(a Action, workspace string, in, other []string) {
	for _, digest := range slices.SortedFunc(slices.Values(in), strings.Compare) {
		if !slices.Contains(other, digest) {
			c.Keys = append(c.Keys, KeyChange{Action: a, Workspace: workspace, Digest: digest})
		}
	}
}

func (c *Changes) compareDomain(name string, old, next DomainState) {
	if old == "" {
		c.Domains = append(c.Domains, DomainChange{Action: Added, Domain: name})
		old = DomainIn
	}
	switch {
	case next == "":
		c.Domains = append(c.Domains, DomainChange{Action: Removed, Domain: name})
	case old != next && next == DomainOut:
		c.Domains = append(c.Domains, DomainChange{Action: TakenOutOfService, Domain: name})
	case old != next:
		c.Domains = append(c.Domains, DomainChange{Action: ReturnedToService, Domain: name})
	}
}
