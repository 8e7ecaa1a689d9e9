package pool

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// reportTimeout bounds one report. It is shorter than the wait of a new holder
// for reports, so that a lost report is repeated in time.
const reportTimeout = 200 * time.Millisecond

// reportAll sends reports to all holders that have no report from this VM for
// their lease or for the applied ticket.
func (p *Pool) reportAll() {
	l := p.currentLayout()
	if l == nil {
		return
	}
	permits := p.servicesWithPermits()
	for shard, views := range l.shards {
		vm, ok := p.config.Ownership.Holder(shard)
		if !ok {
			continue
		}
		instance, _ := p.config.Contact.InstanceOf(vm.ID)
		for _, v := range views {
			p.entry.mu.Lock()
			c := p.client(v)
			p.entry.mu.Unlock()
			if permits[c.service] || v.Service.Placement != document.ByHealthEstimate || c.reportRequested() {
				p.reportIfDue(l, c, vm, holderID{vm.ID, instance})
			}
		}
	}
}

// servicesWithPermits returns the services for whose targets this VM holds permits. For others
// with placement by health estimates, whose new holders do not wait for reports, none is sent
// unless the holder asks: after a restart of a large fleet, each VM would call each holder.
func (p *Pool) servicesWithPermits() map[string]bool {
	found := map[string]bool{}
	for _, c := range p.allClients() {
		if !found[c.service] && c.holdsPermits() {
			found[c.service] = true
		}
	}
	return found
}

// allClients returns the clients of all groups. A permit of degraded mode is granted and ended
// with the lock of a client before that of the entry, so the lock of the entry is not held
// while one of a client is taken.
func (p *Pool) allClients() []*groupClient {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	return slices.Collect(maps.Values(p.entry.clients))
}

// holdsPermits reports whether this VM holds permits of the group, or ended ones that no holder
// has confirmed.
func (c *groupClient) holdsPermits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)+len(c.unconfirmed) > 0
}

// reportRequested reports whether the holder asked for a report, or the last one failed.
func (c *groupClient) reportRequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportDue
}

// reportIfDue starts a report if one is due and none is in flight.
func (p *Pool) reportIfDue(l *layout, c *groupClient, vm member.VM, holder holderID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.reportedTo != holder || c.reportDue || c.reportedTicket < l.Groups[c.name].MembersTicket
	if !due || c.reporting {
		return
	}
	c.reporting = true
	c.reportDue = false
	go p.report(l, c, vm, holder)
}

// report sends the holder of a group the permits of this VM for the targets of
// the group, regardless of the group that granted them.
func (p *Pool) report(l *layout, c *groupClient, vm member.VM, holder holderID) {
	r := c.buildReport(l)
	for _, other := range p.clientsOfService(c) {
		r.Permits = append(r.Permits, other.permitsFor(l, c)...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	resp, err := p.sendReport(ctx, vm, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reporting = false
	if err != nil || !resp.Holder {
		c.reportDue = true
		return
	}
	c.reportedTo = holder
	c.reportedTicket = r.Ticket
}

// sendReport calls the holder, or its handler directly when this VM is the
// holder.
func (p *Pool) sendReport(ctx context.Context, vm member.VM, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
	if vm.ID == p.config.Identity.VM.ID {
		return p.ReportPermits(ctx, r)
	}
	return p.config.Peer.ReportPermits(ctx, vm, r)
}

// buildReport builds a report without permits and starts a new generation:
// permits from calls in flight are not in the report and must not be used.
func (c *groupClient) buildReport(l *layout) *peerv1.ReportPermitsRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	id := c.pool.config.Identity
	return &peerv1.ReportPermitsRequest{
		Vm:         id.VM.ID,
		Instance:   id.Instance,
		Group:      c.name,
		Ticket:     l.Snapshot.Ticket(),
		Warm:       c.warm,
		Generation: c.generation,
		Known:      !c.warmAt.IsZero() && time.Since(c.warmAt) < maxWarmAge,
	}
}

// clientsOfService returns the clients of all groups of the service of c.
func (p *Pool) clientsOfService(c *groupClient) []*groupClient {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	var all []*groupClient
	for _, other := range p.entry.clients {
		if other.service == c.service {
			all = append(all, other)
		}
	}
	return all
}

// permitsFor returns the unexpired permits of c that a report to the holder of
// recipient must list: those for targets that now belong to the group of
// recipient and, if c is recipient, also all others.
func (c *groupClient) permitsFor(l *layout, recipient *groupClient) []*peerv1.HeldPermit {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*peerv1.HeldPermit
	all = c.appendHeld(all, c.held, l, recipient, now)
	return c.appendHeld(all, c.unconfirmed, l, recipient, now)
}

// appendHeld appends those of permits that a report to the holder of recipient
// must list; see permitsFor.
func (c *groupClient) appendHeld(all []*peerv1.HeldPermit, permits map[uint64]*permit, l *layout, recipient *groupClient, now time.Time) []*peerv1.HeldPermit {
	for id, pt := range permits {
		remaining := pt.deadline.Sub(now)
		otherGroup := c != recipient && l.GroupOf(c.service, pt.target.ID) != recipient.name
		if remaining <= 0 || otherGroup {
			continue
		}
		all = append(all, &peerv1.HeldPermit{
			Permit:      id,
			Target:      pt.target.ID,
			RemainingMs: millis(max(0, remaining-target.HoldSlack)),
		})
	}
	return all
}
