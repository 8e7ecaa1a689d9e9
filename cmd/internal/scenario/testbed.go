// Package scenario runs a fleet with targets and callers in one process, injects
// faults, and measures the answers that callers get. A run consists of named steps
// or of random faults.
package scenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/fleet"
	"github.com/galenasail/galenasail/cmd/internal/ledger"
	"github.com/galenasail/galenasail/cmd/internal/load"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
	"github.com/galenasail/galenasail/core/invariant"
)

// Options configures a run.
type Options struct {
	// Deployment gives the services, workspaces and failure domains.
	Deployment deployment.Deployment
	// VMs is the number of VMs.
	VMs int
	// Baseline runs the uncoordinated policy, for comparison. Default: false.
	Baseline bool
	// LoadFactor is the load of each workspace as a share of its rate.
	LoadFactor float64
	// MedianServiceTime is the median service time of a target.
	MedianServiceTime time.Duration
	// Chaos runs random faults instead of the steps if its length is positive.
	Chaos Chaos
	// Steps lists the names of the steps to run. Default: all.
	Steps []string
	// Logger receives the logs of all VMs.
	Logger logr.Logger
}

// Testbed is a running fleet with targets and callers.
type Testbed struct {
	options   Options
	ports     deployment.Ports
	fleet     *fleet.Fleet
	targets   []*target.Target
	targetIDs []string
	cancel    context.CancelFunc
	running   sync.WaitGroup
	phase     atomic.Pointer[Phase]
	ledger    *ledger.Ledger
	network   *network
	callers   []*load.Caller
	mu        sync.Mutex
	// violations counts violated invariants by name.
	violations map[invariant.Name]int
}

// Start starts the targets and the fleet, waits until the fleet is ready, and
// starts the callers. The targets are still cold then.
func Start(ctx context.Context, o Options) (*Testbed, error) {
	ports, err := deployment.FreePorts()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	tb := &Testbed{options: o, ports: ports, cancel: cancel, ledger: ledger.New(), network: newNetwork(), violations: map[invariant.Name]int{}}
	tb.phase.Store(newPhase("start", o.Deployment))
	if err := tb.startTargets(ctx); err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	tb.fleet, err = fleet.Start(fleet.Config{
		Deployment: o.Deployment, VMs: o.VMs, Ports: ports, Logger: o.Logger,
		OnViolation: tb.onViolation, Baseline: o.Baseline, Partition: tb.network.outgoing,
	})
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	if err := tb.fleet.WaitReady(ctx); err != nil {
		tb.Stop()
		return nil, trace.Wrap(err)
	}
	tb.startCallers(ctx)
	return tb, nil
}

// onViolation counts a violated invariant.
func (tb *Testbed) onViolation(name invariant.Name) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.violations[name]++
}

// Violations returns the violated invariants and their counts as text, or "none".
func (tb *Testbed) Violations() string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if len(tb.violations) == 0 {
		return "none"
	}
	return fmt.Sprint(tb.violations)
}

// coldRamp is shorter than the ramp in the configuration documents, so that the
// fleet's limit for a cold target is always below the target's capacity.
const coldRamp = 4 * time.Second

func (tb *Testbed) startTargets(ctx context.Context) error {
	d := tb.options.Deployment
	var keys []string
	for _, ws := range d.Workspaces {
		keys = append(keys, ws.Key())
	}
	for i := range d.Services {
		for _, doc := range d.ServiceDocument(i, tb.ports).Targets {
			l, err := net.Listen("tcp", doc.Address)
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			t := target.New(target.Config{
				ID: doc.ID, Slots: doc.Slots, MedianServiceTime: tb.options.MedianServiceTime, Sigma: 0.4,
				ColdSlots: 1, ColdRamp: coldRamp, Keys: keys,
				Seed: uint64(len(tb.targets) + 1), OnRun: tb.ledger.RunRecorder(doc.FailureDomain),
			})
			tb.targets = append(tb.targets, t)
			tb.targetIDs = append(tb.targetIDs, doc.ID)
			tb.running.Go(func() { _ = t.Serve(ctx, l) })
		}
	}
	return nil
}

// overloadFactor is the load of the first workspace during random faults, as a
// multiple of its rate. Above 1, it exposes a rate that is granted twice.
const overloadFactor = 3

// loadFactor returns the load of workspace number i as a multiple of its rate.
func (tb *Testbed) loadFactor(i int) float64 {
	if i == 0 && tb.options.Chaos.Length > 0 {
		return overloadFactor
	}
	return tb.options.LoadFactor
}

// recordResults returns a callback that records the results of workspace number i.
func (tb *Testbed) recordResults(i int) func(load.Request, load.Result) {
	return func(r load.Request, res load.Result) {
		tb.ledger.RecordNotRun(r, res)
		tb.phase.Load().record(i, r, res)
	}
}

// lookupsPerBooking is the number of lookups (idempotent requests) for each booking (a
// request that is not idempotent): lookups are more frequent.
const lookupsPerBooking = 4

func (tb *Testbed) startCallers(ctx context.Context) {
	for i, ws := range tb.options.Deployment.Workspaces {
		caller := load.NewCaller(ws.Key(), tb.fleet.CallerAddresses())
		if tb.options.Baseline {
			// Under the baseline each VM grants a fixed share of the rate, so a caller
			// has to use all VMs to get its full rate.
			caller.UseRandomSeeds()
		}
		tb.callers = append(tb.callers, caller)
		stream := &load.Stream{
			Caller:      caller,
			Rate:        ws.Rate * tb.loadFactor(i),
			NextRequest: tb.requests(i, ws.ID),
			Observe:     tb.recordResults(i),
			Stats:       load.NewStats(),
		}
		tb.running.Go(func() { stream.Run(ctx) })
	}
}

// requests returns a function that builds request number n of workspace number i,
// with the given ID in its path. Services alternate; one in five requests is a
// booking.
func (tb *Testbed) requests(i int, id string) func(int) load.Request {
	services := tb.options.Deployment.Services
	return func(n int) load.Request {
		path := fmt.Sprintf("/%s/%s/%d", services[(n+i)%len(services)].Name, id, n)
		if n%(lookupsPerBooking+1) == 0 {
			return load.Request{Method: http.MethodPost, Path: path, Body: path, WithKey: n%2 == 0}
		}
		return load.Request{Method: http.MethodGet, Path: path}
	}
}

// BeginPhase starts a new phase, which records all results from now on, and returns
// it.
func (tb *Testbed) BeginPhase(name string) *Phase {
	p := newPhase(name, tb.options.Deployment)
	tb.phase.Store(p)
	return p
}

// Target returns target number i and its ID.
func (tb *Testbed) Target(i int) (*target.Target, string) {
	return tb.targets[i], tb.targetIDs[i]
}

// Fleet returns the fleet.
func (tb *Testbed) Fleet() *fleet.Fleet {
	return tb.fleet
}

// Stop stops callers, targets and the fleet.
func (tb *Testbed) Stop() {
	tb.cancel()
	tb.running.Wait()
	for _, c := range tb.callers {
		c.Close()
	}
	if tb.fleet != nil {
		tb.fleet.Stop()
	}
}
