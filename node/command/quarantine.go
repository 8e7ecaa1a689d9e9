package command

import (
	"fmt"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node"
)

// quarantine is the table of requests that crash targets. It is shared by all
// requests and also receives the poison marks of peers.
type quarantine struct {
	mu     sync.Mutex
	table  *poison.Table
	marks  node.PoisonMarks
	events node.Events
}

func newQuarantine(cfg Config) *quarantine {
	q := &quarantine{table: poison.New(0), marks: cfg.PoisonMarks, events: cfg.Events}
	if q.marks != nil {
		q.marks.Subscribe(q.add)
	}
	return q
}

// add records a poison mark of this VM or of a peer.
func (q *quarantine) add(m node.PoisonMark) {
	q.mu.Lock()
	poisoned := q.table.Mark(m.Fingerprint, m.Target, time.Now())
	q.mu.Unlock()
	if poisoned {
		q.events.Record(event.RequestPoisoned, fmt.Sprintf("%016x", m.Fingerprint), "quarantined for "+poison.Quarantine.String())
	}
}

// connectionLost records that the request lost its connection at a target and
// reports it to the peers.
func (q *quarantine) connectionLost(fingerprint uint64, address string) {
	m := node.PoisonMark{Fingerprint: fingerprint, Target: poison.TargetHash(address)}
	q.add(m)
	if q.marks != nil {
		q.marks.Report(m)
	}
}

// allow returns an error of kind Poisoned for a quarantined request. probe is true
// for the single attempt that is allowed after a quarantine; report its end with
// probeEnded.
func (q *quarantine) allow(fingerprint uint64) (probe bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, probe, wait := q.table.Allow(fingerprint, time.Now())
	if !ok {
		return false, errQuarantined(wait)
	}
	return probe, nil
}

func errQuarantined(wait time.Duration) error {
	return fault.NewWithDelay(fault.Poisoned, wait, "the request is quarantined because it lost its connection at several targets")
}

// explain returns the error that allow would return, without starting a probe.
func (q *quarantine) explain(fingerprint uint64) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if wait := q.table.Wait(fingerprint, time.Now()); wait > 0 {
		return errQuarantined(wait)
	}
	return nil
}

// clearMarks removes the marks of a request that a target answered. It does not end a
// quarantine.
func (q *quarantine) clearMarks(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordSuccess(fingerprint)
}

// probeEnded records the result of the single attempt after a quarantine. A lost
// connection is not recorded here, because connectionLost did so already.
func (q *quarantine) probeEnded(fingerprint uint64, f *failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case f == nil || f.ran == fault.RanYes:
		q.table.Clear(fingerprint)
	case f.outcome != node.OutcomeLost:
		q.table.ReleaseProbe(fingerprint)
	}
}
