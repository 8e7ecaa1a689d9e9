package target

import (
	"slices"
	"time"
)

// DueQueue holds requests that wait for a slot and serves them by due time. A request
// is due some time after its arrival: soon when it is urgent, later when its
// workspace has other requests waiting. Under overload urgent requests go first, less
// urgent ones still get slots, and a workspace with many requests delays mostly its
// own.
//
// Idempotent requests may be sent as trials to targets that are probably gray, which
// other requests cannot use. A slot that one kind of request cannot use is therefore
// still offered to the other kind.
type DueQueue[T any] struct {
	perWorkspace int
	total        int
	mayTrial     func(T) bool
	seq          uint64
	served       int
	waiting      []dueEntry[T] // sorted by compareDue
	rules        ServeRules[T]
}

// ServeRules restrict which requests a DueQueue serves. The zero value sets no rules.
type ServeRules[T any] struct {
	// MayProgress reports whether the request that has waited longest may be served
	// before its turn. Default: it gets one slot in oldestEvery.
	MayProgress func(v T) bool
	// Progressed is called when that request got a slot. Required with MayProgress.
	Progressed func(v T)
	// Evicted is called for a request that leaves a full queue because another one is
	// due before it. Default: a full queue takes no requests.
	Evicted func(v T)
}

// SetRules sets the rules by which requests are served.
func (q *DueQueue[T]) SetRules(r ServeRules[T]) {
	q.rules = r
}

type dueEntry[T any] struct {
	workspace string
	due       time.Time
	seq       uint64
	deadline  time.Time
	value     T
}

const (
	// maxRefusals bounds how many requests of one kind are offered a slot that they
	// cannot use in one pass.
	maxRefusals = 4
	// workspaceDelay is added to the due time of a request for each request of its
	// workspace that already waits.
	workspaceDelay = 30 * time.Millisecond
	// oldestEvery is the number of slots of which one goes to the request that has
	// waited longest, so that less urgent requests do not starve.
	oldestEvery = 4
)

// NewDueQueue returns a queue bounded per workspace and in total. MayTrial reports
// whether a request may be a trial of a target that is probably gray.
func NewDueQueue[T any](perWorkspace, total int, mayTrial func(T) bool) *DueQueue[T] {
	return &DueQueue[T]{perWorkspace: perWorkspace, total: total, mayTrial: mayTrial}
}

// Len returns the number of waiting requests.
func (q *DueQueue[T]) Len() int { return len(q.waiting) }

func compareDue[T any](a, b dueEntry[T]) int {
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	if a.seq < b.seq {
		return -1
	}
	return 1
}

// Push adds a request. It returns false when the queue or the workspace's part of it
// is full.
func (q *DueQueue[T]) Push(workspace string, due, deadline time.Time, v T) bool {
	due, ok := q.place(workspace, due)
	if !ok {
		return false
	}
	if len(q.waiting) >= q.total {
		q.evictLast()
	}
	q.seq++
	e := dueEntry[T]{workspace, due, q.seq, deadline, v}
	at, _ := slices.BinarySearchFunc(q.waiting, e, compareDue[T])
	q.waiting = slices.Insert(q.waiting, at, e)
	return true
}

// HasRoom reports whether Push would add a request.
func (q *DueQueue[T]) HasRoom(workspace string, due time.Time) bool {
	_, ok := q.place(workspace, due)
	return ok
}

// place returns the due time by which a new request is ordered, and whether there is room
// for it.
func (q *DueQueue[T]) place(workspace string, due time.Time) (ordered time.Time, ok bool) {
	own := 0
	for _, e := range q.waiting {
		if e.workspace == workspace {
			own++
		}
	}
	ordered = due.Add(time.Duration(own) * workspaceDelay)
	return ordered, own < q.perWorkspace && (len(q.waiting) < q.total || q.mayEvict(ordered))
}

// mayEvict reports whether a request with the given due time may take the place of the one
// that is due last.
func (q *DueQueue[T]) mayEvict(due time.Time) bool {
	last := len(q.waiting) - 1
	return q.rules.Evicted != nil && last >= 0 && q.waiting[last].due.After(due)
}

// evictLast drops the request that is due last.
func (q *DueQueue[T]) evictLast() {
	last := len(q.waiting) - 1
	v := q.waiting[last].value
	q.waiting = q.waiting[:last]
	q.rules.Evicted(v)
}

// Serve offers slots to requests in the order of due times until maxRefusals requests
// of each kind could not use one.
func (q *DueQueue[T]) Serve(take func(v T) bool) {
	refused := map[bool]int{}
	if q.oldestIsNext() {
		q.offerOldest(take, refused)
	}
	for i := 0; i < len(q.waiting) && (refused[false] < maxRefusals || refused[true] < maxRefusals); {
		if !q.offer(i, take, refused) {
			i++
			continue
		}
		if q.oldestIsNext() && len(refused) == 0 {
			q.offerOldest(take, refused)
		}
	}
}

// offerOldest offers a slot to the request that has waited longest.
func (q *DueQueue[T]) offerOldest(take func(v T) bool, refused map[bool]int) {
	at := q.oldest()
	v := q.waiting[at].value
	if q.offer(at, take, refused) && q.rules.MayProgress != nil {
		q.rules.Progressed(v)
	}
}

// oldestIsNext reports whether the next slot goes to the request that has waited
// longest.
func (q *DueQueue[T]) oldestIsNext() bool {
	if q.rules.MayProgress != nil {
		at := q.oldest()
		return at > 0 && q.rules.MayProgress(q.waiting[at].value)
	}
	return len(q.waiting) > 0 && q.served%oldestEvery == oldestEvery-1
}

// offer offers a slot to one request, unless too many of its kind could not use one,
// and reports whether the request left the queue.
func (q *DueQueue[T]) offer(at int, take func(v T) bool, refused map[bool]int) bool {
	v := q.waiting[at].value
	kind := q.mayTrial(v)
	if refused[kind] >= maxRefusals {
		return false
	}
	if !take(v) {
		refused[kind]++
		return false
	}
	q.served++
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// oldest returns the index of the request that arrived first.
func (q *DueQueue[T]) oldest() int {
	first := 0
	for i, e := range q.waiting {
		if e.seq < q.waiting[first].seq {
			first = i
		}
	}
	return first
}

// Expire drops the requests whose deadline has passed.
func (q *DueQueue[T]) Expire(now time.Time, drop func(v T)) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e dueEntry[T]) bool {
		late := !now.Before(e.deadline)
		if late {
			drop(e.value)
		}
		return late
	})
}

// Ahead returns how many waiting requests are due before a new one with the given due
// time.
func (q *DueQueue[T]) Ahead(due time.Time) int {
	at, _ := slices.BinarySearchFunc(q.waiting, due, func(e dueEntry[T], t time.Time) int { return e.due.Compare(t) })
	return at
}
