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
	seed   = flag.Uint64("soak.seed", 1, "first seed")
	seeds  = flag.Int("soak.seeds", 2, "number of seeds, one after the other")
	length = flag.Duration("soak.for", 12*time.Second, "length of the faults of one seed")
	vms    = flag.Int("soak.vms", 6, "number of VMs, 4 to 30")
)

const (
	// readyTime bounds the wait until callers are served, after the start and after
	// the last fault: a takeover, cold targets and one request timeout.
	readyTime = 30 * time.Second
	// calmTime is how long callers are watched after the last fault.
	calmTime = 3 * time.Second
	// calmShare is the share of good answers without faults.
	calmShare = 0.95
	// stops is the number of VMs that are stopped one after the other without faults.
	stops = 2
	// applyTime is how long a ticket may take until it is in force.
	applyTime = 3 * time.Second
	// maxPause is the longest time between two faults.
	maxPause = 800 * time.Millisecond
)

func newJudged() *world {
	return &world{deployment: size(), ledger: ledger.New(), seen: newSeen()}
}

// Guards against promises that hold in one process but not with real ones that are
// killed, paused and cut off at the same time. The VMs of odd seeds read a published list,
// those of even seeds find each other. One command replays a seed:
// go test ./soak -run TestSoak -soak.seed N -soak.seeds 1.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the processes are built without the race detector")
	}
	for i := range *seeds {
		n := *seed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", n), func(t *testing.T) { soak(t, n) })
	}
}

func soak(t *testing.T, seed uint64) {
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
	w := startWorld(t, dir, *vms, seed%2 == 0)
	w.awaitService(t)
	w.faults(t, rand.New(rand.NewPCG(seed, 0)), *length)
	w.heal()
	w.awaitService(t)
	w.checkCalm(t)
	w.checkStops(t)
	w.checkRestart(t)
	w.checkTicket(t)
	for _, problem := range w.broken() {
		t.Error(problem)
	}
}

// awaitService waits until each workspace within its rate gets good answers.
func (w *world) awaitService(t *testing.T) {
	for end := time.Now().Add(readyTime); !w.serves(time.Second, calmShare); {
		if time.Now().After(end) {
			t.Fatalf("callers are not served within %v", readyTime)
		}
	}
}

// serves tells whether the workspaces within their rate get a share of good answers
// during some time.
func (w *world) serves(during time.Duration, share float64) bool {
	sent, good := w.withinRate()
	time.Sleep(during)
	sentNow, goodNow := w.withinRate()
	return sentNow > sent && float64(goodNow-good) >= share*float64(sentNow-sent)
}

func (w *world) withinRate() (sent, good int) {
	for _, ws := range w.deployment.Workspaces[1:] {
		s, g := w.seen.counts(ws.ID)
		sent, good = sent+s, good+g
	}
	return sent, good
}

func (w *world) checkCalm(t *testing.T) {
	if !w.serves(calmTime, calmShare) {
		t.Errorf("service: less than %.0f%% good answers in %v without faults", 100*calmShare, calmTime)
	}
}

// checkStops stops VMs in turn, without other faults, while callers go on using their
// open connections until the process is gone.
func (w *world) checkStops(t *testing.T) {
	for i := range stops {
		began := time.Now()
		<-w.vms[i].signal(syscall.SIGTERM)
		w.revive(t, i)
		w.awaitService(t)
		w.report(t, w.cutSince(began))
	}
}

// checkRestart kills all VMs at once and starts them again: no process remembers what its
// predecessor gave out.
func (w *world) checkRestart(t *testing.T) {
	for _, vm := range w.vms {
		vm.end()
	}
	for i := range w.vms {
		w.revive(t, i)
	}
	w.awaitService(t)
}

// cutSince judges the answers that were cut around a graceful stop.
func (w *world) cutSince(began time.Time) string {
	if cut := w.seen.cuts(began); len(cut) > 0 {
		return fmt.Sprintf("shutdown: answers were cut around a graceful stop: %v", cut)
	}
	return ""
}

// report fails the test with a problem, if there is one.
func (w *world) report(t *testing.T, problem string) {
	if problem != "" {
		t.Error(problem)
	}
}

// checkTicket withdraws a key and takes a failure domain out, and checks both.
func (w *world) checkTicket(t *testing.T) {
	doc := w.deployment.WorkspacesDocument()
	last := len(doc.Workspaces) - 1
	doc.Workspaces[last].KeyDigests = []string{}
	domain := w.deployment.Domains[0]
	w.publish(t, deployment.Named{Name: "workspaces/all", Document: doc},
		deployment.Named{Name: "domains", Document: w.deployment.DomainsDocument(domain)})
	published := time.Now()
	time.Sleep(applyTime)
	workspace := doc.Workspaces[last].ID
	_, good := w.seen.counts(workspace)
	time.Sleep(calmTime)
	w.report(t, w.keyUsed(workspace, good))
	w.report(t, w.domainUsed(domain, published))
}

// keyUsed judges the good answers of a workspace whose key was withdrawn before it had
// the given number of them.
func (w *world) keyUsed(workspace string, good int) string {
	if _, now := w.seen.counts(workspace); now > good {
		return fmt.Sprintf("key: %d good answers with a key withdrawn %v before", now-good, applyTime)
	}
	return ""
}

// domainUsed judges the last new work in a failure domain that was taken out.
func (w *world) domainUsed(domain string, published time.Time) string {
	if late := w.ledger.LastIn(domain).Sub(published); late > applyTime {
		return fmt.Sprintf("domain: new work %v after the failure domain was taken out", late)
	}
	return ""
}

// fault disturbs the world for some time. VM i belongs to it alone meanwhile.
type fault struct {
	name   string
	inject func(w *world, i int, r *rand.Rand, during time.Duration)
}

var kinds = []fault{
	{"kill", func(w *world, i int, _ *rand.Rand, during time.Duration) {
		w.vms[i].end()
		time.Sleep(during)
	}},
	{"stop", func(w *world, i int, _ *rand.Rand, _ time.Duration) { <-w.vms[i].signal(syscall.SIGTERM) }},
	{"stop, then kill", func(w *world, i int, _ *rand.Rand, during time.Duration) {
		w.vms[i].signal(syscall.SIGTERM)
		time.Sleep(during / 2)
		w.vms[i].end()
	}},
	{"pause", func(w *world, i int, _ *rand.Rand, during time.Duration) {
		w.vms[i].signal(syscall.SIGSTOP)
		time.Sleep(during)
		w.vms[i].signal(syscall.SIGCONT)
	}},
	{"path of callers", func(w *world, i int, r *rand.Rand, during time.Duration) {
		w.paths[i].set(1 + mode(r.IntN(int(modes)-1)))
		time.Sleep(during)
		w.paths[i].set(passing)
	}},
	{"path to the platform", func(w *world, i int, r *rand.Rand, during time.Duration) {
		w.stores[i].set(1 + mode(r.IntN(int(modes)-1)))
		time.Sleep(during)
		w.stores[i].set(passing)
	}},
	{"platform absent", func(w *world, _ int, _ *rand.Rand, during time.Duration) {
		w.platform.SetAbsent(platform.Refusing, during)
		time.Sleep(during)
	}},
	{"gray target", func(w *world, _ int, r *rand.Rand, during time.Duration) {
		gray := []target.Fault{{SlowFactor: 10, HealthLies: true}, {ErrorPercent: 60}, {TruncatePercent: 40}, {ClosePercent: 40}, {HangPercent: 40}}
		t := w.targets[r.IntN(len(w.targets))]
		t.SetFault(gray[r.IntN(len(gray))])
		time.Sleep(during)
		t.SetFault(target.Fault{})
	}},
	{"cold target", func(w *world, _ int, r *rand.Rand, _ time.Duration) {
		w.targets[r.IntN(len(w.targets))].TurnCold()
	}},
}

// faults injects faults that overlap. At most half of the VMs are disturbed at once.
func (w *world) faults(t *testing.T, r *rand.Rand, during time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	free := newDisturbed(r, len(w.vms))
	began := time.Now()
	for time.Since(began) < during {
		k := kinds[r.IntN(len(kinds))]
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		lasting := 200*time.Millisecond + time.Duration(r.Int64N(int64(4*time.Second)))
		pause := time.Duration(r.Int64N(int64(maxPause)))
		i := free.take()
		t.Logf("%6.2f s  %s, VM %d, %v", time.Since(began).Seconds(), k.name, i+1, lasting.Round(time.Millisecond))
		running.Go(func() {
			k.inject(w, i, own, lasting)
			w.revive(t, i)
			free.giveBack(i)
		})
		time.Sleep(pause)
	}
}

// disturbed hands out VMs for faults, each to one fault at a time.
type disturbed struct {
	room chan bool // one entry for each VM that may be disturbed at once

	mu     sync.Mutex
	random *rand.Rand
	calm   []int
}

func newDisturbed(r *rand.Rand, vms int) *disturbed {
	d := &disturbed{room: make(chan bool, (vms+1)/2), random: rand.New(rand.NewPCG(r.Uint64(), 0))}
	for i := range vms {
		d.calm = append(d.calm, i)
	}
	return d
}

// take waits until one more VM may be disturbed and returns it.
func (d *disturbed) take() int {
	d.room <- true
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.random.IntN(len(d.calm))
	i := d.calm[at]
	d.calm = append(d.calm[:at], d.calm[at+1:]...)
	return i
}

func (d *disturbed) giveBack(i int) {
	d.mu.Lock()
	d.calm = append(d.calm, i)
	d.mu.Unlock()
	<-d.room
}

// revive starts a VM again that has ended.
func (w *world) revive(t *testing.T, i int) {
	select {
	case <-w.vms[i].signal(0):
	default:
		return
	}
	if err := w.vms[i].start(); err != nil {
		t.Error(err)
	}
}
