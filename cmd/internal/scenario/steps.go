package scenario

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/load"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
	"github.com/galenasail/galenasail/core/event"
)

// Durations and limits of the steps.
const (
	// steadyDuration, faultDuration and domainDuration are the lengths of the steps
	// without faults, with target or platform faults, and with a failure domain out
	// of service or back.
	steadyDuration = 8 * time.Second
	faultDuration  = 10 * time.Second
	// settleDuration is the pause after each step, and the length of short phases.
	settleDuration = 3 * time.Second
	// readyTimeout bounds the time from the start to the end of the warm-up, and the
	// wait until the fleet is ready after random faults.
	readyTimeout = 90 * time.Second
	// applyTimeout bounds the wait until all VMs have applied a ticket, and until all
	// shards are held again after a crash.
	applyTimeout   = 10 * time.Second
	domainDuration = 8 * time.Second
	// poisonAttempts is how often the request that crashes targets is sent.
	poisonAttempts = 6
)

// Measure is one figure of a run.
type Measure struct {
	// Name identifies the measure.
	Name string `json:"name"`
	// Value is the figure with its unit.
	Value string `json:"value"`
}

// Result holds the figures of a run.
type Result struct {
	// Phases holds the report of each phase, in order.
	Phases []Report `json:"phases"`
	// Measures holds the single figures, in order.
	Measures []Measure `json:"measures"`
}

// run is the state of one run.
type run struct {
	testbed *Testbed
	out     io.Writer
	result  Result
}

// Run starts a testbed, runs the selected steps or the random faults on it and stops
// it. It prints progress and figures to out and returns the figures. After random
// faults it returns them with an error if an invariant did not hold.
func Run(ctx context.Context, o Options, out io.Writer) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	warmUpCtx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	tb, err := Start(ctx, o)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer tb.Stop()
	r := &run{testbed: tb, out: out}
	r.printf("%d VMs, %d targets, %d workspaces at %.0f%% of their rates; ready after %.1f s",
		o.VMs, len(tb.targets), len(o.Deployment.Workspaces), 100*o.LoadFactor, time.Since(start).Seconds())
	if err := r.warmUp(warmUpCtx); err != nil {
		return nil, trace.Wrap(err)
	}
	if o.Chaos.Length > 0 {
		if err := r.chaos(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
		r.measureTotals()
		return &r.result, r.checkInvariants()
	}
	for _, st := range steps() {
		if !o.selects(st.name) {
			continue
		}
		if err := st.run(r, ctx); err != nil {
			return nil, trace.Wrap(err)
		}
		if err := sleep(ctx, settleDuration); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	r.measureTotals()
	return &r.result, nil
}

// step is one named part of a run.
type step struct {
	name string
	run  func(*run, context.Context) error
}

// steps returns all steps in order.
func steps() []step {
	return []step{
		{"steady", (*run).steady},
		{"gray", (*run).grayTargets},
		{"overdrive", (*run).exceedRate},
		{"key", (*run).revokeKey},
		{"domain", (*run).domainOutAndBack},
		{"crash", (*run).vmCrash},
		{"stop", (*run).vmShutdown},
		{"poison", (*run).poisonRequest},
		{"platform", (*run).platformOutage},
	}
}

// StepNames returns the names of all steps in order.
func StepNames() []string {
	var names []string
	for _, s := range steps() {
		names = append(names, s.name)
	}
	return names
}

// selects reports whether a step is to be run.
func (o Options) selects(name string) bool {
	return len(o.Steps) == 0 || slices.Contains(o.Steps, name)
}

// printf prints a line of progress.
func (r *run) printf(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}

// recordMeasure adds a figure to the result and prints it.
func (r *run) recordMeasure(name, format string, args ...any) {
	value := fmt.Sprintf(format, args...)
	r.result.Measures = append(r.result.Measures, Measure{name, value})
	r.printf("  %-44s %s", name, value)
}

// endPhase adds the report of a phase, without the workspaces in skip, to the result
// and prints it.
func (r *run) endPhase(p *Phase, skip ...int) {
	rep := p.Report(skip...)
	r.result.Phases = append(r.result.Phases, rep)
	r.printf("%-26s %5.1f s  sent %6d  ok %6.2f%%  worst %6.2f%% (%s)  refused %d  unclear %d  broken %d  p99 %s (%s) %s",
		rep.Name, rep.Seconds, rep.Sent, 100*float64(rep.OK)/float64(max(rep.Sent, 1)), 100*rep.WorstShare, rep.WorstWorkspace,
		rep.Refused, rep.OtherErrors, rep.Broken, rep.P99.Round(time.Millisecond), rep.SlowestWorkspace, rep.Kinds)
}

// warmUp waits under load until the targets are warm.
func (r *run) warmUp(ctx context.Context) error {
	r.testbed.BeginPhase("warm-up")
	return trace.Wrap(sleep(ctx, 2*coldRamp))
}

// steady runs without faults.
func (r *run) steady(ctx context.Context) error {
	p := r.testbed.BeginPhase("steady")
	if err := sleep(ctx, steadyDuration); err != nil {
		return trace.Wrap(err)
	}
	r.endPhase(p)
	r.recordMeasure("false ejections in steady state", "%d", len(r.testbed.eventsSince(p.start, event.TargetEjected)))
	return nil
}

// grayTargets makes three targets gray, each with another kind of fault.
func (r *run) grayTargets(ctx context.Context) error {
	p := r.testbed.BeginPhase("three gray targets")
	faults := []struct {
		name  string
		fault target.Fault
	}{
		{"slow", target.Fault{SlowFactor: 10, AlwaysHealthy: true}},
		{"erring", target.Fault{ErrorPercent: 30, AlwaysHealthy: true}},
		{"truncating", target.Fault{TruncatePercent: 30, AlwaysHealthy: true}},
	}
	injected := time.Now()
	// These targets are far enough apart to be in different groups.
	for i, f := range faults {
		t, id := r.testbed.Target(3 + 5*i)
		t.SetFault(f.fault)
		r.printf("-- target %s is now %s; its health endpoint reports healthy", id, f.name)
	}
	if err := sleep(ctx, faultDuration); err != nil {
		return trace.Wrap(err)
	}
	for i, f := range faults {
		t, id := r.testbed.Target(3 + 5*i)
		r.recordMeasure("detection of the "+f.name+" target", "%s", r.testbed.detectionTime(id, injected))
		t.SetFault(target.Fault{})
	}
	r.endPhase(p)
	return nil
}

// exceedRate makes the first workspace send several times its rate.
func (r *run) exceedRate(ctx context.Context) error {
	p := r.testbed.BeginPhase("workspace 1 at 5x its rate")
	ws := r.testbed.options.Deployment.Workspaces[0]
	streamCtx, cancel := context.WithTimeout(ctx, faultDuration)
	defer cancel()
	stream := &load.Stream{
		Caller: r.testbed.callers[0], Rate: 4 * ws.Rate, NextRequest: r.testbed.requests(0, ws.ID+"-extra"), Stats: load.NewStats(),
	}
	stream.Run(streamCtx)
	r.endPhase(p, 0)
	sum := p.Summary(0)
	got := stream.Stats.Summary().OK + sum.OK
	bound := ws.Rate*time.Since(p.start).Seconds() + ws.Burst
	r.recordMeasure("overdriving workspace: served / bound", "%d / %.0f", got, bound)
	return nil
}

// revokeKey revokes the key of the last workspace while it sends requests, and
// restores it.
func (r *run) revokeKey(ctx context.Context) error {
	d := r.testbed.options.Deployment
	last := len(d.Workspaces) - 1
	doc := d.WorkspacesDocument()
	doc.Workspaces[last].KeyDigests = []string{}
	p := r.testbed.BeginPhase("key withdrawn")
	published := time.Now()
	took, err := r.publish(ctx, deployment.NamedDocument{Name: "workspaces/all", Document: doc})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, settleDuration); err != nil {
		return trace.Wrap(err)
	}
	r.recordMeasure("ticket in force on all VMs after", "%s", took.Round(time.Millisecond))
	r.recordMeasure("last good answer with the withdrawn key", "%s after the ticket", max(0, p.LastSuccess(last).Sub(published)).Round(time.Millisecond))
	r.endPhase(p, last)
	_, err = r.publish(ctx, deployment.NamedDocument{Name: "workspaces/all", Document: d.WorkspacesDocument()})
	return trace.Wrap(err)
}

// domainOutAndBack takes the last failure domain out of service and back in.
func (r *run) domainOutAndBack(ctx context.Context) error {
	d := r.testbed.options.Deployment
	domain := d.Domains[len(d.Domains)-1]
	p := r.testbed.BeginPhase("failure domain out")
	published := time.Now()
	if _, err := r.publish(ctx, deployment.NamedDocument{Name: "domains", Document: d.DomainsDocument(domain)}); err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, domainDuration); err != nil {
		return trace.Wrap(err)
	}
	r.recordMeasure("last new work in the domain", "%s after the ticket", max(0, r.testbed.ledger.LastRunIn(domain).Sub(published)).Round(time.Millisecond))
	r.endPhase(p)
	p = r.testbed.BeginPhase("failure domain back")
	if _, err := r.publish(ctx, deployment.NamedDocument{Name: "domains", Document: d.DomainsDocument()}); err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, domainDuration); err != nil {
		return trace.Wrap(err)
	}
	r.endPhase(p)
	return nil
}

// vmCrash kills a VM without a graceful shutdown and starts it again.
func (r *run) vmCrash(ctx context.Context) error {
	p := r.testbed.BeginPhase("one VM crashes")
	r.testbed.fleet.KillVM(0)
	killed := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if err := r.testbed.fleet.WaitReady(waitCtx); err != nil {
		return trace.Wrap(err)
	}
	r.recordMeasure("all shards held again after a crash", "%s", time.Since(killed).Round(time.Millisecond))
	if err := sleep(ctx, settleDuration); err != nil {
		return trace.Wrap(err)
	}
	r.endPhase(p)
	return trace.Wrap(r.testbed.fleet.StartVM(0))
}

// vmShutdown shuts a VM down gracefully and starts it again.
func (r *run) vmShutdown(ctx context.Context) error {
	p := r.testbed.BeginPhase("one VM shuts down")
	if err := r.testbed.fleet.StopVM(ctx, 1); err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, settleDuration); err != nil {
		return trace.Wrap(err)
	}
	r.endPhase(p)
	return trace.Wrap(r.testbed.fleet.StartVM(1))
}

// poisonRequest repeatedly sends a request that crashes each target that runs it.
func (r *run) poisonRequest(ctx context.Context) error {
	p := r.testbed.BeginPhase("a request that crashes")
	for _, t := range r.testbed.targets {
		t.SetFault(target.Fault{CrashMarker: "crashes-its-target"})
	}
	service := r.testbed.options.Deployment.Services[0].Name
	for range poisonAttempts {
		r.testbed.callers[1].Send(ctx, load.Request{Method: "GET", Path: "/" + service + "/crashes-its-target"})
		if err := sleep(ctx, settleDuration/poisonAttempts); err != nil {
			return trace.Wrap(err)
		}
	}
	crashes := 0
	for _, t := range r.testbed.targets {
		crashes += t.Stats().Crashes
		t.SetFault(target.Fault{})
	}
	r.recordMeasure("targets crashed by the repeated request", "%d", crashes)
	r.endPhase(p)
	return nil
}

// platformOutage makes the platform refuse all reads.
func (r *run) platformOutage(ctx context.Context) error {
	p := r.testbed.BeginPhase("platform away")
	r.testbed.fleet.Platform().SetOutage("refusing", faultDuration)
	if err := sleep(ctx, faultDuration); err != nil {
		return trace.Wrap(err)
	}
	r.endPhase(p)
	return nil
}

// measureTotals records the figures of the whole run.
func (r *run) measureTotals() {
	leaked, overloads := 0, 0
	for _, t := range r.testbed.targets {
		s := t.Stats()
		leaked += s.KeysSeen
		overloads += s.ColdOverloads
	}
	r.recordMeasure("non-idempotent requests run twice", "%d", len(r.testbed.ledger.DuplicateRuns()))
	r.recordMeasure("refusals \"not run\" that had run", "%d", len(r.testbed.ledger.FalseNotRunAnswers()))
	r.recordMeasure("workspace keys seen by targets", "%d", leaked)
	r.recordMeasure("cold targets overloaded", "%d", overloads)
	r.recordMeasure("invariants violated", "%s", r.testbed.Violations())
	reads := r.testbed.fleet.Platform().Reads()
	r.recordMeasure("platform reads", "%+v", reads)
}

// publish publishes one document and waits until all VMs have applied it. It returns
// the time that this took.
func (r *run) publish(ctx context.Context, doc deployment.NamedDocument) (time.Duration, error) {
	if err := r.testbed.fleet.Publish([]deployment.NamedDocument{doc}); err != nil {
		return 0, trace.Wrap(err)
	}
	r.printf("-- ticket %d published: %s", r.testbed.fleet.Ticket(), doc.Name)
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	took, err := r.testbed.fleet.WaitTicketApplied(ctx)
	return took, trace.Wrap(err)
}

// eventsSince returns the events of one kind that the running VMs recorded after t.
func (tb *Testbed) eventsSince(t time.Time, k event.Kind) []event.Event {
	var out []event.Event
	for i := range tb.options.VMs {
		d := tb.fleet.VM(i)
		if d == nil {
			continue
		}
		for _, e := range d.Recorder().Since(0, 1<<20) {
			if e.Kind == k && e.Wall.After(t) {
				out = append(out, e)
			}
		}
	}
	return out
}

// detectionTime returns, as text, the time from the injection of a fault to the first
// ejection of the target.
func (tb *Testbed) detectionTime(id string, injected time.Time) string {
	first := time.Time{}
	for _, e := range tb.eventsSince(injected, event.TargetEjected) {
		if strings.HasSuffix(e.Subject, id) && (first.IsZero() || e.Wall.Before(first)) {
			first = e.Wall
		}
	}
	if first.IsZero() {
		return "not ejected"
	}
	return first.Sub(injected).Round(time.Millisecond).String()
}

// sleep waits for d, or returns an error when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(d):
		return nil
	}
}
