package config

import (
	"time"
)

// The platform keys of the index and of the VM list, the two values that change.
const (
	indexKey = "index"
	listKey  = "vms"
)

// Backoff after failed platform reads.
const (
	// readerBackoffMin and readerBackoffMax bound the backoff of readers.
	readerBackoffMin = 250 * time.Millisecond
	readerBackoffMax = time.Second
	// directBackoffMin and directBackoffMax bound the backoff of other VMs. At the
	// maximum, 2,800 VMs make at most 350 reads/s.
	directBackoffMin = 4 * time.Second
	directBackoffMax = 16 * time.Second
	// newcomerBackoff is the backoff of VMs without a VM list. They serve no requests
	// until they have one; 2,800 of them make 933 reads/s.
	newcomerBackoff = 4 * time.Second
)

// valuePoll is the state of reading one platform value that changes.
type slot struct {
	// inFlight is true while an operation is in flight.
	busy bool
	// readsDirectly is true while a VM that is no reader reads by itself.
	direct bool
	// changed is true when the last operation returned a new revision.
	changed bool
	// nextOp is when the next operation may start.
	next time.Time
	// earlyRetry is when the next operation may start although nextOp has not come, on a
	// VM for which the platform does not seem unavailable to the whole fleet.
	alone    time.Time
	lastRead time.Time
	revision uint64
	failures int
}

// resume moves the next operation to at most delay after now and resets the backoff.
func (s *slot) resume(now time.Time, delay time.Duration) {
	s.failures = 0
	if at := now.Add(delay); s.next.After(at) || s.next.IsZero() {
		s.next = at
	}
}

// backoff returns the delay after the given number of consecutive failures: exponential
// between low and high, with jitter of one half.
func (m *Machine) backoff(low, high time.Duration, failures int) time.Duration {
	d := low << min(failures-1, 10)
	if d > high {
		d = high
	}
	return m.between(d/2, d)
}

// platformSilent reports whether no platform response is known for
// PlatformSilenceTimeout.
func (m *Machine) quiet(now time.Time) bool {
	last := m.response
	if last.Before(m.start) {
		last = m.start
	}
	return now.Sub(last) >= QuietAfter
}

// appendValueOp appends the operation on the value s that is due.
func (m *Machine) valueOp(ops []Op, now time.Time, s *slot, key string) []Op {
	if s.busy || !m.due(now, s, key) {
		return ops
	}
	op := Op{Kind: Read, Key: key, Timeout: readTimeout, Sent: now}
	if m.watches(now, s) {
		op.Kind, op.After = Watch, s.revision
		op.Wait = m.watchWait(s, key)
		op.Timeout = op.Wait + watchGrace
	} else {
		s.lastRead = now
	}
	s.busy = true
	return append(ops, op)
}

// usesWatch reports whether the next operation on s is a watch and not a read.
func (m *Machine) watches(now time.Time, s *slot) bool {
	known := s.revision != 0 && now.Sub(s.lastRead) < rereadEvery
	if m.params.OwnList {
		return known && now.Sub(m.own) < catchUpFor
	}
	return known && m.role == Watcher
}

func (m *Machine) watchWait(s *slot, key string) time.Duration {
	switch {
	case m.role == Standby:
		return askWait
	case key == listKey:
		return listWait
	case s.changed:
		return confirmWait
	case m.params.OwnList:
		return m.between(ownWaitMin, ownWaitMax)
	default:
		return m.between(indexWaitMin, indexWaitMax)
	}
}

// operationDue reports whether an operation on s may start now.
func (m *Machine) due(now time.Time, s *slot, key string) bool {
	switch m.role {
	case Newcomer:
		return key == listKey && !now.Before(s.next)
	case Standby:
		if key == listKey {
			return m.directListDue(now, s)
		}
		return m.directDue(now, s)
	default:
		return !now.Before(s.next)
	}
}

// directReadDue schedules the direct reads of a standby VM while no recent platform
// response is known.
func (m *Machine) directDue(now time.Time, s *slot) bool {
	if m.params.OwnList {
		return m.stale(now) && m.mayTry(now, s)
	}
	if !m.quiet(now) {
		s.direct, s.failures = false, 0
		return false
	}
	if !s.direct {
		s.direct = true
		s.next = now.Add(m.between(0, directSpread))
	}
	return !now.Before(s.next)
}

// directListReadDue lets a standby VM read the VM list only after a direct read of the
// index succeeded, so that an unavailable platform does not receive twice as many
// requests.
func (m *Machine) directListDue(now time.Time, s *slot) bool {
	return !m.own.IsZero() && now.Sub(m.own) < QuietAfter && now.Sub(s.lastRead) >= listPollEvery
}

// PlatformDone processes the result of a Read or Watch.
func (m *Machine) PlatformDone(now time.Time, op Op, v Value) {
	at := time.Time{}
	if v.Status == Failed {
		m.platformFailed(now)
	} else {
		at = m.platformAnswered(op, v.Status, now)
	}
	switch op.Key {
	case indexKey:
		m.settle(now, &m.index, op, v)
		if v.Status == Found {
			m.offerIndex(now, v.Raw, v.Documents, "")
		}
		if v.Status == Found || v.Status == Unchanged {
			m.noteRead(at)
		}
	case listKey:
		m.settle(now, &m.vms, op, v)
		if v.Status == Found {
			m.offerList(v.Raw, "")
		}
	default:
		m.documentDone(now, op, v)
	}
}

// recordPlatformResponse dates a response by the earliest time at which the platform
// can have sent it, so that a process that was paused between the arrival and the
// handling of a response does not treat it as recent. It returns that time.
func (m *Machine) platformAnswered(op Op, s Status, now time.Time) time.Time {
	at := op.Sent
	if s == Unchanged {
		at = op.Sent.Add(op.Wait)
	}
	if at.After(now) {
		at = now
	}
	if at.After(m.own) {
		m.own = at
	}
	m.noteResponse(at)
	if m.lost {
		m.lost = false
		m.effect(Effect{Kind: PlatformBack})
	}
	return at
}

// recordPlatformFailure emits PlatformLost once the platform has not answered this VM
// for PlatformSilenceTimeout.
func (m *Machine) platformFailed(now time.Time) {
	if !m.lost && now.Sub(m.own) >= QuietAfter {
		m.lost = true
		m.effect(Effect{Kind: PlatformLost})
	}
}

// finishOperation ends the operation on the value s and sets when the next one may
// start.
func (m *Machine) settle(now time.Time, s *slot, op Op, v Value) {
	s.busy = false
	if v.Status == Failed {
		s.failures++
		low, high := readerBackoffMin, readerBackoffMax
		switch {
		case m.role == Newcomer:
			low, high = newcomerBackoff, newcomerBackoff
		case m.role == Standby && m.params.OwnList:
			m.backOff(now, s)
			return
		case m.role == Standby:
			low, high = directBackoffMin, directBackoffMax
		case op.Key == listKey:
			high = listPollEvery
		}
		s.next = now.Add(m.backoff(low, high, s.failures))
		return
	}
	s.failures, s.direct, s.changed = 0, false, false
	s.alone = time.Time{}
	if v.Status == Found {
		s.changed = v.Revision != s.revision
		s.revision = v.Revision
	}
	s.next = now.Add(m.pause(op, v.Status))
}

// batchPause is the pause after a change where targets register themselves: their
// changes come in bursts and each new index costs every VM a fetch or a read.
const gatherPause = 150 * time.Millisecond

// pauseAfter returns the time between an operation that succeeded and the next one on
// the same value.
func (m *Machine) pause(op Op, s Status) time.Duration {
	switch {
	case m.role == Poller && op.Key == listKey:
		return m.between(listPollEvery*9/10, listPollEvery*11/10)
	case m.params.OwnList && s == Found:
		return gatherPause
	case m.role == Standby && m.params.OwnList:
		return 0
	case m.role != Watcher || s == Missing:
		return m.between(pollEvery*9/10, pollEvery*11/10)
	default:
		return 0
	}
}
