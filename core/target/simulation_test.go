package target

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
)

// options set up one simulation in virtual time.
type options struct {
	seed          uint64
	service       document.Service
	vms           int
	workspaces    int
	rate          float64       // requests per second over all VMs
	extraRate     float64       // additional requests per second of workspace 0
	median        time.Duration // service time
	sigma         float64
	defect        Defect
	loss          float64 // share of messages that are lost
	uncoordinated bool    // power of two choices at each VM, no permits
}

// backend is a simulated target that computes its own capacity.
type backend struct {
	doc     document.Target
	running map[*call]bool
	epoch   int
	coldAt  time.Time
	// knownAt is when a holder could first know of the last cold start; zero when none
	// could.
	knownAt time.Time
	fault   func(now time.Time) fakeFault
	resized time.Time
	// observers are the VMs that lost a connection at the last crash.
	observers []*entryVM
}

type fakeFault struct {
	slow, errors, truncates float64
	unreachable             bool
}

type call struct {
	vm, workspace int
	arrived       time.Time
	group         string
	held          HeldPermit
	generation    uint32
	granted       time.Time
	deadline      time.Time
	attempts      int
}

type entryVM struct {
	name        string
	free        map[string]int
	held        map[*call]bool
	warm        map[string][]string
	warmAt      map[string]time.Time
	latencies   []float64
	next        int
	unreachable bool
	generation  map[string]uint32
	layout      *Layout
}

type lease struct {
	holder        *Holder
	queue         *RoundRobinQueue[*call]
	since         time.Time
	vmUnreachable bool // a VM was out of contact at the takeover
}

type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simulation struct {
	options
	rng        *rand.Rand
	now        time.Time
	start      time.Time
	queue      eventQueue
	seq        int
	content    document.Service
	domains    map[string]bool
	layout     *Layout
	ticketAt   time.Time
	leases     map[string]*lease
	entryVMs   []*entryVM
	backends   map[string]*backend
	violated   map[string]string
	events     map[event.Kind]int
	firstAt    map[string]time.Time
	served     []int
	refused    []int
	shed       int
	sent       int
	latencies  []float64
	leaseCount uint64
	changedAt  map[string]time.Time
	exempt     time.Time // until then VMs out of contact may exceed the slots
}

func newSimulation(o options) *simulation {
	w := &simulation{options: o, rng: rand.New(rand.NewPCG(o.seed, 1)), start: time.Unix(0, 0), now: time.Unix(0, 0),
		content: o.service, domains: map[string]bool{}, leases: map[string]*lease{}, backends: map[string]*backend{},
		violated: map[string]string{}, changedAt: map[string]time.Time{}, events: map[event.Kind]int{}, firstAt: map[string]time.Time{},
		served: make([]int, o.workspaces), refused: make([]int, o.workspaces)}
	for i := range o.vms {
		w.entryVMs = append(w.entryVMs, &entryVM{name: fmt.Sprintf("vm-%02d", i), free: map[string]int{}, held: map[*call]bool{}, warm: map[string][]string{}, warmAt: map[string]time.Time{}, generation: map[string]uint32{}})
	}
	w.publish(0)
	for _, g := range w.groupNames() {
		w.takeOver(g)
	}
	w.after(0, w.tick)
	w.arrive(o.rate, func() int { return w.rng.IntN(o.workspaces) })
	w.arrive(o.extraRate, func() int { return 0 })
	return w
}

// groupNames returns the groups in a fixed order, so that a run can be repeated with
// its seed.
func (w *simulation) groupNames() []string {
	var names []string
	for _, v := range w.layout.Services[w.content.Name] {
		names = append(names, v.Group.Name)
	}
	return names
}

func (w *simulation) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{w.now.Add(d), w.seq, f})
}

// until runs the scheduled events up to a time after the start.
func (w *simulation) until(d time.Duration) {
	end := w.start.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(scheduledEvent)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *simulation) violate(n invariant.Name, format string, args ...any) {
	if w.violated[string(n)] == "" {
		w.violated[string(n)] = fmt.Sprintf("at %s: ", w.now.Sub(w.start)) + fmt.Sprintf(format, args...)
	}
}

// Violated implements invariant.Reporter for the checks of the package.
func (w *simulation) Violated(n invariant.Name, subject, detail string) {
	w.violate(n, "reported by Check: %s %s", subject, detail)
}

// publish makes the content a new ticket; VMs and holders apply it within spread.
func (w *simulation) publish(spread time.Duration) {
	s := w.content
	s.Targets = append([]document.Target(nil), s.Targets...)
	snapshot := &document.Snapshot{
		Index:    &document.Index{Ticket: w.layout.ticket() + 1},
		Services: map[string]*document.Service{s.Name: &s},
		Domains:  map[string]document.DomainState{},
		Routes:   []*document.Route{{Service: s.Name, TimeoutMs: int(callHold.Milliseconds())}},
	}
	for d, out := range w.domains {
		if out {
			snapshot.Domains[d] = document.DomainOut
		}
	}
	layout := NewLayout(snapshot, w.layout)
	w.layout, w.ticketAt = layout, w.now
	for _, t := range s.Targets {
		w.updateBackend(t)
	}
	for _, vm := range w.entryVMs {
		w.after(w.upTo(spread), func() { w.adopt(vm, layout) })
	}
	for _, name := range w.groupNames() {
		w.after(w.upTo(spread), func() {
			if r := w.leases[name]; r != nil && layout.Groups[name] != nil && r.holder.View().Ticket < layout.ticket() {
				r.holder.Apply(layout.Groups[name], w.now)
			}
		})
	}
}

func (l *Layout) ticket() uint64 {
	if l == nil {
		return 0
	}
	return l.Snapshot.Ticket()
}

func (w *simulation) adopt(vm *entryVM, l *Layout) {
	if vm.layout != nil && vm.layout.ticket() >= l.ticket() {
		return
	}
	vm.layout = l
	for _, name := range w.groupNames() {
		w.report(vm, name)
	}
}

func (w *simulation) updateBackend(t document.Target) {
	b := w.backends[t.ID]
	if b == nil {
		b = &backend{running: map[*call]bool{}, coldAt: w.now, knownAt: w.now}
		w.backends[t.ID] = b
	}
	if b.doc.Slots != t.Slots {
		b.resized = w.now
	}
	b.doc = t
}

func (w *simulation) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(d)))
}

// takeOver starts a new lease of a group; VMs in contact report.
func (w *simulation) takeOver(group string) {
	r := &lease{queue: NewRoundRobinQueue[*call](QueuePerWorkspace, QueueTotal), since: w.now}
	names := make([]string, 0, len(w.entryVMs))
	for _, vm := range w.entryVMs {
		names = append(names, vm.name)
		r.vmUnreachable = r.vmUnreachable || vm.unreachable
	}
	if r.vmUnreachable {
		w.exempt = w.now.Add(callHold + propagationTime)
	}
	w.leaseCount++
	r.holder = NewHolder(Config{View: w.layout.Groups[group], Members: names, FirstPermit: w.leaseCount << 24, Emit: w.record, Defect: w.defect}, w.now)
	w.leases[group] = r
	w.dropUnobservedColdStarts()
	w.after(110*time.Millisecond, w.dropUnobservedColdStarts)
	for _, vm := range w.entryVMs {
		w.after(w.upTo(100*time.Millisecond), func() { w.report(vm, group) })
	}
}

func (w *simulation) report(vm *entryVM, group string) {
	r := w.leases[group]
	if r == nil || vm.unreachable || vm.layout == nil {
		return
	}
	vm.generation[group]++
	rep := PermitReport{Caller: w.caller(vm), Generation: vm.generation[group], Ticket: vm.layout.ticket(), Warm: vm.warm[group], WarmKnown: w.now.Sub(vm.warmAt[group]) < 5*time.Second && vm.warm[group] != nil}
	for _, c := range sortedCalls(vm.held) {
		if vm.layout.GroupOf(w.content.Name, c.held.Target) == group {
			rep.Permits = append(rep.Permits, HeldPermit{c.held.Permit, c.held.Target, c.deadline.Sub(w.now)})
		}
	}
	w.after(w.delay(), func() {
		if w.leases[group] == r {
			r.holder.RecordReport(rep, w.now)
		}
	})
}

func (w *simulation) caller(vm *entryVM) Caller {
	return Caller{VM: vm.name, Instance: uint64(slices.Index(w.entryVMs, vm) + 1)}
}

func (w *simulation) delay() time.Duration {
	return 250*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(250*time.Microsecond))
}

func (w *simulation) serviceTime() time.Duration {
	return time.Duration(float64(w.median) * math.Exp(w.sigma*w.rng.NormFloat64()))
}
