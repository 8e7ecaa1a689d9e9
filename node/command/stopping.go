package command

import (
	"context"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// answerTime is the part of a shutdown that is reserved for the answers to the requests
// that are still running.
const answerTime = 200 * time.Millisecond

// stoppable is the part of a request that ends when the VM shuts down.
type stoppable struct {
	set    *stoppables
	cancel context.CancelFunc
	// lead is the time before the end of the shutdown from which on no attempt begins,
	// because a target would probably not answer in time.
	lead time.Duration

	// set.mu guards the fields below.
	attempting bool
	ended      bool
	body       *callerBody // that is being read; nil for none
}

// stoppables are the requests of a VM that wait or run. It is safe for concurrent use.
type stoppables struct {
	mu      sync.Mutex
	running map[*stoppable]struct{}
	// deadline is the end of the shutdown; zero before the shutdown and for one without end.
	deadline time.Time
}

// add adds a request; cancel ends all of its waits. The caller calls remove at its end.
func (s *stoppables) add(r *stoppable, lead time.Duration, cancel context.CancelFunc) {
	r.set, r.lead, r.cancel = s, lead, cancel
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = map[*stoppable]struct{}{}
	}
	s.running[r] = struct{}{}
}

func (r *stoppable) remove() {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	delete(r.set.running, r)
}

// setDeadline sets the end of the shutdown.
func (s *stoppables) setDeadline(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = at
}

// endWaiting ends the requests without an attempt in progress that are not worth one any
// more.
func (s *stoppables) endWaiting(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		r.endIfDue(now)
	}
}

// endAll ends all requests.
func (s *stoppables) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		r.end()
	}
}

// endIfDue ends a request without an attempt in progress whose time for one has passed. The
// caller holds set.mu.
func (r *stoppable) endIfDue(now time.Time) {
	if d := r.set.deadline; !d.IsZero() && !r.attempting && !now.Before(d.Add(-r.lead)) {
		r.end()
	}
}

// end ends the waits of the request. The caller holds set.mu.
func (r *stoppable) end() {
	if r.ended {
		return
	}
	r.ended = true
	r.cancel()
	if r.body != nil {
		r.body.endReads()
	}
}

// beginAttempt reports whether an attempt may begin. The caller calls endAttempt at its end.
func (r *stoppable) beginAttempt() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.endIfDue(time.Now())
	r.attempting = !r.ended
	return r.attempting
}

func (r *stoppable) endAttempt() {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.attempting = false
}

// awaitBody sets the body that is being read, nil for none any more.
func (r *stoppable) awaitBody(b *callerBody) {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.body = b
	if b != nil && r.ended {
		b.endReads()
	}
}

// isEnded reports whether the shutdown has ended the request.
func (r *stoppable) isEnded() bool {
	if r.set == nil {
		return false
	}
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	return r.ended
}

// attemptLead returns how long before the end of a shutdown the last attempt of the request
// may begin: the latency objective of its route.
func (ex *exchange) attemptLead() time.Duration {
	if ex.route.ObjectiveMs <= 0 {
		return defaultObjective
	}
	return time.Duration(ex.route.ObjectiveMs) * time.Millisecond
}

func errStopping() error {
	return fault.New(fault.ShuttingDown, "this VM shuts down before a target could answer")
}

// whenStopped returns the error of a request that the shutdown ended before a target had it;
// any other error is returned unchanged.
func (ex *exchange) whenStopped(e *fault.Error) *fault.Error {
	if !ex.stop.isEnded() || e.Kind.Answer().Ran != fault.RanNo {
		return e
	}
	return fault.From(errStopping())
}

// endRunning ends all running requests and waits until they have been answered, at most for
// answerTime.
func (h *Handler) endRunning() {
	h.stopping.endAll()
	end := time.Now().Add(answerTime)
	for h.Running() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
}
