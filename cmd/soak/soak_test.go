package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
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
	faultPeriod = flag.Duration("soak.for", 12*time.Second, "length of the faults of one seed")
	vmCount     = flag.Int("soak.vms", 6, "number of VMs, 4 to 30")
)

const (
	// readyTimeout bounds the wait until callers are served, after the start and after
	// the last fault: a takeover, cold targets and one request timeout.
	readyTimeout = 30 * time.Second
	// faultFreePeriod is how long callers are watched after the last fault.
	faultFreePeriod = 3 * time.Second
	// minSuccessShare is the share of good answers without faults.
	minSuccessShare = 0.95
	// gracefulStops is the number of VMs that are stopped one after the other without faults.
	gracefulStops = 2
	// applyTimeout is how long a ticket may take until it is in force.
	applyTimeout = 3 * time.Second
	// maxFaultPause is the longest time between two faults.
	maxFaultPause = 800 * time.Millisecond
)

func newIdleTestbed() *testbed {
	return &testbed{deployment: testDeployment(), ledger: ledger.New(), results: newCallerResults()}
}

// Guards against promises that hold in one process but not with real ones that are
// killed, paused and cut off at the same time. The VMs of odd seeds read a published list,
// those of even seeds find each other. One command replays a seed:
// go test ./soak -run TestSoak -soak.seed N -soak.seeds 1.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the processes are built without the race detector")
	}
	for i := range *seedRuns {
		n := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", n), func(t *testing.T) { runSoak(t, n) })
	}
}

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
	tb := startTestbed(t, dir, *vmCount, seed%2 == 0)
	tb.awaitHealthy(t)
	tb.injectFaults(t, rand.New(rand.NewPCG(seed, 0)), *faultPeriod)
	tb.clearFaults()
	tb.awaitHealthy(t)
	tb.checkFaultFreeService(t)
	tb.checkGracefulStops(t)
	tb.checkFullRestart(t)
	tb.checkTicket(t)
	for _, problem := range tb.violations() {
		t.Error(problem)
	}
}

// awaitHealthy waits until each workspace within its rate gets good answers.
func (tb *testbed) awaitHealthy(t *testing.T) {
	for end := time.Now().Add(readyTimeout); !tb.isServing(time.Second, minSuccessShare); {
		if time.Now().After(end) {
			t.Fatalf("callers are not served within %v", readyTimeout)
		}
	}
}

// isServing tells whether the workspaces within their rate get a share of good answers
// during some time.
func (tb *testbed) isServing(during time.Duration, share float64) bool {
	sent, good := tb.withinRate()
	time.Sleep(during)
	sentNow, goodNow := tb.withinRate()
	return sentNow > sent && float64(goodNow-good) >= share*float64(sentNow-sent)
}

func (tb *testbed) withinRate() (sent, good int) {
	for _, ws := range tb.deployment.Workspaces[1:] {
		s, g := tb.results.counts(ws.ID)
		sent, good = sent+s, good+g
	}
	return sent, good
}

func (tb *testbed) checkFaultFreeService(t *testing.T) {
	if !tb.isServing(faultFreePeriod, minSuccessShare) {
		t.Errorf("service: less than %.0f%% good answers in %v without faults", 100*minSuccessShare, faultFreePeriod)
	}
}

// checkGracefulStops stops VMs in turn, without other faults, while callers go on using their
// open connections until the process is gone.
func (tb *testbed) checkGracefulStops(t *testing.T) {
	for i := range gracefulStops {
		began := time.Now()
		<-tb.vms[i].signal(syscall.SIGTERM)
		tb.restartIfExited(t, i)
		tb.awaitHealthy(t)
		tb.reportProblem(t, tb.incompleteSince(began))
	}
}

// checkFullRestart kills all VMs at once and starts them again: no process remembers what its
// predecessor gave out.
func (tb *testbed) checkFullRestart(t *testing.T) {
	for _, vm := range tb.vms {
		vm.kill()
	}
	for i := range tb.vms {
		tb.restartIfExited(t, i)
	}
	tb.awaitHealthy(t)
}

// incompleteSince judges the answers that were cut around a graceful stop.
func (tb *testbed) incompleteSince(began time.Time) string {
	if cut := tb.results.incompleteSince(began); len(cut) > 0 {
		return fmt.Sprintf("shutdown: answers were cut around a graceful stop: %v", cut)
	}
	return ""
}

// reportProblem fails the test with a problem, if there is one.
func (tb *testbed) reportProblem(t *testing.T, problem string) {
	if problem != "" {
		t.Error(problem)
	}
}

// checkTicket withdraws a key and takes a failure domain out, and checks both.
func (tb *testbed) checkTicket(t *testing.T) {
	doc := tb.deployment.WorkspacesDocument()
	last := len(doc.Workspaces) - 1
	doc.Workspaces[last].KeyDigests = []string{}
	domain := tb.deployment.Domains[0]
	tb.publish(t, deployment.Named{Name: "workspaces/all", Document: doc},
		deployment.Named{Name: "domains", Document: tb.deployment.DomainsDocument(domain)})
	published := time.Now()
	time.Sleep(applyTimeout)
	workspace := doc.Workspaces[last].ID
	_, good := tb.results.counts(workspace)
	time.Sleep(faultFreePeriod)
	tb.reportProblem(t, tb.revokedKeyUsed(workspace, good))
	tb.reportProblem(t, tb.domainUsedAfter(domain, published))
}

// revokedKeyUsed judges the good answers of a workspace whose key was withdrawn before it had
// the given number of them.
func (tb *testbed) revokedKeyUsed(workspace string, good int) string {
	if _, now := tb.results.counts(workspace); now > good {
		return fmt.Sprintf("key: %d good answers with a key withdrawn %v before", now-good, applyTimeout)
	}
	return ""
}

// domainUsedAfter judges the last new work in a failure domain that was taken out.
func (tb *testbed) domainUsedAfter(domain string, published time.Time) string {
	if late := tb.ledger.LastIn(domain).Sub(published); late > applyTimeout {
		return fmt.Sprintf("domain: new work %v after the failure domain was taken out", late)
	}
	return ""
}

// faultKind disturbs the world for some time. VM i belongs to it alone meanwhile.
type faultKind struct {
	name   string
	inject func(tb *testbed, i int, r *rand.Rand, during time.Duration)
}

var faultKinds = []faultKind{
	{"kill", func(tb *testbed, i int, _ *rand.Rand, during time.Duration) {
		tb.vms[i].kill()
		time.Sleep(during)
	}},
	{"stop", func(tb *testbed, i int, _ *rand.Rand, _ time.Duration) { <-tb.vms[i].signal(syscall.SIGTERM) }},
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

// injectFaults injects faults that overlap. At most half of the VMs are disturbed at once.
func (tb *testbed) injectFaults(t *testing.T, r *rand.Rand, during time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	free := newVMPool(r, len(tb.vms))
	began := time.Now()
	for time.Since(began) < during {
		k := faultKinds[r.IntN(len(faultKinds))]
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		lasting := 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second)))
		pause := time.Duration(r.Int64N(int64(maxFaultPause)))
		i := free.acquire()
		t.Logf("%6.2f s  %s, VM %d, %v", time.Since(began).Seconds(), k.name, i+1, lasting.Round(time.Millisecond))
		running.Go(func() {
			k.inject(tb, i, own, lasting)
			tb.restartIfExited(t, i)
			free.release(i)
		})
		time.Sleep(pause)
	}
}

// vmPool hands out VMs for faults, each to one fault at a time.
type vmPool struct {
	slots chan bool // one entry for each VM that may be disturbed at once

	mu     sync.Mutex
	random *rand.Rand
	free   []int
}

func newVMPool(r *rand.Rand, vms int) *vmPool {
	d := &vmPool{slots: make(chan bool, (vms+1)/2), random: rand.New(rand.NewPCG(r.Uint64(), 0))}
	for i := range vms {
		d.free = append(d.free, i)
	}
	return d
}

// acquire waits until one more VM may be disturbed and returns it.
func (d *vmPool) acquire() int {
	d.slots <- true
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.random.IntN(len(d.free))
	i := d.free[at]
	d.free = append(d.free[:at], d.free[at+1:]...)
	return i
}

func (d *vmPool) release(i int) {
	d.mu.Lock()
	d.free = append(d.free, i)
	d.mu.Unlock()
	<-d.slots
}

// restartIfExited starts a VM again that has ended.
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
