package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/load"
	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/core/document"
)

const (
	// hardLoadPause is the longest time between two faults of one kind of those under hard
	// load. They are more severe than others.
	hardLoadPause = 3 * time.Second
	// burstPrefix is the path prefix of the requests of a burst. With burstRate, in
	// requests per second, and a service time of burstFactor times the usual one a burst
	// needs more slots than its service has.
	burstPrefix = "/archive/"
	burstRate   = 150
	burstFactor = 10
	// burstTimeoutMs is shorter than the timeout of other routes, so that the requests of
	// a burst have ended when the checks without faults begin.
	burstTimeoutMs = 4000
	// lowestPriority is the priority of bursts.
	lowestPriority = 3
	// storeAbsence is how long the store is away before it returns from a copy.
	storeAbsence = 300 * time.Millisecond
	// stallMs is how long a caller may make no progress, short enough for a fault.
	stallMs = 2000
)

var (
	// burstWorkspace sends the bursts. Its rate admits those of all faults at once.
	burstWorkspace = deployment.WorkspaceSpec{ID: "archive", Rate: 600, Burst: 600}
	// misbehavingWorkspace is that of the misbehaving callers.
	misbehavingWorkspace = deployment.WorkspaceSpec{ID: "misbehaving", Rate: 40, Burst: 80}
)

// hardLoadFaultKinds lists the faults that only seeds with the settings for hard load have.
var hardLoadFaultKinds = []targetFaultKind{
	{"failure domain lost under load", hardLoadPause, (*testbed).loseDomain},
	{"burst of the lowest priority", hardLoadPause, func(tb *testbed, _ *testing.T, _ *rand.Rand, during time.Duration) {
		defer tb.startBurst()()
		time.Sleep(during)
	}},
	{"store returns from an older copy under load", hardLoadPause, (*testbed).returnStoreFromCopy},
	{"misbehaving callers", hardLoadPause, (*testbed).misbehave},
}

// workspaces returns all workspaces, those of bursts and misbehaving callers included.
func (tb *testbed) workspaces() []deployment.WorkspaceSpec {
	if !tb.hardLoad {
		return tb.deployment.Workspaces
	}
	return append(slices.Clone(tb.deployment.Workspaces), burstWorkspace, misbehavingWorkspace)
}

// documents returns the documents of the complete configuration. The caller holds configMu.
func (tb *testbed) documents() []deployment.NamedDocument {
	all := append(tb.deployment.Documents(tb.ports), tb.serviceDocuments()...)
	if !tb.hardLoad {
		return all
	}
	extra := tb.deployment
	extra.Workspaces = []deployment.WorkspaceSpec{burstWorkspace, misbehavingWorkspace}
	workspaces := extra.WorkspacesDocument()
	workspaces.Workspaces[0].Priority = lowestPriority
	route := tb.deployment.RoutesDocument().Routes[0]
	route.ID, route.PathPrefix, route.Priority, route.TimeoutMs = burstWorkspace.ID, burstPrefix, lowestPriority, burstTimeoutMs
	return append(all,
		deployment.NamedDocument{Name: "workspaces/hard-load", Document: workspaces},
		deployment.NamedDocument{Name: "routes/hard-load", Document: document.Routes{Kind: "routes", Routes: []document.Route{route}}})
}

// burstServiceTime returns the factor of the service time of a request.
func burstServiceTime(r *http.Request) float64 {
	if strings.HasPrefix(r.URL.Path, burstPrefix) {
		return burstFactor
	}
	return 1
}

// startBurst sends requests of the lowest priority until stop is called.
func (tb *testbed) startBurst() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	caller := load.NewCaller(burstWorkspace.Key(), tb.callerAddresses())
	stream := &load.Stream{
		Caller: caller, Rate: burstRate, Stats: load.NewStats(),
		NextRequest: func(int) load.Request {
			path := fmt.Sprintf("%s%s/%d", burstPrefix, burstWorkspace.ID, tb.extraRequests.Add(1))
			if strings.HasSuffix(path, "0") {
				return load.Request{Method: http.MethodPost, Path: path, Body: path}
			}
			return load.Request{Method: http.MethodGet, Path: path}
		},
		Observe: func(r load.Request, res load.Result) {
			tb.ledger.RecordNotRun(r, res)
			tb.results.record(burstWorkspace.ID, r, res)
		},
	}
	tb.running.Go(func() {
		stream.Run(ctx)
		caller.Close()
	})
	return cancel
}

// loseDomain makes a failure domain disappear during a burst, either with a crash of its
// VMs and targets or by stopping its VMs and cutting the paths to its targets.
func (tb *testbed) loseDomain(t *testing.T, r *rand.Rand, during time.Duration) {
	domain := tb.deployment.Domains[r.IntN(len(tb.deployment.Domains))]
	crash := r.IntN(2) == 0
	vms := tb.vmsIn(domain)
	tb.faults.reserve(vms)
	defer func() {
		for _, i := range vms {
			tb.faults.release(i)
		}
	}()
	if time.Now().After(tb.faultsEnd) {
		return // Waiting for the faults of its VMs took the rest of the time.
	}
	defer tb.startBurst()()
	defer tb.lockPaths(domain)()
	t.Logf("%6.2f s  failure domain %s lost for %v, crash %v", time.Since(tb.faultsBegan).Seconds(), domain, during.Round(time.Millisecond), crash)
	lost := silentToServer
	if crash {
		lost = resetting
		for _, one := range tb.targetsIn(domain) {
			one.Crash()
		}
	}
	tb.setTargetPaths(domain, lost)
	for _, i := range vms {
		if crash {
			tb.vms[i].kill()
		} else {
			tb.vms[i].signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(during)
	tb.setTargetPaths(domain, passing)
	for _, i := range vms {
		tb.vms[i].signal(syscall.SIGCONT)
		tb.restartIfExited(t, i)
	}
}

// returnStoreFromCopy publishes the services during a burst and then makes the platform
// return from a copy that lacks this ticket and all others published meanwhile. The operator
// repeats its writes some time later.
func (tb *testbed) returnStoreFromCopy(t *testing.T, _ *rand.Rand, during time.Duration) {
	defer tb.startBurst()()
	copied := tb.platform.Copy()
	tb.publishServices(t)
	time.Sleep(during / 2)
	tb.platform.SetOutage(platform.Refusing, storeAbsence)
	time.Sleep(storeAbsence)
	tb.platform.ReturnFrom(copied)
	t.Logf("%6.2f s  the store has returned from a copy %v old", time.Since(tb.faultsBegan).Seconds(), (during/2 + storeAbsence).Round(time.Millisecond))
	time.Sleep(during / 2)
	tb.configMu.Lock()
	defer tb.configMu.Unlock()
	if err := tb.publish(tb.documents()...); err != nil {
		t.Error(err)
	}
}

// vmsIn returns the numbers of the VMs in a failure domain.
func (tb *testbed) vmsIn(domain string) []int {
	var in []int
	for i, vm := range tb.deployment.VMList(len(tb.vms), tb.ports).VMs {
		if vm.FailureDomain == domain {
			in = append(in, i)
		}
	}
	return in
}

// callerAddresses returns the addresses of the VMs for callers.
func (tb *testbed) callerAddresses() []string {
	var addresses []string
	for _, p := range tb.callerProxies {
		addresses = append(addresses, p.listener.Addr().String())
	}
	return addresses
}

// Guards against a lost failure domain and a fault of a VM that use the same VM, and
// against more VMs with a fault than allowed.
func TestReservedVMsHaveNoOtherFault(t *testing.T) {
	p := newVMPool(rand.New(rand.NewPCG(1, 1)), 6)
	first := p.acquire()
	reserved := make(chan []int)
	go func() {
		wanted := []int{first, (first + 1) % 6}
		p.reserve(wanted)
		reserved <- wanted
	}()
	select {
	case <-reserved:
		t.Fatalf("VM %d is reserved while it has a fault", first)
	case <-time.After(5 * reservePoll):
	}
	p.release(first)
	wanted := <-reserved
	if other := p.acquire(); slices.Contains(wanted, other) {
		t.Errorf("VM %d has a fault, but %v are reserved", other, wanted)
	}
	if len(p.slots) != cap(p.slots) {
		t.Errorf("%d VMs with a fault, want %d", len(p.slots), cap(p.slots))
	}
}
