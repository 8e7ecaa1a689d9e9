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

// command is a message to the owner side.
type command interface {
	apply(o *owner)
}

// owner decides for the groups of all shards that this VM holds exclusively. It
// runs on the actor's goroutine only.
type owner struct {
	pool   *Pool
	check  target.Check
	groups map[string]*ownedGroup
}

// ownedGroup is one group during one lease.
type ownedGroup struct {
	shard     member.Shard
	epoch     uint64
	holder    *target.Holder
	queue     target.Waiting[*waiter]
	admission target.Admission
	busyAt    time.Time
	list      *member.List
}

func (g *ownedGroup) byBelief() bool {
	return g.holder.View().Service.Placement == document.ByBelief
}

func newOwner(p *Pool) *owner {
	return &owner{
		pool:   p,
		check:  target.Check{Reporter: p.config.Events},
		groups: map[string]*ownedGroup{},
	}
}

// tick does what time demands for all groups.
type tick struct{}

func (tick) apply(o *owner) {
	l := o.pool.currentLayout()
	if l == nil {
		return
	}
	o.dropLost(l)
	for shard, views := range l.shards {
		hold, ok := o.exclusive(shard)
		if !ok {
			continue
		}
		for _, v := range views {
			o.tickGroup(l, v, hold)
		}
	}
}

func (o *owner) tickGroup(l *layout, v *target.View, hold node.Hold) {
	now := time.Now()
	g := o.group(l, v, hold, now)
	g.holder.Tick(now, o.pool.config.Contact.InContact)
	o.check.Floor(g.holder)
	g.holder.SetShare(float64(hold.Grants) / float64(max(1, hold.Members)))
	g.queue.Expire(now, func(w *waiter) { w.finish(o.late(g, w, now)) })
	o.serve(g)
	o.noteBusy(g, now)
}

// exclusive returns the lease on a shard when it is exclusive at this moment.
func (o *owner) exclusive(s member.Shard) (node.Hold, bool) {
	hold, ok := o.pool.config.Ownership.Held(s)
	valid := ok && hold.Exclusive && time.Now().Before(hold.Until)
	return hold, valid
}

// group returns the state of v under the given lease, new when the lease is.
func (o *owner) group(l *layout, v *target.View, hold node.Hold, now time.Time) *ownedGroup {
	name := v.Group.Name
	g := o.groups[name]
	if g != nil && g.epoch != hold.Epoch {
		o.drop(name, g)
		g = nil
	}
	if g == nil {
		g = o.newGroup(l, v, hold, now)
		o.groups[name] = g
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

func (o *owner) newGroup(l *layout, v *target.View, hold node.Hold, now time.Time) *ownedGroup {
	c := target.Config{
		View:        v,
		Members:     l.members,
		FirstPermit: firstPermit(o.pool.config.Identity.Instance, hold.Epoch, v.Group.Name),
		Emit:        o.emit,
		Repeats:     o.pool.config.Repeats,
	}
	return &ownedGroup{
		shard:  member.ShardOf(v.Group.Name),
		epoch:  hold.Epoch,
		holder: target.NewHolder(c, now),
		queue:  newQueue(v.Service.Placement),
		list:   l.list,
	}
}

const (
	// busyQueue is the number of waiting requests from which a group is called busy.
	busyQueue = 6
	// busyEvery is the least time between two records of a busy group.
	busyEvery = time.Second
)

// noteBusy records why requests wait.
func (o *owner) noteBusy(g *ownedGroup, now time.Time) {
	if g.queue.Len() < busyQueue || now.Sub(g.busyAt) < busyEvery {
		return
	}
	g.busyAt = now
	detail := fmt.Sprintf("%d requests wait, one slot each %d ms, targets (slots in use, gray, requests in the last second): %s",
		g.queue.Len(), g.admission.Interval().Milliseconds(), g.holder.Explain(now))
	o.pool.config.Events.Record(event.GroupBusy, g.holder.View().Group.Name, detail)
}

func newQueue(p document.Placement) target.Waiting[*waiter] {
	if p == document.ByBelief {
		return target.NewUrgentQueue(target.QueuePerWorkspace, target.QueueTotal, (*waiter).trial)
	}
	return target.NewQueue[*waiter](target.QueuePerWorkspace, target.QueueTotal)
}

// late answers a request that waited in vain. Where targets are placed by belief
// it is final: an answer could not be in time any more.
func (o *owner) late(g *ownedGroup, w *waiter, now time.Time) *peerv1.ExchangePermitsResponse {
	if g.byBelief() {
		return o.refuse(g, w, 0, now)
	}
	return o.answer(g, w, now)
}

// firstPermit separates the identifiers of different leases. 24 random bits
// above a counter of 24 bits keep an identifier at 7 bytes on the wire.
func firstPermit(instance, epoch uint64, group string) uint64 {
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

func (o *owner) emit(e target.Effect) {
	o.pool.config.Events.Record(e.Kind, e.Subject, e.Detail)
}

// dropLost forgets the groups whose lease or configuration has ended.
func (o *owner) dropLost(l *layout) {
	for name, g := range o.groups {
		hold, ok := o.exclusive(g.shard)
		_, configured := l.Groups[name]
		if !ok || hold.Epoch != g.epoch || !configured {
			o.drop(name, g)
		}
	}
}

// drop forgets a group. Its waiting requests are told to look for the holder.
func (o *owner) drop(name string, g *ownedGroup) {
	delete(o.groups, name)
	dropped := 0
	g.queue.Serve(func(w *waiter) bool {
		dropped++
		w.finish(&peerv1.ExchangePermitsResponse{})
		return true
	})
	if dropped > 0 {
		o.pool.config.Events.Record(event.MessageShed, name, "waiting requests returned because the lease ended")
	}
}

// askState asks for the state of all groups that this VM decides for.
type askState struct {
	reply chan []GroupState
}

func (a askState) apply(o *owner) {
	all := make([]GroupState, 0, len(o.groups))
	for name, g := range o.groups {
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
