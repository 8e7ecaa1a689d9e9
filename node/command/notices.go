package command

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

const (
	// leavingRetention is how long a target that said it leaves gets no requests from this
	// VM, whatever registrations, permits or peers say. It has ended long before.
	leavingRetention = 10 * time.Minute
	// maxNotices bounds the targets of one service whose notices are kept.
	maxNotices = 1024
	// returnSpread is the share of a pause by which the times to come back differ, so that
	// the callers do not return as a crowd.
	returnSpread = 0.25
)

// targetNotices records which targets told this VM, in their answers, that they leave or that
// they want a pause. Both bind this VM also for permits that were granted before or by a
// holder that does not know of them. It is safe for concurrent use.
type targetNotices struct {
	events node.Events
	// any is true once a notice was recorded. It keeps requests from locking mu as long as
	// there is none.
	any atomic.Bool

	mu        sync.Mutex
	byService map[string]map[string]*notice // by service name and target ID
}

// notice is what the newest process of a target said.
type notice struct {
	process      string
	leavingUntil time.Time // zero unless it leaves
	pausedUntil  time.Time // zero without a pause
}

// binds reports whether the notice applies to a process of the target. A process that started
// later is not bound by what its predecessor said; one that started earlier comes from an
// outdated registration of the target.
func (n *notice) binds(process string) bool {
	if process == "" || process == n.process {
		return true
	}
	started, errStarted := strconv.ParseUint(process, 10, 64)
	spoke, errSpoke := strconv.ParseUint(n.process, 10, 64)
	return errStarted == nil && errSpoke == nil && started < spoke
}

// until returns when the target may get requests again.
func (n *notice) until() time.Time {
	if n.leavingUntil.After(n.pausedUntil) {
		return n.leavingUntil
	}
	return n.pausedUntil
}

func newTargetNotices(events node.Events) *targetNotices {
	return &targetNotices{events: events, byService: map[string]map[string]*notice{}}
}

// record records the notices in an answer that was received now.
func (t *targetNotices) record(service string, target document.Target, said wire.TargetNotices, now time.Time) {
	if said.Malformed != "" {
		t.events.Record(event.TargetPaused, service+"/"+target.ID, fmt.Sprintf("pause %.32q is not a number of seconds and is ignored", said.Malformed))
	}
	if !said.Leaving && said.Pause <= 0 {
		return
	}
	t.any.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.entry(service, target, now)
	if said.Leaving {
		if n.leavingUntil.IsZero() {
			t.events.Record(event.TargetDraining, service+"/"+target.ID, "target says in an answer that it leaves; this VM sends it no more requests")
		}
		n.leavingUntil = now.Add(leavingRetention)
	}
	if until := now.Add(said.Pause); said.Pause > 0 && until.After(n.pausedUntil) {
		n.pausedUntil = until
		t.events.Record(event.TargetPaused, service+"/"+target.ID, fmt.Sprintf("target wants no requests from this VM for %v", said.Pause))
	}
}

// entry returns the notice of a target and creates it if needed. mu must be held.
func (t *targetNotices) entry(service string, target document.Target, now time.Time) *notice {
	all := t.byService[service]
	if all == nil {
		all = map[string]*notice{}
		t.byService[service] = all
	}
	if n := all[target.ID]; n != nil && n.binds(target.Process) {
		return n
	}
	if len(all) >= maxNotices {
		dropEarliest(all)
	}
	n := &notice{process: target.Process}
	all[target.ID] = n
	return n
}

// dropEarliest drops the notice that ends first.
func dropEarliest(all map[string]*notice) {
	var earliest string
	var end time.Time
	for id, n := range all {
		if end.IsZero() || n.until().Before(end) {
			earliest, end = id, n.until()
		}
	}
	delete(all, earliest)
}

// check returns an error of kind NoCapacity if the target must not get a request from this VM
// now. It is called immediately before the request is written.
func (t *targetNotices) check(service string, target document.Target, now time.Time) error {
	if !t.any.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.byService[service][target.ID]
	switch {
	case n == nil || !n.binds(target.Process):
		return nil
	case now.Before(n.leavingUntil):
		return fault.New(fault.NoCapacity, "target %s said that it leaves", target.ID)
	case now.Before(n.pausedUntil):
		return fault.New(fault.NoCapacity, "target %s asked for a pause that lasts %v more", target.ID, n.pausedUntil.Sub(now))
	}
	return nil
}

// unwanted returns the IDs of the targets of a service that must not get requests from this VM
// now, and drops notices that have ended.
func (t *targetNotices) unwanted(service *document.Service, now time.Time) []string {
	if !t.any.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.byService[service.Name]
	for id, n := range all {
		if !now.Before(n.until()) {
			delete(all, id)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return t.bound(service, now)
}

// bound returns the IDs of the targets of a service that a notice binds now. mu must be held.
func (t *targetNotices) bound(service *document.Service, now time.Time) []string {
	all := t.byService[service.Name]
	var ids []string
	for _, target := range service.Targets {
		if n := all[target.ID]; n != nil && n.binds(target.Process) && now.Before(n.until()) {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

// explainUnwanted returns the same IDs as unwanted without dropping notices, and the time
// until the first pause of the service ends; 0 for none.
func (t *targetNotices) explainUnwanted(service *document.Service, now time.Time) (ids []string, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first := t.firstPauseEnd(service.Name, now); !first.IsZero() {
		pause = first.Sub(now)
	}
	return t.bound(service, now), pause
}

// withReturnTime returns err, and for a request that no target may get, with the time until the
// first pause of the service ends.
func (t *targetNotices) withReturnTime(service string, err error, now time.Time) error {
	if fault.KindOf(err) != fault.NoCapacity || !t.any.Load() {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.firstPauseEnd(service, now)
	if first.IsZero() {
		return err
	}
	wait := first.Sub(now)
	wait += time.Duration(returnSpread * rand.Float64() * float64(wait))
	return errPaused(service, wait)
}

// firstPauseEnd returns when the first pause of a service ends; zero for none. mu must be
// held.
func (t *targetNotices) firstPauseEnd(service string, now time.Time) time.Time {
	var first time.Time
	for _, n := range t.byService[service] {
		if now.Before(n.pausedUntil) && n.leavingUntil.IsZero() && (first.IsZero() || n.pausedUntil.Before(first)) {
			first = n.pausedUntil
		}
	}
	return first
}

func errPaused(service string, wait time.Duration) error {
	return fault.NewWithDelay(fault.NoCapacity, wait, "each target of service %s is closed, failed the request or asked for a pause", service)
}
