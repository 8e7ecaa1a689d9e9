// Package platform runs the state machine of core/config on one VM: it reads and
// watches the platform over HTTP, fetches configurations from peers, and publishes
// the configuration and the VM list that take effect.
package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

const (
	// mailboxSize is the capacity of the duty's mailbox in messages. At 94 heartbeats
	// per second it fills only after a pause of several seconds.
	mailboxSize = 1024
	// tickInterval is the period at which the state machine runs without other
	// messages.
	tickInterval = 50 * time.Millisecond
	// deliverRetryDelay is the delay before a result is sent again to a full mailbox.
	// Results must not be lost: the state machine would wait for them for ever and
	// not read the value again.
	deliverRetryDelay = 10 * time.Millisecond
)

// Config configures a Reader.
type Config struct {
	// Identity is this VM. Required.
	Identity node.Identity
	// Source reads the platform. Required.
	Source Source
	// Fetcher calls peers. Required.
	Fetcher PeerFetcher
	// Seeds lists peer addresses from which to fetch before the VM list is known.
	// Default: none.
	Seeds []string
	// InContact reports whether a VM is in contact. Required. It must not block.
	InContact func(id string) bool
	// Events records events. Required.
	Events node.Events
	// System runs the duty. Required.
	System *duty.System
	// OnTicket is called with each new configuration, even before the VM is ready, and
	// again when it becomes ready. It must not block. Default: none.
	OnTicket func(s *document.Snapshot, fromPlatform bool)
	// OnList is called with each new VM list. It must not block. Default: none.
	OnList func(*member.List)
	// OnResponse is called with the time of each new platform response to this VM. It
	// must not block. Default: none.
	OnResponse func(at time.Time)
	// OnConfigAge is called when a configuration replaces a former one, with the time
	// since the former one was last known to be the newest. It must not block. Default:
	// none.
	OnConfigAge func(time.Duration)
	// Logger logs refused configurations. Default: no logs.
	Logger logr.Logger
	// SelfManagedList is true when the VM list comes from AdoptList and not from the
	// platform or from peers. Default: false.
	SelfManagedList bool
	// Seed is the seed of the random jitter. Default: a random number.
	Seed uint64
	// Now returns the time with a monotonic clock reading. Default: time.Now.
	Now func() time.Time
}

// state is the published state, which other goroutines read. It is immutable.
type state struct {
	snapshot *document.Snapshot
	indexRaw []byte
	list     *member.List
	listRaw  []byte
	// ownResponse is the time of the newest platform response to this VM, response that
	// of the newest known one; zero without one.
	ownResponse time.Time
	response    time.Time
	// upToDateByOwnReads is the time as of which own platform reads confirm that
	// snapshot is the newest configuration.
	upToDateByOwnReads time.Time
	// upToDateAsOf is the same by the reads of this VM or of peers.
	upToDateAsOf time.Time
	ready        bool
	// contestedTicket, newestTicket, peersAsked and hearsPeers are the machine's values of
	// these names.
	contestedTicket uint64
	newestTicket    uint64
	peersAsked      bool
	hearsPeers      bool
	// isReader is true for a VM that reads the platform for others.
	isReader bool
}

// Reader implements node.Configs. All methods are safe for concurrent use.
type Reader struct {
	config  Config
	now     func() time.Time
	machine *config.Machine
	// duty is the actor that runs machine; nil before Start.
	duty  atomic.Pointer[duty.Actor[message]]
	state atomic.Pointer[state]

	ctx    context.Context
	cancel context.CancelFunc
	// mu guards stopped. It prevents that a goroutine is started after Stop has begun
	// to wait for them.
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

var _ node.Configs = (*Reader)(nil)

// New returns a reader. It reads nothing before Start.
func New(c Config) *Reader {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.OnTicket == nil {
		c.OnTicket = func(*document.Snapshot, bool) {}
	}
	if c.OnResponse == nil {
		c.OnResponse = func(time.Time) {}
	}
	if c.OnConfigAge == nil {
		c.OnConfigAge = func(time.Duration) {}
	}
	if c.OnList == nil {
		c.OnList = func(*member.List) {}
	}
	r := &Reader{config: c, now: c.Now}
	r.state.Store(&state{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start begins to read the platform. It must be called only once.
func (r *Reader) Start() {
	r.machine = config.New(config.Params{
		Self:            r.config.Identity.VM.ID,
		Seeds:           r.config.Seeds,
		SelfManagedList: r.config.SelfManagedList,
		Rand:            rand.New(rand.NewPCG(r.config.Seed, r.config.Identity.Instance)),
	}, r.now())
	d := duty.Spawn(r.config.System, "platform", mailboxSize, r.handle)
	r.duty.Store(d)
	r.spawn(func() { r.tick(d) })
}

// spawn runs f on a new goroutine, for which Stop waits. After Stop it does nothing.
func (r *Reader) spawn(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		f()
	}()
}

// Stop cancels all reads and waits for them. The published configuration can still be
// read afterwards.
func (r *Reader) Stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.cancel()
	r.running.Wait()
	if d := r.duty.Load(); d != nil {
		d.Stop()
	}
}

// Snapshot returns the configuration in effect. It is nil until the VM is ready,
// because a newly started VM may have a lower ticket than the one in effect on its
// peers.
func (r *Reader) Snapshot() *document.Snapshot {
	if s := r.state.Load(); s.ready {
		return s.snapshot
	}
	return nil
}

// Applied returns the configuration in effect, even before the VM is ready; nil before
// the first one.
func (r *Reader) Applied() *document.Snapshot {
	return r.state.Load().snapshot
}

// NewestTicket returns the highest ticket that is in effect here or reported by a peer; 0
// for none.
func (r *Reader) NewestTicket() uint64 {
	return r.state.Load().newestTicket
}

// ContestedTicket returns the highest ticket that is in use with a content that this VM
// does not apply; 0 for none.
func (r *Reader) ContestedTicket() uint64 {
	return r.state.Load().contestedTicket
}

// HearsPeers reports whether this VM has no peers or has recently received the report of
// one.
func (r *Reader) HearsPeers() bool {
	return r.state.Load().hearsPeers
}

// PeersAsked reports whether this VM has a configuration, or has asked its peers for the
// one that they have.
func (r *Reader) PeersAsked() bool {
	return r.state.Load().peersAsked
}

// List returns the VM list in effect; nil before the first one.
func (r *Reader) List() *member.List {
	return r.state.Load().list
}

// Ready reports whether a newly started VM has learned the configurations of enough
// peers to serve.
func (r *Reader) Ready() bool {
	return r.state.Load().ready
}

// PlatformResponse returns the time of the newest known platform response, to this VM
// or to a peer, on the monotonic clock; zero before the first one.
func (r *Reader) PlatformResponse() time.Time {
	return r.state.Load().response
}

// UpToDateByOwnReads returns the ticket in effect and the time as of which this VM's
// own platform reads confirm that nothing newer exists; zero when none did.
func (r *Reader) UpToDateByOwnReads() (ticket uint64, at time.Time) {
	s := r.state.Load()
	return s.snapshot.Ticket(), s.upToDateByOwnReads
}

// IsReader reports whether this VM reads the platform for others.
func (r *Reader) IsReader() bool { return r.state.Load().isReader }

// Report returns the configuration report of this VM. Its platform age is that of the
// newest response to this VM itself.
func (r *Reader) Report() config.Report {
	s := r.state.Load()
	report := config.Report{Ticket: s.snapshot.Ticket()}
	if s.snapshot != nil {
		report.Digest = config.DigestPrefix(s.snapshot.Digest)
	}
	if s.list != nil {
		report.ListVersion = s.list.Version
	}
	if !s.ownResponse.IsZero() {
		report.PlatformKnown = true
		report.PlatformAge = max(0, r.now().Sub(s.ownResponse))
	}
	if !s.upToDateByOwnReads.IsZero() {
		report.ReadKnown = true
		report.ReadAge = max(0, r.now().Sub(s.upToDateByOwnReads))
	}
	return report
}

// ReceiveReport processes the report of a peer's heartbeat. It does not block: when
// the mailbox is full, the report is dropped, because the next one replaces it.
func (r *Reader) ReceiveReport(peer string, report config.Report) {
	if d := r.duty.Load(); d != nil {
		_ = d.Send(reportMessage{peer: peer, report: report, at: r.now()})
	}
}

// AdoptList applies a self-managed VM list. It blocks while the mailbox is full. Before
// Start it does nothing.
func (r *Reader) AdoptList(l *member.List) {
	if d := r.duty.Load(); d != nil {
		r.deliver(listMessage{l})
	}
}

// listMessage holds a self-managed VM list.
type listMessage struct{ list *member.List }

func (l listMessage) apply(m *config.Machine, _ time.Time) {
	m.AdoptList(l.list)
}

// message is a message to the duty, which applies it to the machine.
type message interface {
	apply(m *config.Machine, now time.Time)
}

// tickMessage makes the machine run at the current time.
type tickMessage struct{}

func (tickMessage) apply(*config.Machine, time.Time) {}

// reportMessage holds the report of a peer's heartbeat.
type reportMessage struct {
	peer   string
	report config.Report
	at     time.Time
}

func (h reportMessage) apply(m *config.Machine, _ time.Time) {
	m.ReceiveReport(h.at, h.peer, h.report)
}

// platformMessage holds the result of a Read or Watch.
type platformMessage struct {
	op    config.Op
	value config.Value
}

func (p platformMessage) apply(m *config.Machine, now time.Time) {
	m.PlatformDone(now, p.op, p.value)
}

// fetchMessage holds the result of a Fetch.
type fetchMessage struct {
	op       config.Op
	response config.FetchResponse
	err      error
}

func (f fetchMessage) apply(m *config.Machine, now time.Time) {
	m.FetchDone(now, f.op, f.response, f.err)
}

// handle applies a message, publishes the new state and starts the operations that the
// machine requests. It runs on the duty's goroutine.
func (r *Reader) handle(msg message) {
	now := r.now()
	msg.apply(r.machine, now)
	ops := r.machine.Next(now, r)
	r.publish()
	for _, op := range ops {
		r.spawn(func() { r.run(op) })
	}
}

// InContact implements config.Contacts.
func (r *Reader) InContact(id string) bool {
	return r.config.InContact(id)
}

// tick sends a tickMessage every tickInterval until Stop.
func (r *Reader) tick(d *duty.Actor[message]) {
	duty.Every(r.ctx.Done(), tickInterval, func() { _ = d.Send(tickMessage{}) })
}

// run runs one operation and delivers its result.
func (r *Reader) run(op config.Op) {
	ctx, cancel := context.WithTimeout(r.ctx, op.Timeout)
	defer cancel()
	switch op.Kind {
	case config.Read:
		r.deliver(platformMessage{op: op, value: r.config.Source.Read(ctx, op.Key)})
	case config.Watch:
		r.deliver(platformMessage{op: op, value: r.config.Source.Watch(ctx, op.Key, op.After, op.Wait)})
	case config.Fetch:
		r.deliver(r.fetch(ctx, op))
	}
}

func (r *Reader) fetch(ctx context.Context, op config.Op) message {
	res, err := r.config.Fetcher.FetchConfig(ctx, op.Address, &peerv1.FetchConfigRequest{KnownDigests: op.KnownDigests})
	if err == nil && res == nil {
		err = errors.New("peer returned no response")
	}
	if err != nil {
		return fetchMessage{op: op, err: fmt.Errorf("fetch configuration from %s: %w", op.Peer, err)}
	}
	return fetchMessage{op: op, response: fromProto(res)}
}

// deliver sends m to the duty and retries until the mailbox accepts it or Stop is
// called.
func (r *Reader) deliver(m message) {
	d := r.duty.Load()
	for r.ctx.Err() == nil && d.Send(m) != nil {
		time.Sleep(deliverRetryDelay)
	}
}
