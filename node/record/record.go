// Package record records the events of a VM in memory, in the log and in metrics.
package record

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/node"
)

// RingSize is the number of events that a VM keeps. At 300 bytes per event they take
// about 1.2 MB of the 64 MB that are budgeted for the control plane.
const RingSize = 4096

// Config configures a Recorder.
type Config struct {
	// Identity identifies the VM in each event.
	Identity node.Identity
	// Logger receives each event. The zero Logger discards them.
	Logger logr.Logger
	// Scope receives a counter for each event kind and violated invariant.
	Scope tally.Scope
	// OnViolation is called after a violation was recorded; in test mode it ends the
	// process. Default: nothing.
	OnViolation func(name invariant.Name)
}

// Recorder implements node.Events. It is safe for concurrent use.
type Recorder struct {
	config           Config
	start            time.Time
	instance         string
	ticket           atomic.Uint64
	violations       atomic.Int64
	counters         [256]tally.Counter
	violationsByName map[invariant.Name]tally.Counter

	mu   sync.Mutex
	ring *event.Ring
}

// New returns a Recorder without events.
func New(c Config) *Recorder {
	r := &Recorder{
		config:           c,
		start:            time.Now(),
		instance:         InstanceName(c.Identity.Instance),
		violationsByName: make(map[invariant.Name]tally.Counter),
		ring:             event.NewRing(RingSize),
	}
	for _, k := range event.Kinds() {
		r.counters[k] = c.Scope.Tagged(map[string]string{"kind": k.String()}).Counter("events")
	}
	for _, name := range invariant.Names() {
		r.violationsByName[name] = c.Scope.Tagged(map[string]string{"invariant": string(name)}).Counter("invariant_violations")
	}
	return r
}

// InstanceName returns the textual form of a process instance.
func InstanceName(instance uint64) string {
	return strconv.FormatUint(instance, 16)
}

// SetTicket sets the ticket that later events carry.
func (r *Recorder) SetTicket(ticket uint64) {
	r.ticket.Store(ticket)
}

// Record adds an event to the ring, the log and the metrics.
func (r *Recorder) Record(k event.Kind, subject, detail string) {
	now := time.Now()
	e := event.Event{
		Wall:     now.UTC(),
		Mono:     now.Sub(r.start),
		VM:       r.config.Identity.VM.ID,
		Instance: r.instance,
		Kind:     k,
		Subject:  subject,
		Ticket:   r.ticket.Load(),
		Detail:   detail,
	}
	r.mu.Lock()
	e = r.ring.Add(e)
	r.mu.Unlock()
	r.counters[k].Inc(1)
	level := 0
	if k == event.RequestDone {
		level = 1
	}
	r.config.Logger.V(level).Info(k.String(), "seq", e.Seq, "subject", subject, "ticket", e.Ticket, "detail", detail)
}

// Violated records a violated invariant and calls OnViolation.
func (r *Recorder) Violated(name invariant.Name, subject, detail string) {
	r.violations.Add(1)
	if c, ok := r.violationsByName[name]; ok {
		c.Inc(1)
	}
	r.Record(event.InvariantViolated, string(name)+"/"+subject, detail)
	if r.config.OnViolation != nil {
		r.config.OnViolation(name)
	}
}

// Violations returns the number of violated invariants since the start.
func (r *Recorder) Violations() int64 {
	return r.violations.Load()
}

// Since returns at most limit events with a sequence number above after,
// oldest first.
func (r *Recorder) Since(after uint64, limit int) []event.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.Since(after, limit)
}
