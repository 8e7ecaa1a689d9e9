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
// requests and also receives the poison marks and quarantines of peers.
type quarantine struct {
	self    string
	configs node.Configs
	contact node.Contact
	marks   node.PoisonMarks // nil without peers
	events  node.Events

	mu    sync.Mutex
	table *poison.Table
}

func newQuarantine(cfg Config) *quarantine {
	q := &quarantine{
		self: cfg.Identity.VM.ID, configs: cfg.Configs, contact: cfg.Contact,
		marks: cfg.PoisonMarks, events: cfg.Events, table: poison.New(0),
	}
	if q.marks != nil {
		q.marks.Subscribe(func(m node.PoisonMark) { q.add(m) })
		q.marks.ExchangeQuarantines(q.announcements, q.learn)
	}
	return q
}

// add records a poison mark of this VM or of a peer. It reports whether a quarantine begins.
func (q *quarantine) add(m node.PoisonMark) (begun bool) {
	q.mu.Lock()
	begun = q.table.Mark(m.Fingerprint, m.Target, time.Now())
	q.mu.Unlock()
	if begun {
		q.recordBegin(m.Fingerprint, "lost its connection at several targets")
	}
	return begun
}

// learn records the quarantine of a peer.
func (q *quarantine) learn(a poison.Announcement) {
	q.mu.Lock()
	begun := q.table.Learn(a, time.Now())
	q.mu.Unlock()
	if begun {
		q.recordBegin(a.Fingerprint, "learned from a peer")
	}
}

func (q *quarantine) recordBegin(fingerprint uint64, cause string) {
	q.mu.Lock()
	wait := q.table.Wait(fingerprint, q.probeDelay(fingerprint), time.Now())
	q.mu.Unlock()
	q.events.Record(event.RequestPoisoned, fmt.Sprintf("%016x", fingerprint), fmt.Sprintf("quarantined for %v: %s", wait.Round(time.Second), cause))
}

// announcements returns the quarantines for the next heartbeat.
func (q *quarantine) announcements(limit int) []poison.Announcement {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Len() == 0 {
		return nil
	}
	return q.table.Announcements(limit, time.Now())
}

// probeDelay returns the function that returns how long after the end of a quarantine this VM
// may probe.
func (q *quarantine) probeDelay(fingerprint uint64) func() time.Duration {
	return func() time.Duration {
		list := q.configs.List()
		if list == nil {
			return 0
		}
		var others []string
		for _, vm := range list.VMs {
			if vm.ID != q.self && q.contact.InContact(vm.ID) {
				others = append(others, vm.ID)
			}
		}
		return poison.ProbeDelay(fingerprint, q.self, others)
	}
}

// Quarantines returns at most limit quarantines that this VM knows.
func (h *Handler) Quarantines(limit int) []poison.Announcement {
	return h.quarantine.announcements(limit)
}

// LearnQuarantine records the quarantine of a peer.
func (h *Handler) LearnQuarantine(a poison.Announcement) {
	h.quarantine.learn(a)
}

// connectionLost records that the request lost its connection at a target and
// reports it to the peers.
func (q *quarantine) connectionLost(fingerprint uint64, address string) {
	m := node.PoisonMark{Fingerprint: fingerprint, Target: poison.TargetHash(address)}
	begun := q.add(m)
	if q.marks == nil {
		return
	}
	q.marks.Report(m)
	if begun {
		q.marks.Announce()
	}
}

// allow returns an error of kind Poisoned for a quarantined request. probe is true
// for the single attempt that is allowed after a quarantine; report its end with
// probeEnded.
func (q *quarantine) allow(fingerprint uint64) (probe bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, probe, wait := q.table.Allow(fingerprint, q.probeDelay(fingerprint), time.Now())
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
	if wait := q.table.Wait(fingerprint, q.probeDelay(fingerprint), time.Now()); wait > 0 {
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
		q.table.Clear(fingerprint, time.Now())
	case f.outcome != node.OutcomeLost:
		q.table.ReleaseProbe(fingerprint)
	}
}
