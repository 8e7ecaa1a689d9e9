package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
)

// shardOf returns the shard of a group. A group of one failure domain gets a shard whose seat
// is assigned to that domain, so that its holder is usually a VM of the domain.
func (p *Pool) shardOf(g *target.Group) member.Shard {
	domains := p.config.LocalDomains
	if i := slices.Index(domains, g.Domain); i >= 0 {
		return member.ShardOfDomain(g.Name, i, len(domains))
	}
	return member.ShardOf(g.Name)
}

// isRemote reports whether the targets of a group are in another failure domain than this VM
// and requests prefer their own domain. Domain is that of the group; empty for several.
func (p *Pool) isRemote(domain string) bool {
	return p.isRemoteFrom(domain, p.config.Identity.VM.FailureDomain)
}

// isRemoteFrom is isRemote for requests from the failure domain from.
func (p *Pool) isRemoteFrom(domain, from string) bool {
	return len(p.config.LocalDomains) > 0 && domain != "" && domain != from
}

// recordLocality counts a permit for a target by whether it is in the domain of this VM.
func (p *Pool) recordLocality(t document.Target) {
	if p.config.OnLocality != nil && len(p.config.LocalDomains) > 0 {
		p.config.OnLocality(t.FailureDomain == p.config.Identity.VM.FailureDomain)
	}
}

// order returns the clients in the order in which they are asked for a permit.
func (p *Pool) order(clients []*groupClient) []*groupClient {
	ordered := orderByLoad(clients)
	if len(p.config.LocalDomains) > 0 {
		p.orderByDomain(ordered, time.Now())
	}
	return ordered
}

// orderByDomain sorts the clients by the expected share of free slots, where groups of other
// failure domains count as fuller than they are. The order of equal ones is kept.
func (p *Pool) orderByDomain(clients []*groupClient, now time.Time) {
	room := make(map[*groupClient]float64, len(clients))
	for _, c := range clients {
		room[c] = target.Room(c.groupLoad(now), !p.isRemote(c.domain))
	}
	slices.SortStableFunc(clients, func(a, b *groupClient) int { return cmp.Compare(room[b], room[a]) })
}

// groupLoad returns what this VM knows of the load of the group.
func (c *groupClient) groupLoad(now time.Time) target.GroupLoad {
	slots := 0
	if l := c.pool.layout.Load(); l != nil && l.Groups[c.name] != nil {
		slots = l.Groups[c.name].OpenSlots()
	}
	load := c.reportedLoad(now)
	load.Slots = slots
	return load
}
