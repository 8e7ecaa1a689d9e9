package target

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/invariant"
)

const (
	callWait = 2 * time.Second
	callHold = 6 * time.Second
	// lossDelay is the time after which a lost message is sent again.
	lossDelay = 250 * time.Millisecond
)

// arrive starts a Poisson stream of calls.
func (w *simulation) arrive(rate float64, workspace func() int) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		c := &call{vm: w.rng.IntN(w.vms), workspace: workspace(), arrived: w.now}
		w.ask(c)
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

// ask sends an acquire to the group with more free slots of two random ones.
func (w *simulation) ask(c *call) {
	vm := w.entryVMs[c.vm]
	if w.now.Sub(c.arrived) > callWait {
		w.refused[c.workspace]++
		return
	}
	if w.uncoordinated {
		w.chooseUncoordinated(c)
		return
	}
	views := vm.layout.Services[w.content.Name]
	a, b := views[w.rng.IntN(len(views))].Group.Name, views[w.rng.IntN(len(views))].Group.Name
	if vm.free[b] > vm.free[a] {
		a = b
	}
	vm.free[a]--
	c.group = a
	c.attempts++
	c.generation = vm.generation[a]
	w.deliver(vm, func() { w.queueAt(c) }, func() { w.after(lossDelay, func() { w.ask(c) }) })
}

// deliver carries a message between a VM and a holder, or loses it.
func (w *simulation) deliver(vm *entryVM, arrives, lost func()) {
	if vm.unreachable || w.rng.Float64() < w.loss {
		lost()
		return
	}
	w.after(w.delay(), arrives)
}

func (w *simulation) queueAt(c *call) {
	r := w.leases[c.group]
	if r == nil {
		w.after(10*time.Millisecond, func() { w.ask(c) })
		return
	}
	vm := w.entryVMs[c.vm]
	r.holder.RecordBaseline(vm.name, vm.median(), w.now)
	wait := 300 * time.Millisecond
	if c.attempts > 3 {
		wait = callWait
	}
	if !r.queue.Push(string(rune('a'+c.workspace)), w.now, w.now.Add(wait), c) {
		w.refused[c.workspace]++
		return
	}
	w.serve(c.group, r)
}

func (w *simulation) serve(group string, r *lease) {
	r.queue.Serve(func(c *call) bool {
		vm := w.entryVMs[c.vm]
		g, ok := r.holder.Acquire(AcquireRequest{Caller: w.caller(vm), Hold: callHold, Generation: c.generation}, w.now)
		if !ok {
			return false
		}
		var settled *View
		if w.now.Sub(w.ticketAt) > propagationTime {
			settled = w.layout.Groups[group]
		}
		Check{w}.Granted(r.holder, g, settled, w.layout.Groups[group])
		c.granted = w.now
		free, warm := r.holder.FreeSlots(w.now), r.holder.WarmTargets()
		w.deliver(vm, func() { w.granted(c, g, free, warm) }, func() { w.after(lossDelay, func() { w.reportAndAsk(c) }) })
		return true
	})
}

// reportAndAsk handles a lost response: the VM's report makes the holder reclaim the
// permit.
func (w *simulation) reportAndAsk(c *call) {
	w.report(w.entryVMs[c.vm], c.group)
	w.ask(c)
}

// granted handles the arrival of a permit at the VM, which checks it before use.
func (w *simulation) granted(c *call, g Grant, free int, warm []string) {
	vm := w.entryVMs[c.vm]
	vm.free[c.group], vm.warm[c.group], vm.warmAt[c.group] = free, append([]string{}, warm...), w.now
	c.held = HeldPermit{Permit: g.Permit, Target: g.Target}
	c.deadline = c.granted.Add(callHold)
	view := vm.layout.Groups[c.group]
	doc, ok := view.Find(g.Target)
	if !ok || !IsOpen(doc, view.OutDomains) || c.generation != vm.generation[c.group] {
		w.release(c, Unused, 0)
		w.ask(c)
		return
	}
	vm.held[c] = true
	w.startAt(c, w.backends[g.Target])
}

// startAt runs the call at a target and checks the load of the target.
func (w *simulation) startAt(c *call, b *backend) {
	b.running[c] = true
	w.sent++
	w.checkBackend(c, b)
	f := fakeFault{}
	if b.fault != nil {
		f = b.fault(w.now)
	}
	took := w.serviceTime()
	if f.slow > 0 {
		took = time.Duration(float64(took) * f.slow)
	}
	o := OK
	switch {
	case w.uncoordinated && len(b.running) > b.doc.Slots+1:
		o, took = Shed, time.Millisecond
		w.shed++
	case f.unreachable:
		o, took = Unreachable, time.Millisecond
	case w.rng.Float64() < f.errors:
		o = Error
	case w.rng.Float64() < f.truncates:
		o = Truncated
	}
	if took > callHold {
		took, o = callHold, Timeout
	}
	epoch := b.epoch
	w.after(took, func() {
		if b.epoch == epoch {
			w.finish(c, b, o, took)
		}
	})
}

// checkBackend checks slots, cold starts, draining targets and failure domains at the
// back end itself, independently of the holder.
func (w *simulation) checkBackend(c *call, b *backend) {
	if w.uncoordinated {
		return
	}
	n := len(b.running)
	settled := w.now.Sub(w.ticketAt) > propagationTime
	if settled && !IsOpen(b.doc, w.domains) {
		w.violate(invariant.Leaving, "request at closed target %s", b.doc.ID)
	}
	if w.now.Sub(b.resized) < callHold+propagationTime {
		return
	}
	if n > b.doc.Slots && w.now.After(w.exempt) {
		w.violate("slots", "%d requests on %d slots of %s", n, b.doc.Slots, b.doc.ID)
	}
	cold := w.slotsNow(b) < b.doc.Slots && !b.knownAt.IsZero()
	if cold && c.granted.After(b.knownAt) && n > w.slotsNow(b) {
		w.violate(invariant.Cold, "%d requests on cold target %s, which can handle %d, %s after its start", n, b.doc.ID, w.slotsNow(b), w.now.Sub(b.coldAt))
	}
}

// slotsNow returns the number of requests that b can handle at once now.
func (w *simulation) slotsNow(b *backend) int {
	ramp := time.Duration(w.content.ColdRampMs) * time.Millisecond
	share := min(1, float64(w.now.Sub(b.coldAt))/float64(ramp))
	return w.content.ColdSlots + int(float64(b.doc.Slots-w.content.ColdSlots)*share)
}

// dropUnobservedColdStarts drops the cold starts that no VM in contact has observed.
// A new holder cannot learn of them when the VM that lost its connection is cut off
// at the same time as the last holder is lost.
func (w *simulation) dropUnobservedColdStarts() {
	for _, b := range w.backends {
		cut := 0
		for _, vm := range b.observers {
			if vm.unreachable {
				cut++
			}
		}
		if cut > 0 && cut == len(b.observers) {
			b.knownAt = time.Time{}
		}
	}
}

// crash restarts a target: its running calls are lost and it is cold.
func (w *simulation) crash(b *backend) {
	b.epoch++
	b.coldAt, b.knownAt, b.observers = w.now, time.Time{}, nil
	for _, c := range sortedCalls(b.running) {
		w.finish(c, b, Lost, 0)
	}
}

func sortedCalls(calls map[*call]bool) []*call {
	all := slices.Collect(maps.Keys(calls))
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.held.Permit, b.held.Permit) })
	return all
}

func (w *simulation) finish(c *call, b *backend, o Outcome, took time.Duration) {
	delete(b.running, c)
	vm := w.entryVMs[c.vm]
	if w.uncoordinated {
		delete(vm.held, c)
	}
	if o == Lost {
		vm.dropWarm(c, w.now)
		b.observers = append(b.observers, vm)
	}
	if o == OK {
		vm.recordLatency(took)
		w.served[c.workspace]++
		w.latencies = append(w.latencies, float64(w.now.Sub(c.arrived)))
	} else if o == Shed {
		w.ask(c)
	}
	if !w.uncoordinated {
		w.release(c, o, took)
	}
}

// release sends an outcome to the holder and repeats it when the message is lost.
func (w *simulation) release(c *call, o Outcome, took time.Duration) {
	w.sendRelease(c, *c, Release{c.held.Permit, o, took})
}

// sendRelease sends until the message arrives; until then the permit stays in the
// VM's reports. Sent is the call at the time of the release.
func (w *simulation) sendRelease(c *call, sent call, r Release) {
	vm, group, id := w.entryVMs[sent.vm], sent.group, sent.held.Target
	again := func() { w.after(lossDelay, func() { w.sendRelease(c, sent, r) }) }
	w.deliver(vm, func() {
		run := w.leases[group]
		if run == nil || !run.holder.Reported(vm.name) {
			again()
			return
		}
		run.holder.Release(w.caller(vm), []Release{r}, w.now)
		if c.held.Permit == r.Permit {
			delete(vm.held, c)
		}
		if b := w.backends[id]; r.Outcome == Lost && b != nil && run.holder.IsCold(id) {
			b.knownAt = w.now
		}
		w.serve(group, run)
	}, again)
}

// dropWarm removes the target of c from the warm targets like node/pool does:
// information that is too old is dropped completely.
func (vm *entryVM) dropWarm(c *call, now time.Time) {
	if now.Sub(vm.warmAt[c.group]) >= 5*time.Second {
		vm.warm[c.group], vm.warmAt[c.group] = []string{}, now
		return
	}
	lost := func(id string) bool { return id == c.held.Target }
	vm.warm[c.group] = slices.DeleteFunc(slices.Clone(vm.warm[c.group]), lost)
}

func (vm *entryVM) recordLatency(took time.Duration) {
	if len(vm.latencies) < 31 {
		vm.latencies = append(vm.latencies, float64(took))
		return
	}
	vm.latencies[vm.next%31] = float64(took)
	vm.next++
}

func (vm *entryVM) median() time.Duration {
	if len(vm.latencies) < 5 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(vm.latencies))
	return time.Duration(sorted[len(sorted)/2])
}

func (w *simulation) inContact(id string) bool {
	return !slices.ContainsFunc(w.entryVMs, func(vm *entryVM) bool { return vm.name == id && vm.unreachable })
}

// tick runs Tick of the holders and checks the floor over the whole service.
func (w *simulation) tick() {
	ejected := 0
	for _, name := range w.groupNames() {
		r := w.leases[name]
		if r == nil {
			continue
		}
		r.holder.Tick(w.now, w.inContact)
		Check{w}.Floor(r.holder)
		r.queue.Expire(w.now, func(c *call) { w.ask(c) })
		w.serve(name, r)
		for _, s := range r.holder.Status() {
			if s.Ejected && IsOpen(w.backends[s.Target].doc, w.domains) {
				ejected += w.backends[s.Target].doc.Slots
			}
		}
	}
	total, open := 0, 0
	for _, t := range w.content.Targets {
		total += t.Slots
		if IsOpen(t, w.domains) {
			open += t.Slots
		}
	}
	allowed := max(0, open-(total*w.content.FloorPercent+99)/100)
	if ejected > allowed && w.now.Sub(w.ticketAt) > propagationTime {
		w.violate(invariant.Floor, "%d slots ejected, at most %d allowed", ejected, allowed)
	}
	w.after(50*time.Millisecond, w.tick)
}

func (w *simulation) record(e Event) {
	w.events[e.Kind]++
	key := e.Kind.String() + " " + e.Subject
	if _, known := w.firstAt[key]; !known {
		w.firstAt[key] = w.now
	}
}

// chooseUncoordinated starts the call at the target, of two random ones, that has fewer
// requests of the VM itself in flight.
func (w *simulation) chooseUncoordinated(c *call) {
	own := func(id string) int {
		n := 0
		for o := range w.entryVMs[c.vm].held {
			if o.held.Target == id {
				n++
			}
		}
		return n
	}
	a := w.content.Targets[w.rng.IntN(len(w.content.Targets))].ID
	if b := w.content.Targets[w.rng.IntN(len(w.content.Targets))].ID; own(b) < own(a) {
		a = b
	}
	c.held = HeldPermit{Target: a}
	w.entryVMs[c.vm].held[c] = true
	w.startAt(c, w.backends[a])
}
