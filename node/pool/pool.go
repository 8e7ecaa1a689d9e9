// Package pool hands out permits. A permit is the right to use one slot of a
// target. The package has two sides. The entry side runs on the VM that
// accepted a request and acquires a permit for it from the holder of a target
// group. The holder side grants permits for the groups whose shard this VM
// holds.
//
// All exported methods are safe for concurrent use. The decisions are made in
// core/target; this package adds clocks, network calls and queueing.
package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// PermitPeer calls other VMs. Implementations sign each call.
type PermitPeer interface {
	// ExchangePermits releases and acquires permits at the holder vm.
	ExchangePermits(ctx context.Context, vm member.VM, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error)
	// ReportPermits reports to the new holder vm which permits this VM holds.
	ReportPermits(ctx context.Context, vm member.VM, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error)
}

// Config holds the dependencies of a Pool. FleetRetryBudget and the fields after it are
// optional.
type Config struct {
	// Identity is this VM.
	Identity node.Identity
	// Configs returns the applied configuration.
	Configs node.Configs
	// Contact reports which VMs are in contact.
	Contact node.Contact
	// Ownership reports which VM holds a shard.
	Ownership node.Ownership
	// Peer calls other VMs.
	Peer PermitPeer
	// Events records events and violations of invariants.
	Events node.Events
	// System runs the actor of the holder side.
	System *duty.System
	// FleetRetryBudget limits the repeated requests to each service across all VMs.
	// Default: only the budget of each VM (command.VMRetryBudget) applies.
	FleetRetryBudget target.FleetRetryBudget
	// LocalDomains lists the failure domains of the fleet. When set, a group whose targets
	// are in one of them belongs to a shard whose seat is assigned to that domain, and
	// requests prefer the groups of this VM's domain. Default: none.
	LocalDomains []string
	// OnLocality is called for each permit where LocalDomains is set; local reports whether
	// the target is in the failure domain of this VM. Default: not called.
	OnLocality func(local bool)
	// AnticipateLoad chooses groups by their expected load and not by the last response
	// alone, and makes holders learn what each target serves at once. Default: false.
	AnticipateLoad bool
	// OnLoadChoice is called for each choice by expected load. Default: not called.
	OnLoadChoice func(LoadChoice)
	// OverloadControl orders, repeats and refuses requests as package overload decides,
	// for services that are placed by health estimates. Default: false.
	OverloadControl bool
}

const (
	// tickInterval is the time between two passes of the holder side over its
	// groups.
	tickInterval = 50 * time.Millisecond
	// reportInterval is the time between two checks of the entry side for new
	// holders.
	reportInterval = 50 * time.Millisecond
	// mailboxSize bounds the queued messages to the holder side.
	mailboxSize = 4096
)

// Pool grants and acquires the permits of one VM.
type Pool struct {
	config Config
	layout atomic.Pointer[layout]
	// buildMu serializes the construction of layouts.
	buildMu    sync.Mutex
	holder     *holderActor
	actor      *duty.Actor[message]
	entry      entry
	done       chan struct{}
	background sync.WaitGroup
	stopOnce   sync.Once
}

// New starts a pool. Call Stop to end it.
func New(c Config) *Pool {
	p := &Pool{config: c, done: make(chan struct{})}
	p.entry.init()
	p.holder = newHolderActor(p)
	p.actor = duty.Spawn(c.System, "pool", mailboxSize, func(m message) { m.apply(p.holder) })
	p.runEvery(tickInterval, func() { _ = p.actor.Send(tick{}) })
	p.runEvery(reportInterval, p.reportAll)
	return p
}

// Stop ends the background work. Permits in use stay valid at their holders.
func (p *Pool) Stop() {
	p.stopOnce.Do(func() {
		close(p.done)
		p.background.Wait()
		p.actor.Stop()
	})
}

// runEvery calls f at each interval until the pool stops.
func (p *Pool) runEvery(interval time.Duration, f func()) {
	p.background.Go(func() { duty.Every(p.done, interval, f) })
}

// GroupState is the state of a group that this VM holds.
type GroupState struct {
	// Group is the name of the group.
	Group string
	// Epoch identifies the lease under which this VM holds the group.
	Epoch uint64
	// Ready reports whether the takeover from the previous holder is complete.
	Ready bool
	// Queued is the number of waiting requests.
	Queued int
	// Targets lists the targets of the group.
	Targets []target.Status
}

// State returns the groups that this VM holds, sorted by name. It returns nil
// when ctx ends, the pool stops, or the mailbox of the holder side is full.
func (p *Pool) State(ctx context.Context) []GroupState {
	reply := make(chan []GroupState, 1)
	if err := p.actor.Send(stateRequest{reply}); err != nil {
		return nil
	}
	select {
	case all := <-reply:
		return all
	case <-ctx.Done():
		return nil
	case <-p.done:
		return nil
	}
}
