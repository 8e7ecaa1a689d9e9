package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// message is handled by the actor of the holder side. apply runs on its
// goroutine.
type message interface {
	apply(h *holderActor)
}

// holderActor grants permits for the groups of all shards that this VM holds
// exclusively. It runs only on the actor's goroutine.
type holderActor struct {
	pool   *Pool
	check  target.Check
	groups map[string]*heldGroup
}

// heldGroup is the state of one group during one lease.
type heldGroup struct {
	shard     member.Shard
	epoch     uint64
	holder    *target.Holder
	queue     target.WaitQueue[*waiter]
	admission target.Admission
	// control is nil without overload control.
	control *overloadControl
	// busyRecordedAt is when the last GroupBusy event was recorded.
	busyRecordedAt time.Time
	// list is the VM list from which the holder got its members.
	list *member.List
}

// byHealthEstimate reports whether the service places requests by health
// estimate.
func (g *heldGroup) byHealthEstimate() bool {
	return g.holder.View().Service.Placement == document.ByHealthEstimate
}

func newHolderActor(p *Pool) *holderActor {
	return &holderActor{
		pool:   p,
		check:  target.Check{Reporter: p.config.Events},
		groups: map[string]*heldGroup{},
	}
}

// tick starts a pass over all groups.
type tick struct{}

func (tick) apply(h *holderActor) {
	l := h.pool.currentLayout()
	if l == nil {
		return
	}
	h.dropEnded(l)
	for shard, views := range l.shards {
		hold, ok := h.exclusiveLease(shard)
		if !ok {
			continue
		}
		for _, v := range views {
			h.tickGroup(l, v, hold)
		}
	}
}

// tickGroup advances one group to the current time: it updates the state of the
// targets, expires waiting requests and serves the queue.
func (h *holderActor) tickGroup(l *layout, v *target.View, hold node.HeldLease) {
	now := time.Now()
	g := h.group(l, v, hold, now)
	g.holder.Tick(now, h.pool.config.Contact.InContact)
	h.check.Floor(g.holder)
	g.holder.SetShare(leaseShare(hold))
	g.queue.Expire(now, func(w *waiter) { w.finish(h.expiredResponse(g, w, now)) })
	h.serveQueue(g)
	h.recordBusy(g, now)
	h.recordOverload(g, now)
}

// leaseShare returns the share of the members that granted the lease.
func leaseShare(hold node.HeldLease) float64 {
	return float64(hold.Grants) / float64(max(1, hold.Members))
}

// exclusiveLease returns the lease on s. ok is true only if the lease is
// exclusive at this moment.
func (h *holderActor) exclusiveLease(s member.Shard) (node.HeldLease, bool) {
	hold, ok := h.pool.config.Ownership.Held(s)
	valid := ok && hold.Exclusive && time.Now().Before(hold.Until)
	return hold, valid
}

// groupLease returns the lease on the shard of a group. ok is false when the group is not in
// the configuration or the lease is not exclusive at this moment.
func (h *holderActor) groupLease(l *layout, group string) (hold node.HeldLease, ok bool) {
	if l == nil || l.Groups[group] == nil {
		return node.HeldLease{}, false
	}
	return h.exclusiveLease(h.pool.shardOf(&l.Groups[group].Group))
}

// group returns the state of the group v under the given lease. A new lease
// starts with a new state.
func (h *holderActor) group(l *layout, v *target.View, hold node.HeldLease, now time.Time) *heldGroup {
	name := v.Group.Name
	g := h.groups[name]
	if g != nil && g.epoch != hold.Epoch {
		h.drop(name, g)
		g = nil
	}
	if g == nil {
		g = h.newGroup(l, v, hold, now)
		h.groups[name] = g
	}
	if g.holder.View() != v {
		g.holder.Apply(v, now)
	}
	if g.list != l.list {
		g.list = l.list
		g.holder.SetMembers(l.members)
	}
	return g
}

// newGroup returns the state of a group at the start of a lease.
func (h *holderActor) newGroup(l *layout, v *target.View, hold node.HeldLease, now time.Time) *heldGroup {
	c := target.Config{
		View:            v,
		Members:         l.members,
		FirstPermit:     firstPermitID(h.pool.config.Identity.Instance, hold.Epoch, v.Group.Name),
		Emit:            h.emit,
		RetryBudget:     h.pool.config.FleetRetryBudget,
		Anticipate:      h.pool.config.AnticipateLoad,
		OverloadControl: h.pool.config.OverloadControl,
	}
	g := &heldGroup{
		shard:  h.pool.shardOf(&v.Group),
		epoch:  hold.Epoch,
		holder: target.NewHolder(c, now),
		queue:  newQueue(v.Service.Placement),
		list:   l.list,
	}
	g.holder.SetShare(leaseShare(hold))
	if q, ok := g.queue.(*target.DueQueue[*waiter]); ok && c.OverloadControl {
		g.control = &overloadControl{}
		q.SetRules(h.serveRules(g))
	}
	return g
}

const (
	// busyQueueLength is the number of waiting requests from which a group is
	// considered busy.
	busyQueueLength = 6
	// busyRecordInterval is the minimum time between two GroupBusy events of a
	// group.
	busyRecordInterval = time.Second
)

// recordBusy records an event that explains why requests wait.
func (h *holderActor) recordBusy(g *heldGroup, now time.Time) {
	if g.queue.Len() < busyQueueLength || now.Sub(g.busyRecordedAt) < busyRecordInterval {
		return
	}
	g.busyRecordedAt = now
	detail := fmt.Sprintf("%d requests are waiting, one slot is granted every %d ms, targets (slots in use, gray, requests in the last second): %s",
		g.queue.Len(), g.admission.GrantInterval().Milliseconds(), g.holder.Summary(now))
	h.pool.config.Events.Record(event.GroupBusy, g.holder.View().Group.Name, detail)
}

// newQueue returns the queue of waiting requests for a placement: by due time
// where targets are placed by health estimate, else round robin over
// workspaces.
func newQueue(p document.Placement) target.WaitQueue[*waiter] {
	if p == document.ByHealthEstimate {
		return target.NewDueQueue(target.QueuePerWorkspace, target.QueueTotal, (*waiter).mayBeTrial)
	}
	return target.NewRoundRobinQueue[*waiter](target.QueuePerWorkspace, target.QueueTotal)
}

// expiredResponse returns the response to a request that has reached its
// deadline in the queue. Where targets are placed by health estimate, the
// refusal is final, because an answer could no longer meet the objective of the
// route.
func (h *holderActor) expiredResponse(g *heldGroup, w *waiter, now time.Time) *peerv1.ExchangePermitsResponse {
	if g.byHealthEstimate() {
		return h.refuse(g, w, 0, now)
	}
	return h.newResponse(g, w, now)
}

// firstPermitID returns the start of the permit IDs of a lease, so that
// different leases use different IDs. 24 pseudo-random bits (the highest always
// set) above a 24-bit counter keep an ID at 7 bytes on the wire.
func firstPermitID(instance, epoch uint64, group string) uint64 {
	d := xxhash.New()
	var raw [16]byte
	for i := range 8 {
		raw[i] = byte(instance >> (8 * i))
		raw[8+i] = byte(epoch >> (8 * i))
	}
	_, _ = d.Write(raw[:])
	_, _ = d.WriteString(group)
	return (d.Sum64()&0x7fffff | 0x800000) << 24
}

// emit records an event of a target holder.
func (h *holderActor) emit(e target.Event) {
	h.pool.config.Events.Record(e.Kind, e.Subject, e.Detail)
}

// dropEnded drops the groups whose lease or configuration has ended.
func (h *holderActor) dropEnded(l *layout) {
	for name, g := range h.groups {
		hold, ok := h.exclusiveLease(g.shard)
		_, configured := l.Groups[name]
		if !ok || hold.Epoch != g.epoch || !configured {
			h.drop(name, g)
		}
	}
}

// drop removes a group. Its waiting requests get an empty response, after which
// their callers look for the new holder.
func (h *holderActor) drop(name string, g *heldGroup) {
	delete(h.groups, name)
	dropped := 0
	g.queue.Serve(func(w *waiter) bool {
		dropped++
		w.finish(&peerv1.ExchangePermitsResponse{})
		return true
	})
	if dropped > 0 {
		h.pool.config.Events.Record(event.MessageShed, name, "waiting requests returned to their entry VMs because the lease on the group ended")
	}
}

// stateRequest asks for the state of all groups that this VM holds.
type stateRequest struct {
	reply chan []GroupState
}

func (a stateRequest) apply(h *holderActor) {
	all := make([]GroupState, 0, len(h.groups))
	for name, g := range h.groups {
		all = append(all, GroupState{
			Group:   name,
			Epoch:   g.epoch,
			Ready:   g.holder.Ready(),
			Queued:  g.queue.Len(),
			Targets: g.holder.Status(),
		})
	}
	slices.SortFunc(all, func(a, b GroupState) int { return strings.Compare(a.Group, b.Group) })
	a.reply <- all
}
