package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
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
	// backOffset separates the port at which a VM listens from the one that callers
	// are told, where its proxy is.
	backOffset = 32
	soakKey    = "a-shared-key-for-the-soak-on-loopback"
	median     = 20 * time.Millisecond
	// coldRamp is shorter than the ramp of the documents, so that the limit of the
	// fleet is below what a target bears.
	coldRamp = 4 * time.Second
	// overdrive is the load of the first workspace, so that a rate that is given out
	// twice shows; loadFactor is that of the others.
	overdrive  = 2
	loadFactor = 0.5
)

// size is the deployment of the soak: small enough for a few cores.
func size() deployment.Deployment {
	d := deployment.CabelloDigno()
	d.Services = []deployment.ServiceSize{
		{Name: "citas", Targets: 8, Slots: 3, Connections: 200},
		{Name: "entregas", Targets: 8, Slots: 3, Connections: 200},
	}
	d.Workspaces = []deployment.WorkspaceSize{
		{ID: "clinic-1", Rate: 40, Burst: 80}, {ID: "clinic-2", Rate: 60, Burst: 120},
		{ID: "clinic-3", Rate: 20, Burst: 40}, {ID: "clinic-4", Rate: 20, Burst: 40},
	}
	return d
}

// world is a fleet of processes with stand-ins for the platform, targets and callers.
type world struct {
	deployment deployment.Deployment
	ports      deployment.Ports
	vms        []*process
	paths      []*proxy // of callers to each VM
	stores     []*proxy // of each VM to the platform
	platform   *platform.Server
	targets    []*target.Target
	ledger     *ledger.Ledger
	seen       *seen
	ticket     uint64
	// bySeeds is true when the VMs find each other without a published list.
	bySeeds bool
}

// seen counts what callers got. It is safe for concurrent use.
type seen struct {
	mu      sync.Mutex
	sent    map[string]int
	good    map[string]int
	crossed []string
	// cut lists the answers that broke off or never came.
	cut []cutAnswer
}

// cutAnswer is an answer that broke off or never came.
type cutAnswer struct {
	began  time.Time
	detail string
}

func newSeen() *seen {
	return &seen{sent: map[string]int{}, good: map[string]int{}}
}

func (s *seen) note(workspace string, r load.Request, res load.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[workspace]++
	// A caller that got no address has sent nothing.
	if res.Broken && res.Kind != "no_address" {
		detail := fmt.Sprintf("%s %s after %v, status %d", r.Method, r.Path, res.Elapsed.Round(time.Millisecond), res.Status)
		s.cut = append(s.cut, cutAnswer{time.Now().Add(-res.Elapsed), detail})
	}
	if !res.OK() {
		return
	}
	s.good[workspace]++
	if !strings.Contains(res.Body, `"path":"`+r.Path+`"`) || !strings.Contains(res.Body, workspace) {
		s.crossed = append(s.crossed, r.Path)
	}
}

// counts returns the requests and the good answers of a workspace.
func (s *seen) counts(workspace string) (sent, good int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[workspace], s.good[workspace]
}

// cuts returns the answers to requests begun since a time that broke off or never
// came. Earlier requests may have met a fault that is over.
func (s *seen) cuts(since time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, c := range s.cut {
		if !c.began.Before(since) {
			out = append(out, c.detail)
		}
	}
	return out
}

// startWorld starts everything. Logs and settings go to dir.
func startWorld(t *testing.T, dir string, vms int, bySeeds bool) *world {
	ports, err := deployment.FreePorts()
	if err != nil {
		t.Fatal(err)
	}
	w := &world{deployment: size(), ports: ports, platform: platform.New(platform.Config{}), ledger: ledger.New(), seen: newSeen(), bySeeds: bySeeds}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	w.startTargets(ctx, t, &running)
	w.startVMs(t, dir, vms)
	w.startCallers(ctx, &running)
	return w
}

func (w *world) startTargets(ctx context.Context, t *testing.T, running *sync.WaitGroup) {
	var keys []string
	for _, ws := range w.deployment.Workspaces {
		keys = append(keys, ws.Key())
	}
	for i := range w.deployment.Services {
		for _, doc := range w.deployment.Service(i, w.ports).Targets {
			l, err := net.Listen("tcp", doc.Address)
			if err != nil {
				t.Fatal(err)
			}
			one := target.New(target.Config{
				ID: doc.ID, Slots: doc.Slots, Median: median, Sigma: 0.4, ColdSlots: 1, ColdRamp: coldRamp,
				Keys: keys, Seed: uint64(len(w.targets) + 1), OnRun: w.ledger.Ran(doc.FailureDomain),
			})
			w.targets = append(w.targets, one)
			running.Go(func() { _ = one.Serve(ctx, l) })
		}
	}
}

// startVMs starts the platform and the VMs, each behind proxies of its own.
func (w *world) startVMs(t *testing.T, dir string, vms int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: w.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	list := w.deployment.List(vms, w.ports)
	if err := w.platform.SetList(list, 0); err != nil {
		t.Fatal(err)
	}
	w.publish(t, w.deployment.Documents(w.ports)...)
	program := buildDaemon(t, dir)
	for i, vm := range list.VMs {
		back := fmt.Sprintf("127.0.0.1:%d", w.ports.Caller+backOffset+i)
		store := startProxy(t, "127.0.0.1:0", l.Addr().String())
		w.paths = append(w.paths, startProxy(t, vm.Address, back))
		w.stores = append(w.stores, store)
		p, err := newProcess(program, dir, w.settings(&settings.Settings{
			ID: vm.ID, Address: back, PeerAddress: vm.PeerAddress, AdminAddress: w.ports.AdminAddress(i),
			FailureDomain: vm.FailureDomain, PlatformURL: "http://" + store.listener.Addr().String(), SharedKey: soakKey,
		}, list))
		if err != nil {
			t.Fatal(err)
		}
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
		w.vms = append(w.vms, p)
		t.Cleanup(p.end)
	}
}

// seedCount is the number of VMs that all others ask for the fleet.
const seedCount = 3

// settings adds how the VMs find each other. VMs without a published list tell callers
// the address at which they listen, so that only address questions pass the proxies.
func (w *world) settings(s *settings.Settings, list *member.List) *settings.Settings {
	if !w.bySeeds {
		return s
	}
	s.Membership, s.Seats = settings.BySeeds, settings.FewSeats
	for _, vm := range list.VMs[:seedCount] {
		s.Seeds = append(s.Seeds, vm.PeerAddress)
	}
	return s
}

// publish puts documents in force.
func (w *world) publish(t *testing.T, documents ...deployment.Named) {
	file := &document.TicketFile{Ticket: w.ticket + 1, Documents: map[string]json.RawMessage{}}
	for _, d := range documents {
		raw, err := json.Marshal(d.Document)
		if err != nil {
			t.Fatal(err)
		}
		file.Documents[d.Name] = raw
	}
	if err := w.platform.Publish(file); err != nil {
		t.Fatal(err)
	}
	w.ticket++
}

func (w *world) startCallers(ctx context.Context, running *sync.WaitGroup) {
	var entry []string
	for _, p := range w.paths {
		entry = append(entry, p.listener.Addr().String())
	}
	for i, ws := range w.deployment.Workspaces {
		factor := loadFactor
		if i == 0 {
			factor = overdrive
		}
		caller := load.NewCaller(ws.Key(), entry)
		stream := &load.Stream{
			Caller: caller, Rate: ws.Rate * factor, Stats: load.NewStats(),
			Next: func(n int) load.Request { return w.request(ws.ID, n) },
			Observe: func(r load.Request, res load.Result) {
				w.ledger.Note(r, res)
				w.seen.note(ws.ID, r, res)
			},
		}
		running.Go(func() {
			stream.Run(ctx)
			caller.Close()
		})
	}
}

// request returns request number n of a workspace; each third one is not idempotent.
func (w *world) request(workspace string, n int) load.Request {
	services := w.deployment.Services
	path := fmt.Sprintf("/%s/%s/%d", services[n%len(services)].Name, workspace, n)
	if n%3 == 0 {
		return load.Request{Method: http.MethodPost, Path: path, Body: path}
	}
	return load.Request{Method: http.MethodGet, Path: path}
}

// heal ends the faults of paths, targets and the platform.
func (w *world) heal() {
	for i := range w.vms {
		w.paths[i].set(passing)
		w.stores[i].set(passing)
	}
	for _, t := range w.targets {
		t.SetFault(target.Fault{})
	}
	w.platform.SetAbsent(platform.Present, 0)
}
