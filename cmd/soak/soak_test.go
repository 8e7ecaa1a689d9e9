package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/ledger"
	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
)

var (
	firstSeed   = flag.Uint64("soak.seed", 1, "first seed")
	seedRuns    = flag.Int("soak.seeds", 2, "number of seeds, one after the other")
	faultPeriod = flag.Duration("soak.for", 12*time.Second, "time for which faults are injected with each seed")
	vmCount     = flag.Int("soak.vms", 6, "number of VMs, 4 to 30")
	replay      = flag.Bool("soak.failed", false, "replay the seeds that failed instead")
)

// failedSeeds lists the seeds that have failed and why.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{2, "false refusal: a late copy of \"not run\" was taken for the answer of the next attempt"},
	{6, "second run: as seed 2, and a further attempt followed"},
	{8, "false refusal: as seed 2"},
	{9, "second run: as seed 6"},
}

const (
	// readyTimeout bounds the wait until callers are served after the start, a stop, a
	// restart or the last fault. It covers a takeover of leases, the warm-up of cold
	// targets and one request timeout.
	readyTimeout = 30 * time.Second
	// faultFreePeriod is how long the answers of callers are checked without faults.
	faultFreePeriod = 3 * time.Second
	// answerTimeout bounds the wait for the answers to the requests of a check. It is longer
	// than the timeout of callers.
	answerTimeout = 15 * time.Second
	// answerPoll is the time between two looks for these answers.
	answerPoll = 10 * time.Millisecond
	// minSuccessShare is the least share of successful answers without faults.
	minSuccessShare = 0.95
	// gracefulStops is the number of VMs that are stopped gracefully, one after the
	// other, without faults.
	gracefulStops = 2
	// applyTimeout is the time within which all VMs must have applied a ticket.
	applyTimeout = 3 * time.Second
	// maxFaultPause is the longest time between two faults.
	maxFaultPause = 800 * time.Millisecond
)

// newIdleTestbed returns a testbed without processes, targets and callers.
func newIdleTestbed() *testbed {
	return &testbed{deployment: testDeployment(), ledger: ledger.New(), results: newCallerResults()}
}

// Guards against invariants that hold with all VMs in one process but not with
// separate processes that are killed, paused and partitioned at the same time. With
// odd seeds the VMs read a published list, with even seeds they find each other
// through seed VMs, and with every other even seed requests stay in their failure domain,
// overload control is on, and the faults of hardLoadFaultKinds are added. To replay seed N:
//
//	go test ./soak -run TestSoak -soak.seed N -soak.seeds 1
//
// A seed fixes the faults and their times, but not the order of events in the processes.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs separate processes, which the race detector does not cover")
	}
	if *replay {
		for _, f := range failedSeeds {
			t.Run(fmt.Sprintf("seed %d, %s", f.seed, f.cause), func(t *testing.T) { runSoak(t, f.seed) })
		}
		return
	}
	for i := range *seedRuns {
		n := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", n), func(t *testing.T) { runSoak(t, n) })
	}
}

// runSoak runs the fleet under the faults of one seed and checks the invariants.
func runSoak(t *testing.T, seed uint64) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, settings and logs in %s", seed, dir)
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	tb := startTestbed(t, dir, *vmCount, seed)
	tb.awaitHealthy(t)
	r := rand.New(rand.NewPCG(seed, 0))
	tb.faults = newVMPool(r, len(tb.vms))
	tb.faultsBegan = time.Now()
	tb.faultsEnd = tb.faultsBegan.Add(*faultPeriod)
	var targetFaults sync.WaitGroup
	targetFaults.Go(func() { tb.injectTargetFaults(t, seed, *faultPeriod) })
	tb.injectFaults(t, r, *faultPeriod)
	targetFaults.Wait()
	tb.clearFaults()
	tb.awaitHealthy(t)
	tb.checkFaultFreeService(t)
	tb.checkGracefulStops(t)
	tb.checkFullRestart(t)
	tb.checkTicket(t)
	tb.logTargetFaults(t)
	for _, problem := range tb.violations() {
		t.Error(problem)
	}
}

// awaitHealthy waits until the workspaces within their rate get successful answers.
func (tb *testbed) awaitHealthy(t *testing.T) {
	for end := time.Now().Add(readyTimeout); !tb.isServing(time.Second, minSuccessShare); {
		if time.Now().After(end) {
			t.Fatalf("callers not served within %v: %v", readyTimeout, tb.failedSince(end.Add(-answerTimeout)))
		}
	}
}

// isServing reports whether, of the requests that the workspaces within their rate send
// during some time, at least the given share gets a successful answer. Requests sent before
// do not count, because faults that have ended may still affect them.
func (tb *testbed) isServing(during time.Duration, share float64) bool {
	from := time.Now()
	time.Sleep(during)
	to := time.Now()
	c := tb.withinRate(from, to)
	for ; c.running > 0; c = tb.withinRate(from, to) {
		if time.Since(to) > answerTimeout {
			return false
		}
		time.Sleep(answerPoll)
	}
	return c.sent > 0 && float64(c.succeeded) >= share*float64(c.sent)
}

// withinRate counts the requests that began from one time until another, over all workspaces
// within their rate: all but the first.
func (tb *testbed) withinRate(from, to time.Time) serviceCount {
	var all serviceCount
	for _, ws := range tb.deployment.Workspaces[1:] {
		c := tb.results.countBetween(ws.ID, from, to)
		all.sent, all.succeeded, all.running = all.sent+c.sent, all.succeeded+c.succeeded, all.running+c.running
	}
	return all
}

// checkFaultFreeService checks the share of successful answers without faults.
func (tb *testbed) checkFaultFreeService(t *testing.T) {
	began := time.Now()
	if !tb.isServing(faultFreePeriod, minSuccessShare) {
		t.Errorf("service: less than %.0f%% successful answers to the requests of %v without faults: %v", 100*minSuccessShare, faultFreePeriod, tb.failedSince(began))
	}
}

// failedSince returns the requests within their rate that were sent since a time and have failed.
func (tb *testbed) failedSince(since time.Time) []string {
	within := tb.deployment.Workspaces[1:]
	return tb.results.details(func(f failedRequest) bool {
		isWithin := slices.ContainsFunc(within, func(ws deployment.WorkspaceSpec) bool { return ws.ID == f.workspace })
		return isWithin && !f.began.Before(since)
	})
}

// checkGracefulStops stops VMs gracefully in turn, without other faults, while callers
// keep using their open connections until the process exits. No answer may be
// truncated or missing.
func (tb *testbed) checkGracefulStops(t *testing.T) {
	for i := range gracefulStops {
		began := time.Now()
		tb.vms[i].terminate()
		tb.restartIfExited(t, i)
		tb.awaitHealthy(t)
		tb.reportProblem(t, tb.incompleteSince(began))
	}
}

// checkFullRestart kills all VMs and starts them again. The new processes know nothing
// of what the former ones granted.
func (tb *testbed) checkFullRestart(t *testing.T) {
	for _, vm := range tb.vms {
		vm.kill()
	}
	for i := range tb.vms {
		tb.restartIfExited(t, i)
	}
	tb.awaitHealthy(t)
}

// incompleteSince returns a problem if answers to requests sent since a time, around a
// graceful stop, were truncated or missing; empty for none.
func (tb *testbed) incompleteSince(began time.Time) string {
	if incomplete := tb.results.incompleteSince(began); len(incomplete) > 0 {
		return fmt.Sprintf("shutdown: answers truncated or missing around a graceful stop: %v", incomplete)
	}
	return ""
}

// reportProblem fails the test unless the problem is empty.
func (tb *testbed) reportProblem(t *testing.T, problem string) {
	if problem != "" {
		t.Error(problem)
	}
}

// checkTicket publishes a ticket that revokes a key and takes a failure domain out of
// service, and checks that both take effect.
func (tb *testbed) checkTicket(t *testing.T) {
	doc := tb.deployment.WorkspacesDocument()
	last := len(doc.Workspaces) - 1
	doc.Workspaces[last].KeyDigests = []string{}
	domain := tb.deployment.Domains[0]
	err := tb.publish(deployment.NamedDocument{Name: "workspaces/all", Document: doc},
		deployment.NamedDocument{Name: "domains", Document: tb.deployment.DomainsDocument(domain)})
	if err != nil {
		t.Fatal(err)
	}
	published := time.Now()
	time.Sleep(applyTimeout)
	workspace := doc.Workspaces[last].ID
	good := tb.results.successes(workspace)
	time.Sleep(faultFreePeriod)
	tb.reportProblem(t, tb.revokedKeyUsed(workspace, good))
	tb.reportProblem(t, tb.domainUsedAfter(domain, published))
}

// revokedKeyUsed returns a problem if a workspace whose key is revoked has more
// successful answers than it had applyTimeout after the revocation; empty for none.
func (tb *testbed) revokedKeyUsed(workspace string, good int) string {
	if now := tb.results.successes(workspace); now > good {
		return fmt.Sprintf("key: %d successful answers with a key that was revoked more than %v before", now-good, applyTimeout)
	}
	return ""
}

// domainUsedAfter returns a problem if a target in a failure domain that is out of
// service started a request later than applyTimeout after the ticket; empty for none.
func (tb *testbed) domainUsedAfter(domain string, published time.Time) string {
	if late := tb.ledger.LastRunIn(domain).Sub(published); late > applyTimeout {
		return fmt.Sprintf("domain: a request started %v after the failure domain was taken out of service", late)
	}
	return ""
}

// faultKind is a kind of fault. inject applies it for some time, during which no other
// fault uses VM i, and may end that VM's process.
type faultKind struct {
	name   string
	inject func(tb *testbed, i int, r *rand.Rand, during time.Duration)
}

// faultKinds lists the faults. Their order decides which faults a seed selects.
var faultKinds = []faultKind{
	{"kill", func(tb *testbed, i int, _ *rand.Rand, during time.Duration) {
		tb.vms[i].kill()
		time.Sleep(during)
	}},
	{"stop", func(tb *testbed, i int, _ *rand.Rand, _ time.Duration) { tb.vms[i].terminate() }},
	{"stop, then kill", func(tb *testbed, i int, _ *rand.Rand, during time.Duration) {
		tb.vms[i].signal(syscall.SIGTERM)
		time.Sleep(during / 2)
		tb.vms[i].kill()
	}},
	{"pause", func(tb *testbed, i int, _ *rand.Rand, during time.Duration) {
		tb.vms[i].signal(syscall.SIGSTOP)
		time.Sleep(during)
		tb.vms[i].signal(syscall.SIGCONT)
	}},
	{"path of callers", func(tb *testbed, i int, r *rand.Rand, during time.Duration) {
		tb.callerProxies[i].setMode(1 + mode(r.IntN(int(modeCount)-1)))
		time.Sleep(during)
		tb.callerProxies[i].setMode(passing)
	}},
	{"path to the platform", func(tb *testbed, i int, r *rand.Rand, during time.Duration) {
		tb.platformProxies[i].setMode(1 + mode(r.IntN(int(modeCount)-1)))
		time.Sleep(during)
		tb.platformProxies[i].setMode(passing)
	}},
	{"platform absent", func(tb *testbed, _ int, _ *rand.Rand, during time.Duration) {
		tb.platform.SetOutage(platform.Refusing, during)
		time.Sleep(during)
	}},
	{"gray target", func(tb *testbed, _ int, r *rand.Rand, during time.Duration) {
		gray := []target.Fault{{SlowFactor: 10, AlwaysHealthy: true}, {ErrorPercent: 60}, {TruncatePercent: 40}, {ClosePercent: 40}, {HangPercent: 40}}
		t := tb.targets[r.IntN(len(tb.targets))]
		t.SetFault(gray[r.IntN(len(gray))])
		time.Sleep(during)
		t.SetFault(target.Fault{})
	}},
	{"cold target", func(tb *testbed, _ int, r *rand.Rand, _ time.Duration) {
		tb.targets[r.IntN(len(tb.targets))].MakeCold()
	}},
}

// injectFaults injects random faults that overlap, each on a VM of its own. At most
// half of the VMs, rounded up, have a fault at the same time.
func (tb *testbed) injectFaults(t *testing.T, r *rand.Rand, during time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	began := time.Now()
	for time.Since(began) < during {
		k := faultKinds[r.IntN(len(faultKinds))]
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		duration := randomFaultTime(r)
		pause := time.Duration(r.Int64N(int64(maxFaultPause)))
		i := tb.faults.acquire()
		t.Logf("%6.2f s  %s, VM %d, %v", time.Since(began).Seconds(), k.name, i+1, duration.Round(time.Millisecond))
		running.Go(func() {
			k.inject(tb, i, own, duration)
			tb.restartIfExited(t, i)
			tb.faults.release(i)
		})
		time.Sleep(pause)
	}
}

// randomFaultTime returns the time for which a fault lasts.
func randomFaultTime(r *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second)))
}

// vmPool assigns VMs to faults, each VM to one fault at a time.
type vmPool struct {
	slots chan bool // semaphore that bounds the VMs with a fault

	mu     sync.Mutex
	random *rand.Rand
	free   []int
}

func newVMPool(r *rand.Rand, vms int) *vmPool {
	p := &vmPool{slots: make(chan bool, (vms+1)/2), random: rand.New(rand.NewPCG(r.Uint64(), 0))}
	for i := range vms {
		p.free = append(p.free, i)
	}
	return p
}

// acquire waits until one more VM may have a fault and returns a random free one.
func (p *vmPool) acquire() int {
	p.slots <- true
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.random.IntN(len(p.free))
	i := p.free[at]
	p.free = append(p.free[:at], p.free[at+1:]...)
	return i
}

// reservePoll is the interval at which reserve checks whether a VM is free.
const reservePoll = 20 * time.Millisecond

// reserve waits until each of the given VMs may have a fault and takes them.
func (p *vmPool) reserve(vms []int) {
	for _, i := range vms {
		p.slots <- true
		for !p.take(i) {
			time.Sleep(reservePoll)
		}
	}
}

// take takes a VM and reports whether it was free.
func (p *vmPool) take(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.free, i)
	if at >= 0 {
		p.free = slices.Delete(p.free, at, at+1)
	}
	return at >= 0
}

// release returns a VM to the pool.
func (p *vmPool) release(i int) {
	p.mu.Lock()
	p.free = append(p.free, i)
	p.mu.Unlock()
	<-p.slots
}

// restartIfExited starts a VM again if its process has exited.
func (tb *testbed) restartIfExited(t *testing.T, i int) {
	select {
	case <-tb.vms[i].signal(0):
	default:
		return
	}
	if err := tb.vms[i].start(); err != nil {
		t.Error(err)
	}
}
