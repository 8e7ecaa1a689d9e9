// Package target decides which target of a service gets a request: groups of targets,
// slots in use, cold start, placement by health estimates, outlier detection,
// ejection and takeover.
//
// The package does no I/O: the caller passes the time, and a Holder is used from one
// goroutine at a time. Each mechanism has a file of its own.
package target

import (
	"fmt"
	"sort"

	"github.com/galenasail/galenasail/core/document"
)

// GroupSize is the default number of targets in a group. Five targets are enough for
// a median of the others, and few enough that the loss of one holder affects few
// targets.
const GroupSize = 5

// Group is a part of a service's targets whose requests are placed by one holder.
type Group struct {
	// Name is unique in the configuration and selects the shard.
	Name string
	// Service is the name of the service.
	Service string
	// Domain is the failure domain of all members; empty where groups span domains.
	Domain string
	// Targets lists the members, sorted by failure domain and ID.
	Targets []document.Target
}

// GroupCount returns the number of groups of the default size for n targets, at least
// 1.
func GroupCount(n int) int {
	return groupCount(n, GroupSize)
}

func groupCount(n, size int) int {
	if size <= 0 {
		size = GroupSize
	}
	return max(1, (n+size/2)/size)
}

// GroupName returns the name of group number i of a service.
func GroupName(service string, i int) string {
	return fmt.Sprintf("%s#%d", service, i)
}

// Groups divides the targets of v into groups. The targets of each failure domain are
// distributed in ID order, and each domain starts at another group. A target added at
// the end of a domain therefore moves no other target while the number of groups
// stays the same.
//
// Where the service asks for it, each group has targets of one failure domain only.
func Groups(v *document.Service) []Group {
	if v.GroupByDomain {
		return domainGroups(v)
	}
	groups := make([]Group, groupCount(len(v.Targets), v.GroupSize))
	for i := range groups {
		groups[i] = Group{Name: GroupName(v.Name, i), Service: v.Name}
	}
	for d, members := range byDomain(v.Targets) {
		for j, t := range members {
			g := &groups[(d+j)%len(groups)]
			g.Targets = append(g.Targets, t)
		}
	}
	return groups
}

// domainGroups divides the targets of each failure domain into groups of their own.
func domainGroups(v *document.Service) []Group {
	var groups []Group
	for _, members := range byDomain(v.Targets) {
		domain := members[0].FailureDomain
		of := make([]Group, groupCount(len(members), v.GroupSize))
		for i := range of {
			of[i] = Group{Name: GroupName(v.Name+"@"+domain, i), Service: v.Name, Domain: domain}
		}
		for i, t := range members {
			g := &of[i%len(of)]
			g.Targets = append(g.Targets, t)
		}
		groups = append(groups, of...)
	}
	if len(groups) == 0 {
		return []Group{{Name: GroupName(v.Name, 0), Service: v.Name}}
	}
	return groups
}

// byDomain returns the targets of each failure domain, domains sorted by name and
// targets by ID.
func byDomain(targets []document.Target) [][]document.Target {
	sorted := append([]document.Target(nil), targets...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.FailureDomain != b.FailureDomain {
			return a.FailureDomain < b.FailureDomain
		}
		return a.ID < b.ID
	})
	var domains [][]document.Target
	for i, t := range sorted {
		if i == 0 || t.FailureDomain != sorted[i-1].FailureDomain {
			domains = append(domains, nil)
		}
		last := len(domains) - 1
		domains[last] = append(domains[last], t)
	}
	return domains
}
