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

// quarantine is the table of requests that crash targets, shared by the request
// goroutines and fed by the marks of peers.
type quarantine struct {
	mu     sync.Mutex
	table  *poison.Table
	marks  node.Marks
	events node.Events
}

func newQuarantine(cfg Config) *quarantine {
	q := &quarantine{table: poison.New(0), marks: cfg.Marks, events: cfg.Events}
	if q.marks != nil {
		q.marks.Subscribe(q.add)
	}
	return q
}

// add counts a mark of this VM or of a peer.
func (q *quarantine) add(m node.PoisonMark) {
	q.mu.Lock()
	poisoned := q.table.Mark(m.Fingerprint, m.Target, time.Now())
	q.mu.Unlock()
	if poisoned {
		q.events.Record(event.RequestPoisoned, fmt.Sprintf("%016x", m.Fingerprint), "refused for "+poison.Quarantine.String())
	}
}

// lost marks a connection lost at a target and tells the peers.
func (q *quarantine) lost(fingerprint uint64, address string) {
	m := node.PoisonMark{Fingerprint: fingerprint, Target: poison.TargetHash(address)}
	q.add(m)
	if q.marks != nil {
		q.marks.Report(m)
	}
}

// allow returns an error of kind Poisoned for a quarantined request. Probe is
// true for the one attempt after a quarantine.
func (q *quarantine) allow(fingerprint uint64) (probe bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, probe, wait := q.table.Allow(fingerprint, time.Now())
	if !ok {
		return false, fault.NewWithDelay(fault.Poisoned, wait, "this request lost its connection at several targets")
	}
	return probe, nil
}

// succeeded forgets the marks of a request that a target answered.
func (q *quarantine) succeeded(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordSuccess(fingerprint)
}

// probed reports the end of the one attempt after a quarantine, unless it lost
// its connection, which was marked.
func (q *quarantine) probed(fingerprint uint64, f *failure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case f == nil || f.ran == fault.RanYes:
		q.table.Clear(fingerprint)
	case f.outcome != node.OutcomeLost:
		q.table.ReleaseProbe(fingerprint)
	}
}
