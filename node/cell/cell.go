// Package cell runs the membership of one VM in its cell: it exchanges heartbeats
// with the other members, applies the contact rule and keeps the shard leases.
//
// One actor owns the state. Other goroutines read lock-free snapshots, which hold
// deadlines, and compare the deadlines with the time of the read. A process that
// was paused therefore does not act on leases or contacts that expired meanwhile.
package cell

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/lease"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
)

// tickInterval is the period at which the actor checks its deadlines. It bounds the
// delay until an expired grant is given to the next claimant.
const tickInterval = 50 * time.Millisecond

// mailboxSize is the capacity of the actor's mailbox in messages. It holds the
// heartbeats of more than one second in a cell of 64 VMs that all reply to new
// grants.
const mailboxSize = 1024

// Transport carries heartbeats. peer.UDP implements it.
type Transport interface {
	// Send sends a heartbeat to a member without blocking.
	Send(to member.VM, h *contact.Heartbeat) error
	// Serve starts to pass received heartbeats to receive, which must not block.
	Serve(receive func(*contact.Heartbeat))
}

// PeerReport is the last report of a peer about its configuration.
type PeerReport struct {
	// VM is the peer.
	VM member.VM
	// Ticket is the ticket in effect on the peer; 0 when unknown.
	Ticket uint64
	// Digest holds the first 32 bits of the peer's configuration digest.
	Digest uint32
	// ListVersion is the version of the peer's VM list, or the digest of its roster
	// when the fleet manages its membership itself.
	ListVersion uint64
	// PlatformAge is the age of the newest platform response known to the peer, its
	// own or another VM's, at most contact.PlatformAgeMax.
	PlatformAge time.Duration
	// ReadAge is the ReadAge of the peer's contact.Heartbeat; 0 when it carried none.
	ReadAge time.Duration
}

// Config configures a Cell.
type Config struct {
	// Identity is this VM. Required.
	Identity node.Identity
	// Configs provides the VM list and the configuration in effect. Required.
	Configs node.Configs
	// Events records events. Required.
	Events node.Events
	// System runs the actor. Required.
	System *duty.System
	// Transport carries heartbeats. Required.
	Transport Transport
	// Load returns the number of running requests. Default: always 0.
	Load func() int
	// OnHeartbeat is called for each accepted heartbeat. It must not block. Default:
	// none.
	OnHeartbeat func(PeerReport)
	// OnUnknownSender is called for each heartbeat from a VM that is not in the VM
	// list. It must not block. Default: none.
	OnUnknownSender func()
	// Lease configures leases. Default: the defaults of package lease.
	Lease lease.Config
	// ServeIsolated lets this VM accept work without contact to peers or platform.
	// Its shares of the rates and slots limit the work that it accepts then.
	ServeIsolated bool
	// UpToDateByOwnReads returns the ticket in effect and the time as of which this
	// VM's own platform reads confirm that nothing newer exists; zero for never. It
	// must not block. Default: never.
	UpToDateByOwnReads func() (ticket uint64, at time.Time)
	// IsReader reports whether this VM reads the platform for others. It must not
	// block. Default: always false.
	IsReader func() bool
	// RosterDigest returns the digest of the VM list where the fleet manages its
	// membership itself. Heartbeats carry it in place of the list version. Default:
	// none.
	RosterDigest func() uint64
}

// Cell implements node.Contact, node.Ownership and node.PoisonMarks.
type Cell struct {
	cfg  Config
	base time.Time
	// actor is nil before Start. Other components that started earlier may already
	// call Announce.
	actor atomic.Pointer[duty.Actor[message]]
	state *actorState // owned by the actor

	table            atomic.Pointer[memberTable]
	leaseViews       [member.ShardCount]atomic.Pointer[lease.View]
	holders          [member.ShardCount]atomic.Pointer[member.VM]
	contactDeadline  atomic.Int64 // until when the contact rule is satisfied, in ns since base
	platformResponse atomic.Int64 // time of the newest platform response, in ns since base
	leaving          atomic.Bool
	shuttingDown     atomic.Bool
	announceAll      atomic.Bool
	announceInDomain atomic.Bool
	lastShedEvent    atomic.Int64 // time of the last event about dropped messages, in ns since base

	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
	subs     subscribers
}

var (
	_ node.Contact     = (*Cell)(nil)
	_ node.Ownership   = (*Cell)(nil)
	_ node.PoisonMarks = (*Cell)(nil)
)

// New returns a cell. It sends and receives no heartbeats before Start.
func New(cfg Config) *Cell {
	if cfg.Load == nil {
		cfg.Load = func() int { return 0 }
	}
	if cfg.OnHeartbeat == nil {
		cfg.OnHeartbeat = func(PeerReport) {}
	}
	if cfg.UpToDateByOwnReads == nil {
		cfg.UpToDateByOwnReads = func() (uint64, time.Time) { return 0, time.Time{} }
	}
	if cfg.IsReader == nil {
		cfg.IsReader = func() bool { return false }
	}
	if cfg.OnUnknownSender == nil {
		cfg.OnUnknownSender = func() {}
	}
	c := &Cell{cfg: cfg, base: time.Now(), stop: make(chan struct{})}
	c.contactDeadline.Store(never)
	c.platformResponse.Store(never)
	c.lastShedEvent.Store(never)
	c.table.Store(&memberTable{})
	c.state = newActorState(c)
	return c
}

// Start begins to send and receive heartbeats. It must be called only once.
func (c *Cell) Start() {
	c.actor.Store(duty.Spawn(c.cfg.System, "cell", mailboxSize, c.state.handle))
	c.cfg.Transport.Serve(func(h *contact.Heartbeat) { c.enqueue(heartbeatReceived{h}) })
	c.done.Add(1)
	go c.tick()
}

// Stop ends the heartbeats. The owner of the transport closes it before.
func (c *Cell) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.done.Wait()
	if a := c.actor.Load(); a != nil {
		a.Stop()
	}
}

// Announce makes the actor send a heartbeat to every peer at once, so that peers
// learn of a new ticket or list before the next regular heartbeat.
func (c *Cell) Announce() {
	c.announceAll.Store(true)
	c.enqueue(updateRequested{})
}

// AnnounceInDomain makes the actor send a heartbeat at once to each peer in the
// VM's failure domain.
func (c *Cell) AnnounceInDomain() {
	c.announceInDomain.Store(true)
	c.enqueue(updateRequested{})
}

// Leave gives up all leases and reports this VM as leaving, so that peers no longer
// return its address to callers. Check does not refuse work because of it.
// Heartbeats continue until Stop.
func (c *Cell) Leave() {
	c.leaving.Store(true)
	c.enqueue(updateRequested{})
}

// BeginShutdown calls Leave and makes Check refuse new work.
func (c *Cell) BeginShutdown() {
	c.shuttingDown.Store(true)
	c.Leave()
}

// RecordPlatformResponse records that the platform responded to this VM at the
// given time, which must have a monotonic clock reading. Older times are ignored.
func (c *Cell) RecordPlatformResponse(at time.Time) {
	nanos := c.nanos(at)
	for {
		known := c.platformResponse.Load()
		if nanos <= known || c.platformResponse.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// PlatformAge returns the age of the newest platform response known to this VM, to
// itself or to a peer, at most contact.PlatformAgeMax.
func (c *Cell) PlatformAge() time.Duration {
	at := c.platformResponse.Load()
	if at == never {
		return contact.PlatformAgeMax
	}
	return min(time.Since(c.base)-time.Duration(at), contact.PlatformAgeMax)
}

// tick sends the actor an updateRequested message every tickInterval until Stop.
func (c *Cell) tick() {
	defer c.done.Done()
	c.enqueue(updateRequested{})
	duty.Every(c.stop, tickInterval, func() { c.enqueue(updateRequested{}) })
}

// enqueue sends m to the actor without blocking. It does not retry when the mailbox
// is full or the actor has not started: the ticker requests the next update, and
// the peer sends further heartbeats.
func (c *Cell) enqueue(m message) {
	a := c.actor.Load()
	if a == nil {
		return
	}
	if err := a.Send(m); err != nil {
		c.recordShed(err)
	}
}

// nanos returns t as nanoseconds since base, on the monotonic clock.
func (c *Cell) nanos(t time.Time) int64 {
	return int64(t.Sub(c.base))
}
