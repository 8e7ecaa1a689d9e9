package target

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/overload"
)

// overloadKind is one kind of requests of an overload simulation.
type overloadKind struct {
	name                      string
	perSecond                 float64
	work, objective, deadline time.Duration
	// priority is that of the route.
	priority, workspacePriority int
	idempotent                  bool
	// extra returns a factor of the rate.
	extra func(at time.Duration) float64
	// workspace is the only workspace of the kind, empty for all.
	workspace string
}

// overloadLoad is a load that an overload simulation plays.
type overloadLoad struct {
	kinds []overloadKind
	// shedFrom and shedFor are the episode in which all targets shed half of their
	// requests.
	shedFrom, shedFor time.Duration
	// holderChange is when a new holder takes over each group, 0 for never.
	holderChange time.Duration
	// gray is the share of targets that hang on 75% of their requests.
	gray float64
	// restartsDeadline is true when returning callers do not state the time they have left.
	restartsDeadline bool
	// maxSends is how often a caller sends a request at most.
	maxSends int
	length   time.Duration
}

// overloadCount counts what the callers of a kind got in the end.
type overloadCount struct{ callers, inTime, late, failed, sends int }

func (c overloadCount) inTimeShare() float64 { return float64(c.inTime) / float64(max(1, c.callers)) }
func (c overloadCount) servedShare() float64 {
	return float64(c.inTime+c.late) / float64(max(1, c.callers))
}

// simulatedCaller is a caller with one request, which it may send again after a refusal.
type simulatedCaller struct {
	kind      *overloadKind
	workspace string
	firstAt   time.Time
	sentAt    time.Time
	limit     time.Duration // stated with the present send
	sends     int
	vm        *simulatedVM
	avoid     []string
	attempts  int
	shed      bool
}

// simulatedVM is an entry VM with its local retry budget.
type simulatedVM struct {
	spent     float64
	deadlines overload.Deadlines
}

type simulatedGroup struct {
	holder    *Holder
	queue     *DueQueue[*simulatedCaller]
	admission Admission
	order     overload.Order
	returns   overload.Returns
	deadlines overload.Deadlines
}

type overloadSimulation struct {
	overloadLoad
	control  bool
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventQueue
	seq      int
	views    []*View
	groups   []*simulatedGroup
	vms      []*simulatedVM
	grayTill map[string]time.Time
	counts   map[string]*overloadCount
	sends    []time.Time
	repeats  []time.Time
	// countFrom and countTo bound the first sends that are counted.
	countFrom, countTo time.Duration
}

const (
	overloadTargets = 111
	overloadVMs     = 4
)

var overloadBudget = FleetRetryBudget{Share: 0.2, Reserve: 60}

func newOverloadSimulation(l overloadLoad, control bool, seed uint64) *overloadSimulation {
	w := &overloadSimulation{
		overloadLoad: l, control: control, random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1000, 0),
		grayTill: map[string]time.Time{}, counts: map[string]*overloadCount{}, countTo: l.length,
	}
	w.now = w.start
	service := &document.Service{Name: "bookings", FloorPercent: 70, GroupSize: 24, Placement: document.ByHealthEstimate}
	for i := range overloadTargets {
		service.Targets = append(service.Targets, document.Target{ID: fmt.Sprintf("t%03d", i), FailureDomain: "a", Slots: 2, State: document.Active})
	}
	groups := Groups(service)
	for _, g := range groups {
		w.views = append(w.views, &View{Service: service, Group: g, LongestHold: 12 * time.Second, GroupCount: len(groups)})
		w.groups = append(w.groups, &simulatedGroup{})
	}
	for i := range w.groups {
		w.newHolder(i)
	}
	for range overloadVMs {
		w.vms = append(w.vms, &simulatedVM{})
	}
	return w
}

// newHolder replaces the holder of a group. Its waiting requests look for the new one.
func (w *overloadSimulation) newHolder(i int) {
	old := w.groups[i].queue
	budget := FleetRetryBudget{Share: 0.9 * overloadBudget.Share, Reserve: 0.9 * overloadBudget.Reserve}
	g := &simulatedGroup{holder: NewHolder(Config{View: w.views[i], RetryBudget: budget, OverloadControl: w.control}, w.now)}
	g.queue = NewDueQueue(QueuePerWorkspace, QueueTotal, func(c *simulatedCaller) bool { return c.kind.idempotent })
	if w.control {
		g.queue.SetRules(w.rules(g))
	}
	w.groups[i] = g
	if old != nil {
		old.Expire(w.now.Add(time.Hour), w.acquire)
	}
}

func (w *overloadSimulation) rules(g *simulatedGroup) ServeRules[*simulatedCaller] {
	return ServeRules[*simulatedCaller]{
		MayProgress: func(*simulatedCaller) bool { return g.order.MayProgress(w.now) },
		Progressed: func(c *simulatedCaller) {
			g.order.Progressed(g.holder.MeanAnswerTime(c.kind.name), g.holder.Capacity(w.now), w.now)
		},
		Evicted: func(c *simulatedCaller) { w.after(0, func() { w.refuseAtHolder(g, c, 0) }) },
	}
}

func (w *overloadSimulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, scheduledEvent{w.now.Add(d), w.seq, run})
}

func (w *overloadSimulation) run() *overloadSimulation {
	for i := range w.kinds {
		w.arrive(&w.kinds[i])
	}
	w.tick()
	if w.holderChange > 0 {
		w.after(w.holderChange, func() {
			for i := range w.groups {
				w.newHolder(i)
			}
		})
	}
	for len(w.events) > 0 && w.now.Before(w.start.Add(w.length+15*time.Second)) {
		e := heap.Pop(&w.events).(scheduledEvent)
		w.now = e.at
		e.run()
	}
	return w
}

func (w *overloadSimulation) tick() {
	for _, g := range w.groups {
		g.holder.Tick(w.now, func(string) bool { return true })
		g.queue.Expire(w.now, func(c *simulatedCaller) { w.refuseAtHolder(g, c, 0) })
		w.serve(g)
		for _, s := range g.holder.targets {
			if w.gray > 0 && w.now.After(w.grayTill[s.doc.ID]) && w.random.Float64() < 0.05/4*w.gray/(1-w.gray) {
				w.grayTill[s.doc.ID] = w.now.Add(4 * time.Second)
			}
		}
	}
	w.after(50*time.Millisecond, w.tick)
}

// arrive schedules the callers of a kind.
func (w *overloadSimulation) arrive(k *overloadKind) {
	at := w.now.Sub(w.start)
	if at > w.length {
		return
	}
	rate := k.perSecond
	if k.extra != nil {
		rate *= k.extra(at)
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		c := &simulatedCaller{kind: k, workspace: k.workspace, firstAt: w.now}
		if c.workspace == "" {
			c.workspace = fmt.Sprintf("w%02d", w.random.IntN(75))
		}
		w.count(c).callers++
		w.send(c)
		w.arrive(k)
	})
}

// count returns the counts of the caller's kind.
func (w *overloadSimulation) count(c *simulatedCaller) *overloadCount {
	name := c.kind.name
	if at := c.firstAt.Sub(w.start); at < w.countFrom || at > w.countTo {
		name = "uncounted"
	}
	if w.counts[name] == nil {
		w.counts[name] = &overloadCount{}
	}
	return w.counts[name]
}

// send sends the request of a caller as a new request.
func (w *overloadSimulation) send(c *simulatedCaller) {
	c.sends++
	w.count(c).sends++
	c.sentAt, c.avoid, c.attempts, c.shed = w.now, nil, 0, false
	c.limit = c.kind.deadline
	if !w.restartsDeadline {
		c.limit -= w.now.Sub(c.firstAt)
	}
	c.vm = w.vms[w.random.IntN(len(w.vms))]
	c.vm.spent = max(0, c.vm.spent-overloadBudget.Share)
	w.sends = append(w.sends, w.now)
	w.acquire(c)
}

// left returns the time until the stated deadline.
func (c *simulatedCaller) left(now time.Time) time.Duration {
	return c.sentAt.Add(c.limit).Sub(now)
}

// request describes the request for the decisions of package overload.
func (w *overloadSimulation) request(c *simulatedCaller, answer time.Duration, d *overload.Deadlines) overload.Request {
	elapsed := d.Elapsed(c.kind.name, c.left(w.now), w.now)
	return overload.Request{
		Deadline: c.left(w.now), Objective: max(0, c.kind.objective-elapsed), Elapsed: elapsed,
		ShowsReturns: d.ShowReturns(c.kind.name, w.now), Answer: answer, Rank: overload.RankOf(c.kind.workspacePriority, c.kind.priority),
	}
}

// acquire asks the less loaded of two groups for a permit, and others after a refusal.
func (w *overloadSimulation) acquire(c *simulatedCaller) {
	order := w.random.Perm(len(w.groups))
	if w.groups[order[1]].holder.FreeSlots(w.now) > w.groups[order[0]].holder.FreeSlots(w.now) {
		order[0], order[1] = order[1], order[0]
	}
	for i, at := range order[:3] {
		if wait, ok := w.enqueue(w.groups[at], c); ok {
			return
		} else if i == 2 {
			w.refuseAtHolder(w.groups[at], c, wait)
		}
	}
}

// enqueue mirrors the holder side of node/pool.
func (w *overloadSimulation) enqueue(g *simulatedGroup, c *simulatedCaller) (wait time.Duration, ok bool) {
	left, answer := c.left(w.now), g.holder.MeanAnswerTime(c.kind.name)
	dueAfter := time.Duration((1 + 0.5*float64(c.kind.priority) + 2*float64(c.kind.workspacePriority)) * float64(c.kind.objective))
	r := WaitRequest{DueAfter: dueAfter, Objective: max(0, c.kind.objective-w.now.Sub(c.sentAt)), Wait: left, Hold: left}
	due, share := w.now.Add(dueAfter), 1.0
	if w.control {
		q := w.request(c, answer, &g.deadlines)
		p := g.order.Arrive(overload.Arrival{Workspace: c.workspace, Rank: q.Rank, DueAfter: dueAfter, Deadline: left, Elapsed: q.Elapsed, Repeat: c.shed}, w.now)
		q.Rank = p.Rank
		due, share = w.now.Add(p.DueAfter), overload.RepeatShare(q)
		r.Wait, r.Objective = p.Wait, q.Objective
	}
	deadline, expected, admitted := g.admission.Admit(r, g.queue.Ahead(due), g.queue.Len(), answer, w.now)
	if !admitted || c.shed && !g.holder.MayRepeatWithin(share, w.now) || !g.queue.Push(c.workspace, due, deadline, c) {
		g.holder.RecordRefusal(w.now)
		return expected, false
	}
	w.serve(g)
	return 0, true
}

func (w *overloadSimulation) serve(g *simulatedGroup) {
	g.queue.Serve(func(c *simulatedCaller) bool {
		grant, ok := g.holder.Acquire(AcquireRequest{
			Caller: grayCaller, Hold: c.left(w.now), Avoid: c.avoid, Route: c.kind.name,
			Idempotent: c.kind.idempotent, Repeat: c.shed, Domain: "a",
		}, w.now)
		if ok {
			g.admission.RecordGrant(g.queue.Len() > 1, w.now)
			w.runAt(g, c, grant)
		}
		return ok
	})
}

// runAt plays the attempt at the granted target.
func (w *overloadSimulation) runAt(g *simulatedGroup, c *simulatedCaller, grant Grant) {
	if c.shed {
		w.repeats = append(w.repeats, w.now)
	}
	c.attempts++
	at := w.now.Sub(w.start)
	took, outcome := time.Duration((0.5+0.5*w.random.ExpFloat64())*float64(c.kind.work)), OK
	switch {
	case w.now.Before(w.grayTill[grant.Target]) && w.random.Float64() < 0.75:
		took, outcome = c.left(w.now), Timeout
	case at >= w.shedFrom && at < w.shedFrom+w.shedFor && w.random.IntN(2) == 0:
		took, outcome = 2*time.Millisecond, Shed
	case took > c.left(w.now):
		took, outcome = c.left(w.now), Timeout
	}
	w.after(took, func() { w.end(g, c, grant, outcome, took) })
}

func (w *overloadSimulation) end(g *simulatedGroup, c *simulatedCaller, grant Grant, o Outcome, took time.Duration) {
	g.holder.Release(grayCaller, []Release{{Permit: grant.Permit, Outcome: o, Latency: took}}, w.now)
	switch {
	case o == Shed:
		w.afterShed(c, grant.Target)
	case o != OK:
		w.count(c).failed++
	case w.now.Sub(c.firstAt) <= c.kind.objective:
		w.count(c).inTime++
	default:
		w.count(c).late++
	}
	w.serve(g)
}

// afterShed mirrors the decision of node/command after a target shed the request.
func (w *overloadSimulation) afterShed(c *simulatedCaller, target string) {
	c.avoid = append(c.avoid, target)
	c.shed = true
	reserve := overloadBudget.Reserve / 2
	if w.control {
		reserve *= overload.RepeatShare(w.request(c, c.kind.objective/3, &c.vm.deadlines))
	}
	if c.attempts < 4 && c.vm.spent+1 <= reserve {
		c.vm.spent++
		w.acquire(c)
		return
	}
	w.refuse(c, 500*time.Millisecond)
}

// refuseAtHolder refuses a request that a holder does not admit.
func (w *overloadSimulation) refuseAtHolder(g *simulatedGroup, c *simulatedCaller, wait time.Duration) {
	delay := max(wait, 100*time.Millisecond)
	if w.control {
		delay = g.returns.Delay(wait, g.admission.GrantInterval(), c.left(w.now), w.random.Float64(), w.now)
	}
	w.refuse(c, delay)
}

// refuse plays a caller that is refused and returns after the delay, at most a third of
// the time that it has left.
func (w *overloadSimulation) refuse(c *simulatedCaller, delay time.Duration) {
	if w.control && c.shed {
		delay = overload.RetryDelay(w.request(c, c.kind.objective/3, &c.vm.deadlines), w.random.Float64())
	}
	left := c.firstAt.Add(c.kind.deadline).Sub(w.now)
	if c.sends >= w.maxSends || left < 50*time.Millisecond {
		w.count(c).failed++
		return
	}
	w.after(min(delay, left/3), func() { w.send(c) })
}

// checkBudget asserts the retry budget in each window of 10 s.
func (w *overloadSimulation) checkBudget(t *testing.T) {
	t.Helper()
	for i, from := range w.repeats {
		end := from.Add(repeatWindow)
		n, _ := slices.BinarySearchFunc(w.repeats, end, time.Time.Compare)
		first, _ := slices.BinarySearchFunc(w.sends, from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(w.sends, end, time.Time.Compare)
		if allowed := overloadBudget.Share*float64(last-first) + overloadBudget.Reserve; float64(n-i) > allowed {
			t.Fatalf("%d repeats in the 10 s from %v, want at most %.0f", n-i, from.Sub(w.start), allowed)
		}
	}
}

// playOverload plays a load with and without overload control and sums the counts of the
// callers that arrive between from and to. Short runs use one seed.
func playOverload(t *testing.T, seeds uint64, l overloadLoad, from, to time.Duration) (present, controlled map[string]overloadCount) {
	t.Helper()
	present, controlled = map[string]overloadCount{}, map[string]overloadCount{}
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		for _, control := range []bool{false, true} {
			w := newOverloadSimulation(l, control, seed)
			w.countFrom, w.countTo = from, to
			w.run().checkBudget(t)
			sums := present
			if control {
				sums = controlled
			}
			for name, c := range w.counts {
				s := sums[name]
				sums[name] = overloadCount{s.callers + c.callers, s.inTime + c.inTime, s.late + c.late, s.failed + c.failed, s.sends + c.sends}
			}
		}
	}
	for _, k := range l.kinds {
		t.Logf("%-12s in time %.3f -> %.3f, served %.3f -> %.3f, sends %.2f -> %.2f", k.name, present[k.name].inTimeShare(), controlled[k.name].inTimeShare(),
			present[k.name].servedShare(), controlled[k.name].servedShare(),
			float64(present[k.name].sends)/float64(max(1, present[k.name].callers)), float64(controlled[k.name].sends)/float64(max(1, controlled[k.name].callers)))
	}
	return present, controlled
}
