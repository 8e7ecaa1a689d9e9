// Package cell runs the membership of one VM in its cell: heartbeats, the
// contact rule and shard leases.
//
// One actor owns the state. Readers use lock-free snapshots and apply every
// deadline at their own time, so a process that was paused does not act on
// what held before the pause.
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

// tickInterval is how often deadlines are checked. It bounds how late an
// expired grant is given to the next claimant.
const tickInterval = 50 * time.Millisecond

// mailboxSize is the number of waiting messages. It holds more than a second of
// heartbeats of a cell of 64 VMs that all reply to new grants.
const mailboxSize = 1024

// Transport carries heartbeats. peer.UDP implements it.
type Transport interface {
	// Send sends a heartbeat to a member without blocking.
	Send(to member.VM, h *contact.Heartbeat) error
	// Serve passes received heartbeats to receive, which does not block.
	Serve(receive func(*contact.Heartbeat))
}

// News is what a peer has told about its configuration so far.
type News struct {
	// VM is the peer.
	VM member.VM
	// Ticket is the peer's ticket; 0 when not known.
	Ticket uint64
	// Digest holds the first 32 bits of the peer's configuration digest.
	Digest uint32
	// ListVersion is the version of the peer's VM list.
	ListVersion uint64
	// PlatformAge is the age of the newest platform response that the peer knows
	// of, at most contact.PlatformAgeMax.
	PlatformAge time.Duration
	// ReadAge is that of contact.Heartbeat.
	ReadAge time.Duration
}

// Config configures a Cell.
type Config struct {
	// Identity is this VM. Required.
	Identity node.Identity
	// Configs gives the VM list and the ticket in force. Required.
	Configs node.Configs
	// Events records the time line. Required.
	Events node.Events
	// System runs the actor. Required.
	System *duty.System
	// Transport carries heartbeats. Required.
	Transport Transport
	// Load returns the number of requests running. Default: always 0.
	Load func() int
	// Heard is called at each accepted heartbeat. It must not block. Default:
	// none.
	Heard func(News)
	// Stranger is called at each heartbeat of a VM outside the list. It must not block.
	// Default: none.
	Stranger func()
	// Lease sets the durations of leases. Default: those of package lease.
	Lease lease.Config
	// ServeAlone lets a VM accept work without contact: its shares bound it.
	ServeAlone bool
	// ReadAt returns when the platform last answered this VM with nothing newer than the
	// ticket in force, zero for never. It must not block. Default: never.
	ReadAt func() (ticket uint64, at time.Time)
	// Reads tells whether this VM reads the platform for others. It must not block.
	// Default: never.
	Reads func() bool
	// Roster returns the digest of the VM list when VMs find each other; it is
	// carried in place of the list version. Default: none.
	Roster func() uint64
}

// Cell implements node.Contact, node.Ownership and node.Marks.
type Cell struct {
	cfg  Config
	base time.Time
	// actor is nil before Start: other parts that started may already announce.
	actor atomic.Pointer[duty.Duty[message]]
	state *runtime // owned by the actor

	table            atomic.Pointer[memberTable]
	views            [member.ShardCount]atomic.Pointer[lease.View]
	holders          [member.ShardCount]atomic.Pointer[member.VM]
	contactDeadline  atomic.Int64 // of the contact rule by the peers, since base
	platformResponse atomic.Int64 // newest platform response, since base
	leaving          atomic.Bool
	refusing         atomic.Bool
	announce         atomic.Bool
	announceInDomain atomic.Bool
	lastShedEvent    atomic.Int64

	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
	subs     subscribers
}

var (
	_ node.Contact   = (*Cell)(nil)
	_ node.Ownership = (*Cell)(nil)
	_ node.Marks     = (*Cell)(nil)
)

// New returns a cell that takes part in its cell's heartbeats from Start.
func New(cfg Config) *Cell {
	if cfg.Load == nil {
		cfg.Load = func() int { return 0 }
	}
	if cfg.Heard == nil {
		cfg.Heard = func(News) {}
	}
	if cfg.ReadAt == nil {
		cfg.ReadAt = func() (uint64, time.Time) { return 0, time.Time{} }
	}
	if cfg.Reads == nil {
		cfg.Reads = func() bool { return false }
	}
	if cfg.Stranger == nil {
		cfg.Stranger = func() {}
	}
	c := &Cell{cfg: cfg, base: time.Now(), stop: make(chan struct{})}
	c.contactDeadline.Store(never)
	c.platformResponse.Store(never)
	c.lastShedEvent.Store(never)
	c.table.Store(&memberTable{})
	c.state = newRuntime(c)
	return c
}

// Start begins to send and receive heartbeats. It is called once.
func (c *Cell) Start() {
	c.actor.Store(duty.Spawn(c.cfg.System, "cell", mailboxSize, c.state.handle))
	c.cfg.Transport.Serve(func(h *contact.Heartbeat) { c.enqueue(received{h}) })
	c.done.Add(1)
	go c.tick()
}

// Stop ends the heartbeats. The transport is closed by its owner before.
func (c *Cell) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.done.Wait()
	if a := c.actor.Load(); a != nil {
		a.Stop()
	}
}

// Announce sends heartbeats at once, so that the peers learn of a new ticket
// or list without waiting for the next period.
func (c *Cell) Announce() {
	c.announce.Store(true)
	c.enqueue(wake{})
}

// AnnounceInDomain sends a heartbeat to each peer of the VM's failure domain at
// the next occasion.
func (c *Cell) AnnounceInDomain() {
	c.announceInDomain.Store(true)
	c.enqueue(wake{})
}

// Leave gives up all leases and reports this VM as leaving, so that the peers
// no longer name it to callers. Check still accepts work. Heartbeats continue
// until Stop.
func (c *Cell) Leave() {
	c.leaving.Store(true)
	c.enqueue(wake{})
}

// BeginShutdown does what Leave does, and Check refuses new work from now on.
func (c *Cell) BeginShutdown() {
	c.refusing.Store(true)
	c.Leave()
}

// PlatformSeen records that the platform responded to this VM at the given
// time, which has a monotonic reading.
func (c *Cell) PlatformSeen(at time.Time) {
	nanos := c.nanos(at)
	for {
		known := c.platformResponse.Load()
		if nanos <= known || c.platformResponse.CompareAndSwap(known, nanos) {
			return
		}
	}
}

// PlatformAge returns the age of the newest platform response that this VM
// knows of, its own or a peer's, at most contact.PlatformAgeMax.
func (c *Cell) PlatformAge() time.Duration {
	at := c.platformResponse.Load()
	if at == never {
		return contact.PlatformAgeMax
	}
	return min(time.Since(c.base)-time.Duration(at), contact.PlatformAgeMax)
}

func (c *Cell) tick() {
	defer c.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.enqueue(wake{})
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
	}
}

// tell sends m to the actor. A wake that is shed, or comes before Start, is repeated
// by the ticker, and a heartbeat by the peer.
func (c *Cell) enqueue(m message) {
	a := c.actor.Load()
	if a == nil {
		return
	}
	if err := a.Tell(m); err != nil {
		c.recordShed(err)
	}
}

func (c *Cell) nanos(t time.Time) int64 {
	return int64(t.Sub(c.base))
}
