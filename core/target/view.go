package target

import (
	"maps"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// View is the configuration of one group at a ticket.
type View struct {
	// Ticket is the ticket that last changed the service or the state of a failure
	// domain.
	Ticket uint64
	// MembersTicket is the ticket that last changed the members of the group.
	MembersTicket uint64
	// Service is the service of the group.
	Service *document.Service
	// Group lists the members.
	Group Group
	// OutDomains holds the failure domains that are out of service.
	OutDomains map[string]bool
	// EjectableSlots is the number of slots of the group that may be ejected or cold.
	EjectableSlots int
	// GroupCount is the number of groups of the service.
	GroupCount int
	// LongestHold is the longest time that a permit may be in use.
	LongestHold time.Duration
}

// Layout is the division of all services of a snapshot into groups. It is immutable
// and safe for concurrent use.
type Layout struct {
	// Snapshot is the configuration that the layout was built from.
	Snapshot *document.Snapshot
	// Services maps a service name to the views of its groups, in group order.
	Services map[string][]*View
	// Groups maps a group name to its view.
	Groups map[string]*View

	// outDomains holds the failure domains that are out of service.
	outDomains map[string]bool
}

// NewLayout divides the services of s. Previous is the layout of the last ticket, nil
// for none; the views of services that the new ticket does not affect are reused.
func NewLayout(s *document.Snapshot, previous *Layout) *Layout {
	l := &Layout{Snapshot: s, Services: map[string][]*View{}, Groups: map[string]*View{}, outDomains: map[string]bool{}}
	for name := range s.Domains {
		if s.DomainIsOut(name) {
			l.outDomains[name] = true
		}
	}
	holds := longestHolds(s)
	for name, v := range s.Services {
		views := previous.unchanged(v, l.outDomains, holds[name])
		if views == nil {
			views = l.divide(v, holds[name])
			previous.keepMembersTicket(views)
		}
		l.Services[name] = views
		for _, view := range views {
			l.Groups[view.Group.Name] = view
		}
	}
	return l
}

// unchanged returns the views of a service when nothing that they depend on differs,
// else nil.
func (l *Layout) unchanged(v *document.Service, out map[string]bool, hold time.Duration) []*View {
	if l == nil || len(l.Services[v.Name]) == 0 || !maps.Equal(l.outDomains, out) {
		return nil
	}
	old := l.Services[v.Name][0]
	if old.LongestHold != hold || !sameService(old.Service, v) {
		return nil
	}
	return l.Services[v.Name]
}

func sameService(a, b *document.Service) bool {
	if !slices.Equal(a.Targets, b.Targets) {
		return false
	}
	x, y := *a, *b
	x.Targets, y.Targets = nil, nil
	return reflect.DeepEqual(x, y)
}

// divide returns the views of the groups of a service.
func (l *Layout) divide(v *document.Service, hold time.Duration) []*View {
	groups := Groups(v)
	shares := EjectableSlots(v, groups, func(t document.Target) bool { return IsOpen(t, l.outDomains) })
	ticket := l.Snapshot.Ticket()
	views := make([]*View, 0, len(groups))
	for i, g := range groups {
		views = append(views, &View{
			Ticket: ticket, MembersTicket: ticket, Service: v, Group: g,
			OutDomains: l.outDomains, EjectableSlots: shares[i], LongestHold: hold, GroupCount: len(groups),
		})
	}
	return views
}

// keepMembersTicket keeps the MembersTicket of groups whose members stay the same.
func (l *Layout) keepMembersTicket(views []*View) {
	if l == nil {
		return
	}
	for _, v := range views {
		old := l.Groups[v.Group.Name]
		if old != nil && sameMembers(old.Group.Targets, v.Group.Targets) {
			v.MembersTicket = old.MembersTicket
		}
	}
}

func sameMembers(a, b []document.Target) bool {
	return slices.EqualFunc(a, b, func(x, y document.Target) bool {
		return x.ID == y.ID && x.Address == y.Address
	})
}

// GroupOf returns the name of the group of a target; empty when the target is not in
// the configuration.
func (l *Layout) GroupOf(service, id string) string {
	for _, v := range l.Services[service] {
		if _, ok := v.Find(id); ok {
			return v.Group.Name
		}
	}
	return ""
}

// Find returns the target with the given ID.
func (v *View) Find(id string) (document.Target, bool) {
	for _, t := range v.Group.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return document.Target{}, false
}

// OpenSlots returns the number of slots of the open targets.
func (v *View) OpenSlots() int {
	sum := 0
	for _, t := range v.Group.Targets {
		if IsOpen(t, v.OutDomains) {
			sum += t.Slots
		}
	}
	return sum
}

// IsOpen reports whether t may get new requests while the failure domains in out are
// out of service.
func IsOpen(t document.Target, out map[string]bool) bool {
	return t.State == document.Active && !out[t.FailureDomain]
}

// longestHolds returns the longest route timeout of each service.
func longestHolds(s *document.Snapshot) map[string]time.Duration {
	longest := map[string]time.Duration{}
	for _, r := range s.Routes {
		timeout := time.Duration(r.TimeoutMs) * time.Millisecond
		longest[r.Service] = max(longest[r.Service], timeout)
		for _, part := range r.Split {
			longest[part.Service] = max(longest[part.Service], timeout)
		}
	}
	return longest
}

func sortDescending(values []int) {
	sort.Sort(sort.Reverse(sort.IntSlice(values)))
}

// lowerMedian sorts values in place and returns their lower median; 0 for none.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}
