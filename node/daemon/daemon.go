// Package daemon assembles the parts of a VM and runs them.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/cell"
	"github.com/galenasail/galenasail/node/command"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/platform"
	"github.com/galenasail/galenasail/node/pool"
	"github.com/galenasail/galenasail/node/query"
	"github.com/galenasail/galenasail/node/rate"
	"github.com/galenasail/galenasail/node/record"
	"github.com/galenasail/galenasail/node/roster"
	"github.com/galenasail/galenasail/node/settings"
	"github.com/galenasail/galenasail/node/telemetry"
)

// shutdownWait bounds the wait for running requests at a graceful shutdown.
const shutdownWait = 60 * time.Second

// leaveWait is how long a leaving VM continues to serve: callers cache an address for
// 2 s, and it takes up to 0.5 s until a heartbeat has announced the departure to the other
// VMs.
const leaveWait = 2500 * time.Millisecond

// exitCodeViolation is the exit code of a process in test mode after the violation of an
// invariant.
const exitCodeViolation = 4

// Options holds the options that do not come from the settings file.
type Options struct {
	// Logger receives logs and events. The zero Logger discards them.
	Logger logr.Logger
	// OnViolation is called when an invariant is violated. Default: the process exits
	// with code 4 in test mode, nothing otherwise.
	OnViolation func(name invariant.Name)
	// Baseline replaces the limiter and the picker by the uncoordinated policies of
	// package baseline, for comparison in measurements. Default: false.
	Baseline bool
	// Adapter connects the VM to a platform other than the product's own. Default: none.
	Adapter *Adapter
	// Partition drops messages in tests. Default: none.
	Partition Partition
}

// Daemon is one running VM.
type Daemon struct {
	settings        *settings.Settings
	identity        node.Identity
	logger          logr.Logger
	baseline        bool
	partition       Partition
	metrics         *telemetry.Metrics
	recorder        *record.Recorder
	system          *duty.System
	traffic         *peer.Traffic
	udp             *peer.UDP
	reader          *platform.Reader
	cell            *cell.Cell
	limiter         *rate.Limiter
	pool            *pool.Pool
	requestMetrics  *requestMetrics
	storeEpochs     *storeEpochs // nil without an adapter
	handler         *command.Handler
	callerServer    *command.Server
	peerServer      *peer.Server
	peerClient      *peer.Client
	adminServer     *http.Server
	adapter         *Adapter
	roster          *roster.Roster // nil when the platform publishes the VM list
	holderAddresses *query.HolderAddresses
	leaving         atomic.Bool
	extraServers    []*http.Server
	limits          callerLimits
	guards          guards
}

// New assembles a VM and binds the UDP port of its peer address. It returns an error when
// the address cannot be bound. Start runs the VM.
func New(s *settings.Settings, o Options) (*Daemon, error) {
	instance, err := newInstance()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{
		settings:  s,
		identity:  node.Identity{VM: s.VM(), Instance: instance},
		logger:    o.Logger,
		baseline:  o.Baseline,
		partition: o.Partition,
		adapter:   o.Adapter,
		traffic:   &peer.Traffic{},
	}
	d.metrics = telemetry.New(s.ID)
	d.recorder = record.New(record.Config{
		Identity:    d.identity,
		Logger:      o.Logger,
		Scope:       d.metrics.Scope,
		OnViolation: onViolation(s, o),
	})
	d.storeEpochs = newStoreEpochs(o.Adapter, d.recorder, d.metrics.Scope)
	d.limits = deriveLimits(s.CallerLimits, ResourcesOf(s))
	d.guards = newGuards(d.limits, command.RefusalResponse(d.dialect()), d.metrics.Scope, d.recorder)
	d.system = duty.NewSystem(slog.New(logr.ToSlogHandler(o.Logger)), d.recorder)
	d.udp, err = peer.NewUDP(peer.UDPConfig{
		ID:        s.ID,
		Address:   s.PeerAddress,
		Key:       []byte(s.SharedKey),
		Traffic:   d.traffic,
		OnRefused: d.recordRefusedPeer,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.assemble()
	return d, nil
}

// newInstance returns a random process instance, which is never 0.
func newInstance() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, trace.Wrap(err)
	}
	return binary.LittleEndian.Uint64(raw[:]) | 1, nil
}

// onViolation returns the function to call when an invariant is violated; nil for none.
func onViolation(s *settings.Settings, o Options) func(invariant.Name) {
	if o.OnViolation != nil || !s.TestMode {
		return o.OnViolation
	}
	return func(invariant.Name) { os.Exit(exitCodeViolation) }
}

// recordRefusedPeer records a refused datagram or call as an event, with the reason err.
func (d *Daemon) recordRefusedPeer(from string, err error) {
	d.recorder.Record(event.PeerRefused, from, err.Error())
}

// Start listens on all addresses and starts all parts. It returns an error when an address
// cannot be bound.
func (d *Daemon) Start() error {
	if err := d.startPeerServer(); err != nil {
		return trace.Wrap(err)
	}
	callers, err := net.Listen("tcp", d.settings.Address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	admin, err := net.Listen("tcp", d.settings.AdminAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	d.recorder.Record(event.Started, d.settings.ID, "process "+record.InstanceName(d.identity.Instance))
	d.reader.Start()
	d.cell.Start()
	if d.roster != nil {
		d.roster.Start()
	}
	if err := d.startExtraServers(); err != nil {
		return trace.Wrap(err)
	}
	go d.serve("peers", d.peerServer.Serve)
	go d.serve("callers", func() error { return d.callerServer.Serve(callers) })
	go d.serve("admin", func() error { return d.adminServer.Serve(d.guards.admin.Listener(admin)) })
	return nil
}

// startExtraServers starts the servers of the adapter.
func (d *Daemon) startExtraServers() error {
	if d.adapter == nil || d.adapter.Servers == nil {
		return nil
	}
	for _, s := range d.adapter.Servers(d) {
		listener, err := net.Listen("tcp", s.Address)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		server := d.newAdminServer(s.Handler)
		d.extraServers = append(d.extraServers, server)
		go d.serve(s.Name, func() error { return server.Serve(d.guards.admin.Listener(listener)) })
	}
	return nil
}

func (d *Daemon) closeExtraServers() {
	for _, s := range d.extraServers {
		_ = s.Close()
	}
}

func (d *Daemon) stopRoster() {
	if d.roster != nil {
		d.roster.Stop()
	}
}

// SetSeeds replaces the seeds after a change of the settings. It has no effect in a fleet
// whose VM list comes from the platform.
func (d *Daemon) SetSeeds(seeds []string) {
	if d.roster != nil {
		d.roster.SetSeeds(seeds)
	}
}

// Ready reports whether callers may be directed to this VM.
func (d *Daemon) Ready() bool {
	return !d.leaving.Load() && d.cell.Check() == nil
}

// serve runs a server and logs the error with which it ended, if any.
func (d *Daemon) serve(name string, run func() error) {
	if err := run(); err != nil && !trace.IsEOF(err) && err != http.ErrServerClosed {
		d.logger.Error(err, "server stopped with an error", "server", name)
	}
}

// Shutdown shuts the VM down gracefully. It removes the VM from the address responses of
// all VMs, continues to serve until callers have refreshed their addresses, then refuses
// new work, waits for running requests, and stops all parts. This takes at most 60 s,
// or the grace period of the adapter, and ends early with ctx. It returns an error when
// requests were aborted or the metrics reporter could not be closed.
func (d *Daemon) Shutdown(ctx context.Context) error {
	leave, grace := leaveWait, shutdownWait
	if d.adapter != nil {
		leave, grace = adapterLeaveWait, d.adapter.Grace-graceMargin
	}
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	d.leaving.Store(true)
	d.cell.Leave()
	d.callerServer.DisableKeepAlives()
	select {
	case <-ctx.Done():
	case <-time.After(leave):
	}
	d.cell.BeginShutdown()
	drainErr := d.callerServer.Shutdown(ctx)
	d.pool.Stop()
	d.limiter.Close()
	d.stopRoster()
	d.reader.Stop()
	d.closePeers()
	d.system.Shutdown()
	d.closeExtraServers()
	_ = d.adminServer.Close()
	return trace.NewAggregate(drainErr, d.metrics.Close())
}

// Kill closes all sockets immediately, like a crash. It is for tests that run several
// VMs in one process.
func (d *Daemon) Kill() {
	d.closePeers()
	_ = d.adminServer.Close()
	d.closeExtraServers()
	d.stopRoster()
	d.callerServer.Close()
	d.pool.Stop()
	d.limiter.Close()
	d.reader.Stop()
	d.system.Shutdown()
	_ = d.metrics.Close()
}

func (d *Daemon) closePeers() {
	_ = d.udp.Close()
	d.cell.Stop()
	if d.peerServer != nil {
		_ = d.peerServer.Close()
	}
	d.peerClient.Close()
}

// Recorder returns the event recorder.
func (d *Daemon) Recorder() *record.Recorder {
	return d.recorder
}

// State returns the current state of the VM.
func (d *Daemon) State() query.State {
	return d.state()
}
