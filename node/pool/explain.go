package pool

import (
	"context"
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/explain"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// MaxExplainedGroups bounds the groups of one explanation, and so the work of one query.
const MaxExplainedGroups = 32

// The rules by which requests choose among the groups of a service.
const (
	ruleOneGroup       = "the service has one group"
	ruleReported       = "of two groups drawn at random the one with more free slots is asked first, then the one with the most free slots"
	ruleReportedDomain = "groups are asked by their reported share of free slots, less a penalty for another failure domain; equal ones in random order"
	ruleExpected       = "of two groups drawn at random by their slots the one with more expected room is asked first, then the others by expected room"
	ruleExpectedDomain = "groups are asked by their expected room, less a penalty for another failure domain"
)

// ExplainPlacement reports how Acquire would choose a target now for a request from the
// failure domain from. It acquires nothing and changes no state. It waits for the holder side
// until ctx ends.
func (p *Pool) ExplainPlacement(ctx context.Context, r node.PermitRequest, from string) explain.Placement {
	q := &acquireRequest{PermitRequest: r, layout: p.layoutForQuery()}
	out := explain.Placement{Groups: []explain.Group{}, Refusal: explain.NewRefusal(explain.StepTarget, q.checkTargets())}
	if q.layout == nil {
		return out
	}
	now := time.Now()
	clients := p.clientsForQuery(q)
	ranking := p.rankForQuery(q, clients, from, now)
	out.Rule, out.Random = p.rule(len(clients), q, from), ranking.Drawn
	for _, c := range clients {
		if out.IdlePermit = c.explainIdle(q, now); out.IdlePermit != nil {
			break
		}
	}
	for i, rank := range ranking.Ranks {
		if i == MaxExplainedGroups {
			out.Omitted = len(ranking.Ranks) - i
			break
		}
		out.Groups = append(out.Groups, p.explainGroup(ctx, q, clients[rank.Group], rank, from, now))
	}
	if out.Refusal == nil && out.IdlePermit == nil && out.Omitted == 0 {
		out.Refusal = refusalOfGroups(q, out.Groups)
	}
	return out
}

// clientsForQuery returns the clients of the groups of the service. Those that no request has
// used yet are not kept.
func (p *Pool) clientsForQuery(q *acquireRequest) []*groupClient {
	var clients []*groupClient
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	for _, v := range q.layout.services[q.Service.Name] {
		c := p.entry.clients[v.Group.Name]
		if c == nil {
			c = newGroupClient(p, &v.Group)
		}
		clients = append(clients, c)
	}
	return clients
}

// rankForQuery returns the order of the groups that the request prefers.
func (p *Pool) rankForQuery(q *acquireRequest, clients []*groupClient, from string, now time.Time) target.GroupRanking {
	if p.config.AnticipateLoad {
		p.entry.mu.Lock()
		baseline := p.entry.baselines[q.Service.Name]
		p.entry.mu.Unlock()
		turnover := time.Duration(0)
		if baseline != nil {
			turnover = baseline.value()
		}
		return target.RankEstimated(p.estimatedLoads(q, clients, from, now), turnover)
	}
	loads := make([]target.GroupLoad, len(clients))
	var remote []bool
	for i, c := range clients {
		loads[i] = c.reportedLoad(now)
		loads[i].Slots = q.layout.Groups[c.name].OpenSlots()
		if len(p.config.LocalDomains) > 0 {
			remote = append(remote, p.isRemoteFrom(c.domain, from))
		}
	}
	return target.RankReported(loads, remote)
}

// rule returns the rule of the choice among groups.
func (p *Pool) rule(groups int, q *acquireRequest, from string) string {
	remote := false
	for _, v := range q.layout.services[q.Service.Name] {
		remote = remote || p.isRemoteFrom(v.Group.Domain, from)
	}
	switch {
	case groups == 1:
		return ruleOneGroup
	case p.config.AnticipateLoad && remote:
		return ruleExpectedDomain
	case p.config.AnticipateLoad:
		return ruleExpected
	case len(p.config.LocalDomains) > 0:
		return ruleReportedDomain
	}
	return ruleReported
}

// explainIdle returns the idle permit of the group that the request would use; nil for none.
func (c *groupClient) explainIdle(q *acquireRequest, now time.Time) *explain.IdlePermit {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.findIdle(q, q.layout, now)
	if i < 0 {
		return nil
	}
	return &explain.IdlePermit{Group: c.name, Target: c.idle[i].target.ID}
}

// explainGroup describes a group, and its targets if this VM chooses among them.
func (p *Pool) explainGroup(ctx context.Context, q *acquireRequest, c *groupClient, rank target.GroupRank, from string, now time.Time) explain.Group {
	load := c.reportedLoad(now)
	out := explain.Group{
		Name: c.name, FailureDomain: c.domain, Slots: q.layout.Groups[c.name].OpenSlots(),
		FreeSlot: rank.FreeSlot, Unreachable: load.Unreachable, Remote: p.isRemoteFrom(c.domain, from),
	}
	if !rank.Last {
		out.ExpectedFree, out.ExpectedQueued = &rank.Free, &rank.Queued
		if p.config.AnticipateLoad || len(p.config.LocalDomains) > 0 {
			out.Room = &rank.Room
		}
	}
	age, responded := c.lastResponse(now)
	if responded {
		ms := age.Milliseconds()
		out.Free, out.Queued, out.ReportAgeMs = &load.Free, &load.Queued, &ms
	}
	vm, known := p.config.Ownership.Holder(c.shard)
	if known {
		out.Holder = vm.ID
	}
	out.HeldHere = p.holdsExclusively(c.shard)
	out.Reasons = p.reasons(out, load.Outdated && responded)
	switch {
	case !known || c.claimedInVain(now):
		out.Degraded = p.explainDegraded(q, c)
		out.Note = "no VM holds the group exclusively, and this VM may use none of its targets without a holder"
		if len(out.Degraded) > 0 {
			out.Note = "no VM holds the group exclusively: of two of the listed targets drawn at random, this VM uses the one that it used less recently"
		}
	case !out.HeldHere:
		out.Note = fmt.Sprintf("the targets are chosen by %s, whose state this VM does not know", vm.ID)
	default:
		out.Held, out.Note = p.explainHeld(ctx, q, c, rank.FreeSlot, from)
	}
	return out
}

// reasons returns the reasons for the rank of a group.
func (p *Pool) reasons(g explain.Group, outdated bool) []string {
	var all []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			all = append(all, fmt.Sprintf(format, args...))
		}
	}
	add(g.Slots == 0, "no open target")
	add(g.Unreachable, "unreachable: a call to the holder failed less than %v ago", unreachableBackoff)
	add(g.Holder == "", "no holder")
	if len(p.config.LocalDomains) > 0 && g.FailureDomain != "" {
		add(g.Remote, "other failure domain")
		add(!g.Remote, "local failure domain")
	}
	switch {
	case g.Room != nil:
		add(true, "expected room %.2f of the slots", *g.Room)
	case g.ExpectedFree != nil:
		add(true, "expected free slots %.0f, waiting %.0f", *g.ExpectedFree, *g.ExpectedQueued)
	}
	add(g.ReportAgeMs == nil, "the holder has not reported its load to this VM, so free slots are assumed")
	add(outdated && !p.config.AnticipateLoad, "the report is older than %v, so at least one free slot and no queue are assumed", maxLoadAge)
	return all
}

// lastResponse returns the age of the last response of the holder; ok is false without one.
func (c *groupClient) lastResponse(now time.Time) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.respondedAt), !c.respondedAt.IsZero()
}

// claimedInVain reports whether requests use the targets without the VM that claims the group,
// because it has not been the holder for too long.
func (c *groupClient) claimedInVain(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.notHolderSince.IsZero() && now.Sub(c.notHolderSince) >= maxClaimAge
}

// holdsExclusively reports whether this VM holds a shard exclusively.
func (p *Pool) holdsExclusively(s member.Shard) bool {
	_, ok := p.holder.exclusiveLease(s)
	return ok
}

// explainDegraded returns the IDs of the targets that the request may use without a holder.
func (p *Pool) explainDegraded(q *acquireRequest, c *groupClient) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	var ids []string
	for _, t := range p.usableDegraded(q.layout, c, q) {
		ids = append(ids, t.ID)
	}
	return ids
}

// refusalOfGroups returns the refusal of a request that each group refuses, or that no VM can
// give a target; nil when some group may grant one.
func refusalOfGroups(q *acquireRequest, groups []explain.Group) *explain.Refusal {
	if allWithoutTarget(groups) {
		r := explain.NewRefusal(explain.StepTarget, errNoSlotInTime(q.Service.Name))
		r.AfterMs = q.MaxDuration.Milliseconds()
		return r
	}
	var last *explain.Refusal
	for i, g := range groups {
		if g.Held == nil || g.Held.Refusal == nil {
			return nil
		}
		if i < maxRefusals {
			last = g.Held.Refusal
		}
	}
	return last
}

// allWithoutTarget reports whether no group has a holder or a target that may be used without
// one.
func allWithoutTarget(groups []explain.Group) bool {
	for _, g := range groups {
		if g.Holder != "" || len(g.Degraded) > 0 {
			return false
		}
	}
	return len(groups) > 0
}

// explainQuery asks the holder side what it would do with an acquire.
type explainQuery struct {
	// calls are the calls that a request would make until one is granted: one without a wait,
	// where it is expected to find a free slot, and one that queues.
	calls   []exchangeCall
	group   string
	service string
	layout  *layout
	// reply has room for the one answer, nil when this VM does not hold the group yet.
	reply chan *explain.HeldGroup
}

// explainHeld returns what the holder side of this VM would do with the request. The note
// says why it is not known.
func (p *Pool) explainHeld(ctx context.Context, q *acquireRequest, c *groupClient, freeSlot bool, from string) (held *explain.HeldGroup, note string) {
	m := explainQuery{group: c.name, service: c.service, layout: q.layout, reply: make(chan *explain.HeldGroup, 1)}
	if freeSlot && len(q.layout.services[c.service]) > 1 {
		m.calls = append(m.calls, p.callForQuery(c.name, q.acquire(0, from)))
	}
	m.calls = append(m.calls, p.callForQuery(c.name, q.acquire(min(q.queueTimeout(), q.MaxDuration), from)))
	if err := p.actor.Send(m); err != nil {
		return nil, "the holder side of this VM is busy: " + fault.From(err).Detail
	}
	select {
	case held = <-m.reply:
		if held == nil {
			note = "this VM has just become the holder, or has not applied the configuration to the group yet"
		}
		return held, note
	case <-ctx.Done():
		return nil, "the holder side of this VM did not answer the query in time"
	case <-p.done:
		return nil, "this VM is shutting down"
	}
}

// callForQuery returns a call that nobody waits for.
func (p *Pool) callForQuery(group string, a *peerv1.PermitAcquire) exchangeCall {
	id := p.config.Identity
	return exchangeCall{
		request: &peerv1.ExchangePermitsRequest{Vm: id.VM.ID, Instance: id.Instance, Group: group, Acquire: a},
		waiter:  &waiter{caller: target.Caller{VM: id.VM.ID, Instance: id.Instance}},
	}
}

func (m explainQuery) apply(h *holderActor) {
	g, v := h.groups[m.group], m.layout.Groups[m.group]
	hold, ok := h.exclusiveLease(h.pool.shardOf(&v.Group))
	if g == nil || !ok || hold.Epoch != g.epoch || g.holder.View() != v {
		m.reply <- nil
		return
	}
	m.reply <- h.explain(g.forQuery(m.calls[0].request.Acquire), m, time.Now())
}

// forQuery returns a copy of the group with which a query may try out an acquire. The queue is
// shared and only read.
func (g *heldGroup) forQuery(a *peerv1.PermitAcquire) *heldGroup {
	c := *g
	c.holder = g.holder.ForQuery()
	if g.control != nil {
		control := *g.control
		control.order = g.control.order.ForQuery(a.Workspace)
		control.deadlines = g.control.deadlines.ForQuery(a.Route)
		c.control = &control
	}
	return &c
}

// explain reports what the holder would do with the calls of a request. G is a copy.
func (h *holderActor) explain(g *heldGroup, m explainQuery, now time.Time) *explain.HeldGroup {
	out := &explain.HeldGroup{Ready: g.holder.Ready(), Queued: g.queue.Len(), Targets: []explain.Target{}}
	for _, e := range m.calls {
		e.prepare(now)
	}
	for _, c := range g.holder.ExplainChoice(m.calls[0].waiter.acquire, now) {
		out.Targets = append(out.Targets, explainTarget(c, g.byHealthEstimate()))
	}
	free := out.Queued == 0 && len(out.Targets) > 0 && out.Targets[0].Excluded == ""
	for _, e := range m.calls {
		d := h.decide(g, m.layout, e, now)
		out.Ahead, out.ExpectedWaitMs = g.queue.Ahead(d.due), d.expected.Milliseconds()
		out.Verdict, out.Refusal = explain.Waits, h.explainRefusal(g, e, d, m.service, now)
		switch {
		case out.Refusal != nil:
			out.Verdict = explain.Refused
		case free:
			out.Verdict = explain.Admitted
			return out
		}
	}
	return out
}

// explainRefusal returns the refusal of a call; nil for none. G is a copy.
func (h *holderActor) explainRefusal(g *heldGroup, e exchangeCall, d admission, service string, now time.Time) *explain.Refusal {
	resp := h.refusalOf(g, e.waiter, d, now)
	if resp == nil && !g.queue.HasRoom(e.request.Acquire.Workspace, d.due) {
		resp = h.queueFull(g, e.waiter, d.expected, now)
	}
	switch {
	case resp == nil:
		return nil
	case resp.RefusedMs > 0:
		return explain.NewRefusal(explain.StepTarget, errNotInTime(service, fromMillis(resp.RefusedMs)))
	}
	return explain.NewRefusal(explain.StepTarget, errQueueFull(service))
}

func explainTarget(c target.TargetChoice, byHealth bool) explain.Target {
	t := explain.Target{
		ID: c.Target, FailureDomain: c.FailureDomain, Excluded: c.Excluded.String(),
		Idle: max(0, c.Limit-c.Busy), Limit: c.Limit, Slots: c.Slots,
		Cold: c.Cold, Outlier: c.Outlier, Required: c.Required,
	}
	if byHealth {
		t.Gray = &c.Gray
	}
	if c.Excluded == target.NotExcluded {
		t.Cost = &c.Cost
	}
	return t
}
