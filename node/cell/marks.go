package cell

import (
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node"
)

// markSendPeriod is how long heartbeats carry a mark: six consecutive heartbeats at
// the default interval, so that a few lost datagrams do not lose the mark.
const markSendPeriod = 3 * time.Second

// markDedupPeriod is how long a received mark is not passed on again. It exceeds
// markSendPeriod by 7 s, so that a mark in a heartbeat that is up to 7 s late is not
// passed on again.
const markDedupPeriod = 10 * time.Second

// marksPerHeartbeat limits the marks of one heartbeat and so its size. The newest
// marks are kept.
const marksPerHeartbeat = 16

// timedMark is a mark of this VM with the time of its report.
type timedMark struct {
	mark contact.PoisonMark
	at   time.Time
}

// markStore holds the recent marks of this VM, and those that peers sent within
// markDedupPeriod.
type markStore struct {
	own      []timedMark // oldest first
	received map[contact.PoisonMark]time.Time
}

func newMarkStore() markStore {
	return markStore{received: map[contact.PoisonMark]time.Time{}}
}

// add adds a mark of this VM.
func (s *markStore) add(m contact.PoisonMark, now time.Time) {
	s.own = append(s.own, timedMark{m, now})
	if extra := len(s.own) - marksPerHeartbeat; extra > 0 {
		s.own = s.own[extra:]
	}
}

// pending drops the marks older than markSendPeriod and returns the others, which
// the next heartbeat carries.
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

// filterNew records the marks of a heartbeat and returns those that were not
// received within markDedupPeriod.
func (s *markStore) filterNew(marks []contact.PoisonMark, now time.Time) []contact.PoisonMark {
	var unseen []contact.PoisonMark
	for _, m := range marks {
		at, known := s.received[m]
		if known && now.Sub(at) < markDedupPeriod {
			continue
		}
		s.received[m] = now
		unseen = append(unseen, m)
	}
	if len(unseen) > 0 {
		s.evictExpired(now)
	}
	return unseen
}

// evictExpired removes received marks that are older than markDedupPeriod.
func (s *markStore) evictExpired(now time.Time) {
	for m, at := range s.received {
		if now.Sub(at) >= markDedupPeriod {
			delete(s.received, m)
		}
	}
}

// subscribers holds the functions that are called for each new mark of a peer, and those that
// exchange quarantines.
type subscribers struct {
	mu        sync.Mutex
	callbacks []func(node.PoisonMark)
	list      func(limit int) []poison.Announcement
	learn     func(poison.Announcement)
}

// quarantines returns the functions that exchange quarantines.
func (s *subscribers) quarantines() (list func(limit int) []poison.Announcement, learn func(poison.Announcement)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return func(int) []poison.Announcement { return nil }, func(poison.Announcement) {}
	}
	return s.list, s.learn
}

func (s *subscribers) notify(m contact.PoisonMark) {
	s.mu.Lock()
	calls := s.callbacks
	s.mu.Unlock()
	for _, f := range calls {
		f(node.PoisonMark(m))
	}
}

// Report adds a mark of this VM, which the next heartbeats carry to the peers.
func (c *Cell) Report(m node.PoisonMark) {
	c.enqueue(markReported{contact.PoisonMark(m)})
}

// Subscribe registers f, which is called for each new mark of a peer. f must not
// block.
func (c *Cell) Subscribe(f func(node.PoisonMark)) {
	c.subs.mu.Lock()
	defer c.subs.mu.Unlock()
	c.subs.callbacks = append(c.subs.callbacks[:len(c.subs.callbacks):len(c.subs.callbacks)], f)
}

// ExchangeQuarantines registers the functions that list the quarantines for the next heartbeat
// and that learn a quarantine of a peer. They must not block.
func (c *Cell) ExchangeQuarantines(list func(limit int) []poison.Announcement, learn func(poison.Announcement)) {
	c.subs.mu.Lock()
	defer c.subs.mu.Unlock()
	c.subs.list, c.subs.learn = list, learn
}
