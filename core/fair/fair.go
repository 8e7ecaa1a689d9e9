// Package fair provides a bounded queue that is fair between flows. A flow is a
// workspace. Flows are served by deficit round robin, so a flow with many entries
// does not delay the others.
//
// The package reads no clock and does no I/O: time is passed in, and nothing
// blocks. A Queue is not safe for concurrent use.
package fair

import (
	"container/list"
	"time"
)

// Result is the result of queueing an entry.
type Result uint8

// The results of Push and the reasons of a Drop.
const (
	// Accepted means that the entry was added to the queue.
	Accepted Result = iota
	// FlowFull means that the flow has reached its limit.
	FlowFull
	// QueueFull means that the queue has reached its total limit.
	QueueFull
	// Late means that the entry is expected to wait beyond its deadline.
	Late
	// Expired means that the deadline of the entry passed while it was queued.
	Expired
)

// String returns the stable name of r.
func (r Result) String() string {
	return [...]string{"accepted", "flow_full", "queue_full", "late", "expired"}[r]
}

// Limits bounds a queue.
type Limits struct {
	// PerFlow is the maximum number of entries of one flow. Default: Total.
	PerFlow int
	// Total is the maximum number of entries of all flows. Default: 1024.
	Total int
	// Quantum is the cost that a flow may use in each round. Default: 1.
	Quantum int
}

// defaultTotal bounds a queue whose caller sets no limit.
const defaultTotal = 1024

// Entry is one waiting element.
type Entry[T any] struct {
	// Flow names the flow.
	Flow string
	// Value is the element.
	Value T
	// Cost is charged against the quantum of the flow. Default: 1.
	Cost int
	// Deadline is when the entry expires; zero means never.
	Deadline time.Time
	// Wait is the expected wait, if the caller has a better estimate than the
	// queue. Default: the estimate of ExpectedWait.
	Wait time.Duration
}

// Item is the handle of a queued entry, for use with Cancel.
type Item[T any] struct {
	entry   Entry[T]
	flow    *flow[T]
	element *list.Element
}

// Drop is an entry that left the queue without being served.
type Drop[T any] struct {
	// Value is the element of the entry.
	Value T
	// Reason is Expired or QueueFull.
	Reason Result
}

// Queue is the bounded queue. Create it with New.
type Queue[T any] struct {
	limits Limits
	flows  map[string]*flow[T]
	// active holds the flows that have entries, in round-robin order.
	active list.List
	length int
	drops  []Drop[T]
	// earliestDeadline is a lower bound on the deadlines in the queue, so that TakeDrops
	// scans only when an entry may have expired.
	earliestDeadline time.Time
	service          serviceInterval
}

type flow[T any] struct {
	name    string
	items   list.List
	element *list.Element
	deficit int
	// quantumAdded is true when the quantum of the current turn has been added.
	quantumAdded bool
}

// New returns an empty queue.
func New[T any](l Limits) *Queue[T] {
	if l.Total <= 0 {
		l.Total = defaultTotal
	}
	if l.PerFlow <= 0 || l.PerFlow > l.Total {
		l.PerFlow = l.Total
	}
	if l.Quantum <= 0 {
		l.Quantum = 1
	}
	return &Queue[T]{limits: l, flows: map[string]*flow[T]{}}
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int {
	return q.length
}

// FlowLen returns the number of entries of one flow.
func (q *Queue[T]) FlowLen(name string) int {
	if f, ok := q.flows[name]; ok {
		return f.items.Len()
	}
	return 0
}

// Push adds e. The item is nil unless the result is Accepted. When the queue is
// full, the newest entry of the longest flow is dropped in favour of an entry of a
// shorter flow; TakeDrops returns the dropped entry.
func (q *Queue[T]) Push(e Entry[T], now time.Time) (*Item[T], Result) {
	if e.Cost <= 0 {
		e.Cost = 1
	}
	if e.Wait <= 0 {
		e.Wait = q.ExpectedWait(e.Flow)
	}
	r, longest := q.verdict(e, now)
	if r != Accepted {
		return nil, r
	}
	if longest != nil {
		q.dropNewest(longest)
	}
	return q.insert(e), Accepted
}

// Verdict returns the result that Push would have, and leaves the queue unchanged.
func (q *Queue[T]) Verdict(e Entry[T], now time.Time) Result {
	if e.Wait <= 0 {
		e.Wait = q.ExpectedWait(e.Flow)
	}
	r, _ := q.verdict(e, now)
	return r
}

// verdict returns the result of Push for an entry whose wait is set, and the flow that
// loses its newest entry to it; nil for none.
func (q *Queue[T]) verdict(e Entry[T], now time.Time) (r Result, longest *flow[T]) {
	if !e.Deadline.IsZero() && !now.Add(e.Wait).Before(e.Deadline) {
		return Late, nil
	}
	if q.FlowLen(e.Flow) >= q.limits.PerFlow {
		return FlowFull, nil
	}
	if q.length < q.limits.Total {
		return Accepted, nil
	}
	if longest = q.displaceable(e.Flow); longest == nil {
		return QueueFull, nil
	}
	return Accepted, longest
}

func (q *Queue[T]) insert(e Entry[T]) *Item[T] {
	f, ok := q.flows[e.Flow]
	if !ok {
		f = &flow[T]{name: e.Flow}
		f.element = q.active.PushBack(f)
		q.flows[e.Flow] = f
	}
	it := &Item[T]{entry: e, flow: f}
	it.element = f.items.PushBack(it)
	q.length++
	if !e.Deadline.IsZero() && (q.earliestDeadline.IsZero() || e.Deadline.Before(q.earliestDeadline)) {
		q.earliestDeadline = e.Deadline
	}
	return it
}

// displaceable returns the longest flow if it is, without its newest entry, still at least
// as long as the named flow will be with its new entry; else nil.
func (q *Queue[T]) displaceable(name string) *flow[T] {
	var longest *flow[T]
	for at := q.active.Front(); at != nil; at = at.Next() {
		f := at.Value.(*flow[T])
		if longest == nil || f.items.Len() > longest.items.Len() {
			longest = f
		}
	}
	if longest == nil || longest.items.Len() < q.FlowLen(name)+2 {
		return nil
	}
	return longest
}

// dropNewest drops the newest entry of a flow.
func (q *Queue[T]) dropNewest(f *flow[T]) {
	victim := f.items.Back().Value.(*Item[T])
	q.remove(victim)
	q.drops = append(q.drops, Drop[T]{victim.entry.Value, QueueFull})
}

// Pop removes and returns the next entry in fair order. Expired entries are
// skipped; TakeDrops returns them.
func (q *Queue[T]) Pop(now time.Time) (value T, ok bool) {
	for q.active.Len() > 0 {
		f := q.active.Front().Value.(*flow[T])
		head := f.items.Front().Value.(*Item[T])
		if head.expired(now) {
			q.expire(head)
			continue
		}
		if !f.quantumAdded {
			f.quantumAdded = true
			f.deficit += q.limits.Quantum
		}
		if head.entry.Cost > f.deficit {
			f.quantumAdded = false
			q.active.MoveToBack(f.element)
			continue
		}
		f.deficit -= head.entry.Cost
		return q.serve(head, now), true
	}
	return value, false
}

// PopFlow removes and returns the oldest entry of one flow, for callers that serve
// a resource of a single flow. Expired entries are skipped; TakeDrops returns them.
func (q *Queue[T]) PopFlow(name string, now time.Time) (value T, ok bool) {
	for {
		f, exists := q.flows[name]
		if !exists {
			return value, false
		}
		head := f.items.Front().Value.(*Item[T])
		if !head.expired(now) {
			return q.serve(head, now), true
		}
		q.expire(head)
	}
}

// Oldest returns the oldest entry of one flow without removing it.
func (q *Queue[T]) Oldest(name string) (value T, ok bool) {
	f, ok := q.flows[name]
	if !ok {
		return value, false
	}
	return f.items.Front().Value.(*Item[T]).entry.Value, true
}

func (q *Queue[T]) serve(it *Item[T], now time.Time) T {
	q.remove(it)
	q.service.served(now, q.length > 0)
	return it.entry.Value
}

// Cancel removes an entry from the queue. It returns false when the entry is no
// longer queued.
func (q *Queue[T]) Cancel(it *Item[T]) bool {
	if it == nil || it.element == nil {
		return false
	}
	q.remove(it)
	return true
}

// TakeDrops removes the expired entries and returns all entries that expired or
// were displaced by shorter flows since the last call.
func (q *Queue[T]) TakeDrops(now time.Time) []Drop[T] {
	if !q.earliestDeadline.IsZero() && !now.Before(q.earliestDeadline) {
		q.dropExpired(now)
	}
	out := q.drops
	q.drops = nil
	return out
}

func (q *Queue[T]) dropExpired(now time.Time) {
	q.earliestDeadline = time.Time{}
	for _, f := range q.flows {
		var next *list.Element
		for at := f.items.Front(); at != nil; at = next {
			next = at.Next()
			it := at.Value.(*Item[T])
			if it.expired(now) {
				q.expire(it)
				continue
			}
			d := it.entry.Deadline
			if !d.IsZero() && (q.earliestDeadline.IsZero() || d.Before(q.earliestDeadline)) {
				q.earliestDeadline = d
			}
		}
	}
}

func (q *Queue[T]) expire(it *Item[T]) {
	q.remove(it)
	q.drops = append(q.drops, Drop[T]{it.entry.Value, Expired})
}

func (q *Queue[T]) remove(it *Item[T]) {
	f := it.flow
	f.items.Remove(it.element)
	it.element = nil
	q.length--
	if f.items.Len() == 0 {
		q.active.Remove(f.element)
		delete(q.flows, f.name)
	}
	if q.length == 0 {
		q.service.idle()
	}
}

func (it *Item[T]) expired(now time.Time) bool {
	d := it.entry.Deadline
	return !d.IsZero() && !now.Before(d)
}

// ExpectedWait estimates how long an entry of the named flow that is pushed now
// would wait. The estimate uses the mean time between two served entries while the
// queue was not empty; it is 0 while there is no such measurement.
func (q *Queue[T]) ExpectedWait(name string) time.Duration {
	flows := len(q.flows)
	own := q.FlowLen(name)
	if own == 0 {
		flows++
	}
	ahead := min(q.length, (own+1)*flows-1)
	return time.Duration(ahead) * q.service.mean
}
