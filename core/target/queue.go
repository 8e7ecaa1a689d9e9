package target

import "time"

// Bounds of the wait queue of a group.
const (
	// QueuePerWorkspace bounds the waiting requests of one workspace.
	QueuePerWorkspace = 64
	// QueueTotal bounds the waiting requests of a group.
	QueueTotal = 256
)

// WaitQueue is the queue of requests that wait for a slot of a group: bounded, and
// fair between workspaces. Implementations are not safe for concurrent use.
type WaitQueue[T any] interface {
	// Push adds an element that should be served by due and may wait until deadline. It
	// returns false when the workspace or the queue is full.
	Push(workspace string, due, deadline time.Time, v T) bool
	// HasRoom reports whether Push would add an element, and leaves the queue unchanged.
	HasRoom(workspace string, due time.Time) bool
	// Serve offers elements to take in the order of the queue. An element leaves the
	// queue when take returns true; Serve returns when take has refused enough elements
	// that the rest are unlikely to be accepted.
	Serve(take func(v T) bool)
	// Expire removes the elements whose deadline has passed and calls drop for each.
	Expire(now time.Time, drop func(v T))
	// Ahead returns how many waiting elements are served before a new one with that due
	// time.
	Ahead(due time.Time) int
	// Len returns the number of elements.
	Len() int
}

// RoundRobinQueue serves workspaces in round robin and the requests of each workspace
// in order of arrival. Create it with NewRoundRobinQueue.
type RoundRobinQueue[T any] struct {
	perWorkspace int
	total        int
	length       int
	order        []*workspaceQueue[T]
}

type workspaceQueue[T any] struct {
	workspace string
	waiting   []element[T]
}

type element[T any] struct {
	deadline time.Time
	value    T
}

// NewRoundRobinQueue returns a queue with the given bounds.
func NewRoundRobinQueue[T any](perWorkspace, total int) *RoundRobinQueue[T] {
	return &RoundRobinQueue[T]{perWorkspace: perWorkspace, total: total}
}

// Ahead returns the number of waiting elements. Due times do not matter.
func (q *RoundRobinQueue[T]) Ahead(time.Time) int {
	return q.length
}

// Len returns the number of elements.
func (q *RoundRobinQueue[T]) Len() int {
	return q.length
}

// Push adds an element that waits until deadline. It returns false when the workspace
// or the queue is full.
func (q *RoundRobinQueue[T]) Push(workspace string, _, deadline time.Time, v T) bool {
	t := q.find(workspace)
	if !q.hasRoom(t) {
		return false
	}
	if t == nil {
		t = &workspaceQueue[T]{workspace: workspace}
		q.order = append(q.order, t)
	}
	t.waiting = append(t.waiting, element[T]{deadline, v})
	q.length++
	return true
}

// HasRoom reports whether Push would add an element. Due times do not matter.
func (q *RoundRobinQueue[T]) HasRoom(workspace string, _ time.Time) bool {
	return q.hasRoom(q.find(workspace))
}

// hasRoom reports whether the queue has room for an element of a workspace with the queue
// t, nil for none.
func (q *RoundRobinQueue[T]) hasRoom(t *workspaceQueue[T]) bool {
	return q.length < q.total && (t == nil || len(t.waiting) < q.perWorkspace)
}

// find returns the queue of a workspace; nil for none.
func (q *RoundRobinQueue[T]) find(workspace string) *workspaceQueue[T] {
	for _, t := range q.order {
		if t.workspace == workspace {
			return t
		}
	}
	return nil
}

// Serve offers the oldest element of each workspace in turn until each workspace's
// oldest element was refused. A workspace that was served goes to the end of the
// order.
func (q *RoundRobinQueue[T]) Serve(take func(v T) bool) {
	refused := 0
	for i := 0; i < len(q.order) && refused < len(q.order); {
		t := q.order[i]
		if !take(t.waiting[0].value) {
			refused++
			i++
			continue
		}
		t.waiting = t.waiting[1:]
		q.length--
		q.order = append(q.order[:i], q.order[i+1:]...)
		if len(t.waiting) > 0 {
			q.order = append(q.order, t)
		}
	}
}

// Expire removes the elements whose deadline has passed.
func (q *RoundRobinQueue[T]) Expire(now time.Time, drop func(v T)) {
	remaining := q.order[:0]
	for _, t := range q.order {
		kept := t.waiting[:0]
		for _, e := range t.waiting {
			if now.Before(e.deadline) {
				kept = append(kept, e)
				continue
			}
			q.length--
			drop(e.value)
		}
		t.waiting = kept
		if len(kept) > 0 {
			remaining = append(remaining, t)
		}
	}
	q.order = remaining
}
