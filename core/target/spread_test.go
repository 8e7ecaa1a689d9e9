package target

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// spread plays deciders that choose among the groups of one service with delayed reports,
// in virtual time.
type spread struct {
	rng    *rand.Rand
	now    time.Time
	queue  eventQueue
	seq    int
	groups []*spreadGroup
	known  [][]spreadView // by decider and group
	spreadChoice
	rate    float64
	calls   int
	turn    int
	served  int
	waited  time.Duration
	samples spreadSamples
}

// spreadPolicy is the choice of a decider: the order of the groups, and which of them
// look full.
type spreadPolicy func(w *spread, d int) (order []int, looksFull func(g int) bool)

// spreadChoice is a policy, the number of groups that are asked without waiting, and
// whether the order is made again before a request queues.
type spreadChoice struct {
	name    string
	policy  spreadPolicy
	tries   int
	reorder bool
	// refused is true when the holder refuses each call without a wait.
	refused bool
}

var (
	presentChoice = spreadChoice{name: "present", policy: spreadPresent, tries: 2}
	builtChoice   = spreadChoice{name: "built", policy: spreadBuilt, tries: 1, reorder: true}
)

// spreadView is what a decider knows about a group.
type spreadView struct {
	estimate     LoadEstimate
	free, queued int
	at           time.Time
}

type spreadGroup struct {
	busy    []int // by target
	speed   float64
	waiting []func()
}

type spreadSamples struct {
	work        [][]float64 // by group, work per target in this window
	n           int
	peak, peaks float64
	idle, slots float64
}

const (
	spreadSlots  = 2 // of each target
	spreadMean   = 200 * time.Millisecond
	spreadMaxAge = 250 * time.Millisecond
	spreadSample = 10 * time.Millisecond
	spreadWindow = 100 // samples
	spreadLength = 10 * time.Second
)

func newSpread(seed uint64, deciders int, load float64, c spreadChoice) *spread {
	w := &spread{rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(100, 0), spreadChoice: c}
	for i, n := range []int{6, 12, 18, 24, 24, 30} {
		speed := []float64{1, 0.7, 1.3, 0.8, 1.2, 1}[i]
		w.groups = append(w.groups, &spreadGroup{busy: make([]int, n), speed: speed})
		w.rate += load * spreadSlots * float64(n) * speed / spreadMean.Seconds()
	}
	for range deciders {
		w.known = append(w.known, make([]spreadView, len(w.groups)))
	}
	w.samples.work = make([][]float64, len(w.groups))
	w.after(0, w.arrive)
	w.after(0, w.sample)
	return w
}

func (w *spread) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{w.now.Add(d), w.seq, f})
}

func (w *spread) run() {
	end := w.now.Add(spreadLength)
	for !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(scheduledEvent)
		w.now = e.at
		e.run()
	}
}

func (w *spread) delay() time.Duration {
	return time.Duration((0.5 + w.rng.ExpFloat64()) * float64(time.Millisecond))
}

// arrive creates a request at a decider. One in five deciders has half of the demand, and
// the demand varies by 20% within 12 s.
func (w *spread) arrive() {
	d := w.rng.IntN(len(w.known))
	if w.rng.IntN(2) == 0 {
		d -= d % 5
	}
	w.request(d, w.now)
	rate := w.rate * (1 + 0.2*math.Sin(float64(w.now.UnixMilli())/12000*2*math.Pi))
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.arrive)
}

func (w *spread) request(d int, at time.Time) {
	order, looksFull := w.policy(w, d)
	var try func(i int)
	try = func(i int) {
		if i == w.tries || looksFull(order[i]) {
			if w.reorder {
				order, _ = w.policy(w, d)
			}
			w.ask(d, order[0], true, at, nil)
			return
		}
		w.ask(d, order[i], false, at, func() { try(i + 1) })
	}
	try(0)
}

// ask sends an acquire to the holder of a group.
func (w *spread) ask(d, g int, wait bool, at time.Time, refused func()) {
	w.calls++
	v, group := &w.known[d][g], w.groups[g]
	call := v.estimate.StartCall()
	respond := func(then func()) {
		free, queued := group.load()
		w.after(w.delay(), func() {
			v.estimate.EndCall(call)
			w.record(v, group, call, free, queued)
			if then != nil {
				then()
			}
		})
	}
	grant := func() {
		w.served++
		w.waited += w.now.Sub(at)
		w.turn++
		t := group.leastBusy(w.turn)
		group.busy[t]++
		respond(nil)
		took := w.delay() + time.Duration(w.rng.ExpFloat64()*float64(spreadMean)/group.speed) + 3*time.Millisecond + w.delay()
		w.after(took, func() { w.release(v, group, t) })
	}
	w.after(w.delay(), func() {
		free, _ := group.load()
		switch {
		case free > 0 && (wait || !w.refused):
			grant()
		case wait:
			group.waiting = append(group.waiting, grant)
		default:
			respond(refused)
		}
	})
}

func (w *spread) release(v *spreadView, group *spreadGroup, t int) {
	call := v.estimate.LastCall()
	group.busy[t]--
	if len(group.waiting) > 0 {
		next := group.waiting[0]
		group.waiting = group.waiting[1:]
		next()
	}
	free, queued := group.load()
	w.after(w.delay(), func() { w.record(v, group, call, free, queued) })
}

func (w *spread) record(v *spreadView, group *spreadGroup, call uint64, free, queued int) {
	v.free, v.queued, v.at = free, queued, w.now
	v.estimate.Record(call, free, queued, group.slots(), w.now)
}

func (g *spreadGroup) load() (free, queued int) {
	for _, b := range g.busy {
		free += spreadSlots - b
	}
	return free, len(g.waiting)
}

func (g *spreadGroup) slots() int {
	return spreadSlots * len(g.busy)
}

// leastBusy returns the target with the fewest requests; turn selects among equal ones.
func (g *spreadGroup) leastBusy(turn int) int {
	n := len(g.busy)
	best := turn % n
	for i := range n {
		if t := (turn + i) % n; g.busy[t] < g.busy[best] {
			best = t
		}
	}
	return best
}

// sample adds the current work by target and the slots that idle while requests wait
// elsewhere.
func (w *spread) sample() {
	s := &w.samples
	free, queued := 0, 0
	for i, g := range w.groups {
		f, q := g.load()
		free += f
		queued += q
		s.slots += float64(g.slots())
		if s.work[i] == nil {
			s.work[i] = make([]float64, len(g.busy))
		}
		for t, b := range g.busy {
			s.work[i][t] += float64(b) + float64(q)/float64(len(g.busy))
		}
	}
	s.idle += float64(min(free, queued))
	s.n++
	if s.n%spreadWindow == 0 {
		all := slices.Concat(s.work...)
		sum := 0.0
		for _, x := range all {
			sum += x
		}
		s.peak += slices.Max(all) / sum * float64(len(all))
		s.peaks++
		clear(s.work)
	}
	w.after(spreadSample, w.sample)
}

// orderByFree orders groups by the free and queued slots that load returns, as the choice
// without anticipation does.
func (w *spread) orderByFree(d int, load func(v *spreadView) (free, queued int)) ([]int, func(int) bool) {
	views := w.known[d]
	less := func(a, b int) bool {
		fa, qa := load(&views[a])
		fb, qb := load(&views[b])
		return fa > fb || fa == fb && qa < qb
	}
	order := w.rng.Perm(len(views))
	if less(order[1], order[0]) {
		order[0], order[1] = order[1], order[0]
	}
	for i := 2; i < len(order); i++ {
		if less(order[i], order[1]) {
			order[1], order[i] = order[i], order[1]
		}
	}
	return order, func(g int) bool { f, _ := load(&views[g]); return f <= 0 }
}

func (w *spread) present(v *spreadView) (int, int) {
	if w.now.Sub(v.at) > spreadMaxAge {
		return max(1, v.free), 0
	}
	return v.free, v.queued
}

// spreadPresent is the choice without anticipation.
func spreadPresent(w *spread, d int) ([]int, func(int) bool) {
	return w.orderByFree(d, w.present)
}

// spreadFresh is the power of two choices where only fresh reports decide.
func spreadFresh(w *spread, d int) ([]int, func(int) bool) {
	stale := spreadSlots * 100
	return w.orderByFree(d, func(v *spreadView) (int, int) {
		if w.now.Sub(v.at) > spreadMaxAge {
			return stale, 0
		}
		return v.free, v.queued
	})
}

// spreadOwn also subtracts own decisions that no report includes.
func spreadOwn(w *spread, d int) ([]int, func(int) bool) {
	return w.orderByFree(d, func(v *spreadView) (int, int) {
		free, queued := w.present(v)
		return free - v.estimate.unreported(), queued
	})
}

// spreadShares draws each group in proportion to its free slots in the last report.
func spreadShares(w *spread, d int) ([]int, func(int) bool) {
	views := w.known[d]
	weights, rooms := make([]EstimatedLoad, len(views)), make([]float64, len(views))
	for g, v := range views {
		weights[g].Slots, rooms[g] = max(1, v.free), float64(v.free-v.queued)
	}
	order := orderByRoom(weights, rooms, w.rng.Float64)
	i := drawGroup(weights, order, w.rng.Float64)
	order[0], order[i] = order[i], order[0]
	return order, func(g int) bool { return views[g].free <= 0 }
}

// spreadAged uses the age-weighted estimate without own decisions.
func spreadAged(w *spread, d int) ([]int, func(int) bool) {
	return w.orderByEstimate(d, func(l *EstimatedLoad) { l.Unreported = 0 })
}

// spreadBuilt is the choice with anticipation.
func spreadBuilt(w *spread, d int) ([]int, func(int) bool) {
	return w.orderByEstimate(d, func(*EstimatedLoad) {})
}

func (w *spread) orderByEstimate(d int, change func(*EstimatedLoad)) ([]int, func(int) bool) {
	var loads []EstimatedLoad
	for g := range w.groups {
		l := w.known[d][g].estimate.Load(w.groups[g].slots(), w.now)
		change(&l)
		loads = append(loads, l)
	}
	o := OrderGroups(loads, spreadMean, w.rng.Float64)
	rooms := ExpectedRooms(loads, spreadMean)
	return o.Order, func(g int) bool {
		if g == o.Order[0] {
			return !o.HasRoom
		}
		return rooms[g]*float64(w.groups[g].slots()) < 1
	}
}
