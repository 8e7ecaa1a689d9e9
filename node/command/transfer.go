package command

import (
	"sync"
	"time"
)

const (
	// transferGrace is how long a transfer may wait for its caller without minTransferBytes
	// before it counts as slow. A pause of the caller's process is usually shorter.
	transferGrace = 2 * time.Second
	// minTransferBytes is the progress that ends a wait for the caller. A caller below 8 KiB/s
	// is slow; the slowest callers that the deployments describe have 10 Mbit/s.
	minTransferBytes = 16 << 10
	// transferPatience is how long a request waits for a target before a slow transfer of its
	// service is ended, and the time until the next one is.
	transferPatience = 500 * time.Millisecond
)

// transfer is a body or a response that is streamed between a caller and a target and thereby
// holds a slot of the target.
type transfer struct {
	set     *transfers
	service string
	// end ends the wait for the caller. It is called at most once, and not after leave.
	end func()

	// set.mu guards the fields below.
	ended  bool
	bytes  int64         // since the last progress
	waited time.Duration // for the caller, since the last progress
	since  time.Time     // start of the wait in progress; zero without one
}

// transfers holds the transfers of a VM. It is safe for concurrent use.
type transfers struct {
	mu        sync.Mutex
	byService map[string]map[*transfer]struct{}
}

// join adds a transfer for a service; the caller calls leave at its end.
func (s *transfers) join(service string, end func()) *transfer {
	t := &transfer{set: s, service: service, end: end}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]map[*transfer]struct{}{}
	}
	if s.byService[service] == nil {
		s.byService[service] = map[*transfer]struct{}{}
	}
	s.byService[service][t] = struct{}{}
	return t
}

// leave removes the transfer. It has no effect on a nil transfer.
func (t *transfer) leave() {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	delete(t.set.byService[t.service], t)
	if len(t.set.byService[t.service]) == 0 {
		delete(t.set.byService, t.service)
	}
}

// wait runs f, which waits for the caller and returns how many bytes it transferred.
func (t *transfer) wait(f func() (int, error)) (int, error) {
	t.set.mu.Lock()
	t.since = time.Now()
	t.set.mu.Unlock()
	n, err := f()
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	t.waited += time.Since(t.since)
	t.since = time.Time{}
	t.bytes += int64(n)
	if t.bytes >= minTransferBytes {
		t.bytes, t.waited = 0, 0
	}
	return n, err
}

// isEnded reports whether the transfer was ended as slow.
func (t *transfer) isEnded() bool {
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	return t.ended
}

// endSlowest ends the transfer of a service that has waited longest for its caller, if it is
// slow.
func (s *transfers) endSlowest(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *transfer
	longest := transferGrace
	for t := range s.byService[service] {
		waited := t.waited
		if !t.since.IsZero() {
			waited += now.Sub(t.since)
		}
		if !t.ended && waited > longest {
			slowest, longest = t, waited
		}
	}
	if slowest != nil {
		slowest.ended = true
		slowest.end()
	}
}

// endWhileWaiting ends slow transfers of a service, one each transferPatience, until the returned
// function is called.
func (s *transfers) endWhileWaiting(service string) (stop func()) {
	var mu sync.Mutex
	var stopped bool
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(transferPatience, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			s.endSlowest(service, time.Now())
			timer.Reset(transferPatience)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
