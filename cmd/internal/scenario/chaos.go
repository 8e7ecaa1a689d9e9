package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
)

// Chaos configures a run of random faults.
type Chaos struct {
	// Seed seeds the choice of the faults.
	Seed uint64
	// Length is the time during which faults are injected.
	Length time.Duration
}

// Settings of the random faults.
const (
	// meanFaultPause is the mean time between two faults.
	meanFaultPause = 1500 * time.Millisecond
	// outageDuration is the length of partitions of the fleet and of platform faults.
	outageDuration = 4 * time.Second
	// maxStoppedVMs bounds the number of VMs that are stopped at the same time.
	maxStoppedVMs = 2
)

// chaosRun is the state of a run of random faults: the stopped VMs, and whether a
// failure domain is out of service or a key revoked.
type chaosRun struct {
	*run
	random     *rand.Rand
	stopped    []int
	domainOut  bool
	keyRevoked bool
}

// fault is a kind of random fault.
type fault struct {
	name   string
	inject func(*chaosRun, context.Context) error
}

// faults returns all kinds of faults. Their order decides which faults a seed selects.
func faults() []fault {
	return []fault{
		{"gray target", (*chaosRun).grayTarget},
		{"cold target", (*chaosRun).coldTarget},
		{"VM crash or return", (*chaosRun).crashOrRestart},
		{"VM stop", (*chaosRun).stopVM},
		{"one-way cut of a VM", (*chaosRun).oneWayPartition},
		{"split of the fleet", (*chaosRun).partition},
		{"platform absent", (*chaosRun).platformDown},
		{"platform stale for some", (*chaosRun).platformStale},
		{"VMs cut from the platform", (*chaosRun).platformPartition},
		{"failure domain", (*chaosRun).toggleDomain},
		{"key", (*chaosRun).toggleKey},
		{"heal", (*chaosRun).clearFaults},
	}
}

// chaos injects random faults under load and then waits until the fleet has recovered.
func (r *run) chaos(ctx context.Context) error {
	options := r.testbed.options.Chaos
	c := &chaosRun{run: r, random: rand.New(rand.NewPCG(options.Seed, 0))}
	r.printf("-- random faults for %s, seed %d", options.Length, options.Seed)
	p := r.testbed.BeginPhase(fmt.Sprintf("chaos seed %d", options.Seed))
	end := time.Now().Add(options.Length)
	for time.Now().Before(end) {
		f := faults()[c.random.IntN(len(faults()))]
		r.printf("-- %6.1f s  %s", time.Since(p.start).Seconds(), f.name)
		if err := f.inject(c, ctx); err != nil {
			return trace.Wrap(err)
		}
		pause := time.Duration(c.random.Int64N(int64(2 * meanFaultPause)))
		if err := sleep(ctx, pause); err != nil {
			return trace.Wrap(err)
		}
	}
	r.endPhase(p)
	return trace.Wrap(c.awaitRecovery(ctx))
}

// awaitRecovery ends all faults, waits until the fleet is ready, and measures a phase
// without faults.
func (c *chaosRun) awaitRecovery(ctx context.Context) error {
	if err := c.clearFaults(ctx); err != nil {
		return trace.Wrap(err)
	}
	for _, i := range c.stopped {
		if err := c.testbed.fleet.StartVM(i); err != nil {
			return trace.Wrap(err)
		}
	}
	d := c.testbed.options.Deployment
	all := []deployment.NamedDocument{
		{Name: "domains", Document: d.DomainsDocument()},
		{Name: "workspaces/all", Document: d.WorkspacesDocument()},
	}
	if err := c.testbed.fleet.Publish(all); err != nil {
		return trace.Wrap(err)
	}
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	start := time.Now()
	if err := c.testbed.fleet.WaitReady(waitCtx); err != nil {
		return trace.Wrap(err, "fleet not ready after the last fault")
	}
	c.recordMeasure("recovery after the last fault", "%s", time.Since(start).Round(time.Millisecond))
	if err := sleep(ctx, 2*coldRamp); err != nil {
		return trace.Wrap(err)
	}
	p := c.testbed.BeginPhase("after recovery")
	if err := sleep(ctx, settleDuration); err != nil {
		return trace.Wrap(err)
	}
	c.endPhase(p)
	return nil
}

// checkInvariants returns an error if the run violated an invariant of the system.
func (r *run) checkInvariants() error {
	tb := r.testbed
	if n := len(tb.ledger.DuplicateRuns()); n > 0 {
		return trace.CompareFailed("%d non-idempotent requests ran twice", n)
	}
	if n := len(tb.ledger.FalseNotRunAnswers()); n > 0 {
		return trace.CompareFailed("%d requests ran although their answer said that they did not", n)
	}
	for _, t := range tb.targets {
		if n := t.Stats().KeysSeen; n > 0 {
			return trace.CompareFailed("a target received %d workspace keys", n)
		}
	}
	for _, ws := range tb.options.Deployment.Workspaces {
		if x := tb.ledger.RateExcess(ws.ID, ws.Rate, ws.Burst); x > 0 {
			return trace.CompareFailed("workspace %s ran %.0f requests above its rate and burst", ws.ID, x)
		}
	}
	for _, p := range r.result.Phases {
		if p.Mismatched > 0 {
			return trace.CompareFailed("%d answers belonged to another request", p.Mismatched)
		}
	}
	if v := tb.Violations(); v != "none" {
		return trace.CompareFailed("violated invariants: %s", v)
	}
	return nil
}

// grayTarget injects a random fault into a random target, or ends its fault.
func (c *chaosRun) grayTarget(context.Context) error {
	t, _ := c.testbed.Target(c.random.IntN(len(c.testbed.targets)))
	kinds := []target.Fault{
		{SlowFactor: 10, AlwaysHealthy: true},
		{ErrorPercent: 30},
		{TruncatePercent: 30},
		{ClosePercent: 30},
		{HangPercent: 20},
		{ErrorPercent: 80, FlapOnMs: 1000, FlapOffMs: 1000, AlwaysHealthy: true},
		{},
	}
	t.SetFault(kinds[c.random.IntN(len(kinds))])
	return nil
}

// coldTarget makes a random target cold.
func (c *chaosRun) coldTarget(context.Context) error {
	t, _ := c.testbed.Target(c.random.IntN(len(c.testbed.targets)))
	t.MakeCold()
	return nil
}

// crashOrRestart kills a random VM, or starts the one that has been stopped longest.
func (c *chaosRun) crashOrRestart(context.Context) error {
	if len(c.stopped) > 0 && (len(c.stopped) >= maxStoppedVMs || c.random.IntN(2) == 0) {
		i := c.stopped[0]
		c.stopped = c.stopped[1:]
		return trace.Wrap(c.testbed.fleet.StartVM(i))
	}
	i := c.random.IntN(c.testbed.options.VMs)
	if c.testbed.fleet.VM(i) == nil {
		return nil
	}
	c.testbed.fleet.KillVM(i)
	c.stopped = append(c.stopped, i)
	return nil
}

// stopVM shuts a random VM down gracefully.
func (c *chaosRun) stopVM(ctx context.Context) error {
	i := c.random.IntN(c.testbed.options.VMs)
	if len(c.stopped) >= maxStoppedVMs || c.testbed.fleet.VM(i) == nil {
		return nil
	}
	c.stopped = append(c.stopped, i)
	return trace.Wrap(c.testbed.fleet.StopVM(ctx, i))
}

// splitVMs divides the VMs at random into n VMs and the others.
func (c *chaosRun) splitVMs(n int) (a, b []string) {
	ids := c.testbed.fleet.VMIDs()
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:n], ids[n:]
}

// oneWayPartition drops the messages to or from a random VM.
func (c *chaosRun) oneWayPartition(context.Context) error {
	one, others := c.splitVMs(1)
	if c.random.IntN(2) == 0 {
		c.testbed.network.dropLinks(one, others)
	} else {
		c.testbed.network.dropLinks(others, one)
	}
	return nil
}

// partition drops all messages between two random sets of VMs for outageDuration.
func (c *chaosRun) partition(ctx context.Context) error {
	a, b := c.splitVMs(1 + c.random.IntN(c.testbed.options.VMs/2))
	c.testbed.network.dropLinks(a, b)
	c.testbed.network.dropLinks(b, a)
	if err := sleep(ctx, outageDuration); err != nil {
		return trace.Wrap(err)
	}
	c.testbed.network.heal()
	return nil
}

// platformDown makes the platform refuse calls or hang.
func (c *chaosRun) platformDown(context.Context) error {
	mode := platform.Refusing
	if c.random.IntN(2) == 0 {
		mode = platform.Hanging
	}
	c.testbed.fleet.Platform().SetOutage(mode, outageDuration)
	return nil
}

// platformStale makes the platform serve stale values to half of the VMs.
func (c *chaosRun) platformStale(context.Context) error {
	some, _ := c.splitVMs(c.testbed.options.VMs / 2)
	c.testbed.fleet.Platform().SetStale(some, outageDuration)
	return nil
}

// platformPartition drops the platform reads of random VMs.
func (c *chaosRun) platformPartition(context.Context) error {
	some, _ := c.splitVMs(1 + c.random.IntN(c.testbed.options.VMs/2))
	c.testbed.network.dropPlatformReads(some)
	return nil
}

// toggleDomain takes a random failure domain out of service, or all back in.
func (c *chaosRun) toggleDomain(context.Context) error {
	d := c.testbed.options.Deployment
	c.domainOut = !c.domainOut
	doc := d.DomainsDocument()
	if c.domainOut {
		doc = d.DomainsDocument(d.Domains[c.random.IntN(len(d.Domains))])
	}
	return trace.Wrap(c.testbed.fleet.Publish([]deployment.NamedDocument{{Name: "domains", Document: doc}}))
}

// toggleKey revokes the key of a random workspace, or restores all keys.
func (c *chaosRun) toggleKey(context.Context) error {
	c.keyRevoked = !c.keyRevoked
	doc := c.testbed.options.Deployment.WorkspacesDocument()
	if c.keyRevoked {
		doc.Workspaces[c.random.IntN(len(doc.Workspaces))].KeyDigests = []string{}
	}
	return trace.Wrap(c.testbed.fleet.Publish([]deployment.NamedDocument{{Name: "workspaces/all", Document: doc}}))
}

// clearFaults ends partitions, target faults and outages of the platform.
func (c *chaosRun) clearFaults(context.Context) error {
	c.testbed.network.heal()
	for _, t := range c.testbed.targets {
		t.SetFault(target.Fault{})
	}
	c.testbed.fleet.Platform().SetOutage(platform.Available, 0)
	return nil
}
