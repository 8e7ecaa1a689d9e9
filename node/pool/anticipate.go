package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
)

// LoadChoice is the result of a choice by expected load.
type LoadChoice string

// The results of a choice by expected load.
const (
	// ChoiceGranted: the group that was expected to have a free slot granted one.
	ChoiceGranted LoadChoice = "granted"
	// ChoiceFull: the group that was expected to have a free slot had none.
	ChoiceFull LoadChoice = "full"
	// ChoiceQueued: no group was expected to have a free slot, so the request queued at
	// once.
	ChoiceQueued LoadChoice = "queued"
)

// LoadChoices returns all results of a choice by expected load.
func LoadChoices() []LoadChoice {
	return []LoadChoice{ChoiceGranted, ChoiceFull, ChoiceQueued}
}

// tryAnticipated asks the group with the most expected room without waiting if a free slot
// is expected there, and then waits in the queue of a group, chosen again with what the
// first response reported. A request, other than a hedge, that has only one group to ask goes
// to its queue at once, which grants a free slot just as well. It returns nil when none
// granted a permit.
func (p *Pool) tryAnticipated(ctx context.Context, q *acquireRequest, clients []*groupClient) *permitUse {
	order, hasRoom := p.orderByExpectedLoad(q, clients)
	onlyGroup := len(order) == 1 && !q.Hedge
	if !hasRoom {
		p.recordChoice(ChoiceQueued)
	}
	if hasRoom && !onlyGroup {
		if u := p.requestPermit(ctx, order[0], q, 0); u != nil {
			p.recordChoice(ChoiceGranted)
			return u
		}
		p.recordChoice(ChoiceFull)
		order, _ = p.orderByExpectedLoad(q, clients)
	}
	return p.waitInQueue(ctx, order, q)
}

// orderByExpectedLoad returns the clients in the order in which to ask them, and whether the
// first is expected to have a free slot. The clients are those of clientsOf.
func (p *Pool) orderByExpectedLoad(q *acquireRequest, clients []*groupClient) (order []*groupClient, hasRoom bool) {
	loads := p.estimatedLoads(q, clients, p.config.Identity.VM.FailureDomain, time.Now())
	choice := target.OrderGroups(loads, p.baseline(q.Service.Name).value(), rand.Float64)
	order = make([]*groupClient, len(clients))
	for i, c := range choice.Order {
		order[i] = clients[c]
	}
	return order, choice.HasRoom
}

// estimatedLoads returns what is known about the loads of the clients of clientsOf, for a
// request from the failure domain from.
func (p *Pool) estimatedLoads(q *acquireRequest, clients []*groupClient, from string, now time.Time) []target.EstimatedLoad {
	loads := make([]target.EstimatedLoad, len(clients))
	for i, v := range q.layout.services[q.Service.Name] {
		loads[i] = clients[i].estimatedLoad(v.OpenSlots(), now)
		loads[i].Remote = p.isRemoteFrom(v.Group.Domain, from)
	}
	return loads
}

// estimatedLoad returns what is known about the load of the group.
func (c *groupClient) estimatedLoad(slots int, now time.Time) target.EstimatedLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.estimate.Load(slots, now)
	l.Unreachable = now.Sub(c.failedAt) < unreachableBackoff
	return l
}

// startCall records a call to the holder vm in the estimate of the load. An acquire counts as
// a slot in use until a response includes it. A new holder, or a holder that has restarted,
// does not know the load that its predecessor reported.
func (c *groupClient) startCall(vm member.VM, acquire bool) (call uint64) {
	if !c.pool.config.AnticipateLoad {
		return 0
	}
	instance, _ := c.pool.config.Contact.InstanceOf(vm.ID)
	holder := holderID{vm.ID, instance}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.estimateOf != holder {
		c.estimate.Forget()
		c.estimateOf = holder
	}
	if !acquire {
		return c.estimate.LastCall()
	}
	return c.estimate.StartCall()
}

// endCall records that an acquire has ended.
func (c *groupClient) endCall(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimate.EndCall(call)
}

// recordLoad records the load in the response to a call. The caller holds c.mu.
func (c *groupClient) recordLoad(call uint64, now time.Time) {
	if !c.pool.config.AnticipateLoad {
		return
	}
	if v := c.pool.currentLayout().Groups[c.name]; v != nil {
		c.estimate.Record(call, c.free, c.queued, v.OpenSlots(), now)
	}
}

// recordChoice counts a choice by expected load.
func (p *Pool) recordChoice(result LoadChoice) {
	if p.config.OnLoadChoice != nil {
		p.config.OnLoadChoice(result)
	}
}
