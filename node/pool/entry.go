package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node"
)

const (
	// maxImmediateTries is how many holders are asked without waiting before a
	// request queues at one of them.
	maxImmediateTries = 2
	// maxRefusals is how many groups may refuse a request immediately before
	// the request is refused: one group may be overloaded while others have
	// free slots.
	maxRefusals = 3
	// immediateRefusal is the longest wait in the queue of a holder, as measured there,
	// after which a refusal still counts as immediate.
	immediateRefusal = 30 * time.Millisecond
	// maxQueueWait is the longest wait in the queue of one holder. A shorter
	// wait loses the place in the queue; a longer one keeps the request at a
	// group that has slowed down.
	maxQueueWait = time.Second
	// retryBackoff is the first delay between two rounds over the holders when
	// none grants a permit. It doubles up to maxRetryBackoff, so that a
	// takeover of 2.6 s costs few calls.
	retryBackoff    = 10 * time.Millisecond
	maxRetryBackoff = 160 * time.Millisecond
	// defaultTimeout bounds the wait of a request without a deadline.
	defaultTimeout = 10 * time.Second
)

// entry is the state of the entry side.
type entry struct {
	// mu guards all fields.
	mu sync.Mutex
	// clients maps a group name to its client.
	clients map[string]*groupClient
	// baselines maps a service name to its median latency.
	baselines map[string]*median
	// lastDegradedID is the ID of the last permit of degraded mode.
	lastDegradedID uint64
	// degradedInUse counts the permits of degraded mode by degradedKey.
	degradedInUse map[string]int
}

func (e *entry) init() {
	e.clients = map[string]*groupClient{}
	e.baselines = map[string]*median{}
	e.degradedInUse = map[string]int{}
}

// acquireRequest is one round of an Acquire call over the groups of a service.
type acquireRequest struct {
	node.PermitRequest
	layout *layout
	// queueFull reports whether a holder refused because its queue was full.
	queueFull atomic.Bool
	// retryAfter is the time in nanoseconds after which the request may be
	// retried, as given by a holder that refused it because of a long expected
	// wait; 0 for none.
	retryAfter atomic.Int64
	// refusedLate reports whether a holder refused the request after a wait in its queue.
	refusedLate atomic.Bool
}

// Acquire waits for a permit until ctx ends, at most defaultTimeout when ctx
// has no deadline. It returns an error of kind NoCapacity when no target of the
// service may receive requests, Overloaded when the queues are full or no slot
// is expected in time, and DeadlineNotRun when ctx ended.
func (p *Pool) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	for wait := retryBackoff; ctx.Err() == nil; wait = min(2*wait, maxRetryBackoff) {
		q := &acquireRequest{PermitRequest: r, layout: p.currentLayout()}
		if err := q.checkTargets(); err != nil {
			return nil, err
		}
		if u := p.tryGroups(ctx, q); u != nil {
			return u, nil
		}
		after := q.retryAfter.Load()
		if q.queueFull.Load() && (after == 0 || !p.config.OverloadControl) {
			return nil, errQueueFull(r.Service.Name)
		}
		if after > 0 {
			return nil, errNotInTime(r.Service.Name, time.Duration(after))
		}
		sleep(ctx, wait)
	}
	return nil, errNoSlotInTime(r.Service.Name)
}

// errQueueFull returns the error of a request for which a queue has no room.
func errQueueFull(service string) error {
	return fault.New(fault.Overloaded, "the queue of a group of service %s is full", service)
}

// errNotInTime returns the error of a request that the holders refused, with the time after
// which its caller may return.
func errNotInTime(service string, after time.Duration) error {
	return fault.NewWithDelay(fault.Overloaded, after, "no slot of service %s is expected in time", service)
}

// errNoSlotInTime returns the error of a request whose deadline passed.
func errNoSlotInTime(service string) error {
	return fault.New(fault.DeadlineNotRun, "no slot of service %s became free in time", service)
}

// checkTargets returns an error when no target may receive the request.
func (q *acquireRequest) checkTargets() error {
	if q.layout == nil {
		return fault.New(fault.NoCapacity, "no configuration has been applied on this VM yet")
	}
	if slices.ContainsFunc(q.layout.services[q.Service.Name], q.hasTarget) {
		return nil
	}
	return fault.New(fault.NoCapacity, "no target of service %s may receive the request: each is closed or has already failed it", q.Service.Name)
}

// hasTarget reports whether a target of the group may receive the request.
func (q *acquireRequest) hasTarget(v *target.View) bool {
	return slices.ContainsFunc(v.Group.Targets, func(t document.Target) bool {
		return target.IsOpen(t, v.OutDomains) && !q.avoids(t.ID)
	})
}

// avoids reports whether the request must not be sent to the target.
func (q *acquireRequest) avoids(id string) bool {
	for _, a := range q.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// tryGroups first looks for an idle permit of this VM, then asks a few holders
// without waiting, and then waits in the queue of one. It returns nil when none
// granted a permit.
func (p *Pool) tryGroups(ctx context.Context, q *acquireRequest) *permitUse {
	clients := p.clientsOf(q)
	for _, c := range clients {
		if u := c.takeIdle(q, time.Now()); u != nil {
			return u
		}
	}
	if p.config.AnticipateLoad {
		return p.tryAnticipated(ctx, q, clients)
	}
	order := p.order(q.clientsWithTargets(clients))
	for i, c := range order {
		if i == maxImmediateTries || c.looksFull() || (len(order) == 1 && !q.Hedge) {
			break
		}
		if u := p.requestPermit(ctx, c, q, 0); u != nil {
			return u
		}
	}
	return p.waitInQueue(ctx, order, q)
}

// clientsWithTargets returns those of the clients, which are those of clientsOf, whose groups have
// a target for the request. A small service may have groups without targets; a request that
// queued there would be refused while other groups have free slots.
func (q *acquireRequest) clientsWithTargets(clients []*groupClient) []*groupClient {
	found := clients[:0]
	for i, v := range q.layout.services[q.Service.Name] {
		if q.hasTarget(v) {
			found = append(found, clients[i])
		}
	}
	return found
}

// waitInQueue waits at the first group that queues the request. Groups that refuse it
// immediately are skipped, at most maxRefusals of them. The holder says whether the request
// waited in its queue: the time that the call took includes delays of both VMs and of the
// network, for which other groups with free slots must not be left out.
func (p *Pool) waitInQueue(ctx context.Context, order []*groupClient, q *acquireRequest) *permitUse {
	asked := 0
	for _, c := range order {
		if c.unreachable(time.Now()) {
			continue
		}
		u := p.requestPermit(ctx, c, q, q.queueTimeout())
		asked++
		refused := q.retryAfter.Load() > 0 && !q.refusedLate.Load()
		if u != nil || !refused || asked == maxRefusals || ctx.Err() != nil {
			return u
		}
	}
	return nil
}

// queueTimeout returns how long the request may wait in a holder's queue. Where
// targets are placed by health estimate, the holder knows how long an answer
// takes and refuses requests that cannot be served in time, so there the whole
// hold time of the request is allowed.
func (q *acquireRequest) queueTimeout() time.Duration {
	if q.Service.Placement == document.ByHealthEstimate {
		return q.MaxDuration
	}
	return maxQueueWait
}

// orderByLoad puts the less loaded of two random clients first and the least
// loaded of the others second. The power of two choices keeps all VMs from
// following the same response to the same group.
func orderByLoad(clients []*groupClient) []*groupClient {
	rand.Shuffle(len(clients), func(i, j int) { clients[i], clients[j] = clients[j], clients[i] })
	if len(clients) > 1 && clients[1].lessLoaded(clients[0]) {
		clients[0], clients[1] = clients[1], clients[0]
	}
	for i := 2; i < len(clients); i++ {
		if clients[i].lessLoaded(clients[1]) {
			clients[1], clients[i] = clients[i], clients[1]
		}
	}
	return clients
}

// clientsOf returns the clients of the groups of the service in this cell.
func (p *Pool) clientsOf(q *acquireRequest) []*groupClient {
	views := q.layout.services[q.Service.Name]
	clients := make([]*groupClient, 0, len(views))
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	for _, v := range views {
		clients = append(clients, p.client(v))
	}
	return clients
}

// client returns the client of a group and creates it if needed. The caller
// holds entry.mu.
func (p *Pool) client(v *target.View) *groupClient {
	name := v.Group.Name
	c := p.entry.clients[name]
	if c == nil {
		c = newGroupClient(p, &v.Group)
		p.entry.clients[name] = c
	}
	return c
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// usableTarget returns the current entry of a target in a group. ok is false
// when the target must not receive new requests through this group.
func (l *layout) usableTarget(service, group, id string) (t document.Target, ok bool) {
	v := l.Groups[group]
	if v == nil || l.GroupOf(service, id) != group {
		return document.Target{}, false
	}
	t, ok = v.Find(id)
	return t, ok && target.IsOpen(t, v.OutDomains)
}
