package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/ledger"
	"github.com/galenasail/galenasail/cmd/internal/load"
	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/settings"
)

const (
	// listenPortOffset is the offset between the published port of a VM, where its proxy
	// listens, and the port where the VM itself listens.
	listenPortOffset  = 32
	sharedKey         = "a-shared-key-for-the-soak-on-loopback"
	medianServiceTime = 20 * time.Millisecond
	// coldRamp is shorter than the ramp in the configuration documents, so that the
	// fleet's limit for a cold target is below the target's capacity.
	coldRamp = 4 * time.Second
	// overloadFactor is the load of the first workspace as a multiple of its rate: above
	// 1, so that a rate that is granted twice is detected. loadFactor is that of the
	// other workspaces.
	overloadFactor = 2
	loadFactor     = 0.5
)

// testDeployment returns the deployment of the test, small enough for a few cores.
func testDeployment() deployment.Deployment {
	d := deployment.CabelloDigno()
	d.Services = []deployment.ServiceSpec{
		{Name: "citas", Targets: 8, Slots: 3, Connections: 200},
		{Name: "entregas", Targets: 8, Slots: 3, Connections: 200},
	}
	d.Workspaces = []deployment.WorkspaceSpec{
		{ID: "clinic-1", Rate: 40, Burst: 80}, {ID: "clinic-2", Rate: 60, Burst: 120},
		{ID: "clinic-3", Rate: 20, Burst: 40}, {ID: "clinic-4", Rate: 20, Burst: 40},
	}
	return d
}

// testbed is a fleet of processes with stand-ins for the platform and the targets, and
// with callers.
type testbed struct {
	deployment      deployment.Deployment
	ports           deployment.Ports
	vms             []*process
	callerProxies   []*proxy // from callers to each VM
	platformProxies []*proxy // from each VM to the platform
	platform        *platform.Server
	targetProxies   []*proxy // from all VMs to each target
	targets         []*target.Target
	targetDomains   []string // failure domain of each target
	// incarnations holds, for each service, the numbers of those starts of its targets
	// that the configuration lists.
	incarnations [][]int
	// configMu guards ticket and incarnations.
	configMu sync.Mutex
	// pathsInUse holds a lock for each failure domain. See lockPaths.
	pathsInUse []sync.Mutex
	ledger     *ledger.Ledger
	results    *callerResults
	ticket     uint64
	// bySeeds is true when the VMs find each other through seed VMs instead of a
	// published list.
	bySeeds bool
	// hardLoad switches on what is meant for fleets under hard load: locality, choice by
	// expected load, overload control, and the faults of hardLoadFaultKinds.
	hardLoad bool
	// extraRequests numbers the requests of bursts and misbehaving callers.
	extraRequests atomic.Int64
	// running holds targets and callers; the test waits for them at its end.
	running sync.WaitGroup
	// faults assigns VMs to faults.
	faults *vmPool
	// faultsBegan and faultsEnd bound the time for which faults are injected.
	faultsBegan, faultsEnd time.Time
}

// startTestbed starts targets, platform, VMs and callers. Logs and settings are written
// to dir.
func startTestbed(t *testing.T, dir string, vms int, seed uint64) *testbed {
	ports, err := deployment.FreePorts()
	if err != nil {
		t.Fatal(err)
	}
	tb := &testbed{deployment: testDeployment(), ports: ports, platform: platform.New(platform.Config{}), ledger: ledger.New(), results: newCallerResults(), bySeeds: seed%2 == 0, hardLoad: seed%4 == 2}
	ctx, cancel := context.WithCancel(context.Background())
	tb.pathsInUse = make([]sync.Mutex, len(tb.deployment.Domains))
	t.Cleanup(func() {
		cancel()
		tb.running.Wait()
	})
	tb.startTargets(ctx, t)
	tb.startVMs(t, dir, vms)
	tb.startCallers(ctx)
	return tb
}

func (tb *testbed) startTargets(ctx context.Context, t *testing.T) {
	var keys []string
	for _, ws := range tb.workspaces() {
		keys = append(keys, ws.Key())
	}
	for i := range tb.deployment.Services {
		for _, doc := range tb.deployment.ServiceDocument(i, tb.ports).Targets {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			tb.targetProxies = append(tb.targetProxies, startProxy(t, doc.Address, l.Addr().String()))
			one := target.New(target.Config{
				ID: doc.ID, Slots: doc.Slots, MedianServiceTime: medianServiceTime, Sigma: 0.4, ColdSlots: 1, ColdRamp: coldRamp,
				Keys: keys, ServiceTimeFactor: burstServiceTime, Seed: uint64(len(tb.targets) + 1), OnRun: tb.ledger.RunRecorder(doc.FailureDomain),
			})
			tb.targets = append(tb.targets, one)
			tb.targetDomains = append(tb.targetDomains, doc.FailureDomain)
			tb.running.Go(func() { _ = one.Serve(ctx, l) })
		}
	}
}

// startVMs starts the platform and the VMs. Each VM has a proxy of its own for callers
// and one for the platform.
func (tb *testbed) startVMs(t *testing.T, dir string, vms int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: tb.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	list := tb.deployment.VMList(vms, tb.ports)
	if err := tb.platform.SetList(list, 0); err != nil {
		t.Fatal(err)
	}
	for range tb.deployment.Services {
		tb.incarnations = append(tb.incarnations, []int{0})
	}
	if err := tb.publish(tb.documents()...); err != nil {
		t.Fatal(err)
	}
	program := buildDaemon(t, dir)
	for i, vm := range list.VMs {
		listenAddress := fmt.Sprintf("127.0.0.1:%d", tb.ports.Caller+listenPortOffset+i)
		platformProxy := startProxy(t, "127.0.0.1:0", l.Addr().String())
		tb.callerProxies = append(tb.callerProxies, startProxy(t, vm.Address, listenAddress))
		tb.platformProxies = append(tb.platformProxies, platformProxy)
		p, err := newProcess(program, dir, tb.settings(&settings.Settings{
			ID: vm.ID, Address: listenAddress, PeerAddress: vm.PeerAddress, AdminAddress: tb.ports.AdminAddress(i),
			FailureDomain: vm.FailureDomain, PlatformURL: "http://" + platformProxy.listener.Addr().String(), SharedKey: sharedKey,
			LogLevel: 1, // logs the events about requests, which show the attempts of each
		}, list))
		if err != nil {
			t.Fatal(err)
		}
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		tb.vms = append(tb.vms, p)
		t.Cleanup(p.kill)
	}
}

// seedVMs is the number of VMs that the others ask for the members of the fleet.
const seedVMs = 3

// settings adds the kind of membership to a VM's settings. VMs without a published list
// announce the address at which they listen, so callers use the proxies only to query
// addresses.
func (tb *testbed) settings(s *settings.Settings, list *member.List) *settings.Settings {
	if tb.hardLoad {
		s.LocalDomains, s.AnticipateLoad, s.OverloadControl = tb.deployment.Domains, true, true
		s.CallerLimits.StallMs = stallMs
	}
	if !tb.bySeeds {
		return s
	}
	s.Membership, s.Seats = settings.MembershipBySeeds, settings.SmallFleetSeats
	for _, vm := range list.VMs[:seedVMs] {
		s.Seeds = append(s.Seeds, vm.PeerAddress)
	}
	return s
}

// publish publishes documents as the next ticket. The caller holds configMu while faults are
// injected.
func (tb *testbed) publish(documents ...deployment.NamedDocument) error {
	file := &document.TicketFile{Ticket: tb.ticket + 1, Documents: map[string]json.RawMessage{}}
	for _, d := range documents {
		raw, err := json.Marshal(d.Document)
		if err != nil {
			return err
		}
		file.Documents[d.Name] = raw
	}
	tb.ticket++
	return tb.platform.Publish(file)
}

func (tb *testbed) startCallers(ctx context.Context) {
	addresses := tb.callerAddresses()
	for i, ws := range tb.deployment.Workspaces {
		factor := loadFactor
		if i == 0 {
			factor = overloadFactor
		}
		caller := load.NewCaller(ws.Key(), addresses)
		stream := &load.Stream{
			Caller: caller, Rate: ws.Rate * factor, Stats: load.NewStats(),
			NextRequest: func(n int) load.Request {
				r := tb.request(ws.ID, n)
				tb.results.begin(ws.ID, r)
				return r
			},
			Observe: func(r load.Request, res load.Result) {
				tb.ledger.RecordNotRun(r, res)
				tb.results.record(ws.ID, r, res)
			},
		}
		tb.running.Go(func() {
			stream.Run(ctx)
			caller.Close()
		})
	}
}

// request returns request number n of a workspace. Every third one is not idempotent.
func (tb *testbed) request(workspace string, n int) load.Request {
	services := tb.deployment.Services
	path := fmt.Sprintf("/%s/%s/%d", services[n%len(services)].Name, workspace, n)
	if n%3 == 0 {
		return load.Request{Method: http.MethodPost, Path: path, Body: path}
	}
	return load.Request{Method: http.MethodGet, Path: path}
}

// clearFaults ends the faults of the proxies, the targets and the platform.
func (tb *testbed) clearFaults() {
	for i := range tb.vms {
		tb.callerProxies[i].setMode(passing)
		tb.platformProxies[i].setMode(passing)
	}
	for _, p := range tb.targetProxies {
		p.setMode(passing)
	}
	setFaults(tb.targets, target.Fault{})
	tb.platform.SetOutage(platform.Available, 0)
}
