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
type valuePoll struct {
	// inFlight is true while an operation is in flight.
	inFlight bool
	// readsDirectly is true while a VM that is no reader reads by itself.
	readsDirectly bool
	// changed is true when the last operation returned a new revision.
	changed bool
	// nextOp is when the next operation may start.
	nextOp time.Time
	// earlyRetry is when the next operation may start although nextOp has not come, on a
	// VM for which the platform does not seem unavailable to the whole fleet.
	earlyRetry    time.Time
	lastPlainRead time.Time
	revision      uint64
	failures      int
}

// resume moves the next operation to at most delay after now and resets the backoff.
func (s *valuePoll) resume(now time.Time, delay time.Duration) {
	s.failures = 0
	if at := now.Add(delay); s.nextOp.After(at) || s.nextOp.IsZero() {
		s.nextOp = at
	}
}

// backoff returns the delay after the given number of consecutive failures: exponential
// between low and high, with jitter of one half.
func (m *Machine) backoff(low, high time.Duration, failures int) time.Duration {
	d := low << min(failures-1, 10)
	if d > high {
		d = high
	}
	return m.randomBetween(d/2, d)
}

// platformSilent reports whether no platform response is known for
// PlatformSilenceTimeout.
func (m *Machine) platformSilent(now time.Time) bool {
	last := m.lastResponse
	if last.Before(m.start) {
		last = m.start
	}
	return now.Sub(last) >= PlatformSilenceTimeout
}

// appendValueOp appends the operation on the value s that is due.
func (m *Machine) appendValueOp(ops []Op, now time.Time, s *valuePoll, key string) []Op {
	if s.inFlight || !m.operationDue(now, s, key) {
		return ops
	}
	op := Op{Kind: Read, Key: key, Timeout: readTimeout, Sent: now}
	if m.usesWatch(now, s) {
		op.Kind, op.After = Watch, s.revision
		op.Wait = m.watchWait(s, key)
		op.Timeout = op.Wait + watchTimeoutMargin
	} else {
		s.lastPlainRead = now
	}
	s.inFlight = true
	return append(ops, op)
}

// usesWatch reports whether the next operation on s is a watch and not a read.
func (m *Machine) usesWatch(now time.Time, s *valuePoll) bool {
	known := s.revision != 0 && now.Sub(s.lastPlainRead) < plainReadInterval
	if m.params.SelfManagedList {
		return known && now.Sub(m.lastOwnResponse) < maxWatchGap
	}
	return known && m.role == Watcher
}

// watchWait returns how long the platform may hold the next watch on s open.
func (m *Machine) watchWait(s *valuePoll, key string) time.Duration {
	switch {
	case m.role == Standby:
		return probeWait
	case key == listKey:
		return listWatchWait
	case s.changed:
		return confirmWatchWait
	case m.params.SelfManagedList:
		return m.randomBetween(selfManagedWaitMin, selfManagedWaitMax)
	default:
		return m.randomBetween(indexWatchWaitMin, indexWatchWaitMax)
	}
}

// operationDue reports whether an operation on s may start now.
func (m *Machine) operationDue(now time.Time, s *valuePoll, key string) bool {
	switch m.role {
	case Newcomer:
		return key == listKey && !now.Before(s.nextOp)
	case Standby:
		if key == listKey {
			return m.directListReadDue(now, s)
		}
		return m.directReadDue(now, s)
	default:
		return !now.Before(s.nextOp)
	}
}

// directReadDue schedules the direct reads of a standby VM while no recent platform
// response is known.
func (m *Machine) directReadDue(now time.Time, s *valuePoll) bool {
	if m.params.SelfManagedList {
		return m.directReadNeeded(now) && m.retryDue(now, s)
	}
	if !m.platformSilent(now) {
		s.readsDirectly, s.failures = false, 0
		return false
	}
	if !s.readsDirectly {
		s.readsDirectly = true
		s.nextOp = now.Add(m.randomBetween(0, directReadSpread))
	}
	return !now.Before(s.nextOp)
}

// directListReadDue lets a standby VM read the VM list only after a direct read of the
// index succeeded, so that an unavailable platform does not receive twice as many
// requests.
func (m *Machine) directListReadDue(now time.Time, s *valuePoll) bool {
	return !m.lastOwnResponse.IsZero() && now.Sub(m.lastOwnResponse) < PlatformSilenceTimeout && now.Sub(s.lastPlainRead) >= listPollInterval
}

// PlatformDone processes the result of a Read or Watch.
func (m *Machine) PlatformDone(now time.Time, op Op, v Value) {
	at := time.Time{}
	if v.Status == Failed {
		m.recordPlatformFailure(now)
	} else {
		at = m.recordPlatformResponse(op, v.Status, now)
	}
	switch op.Key {
	case indexKey:
		m.finishOperation(now, &m.indexPoll, op, v)
		if v.Status == Found {
			m.considerIndex(now, v.Raw, v.Documents, "")
		}
		if v.Status == Found || v.Status == Unchanged {
			m.recordOwnRead(at)
		}
	case listKey:
		m.finishOperation(now, &m.listPoll, op, v)
		if v.Status == Found {
			m.considerList(v.Raw, "")
		}
	default:
		m.documentDone(now, op, v)
	}
}

// recordPlatformResponse dates a response by the earliest time at which the platform
// can have sent it, so that a process that was paused between the arrival and the
// handling of a response does not treat it as recent. It returns that time.
func (m *Machine) recordPlatformResponse(op Op, s Status, now time.Time) time.Time {
	at := op.Sent
	if s == Unchanged {
		at = op.Sent.Add(op.Wait)
	}
	if at.After(now) {
		at = now
	}
	if at.After(m.lastOwnResponse) {
		m.lastOwnResponse = at
	}
	m.recordResponse(at)
	if m.platformLost {
		m.platformLost = false
		m.emit(Effect{Kind: PlatformBack})
	}
	return at
}

// recordPlatformFailure emits PlatformLost once the platform has not answered this VM
// for PlatformSilenceTimeout.
func (m *Machine) recordPlatformFailure(now time.Time) {
	if !m.platformLost && now.Sub(m.lastOwnResponse) >= PlatformSilenceTimeout {
		m.platformLost = true
		m.emit(Effect{Kind: PlatformLost})
	}
}

// finishOperation ends the operation on the value s and sets when the next one may
// start.
func (m *Machine) finishOperation(now time.Time, s *valuePoll, op Op, v Value) {
	s.inFlight = false
	if v.Status == Failed {
		s.failures++
		low, high := readerBackoffMin, readerBackoffMax
		switch {
		case m.role == Newcomer:
			low, high = newcomerBackoff, newcomerBackoff
		case m.role == Standby && m.params.SelfManagedList:
			m.scheduleRetry(now, s)
			return
		case m.role == Standby:
			low, high = directBackoffMin, directBackoffMax
		case op.Key == listKey:
			high = listPollInterval
		}
		s.nextOp = now.Add(m.backoff(low, high, s.failures))
		return
	}
	s.failures, s.readsDirectly, s.changed = 0, false, false
	s.earlyRetry = time.Time{}
	if v.Status == Found {
		s.changed = v.Revision != s.revision
		s.revision = v.Revision
	}
	s.nextOp = now.Add(m.pauseAfter(op, v.Status))
}

// batchPause is the pause after a change where targets register themselves: their
// changes come in bursts and each new index costs every VM a call.
const batchPause = 150 * time.Millisecond

// pauseAfter returns the time between an operation that succeeded and the next one on
// the same value.
func (m *Machine) pauseAfter(op Op, s Status) time.Duration {
	switch {
	case m.role == Poller && op.Key == listKey:
		return m.randomBetween(listPollInterval*9/10, listPollInterval*11/10)
	case m.params.SelfManagedList && s == Found:
		return batchPause
	case m.role == Standby && m.params.SelfManagedList:
		return 0
	case m.role != Watcher || s == Missing:
		return m.randomBetween(indexPollInterval*9/10, indexPollInterval*11/10)
	default:
		return 0
	}
}
