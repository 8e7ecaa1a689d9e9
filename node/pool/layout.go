package pool

import (
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
)

// settleTime is the longest time that a ticket takes to be applied on all VMs.
const settleTime = 3 * time.Second

// layout divides the targets of one configuration into groups and selects the
// groups of this VM's cell according to one VM list.
type layout struct {
	*target.Layout
	list *member.List
	// shards maps each shard to its groups in this VM's cell.
	shards map[member.Shard][]*target.View
	// services maps each service name to its groups in this VM's cell.
	services map[string][]*target.View
	// routes maps the ID of each route to the route.
	routes map[string]*document.Route
	// members lists the IDs of the VMs of the cell.
	members []string
	// appliedAt is when this VM first used the configuration.
	appliedAt time.Time
	// previous is the layout before this one. Its own previous is nil, so that
	// old layouts can be freed.
	previous *layout
}

// currentLayout returns the layout of the applied configuration; nil before the
// first one.
func (p *Pool) currentLayout() *layout {
	snapshot, list := p.config.Configs.Snapshot(), p.config.Configs.List()
	l := p.layout.Load()
	if l != nil && l.Snapshot == snapshot && l.list == list {
		return l
	}
	if snapshot == nil {
		return nil
	}
	p.buildMu.Lock()
	defer p.buildMu.Unlock()
	l = p.layout.Load()
	if l != nil && l.Snapshot == snapshot && l.list == list {
		return l
	}
	if l != nil && l.Snapshot.Ticket() > snapshot.Ticket() {
		return l
	}
	next := p.nextLayout(l, snapshot, list)
	p.layout.Store(next)
	return next
}

// layoutForQuery returns the layout that a request would use now; nil before the first
// configuration. Unlike currentLayout it does not apply one that it has to build.
func (p *Pool) layoutForQuery() *layout {
	snapshot, list := p.config.Configs.Snapshot(), p.config.Configs.List()
	l := p.layout.Load()
	current := l != nil && l.Snapshot == snapshot && l.list == list
	if snapshot == nil || current || l != nil && l.Snapshot.Ticket() > snapshot.Ticket() {
		return l
	}
	return p.nextLayout(l, snapshot, list)
}

// nextLayout returns the layout of a configuration that follows the layout l, nil for none.
func (p *Pool) nextLayout(l *layout, snapshot *document.Snapshot, list *member.List) *layout {
	next := p.newLayout(l, list)
	if l != nil && l.Snapshot == snapshot {
		next.Layout, next.appliedAt, next.previous = l.Layout, l.appliedAt, l.previous
	} else {
		next.Layout = target.NewLayout(snapshot, l.targetLayout())
	}
	p.assignGroups(next)
	return next
}

// targetLayout returns the division of targets into groups; nil for a nil
// layout.
func (l *layout) targetLayout() *target.Layout {
	if l == nil {
		return nil
	}
	return l.Layout
}

// newLayout returns a layout with the members of this VM's cell in list. The
// caller sets the division into groups.
func (p *Pool) newLayout(previous *layout, list *member.List) *layout {
	l := &layout{list: list, appliedAt: time.Now()}
	if previous != nil {
		kept := *previous
		kept.previous = nil
		l.previous = &kept
	}
	if list == nil {
		return l
	}
	cell := member.CellMembers(list, p.config.Identity.VM.ID)
	for _, vm := range cell.VMs {
		l.members = append(l.members, vm.ID)
	}
	return l
}

// assignGroups selects the groups that belong to the cell of this VM.
func (p *Pool) assignGroups(l *layout) {
	l.shards = map[member.Shard][]*target.View{}
	l.services = map[string][]*target.View{}
	l.routes = make(map[string]*document.Route, len(l.Snapshot.Routes))
	for _, r := range l.Snapshot.Routes {
		l.routes[r.ID] = r
	}
	count := l.list.Cells()
	own := 0
	if count > 1 && len(l.members) > 0 {
		own = member.CellOf(l.members[0], count)
	}
	for service, views := range l.Services {
		cells := member.RankCells(service, count)
		for i, v := range views {
			if cells[i%count] != own {
				continue
			}
			s := p.shardOf(&v.Group)
			l.shards[s] = append(l.shards[s], v)
			l.services[service] = append(l.services[service], v)
		}
	}
}

// settled returns the newest layout that has been applied for at least
// settleTime; nil when there is none.
func (l *layout) settled(now time.Time) *layout {
	for c := l; c != nil; c = c.previous {
		if now.Sub(c.appliedAt) >= settleTime {
			return c
		}
	}
	return nil
}
