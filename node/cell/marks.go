package cell

import (
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/node"
)

// markSpread is how long heartbeats carry a mark, six heartbeats in a row.
const markSendPeriod = 3 * time.Second

// markMemory is how long a heard mark is not reported again. It exceeds
// markSpread by the longest delay that a heartbeat may have.
const markDedupPeriod = 10 * time.Second

// marksPerHeartbeat bounds the bytes of marks; the newest are sent.
const marksPerHeartbeat = 16

// dated is an own mark and when it was reported.
type timedMark struct {
	mark contact.PoisonMark
	at   time.Time
}

// markStore holds the marks of this VM and those heard lately.
type markStore struct {
	own      []timedMark // oldest first
	received map[contact.PoisonMark]time.Time
}

func newMarkStore() markStore {
	return markStore{received: map[contact.PoisonMark]time.Time{}}
}

func (s *markStore) add(m contact.PoisonMark, now time.Time) {
	s.own = append(s.own, timedMark{m, now})
	if extra := len(s.own) - marksPerHeartbeat; extra > 0 {
		s.own = s.own[extra:]
	}
}

// current returns the marks that the next heartbeat carries.
func (s *markStore) pending(now time.Time) []contact.PoisonMark {
	for len(s.own) > 0 && now.Sub(s.own[0].at) > markSendPeriod {
		s.own = s.own[1:]
	}
	if len(s.own) == 0 {
		return nil
	}
	out := make([]contact.PoisonMark, len(s.own))
	for i, d := range s.own {
		out[i] = d.mark
	}
	return out
}

// hear returns the marks that were not heard lately.
func (s *markStore) filterNew(marks []contact.PoisonMark, now time.Time) []contact.PoisonMark {
	var fresh []contact.PoisonMark
	for _, m := range marks {
		at, known := s.received[m]
		if known && now.Sub(at) < markDedupPeriod {
			continue
		}
		s.received[m] = now
		fresh = append(fresh, m)
	}
	if len(fresh) > 0 {
		s.evictExpired(now)
	}
	return fresh
}

func (s *markStore) evictExpired(now time.Time) {
	for m, at := range s.received {
		if now.Sub(at) >= markDedupPeriod {
			delete(s.received, m)
		}
	}
}

// subscribers are called for marks of peers.
type subscribers struct {
	mu    sync.Mutex
	calls []func(node.PoisonMark)
}

func (s *subscribers) notify(m contact.PoisonMark) {
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	for _, f := range calls {
		f(node.PoisonMark(m))
	}
}

// Report adds a mark seen by this VM and sends it to the peers.
func (c *Cell) Report(m node.PoisonMark) {
	c.enqueue(reported{contact.PoisonMark(m)})
}

// Subscribe registers f for marks of peers. f must not block.
func (c *Cell) Subscribe(f func(node.PoisonMark)) {
	c.subs.mu.Lock()
	defer c.subs.mu.Unlock()
	c.subs.calls = append(c.subs.calls[:len(c.subs.calls):len(c.subs.calls)], f)
}
