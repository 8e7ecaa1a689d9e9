// Package fleet runs a complete fleet in one process on loopback: a platform stand-in
// and VMs that communicate over real sockets. Its user starts the targets.
package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/daemon"
	"github.com/galenasail/galenasail/node/settings"
)

// sharedKey authenticates the VMs of the fleet to each other. It need not be secret,
// because all of them run in this process.
const sharedKey = "a-shared-key-for-one-process-only"

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Config is the configuration of a Fleet.
type Config struct {
	// Deployment defines the services, workspaces and failure domains.
	Deployment deployment.Deployment
	// VMs is the number of VMs.
	VMs int
	// Ports defines the addresses of VMs and targets.
	Ports deployment.Ports
	// Logger receives the logs of all VMs.
	Logger logr.Logger
	// OnViolation is called each time a VM detects a violated invariant. Default: no
	// call.
	OnViolation func(invariant.Name)
	// Baseline runs the uncoordinated policy for comparison. Default: false.
	Baseline bool
	// Partition returns the injected network partition of the VM with the given ID.
	// Default: no partition.
	Partition func(id string) daemon.Partition
}

// Fleet is a running fleet. Methods that change it are not safe for concurrent
// use.
type Fleet struct {
	config         Config
	platform       *platform.Server
	platformServer *http.Server
	platformURL    string
	vmList         *member.List
	lastTicket     uint64

	mu      sync.Mutex
	daemons []*daemon.Daemon
}

// Start starts the platform, publishes the first ticket and starts all VMs.
func Start(c Config) (*Fleet, error) {
	if c.OnViolation == nil {
		c.OnViolation = func(invariant.Name) {}
	}
	f := &Fleet{config: c, platform: platform.New(platform.Config{}), vmList: c.Deployment.VMList(c.VMs, c.Ports)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f.platformURL = "http://" + listener.Addr().String()
	f.platformServer = &http.Server{Handler: f.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = f.platformServer.Serve(listener) }()
	if err := f.platform.SetList(f.vmList, 0); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := f.Publish(c.Deployment.Documents(c.Ports)); err != nil {
		return nil, trace.Wrap(err)
	}
	for i := range f.vmList.VMs {
		f.daemons = append(f.daemons, nil)
		if err := f.StartVM(i); err != nil {
			f.Stop()
			return nil, trace.Wrap(err)
		}
	}
	return f, nil
}

// StartVM starts VM number i, also after KillVM or StopVM.
func (f *Fleet) StartVM(i int) error {
	vm := f.vmList.VMs[i]
	s := &settings.Settings{
		ID:            vm.ID,
		Address:       vm.Address,
		PeerAddress:   vm.PeerAddress,
		AdminAddress:  f.config.Ports.AdminAddress(i),
		FailureDomain: vm.FailureDomain,
		PlatformURL:   f.platformURL,
		SharedKey:     sharedKey,
	}
	d, err := daemon.New(s, daemon.Options{
		Logger:      f.config.Logger.WithValues("vm", vm.ID),
		OnViolation: f.config.OnViolation,
		Baseline:    f.config.Baseline,
		Partition:   f.partition(vm.ID),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	f.mu.Lock()
	f.daemons[i] = d
	f.mu.Unlock()
	return trace.Wrap(d.Start())
}

func (f *Fleet) partition(id string) daemon.Partition {
	if f.config.Partition == nil {
		return nil
	}
	return f.config.Partition(id)
}

// VM returns VM number i, or nil while it is stopped.
func (f *Fleet) VM(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// KillVM stops VM number i without a graceful shutdown. It has no effect on a stopped
// VM.
func (f *Fleet) KillVM(i int) {
	d := f.removeVM(i)
	if d != nil {
		d.Kill()
	}
}

// StopVM shuts VM number i down gracefully, within 60 s or until ctx ends. It returns an
// error if requests were cut off, and has no effect on a stopped VM.
func (f *Fleet) StopVM(ctx context.Context, i int) error {
	d := f.removeVM(i)
	if d == nil {
		return nil
	}
	return trace.Wrap(d.Shutdown(ctx))
}

// removeVM marks VM number i as stopped and returns it, nil if it already was.
func (f *Fleet) removeVM(i int) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.daemons[i]
	f.daemons[i] = nil
	return d
}

// Platform returns the platform stand-in.
func (f *Fleet) Platform() *platform.Server {
	return f.platform
}

// PlatformURL returns the base URL of the platform stand-in.
func (f *Fleet) PlatformURL() string {
	return f.platformURL
}

// CallerAddresses returns the addresses for callers of all VMs, running or not.
func (f *Fleet) CallerAddresses() []string {
	var out []string
	for _, vm := range f.vmList.VMs {
		out = append(out, vm.Address)
	}
	return out
}

// Publish publishes documents under the next ticket number. If the platform refuses
// them, it returns an error and the number is not used up.
func (f *Fleet) Publish(documents []deployment.NamedDocument) error {
	t := &document.TicketFile{Ticket: f.lastTicket + 1, Documents: map[string]json.RawMessage{}}
	for _, d := range documents {
		raw, err := json.Marshal(d.Document)
		if err != nil {
			return trace.Wrap(err)
		}
		t.Documents[d.Name] = raw
	}
	if err := f.platform.Publish(t); err != nil {
		return trace.Wrap(err)
	}
	f.lastTicket++
	return nil
}

// Ticket returns the number of the ticket published last.
func (f *Fleet) Ticket() uint64 {
	return f.lastTicket
}

// WaitReady waits until all running VMs accept requests under the ticket published last
// and all shards have an exclusive holder. It returns an error if ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return f.WaitFor(ctx, func() bool { return f.ticketApplied() && f.exclusiveShards() >= member.ShardCount })
}

// WaitTicketApplied waits until all running VMs have applied the ticket published last
// and accept requests, and returns how long that took. It returns an error if ctx ends
// first.
func (f *Fleet) WaitTicketApplied(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	err := f.WaitFor(ctx, f.ticketApplied)
	return time.Since(start), trace.Wrap(err)
}

// WaitFor waits until condition returns true. It returns an error if ctx ends first.
func (f *Fleet) WaitFor(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("the fleet did not reach the expected state in time: %v", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// ticketApplied reports whether all running VMs have applied the ticket published last
// and accept requests.
func (f *Fleet) ticketApplied() bool {
	for _, d := range f.runningVMs() {
		if d.Ticket() != f.lastTicket || d.Check() != nil {
			return false
		}
	}
	return true
}

// exclusiveShards returns the number of shards with an exclusive holder, summed over the
// running VMs.
func (f *Fleet) exclusiveShards() int {
	held := 0
	for _, d := range f.runningVMs() {
		held += d.ExclusiveShards()
	}
	return held
}

func (f *Fleet) runningVMs() []*daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*daemon.Daemon
	for _, d := range f.daemons {
		if d != nil {
			out = append(out, d)
		}
	}
	return out
}

// Violations returns the number of invariant violations that the running VMs detected.
func (f *Fleet) Violations() int64 {
	total := int64(0)
	for _, d := range f.runningVMs() {
		total += d.Recorder().Violations()
	}
	return total
}

// Stop kills all VMs in parallel and then stops the platform stand-in.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for i := range f.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.KillVM(i)
		}()
	}
	wg.Wait()
	_ = f.platformServer.Close()
}

// VMIDs returns the identifiers of all VMs, running or not.
func (f *Fleet) VMIDs() []string {
	var out []string
	for _, vm := range f.vmList.VMs {
		out = append(out, vm.ID)
	}
	return out
}
