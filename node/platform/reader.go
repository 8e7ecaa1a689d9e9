// Package platform runs the decisions of core/config on one VM: it reads and
// watches the platform over HTTP, fetches from peers, and puts configuration
// and VM list in force.
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
	// mailbox bounds the messages of the duty: 94 heartbeats a second leave room
	// for a pause of several seconds.
	mailbox = 1024
	// tickEvery is the period of the decisions without other messages.
	tickEvery = 50 * time.Millisecond
	// deliverEvery is the delay before a result is offered again to a full
	// mailbox. A lost result would block its value for ever.
	deliverEvery = 10 * time.Millisecond
)

// Config configures a Reader.
type Config struct {
	// Identity is this VM. Required.
	Identity node.Identity
	// Source reads the platform. Required.
	Source Source
	// Fetcher calls peers. Required.
	Fetcher PeerFetcher
	// Seeds lists peer addresses to ask before the VM list is known. Default:
	// none.
	Seeds []string
	// InContact tells whether a VM is in contact. Required. It must not block.
	InContact func(id string) bool
	// Events records the time line. Required.
	Events node.Events
	// System runs the duty. Required.
	System *duty.System
	// OnTicket is called with each new configuration, also before Ready, and
	// again when the VM becomes ready. It must not block. Default: none.
	OnTicket func(s *document.Snapshot, fromPlatform bool)
	// OnList is called with each new VM list. It must not block. Default: none.
	OnList func(*member.List)
	// OnResponse is called with the time of each newer platform response to this
	// VM. It must not block. Default: none.
	OnResponse func(at time.Time)
	// OnAge is called with each new configuration but the first, with how long ago the
	// former one was known to be the newest. It must not block. Default: none.
	OnAge func(time.Duration)
	// Logger logs refusals and the state of the platform. Default: no logs.
	Logger logr.Logger
	// OwnList is true when the VM list comes from AdoptList. Default: false.
	OwnList bool
	// Seed seeds the jitter. Default: a random number.
	Seed uint64
	// Now reads the clock, with its monotonic part. Default: time.Now.
	Now func() time.Time
}

// state is what other goroutines read. It is immutable.
type state struct {
	snapshot *document.Snapshot
	indexRaw []byte
	list     *member.List
	listRaw  []byte
	own      time.Time
	response time.Time
	// read belongs to the ticket of snapshot.
	read    time.Time
	current time.Time
	ready   bool
	// reads is true for a VM that reads the platform for others.
	reads bool
}

// Reader implements node.Configs. All methods are safe for concurrent use.
type Reader struct {
	config  Config
	now     func() time.Time
	machine *config.Machine
	duty    atomic.Pointer[duty.Duty[message]]
	state   atomic.Pointer[state]

	ctx    context.Context
	cancel context.CancelFunc
	// mu orders the start of goroutines before the wait of Stop.
	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

var _ node.Configs = (*Reader)(nil)

// New returns a reader that does nothing until Start.
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
	if c.OnAge == nil {
		c.OnAge = func(time.Duration) {}
	}
	if c.OnList == nil {
		c.OnList = func(*member.List) {}
	}
	r := &Reader{config: c, now: c.Now}
	r.state.Store(&state{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start begins to read. It is called once.
func (r *Reader) Start() {
	r.machine = config.New(config.Params{
		Self:            r.config.Identity.VM.ID,
		Seeds:           r.config.Seeds,
		SelfManagedList: r.config.OwnList,
		Rand:            rand.New(rand.NewPCG(r.config.Seed, r.config.Identity.Instance)),
	}, r.now())
	d := duty.Spawn(r.config.System, "platform", mailbox, r.handle)
	r.duty.Store(d)
	r.spawn(func() { r.tick(d) })
}

// spawn runs f on a goroutine that Stop waits for. After Stop it does nothing.
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

// Stop ends all reads and waits for them. The configuration stays readable.
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

// Snapshot returns the configuration in force. It is nil until the VM is ready,
// because a fresh VM may know a lower ticket than its peers have in force.
func (r *Reader) Snapshot() *document.Snapshot {
	if s := r.state.Load(); s.ready {
		return s.snapshot
	}
	return nil
}

// Index returns the index of the configuration in force, also before the VM is ready; nil
// before the first one.
func (r *Reader) Index() *document.Index {
	if s := r.state.Load(); s.snapshot != nil {
		return s.snapshot.Index
	}
	return nil
}

// List returns the VM list in force; nil before the first one.
func (r *Reader) List() *member.List {
	return r.state.Load().list
}

// Ready tells whether a fresh VM has asked enough peers to serve.
func (r *Reader) Ready() bool {
	return r.state.Load().ready
}

// PlatformResponse returns the newest platform response known, of this VM or of
// a peer, on the monotonic clock; zero before the first one.
func (r *Reader) PlatformResponse() time.Time {
	return r.state.Load().response
}

// ReadAt returns when the platform last answered this VM with nothing newer than the
// given ticket, which is in force; zero when that never was.
func (r *Reader) ReadAt() (ticket uint64, at time.Time) {
	s := r.state.Load()
	return s.snapshot.Ticket(), s.read
}

// Reads tells whether this VM reads the platform for others.
func (r *Reader) Reads() bool { return r.state.Load().reads }

// Report returns what heartbeats of this VM carry. The platform age counts this
// VM's own responses only.
func (r *Reader) Report() config.Report {
	s := r.state.Load()
	report := config.Report{Ticket: s.snapshot.Ticket()}
	if s.snapshot != nil {
		report.Digest = config.DigestPrefix(s.snapshot.Digest)
	}
	if s.list != nil {
		report.ListVersion = s.list.Version
	}
	if !s.own.IsZero() {
		report.PlatformKnown = true
		report.PlatformAge = max(0, r.now().Sub(s.own))
	}
	if !s.read.IsZero() {
		report.ReadKnown = true
		report.ReadAge = max(0, r.now().Sub(s.read))
	}
	return report
}

// Heard takes the report of a heartbeat from a peer. It does not block; a report
// that finds a full mailbox is dropped, because the next one replaces it.
func (r *Reader) Heard(peer string, report config.Report) {
	if d := r.duty.Load(); d != nil {
		_ = d.Tell(heardMessage{peer: peer, report: report, at: r.now()})
	}
}

// AdoptList takes a VM list that the fleet made by itself.
func (r *Reader) AdoptList(l *member.List) {
	if d := r.duty.Load(); d != nil {
		r.deliver(listMessage{l})
	}
}

type listMessage struct{ list *member.List }

func (l listMessage) apply(m *config.Machine, _ time.Time) {
	m.AdoptList(l.list)
}

// message is a message of the duty.
type message interface {
	apply(m *config.Machine, now time.Time)
}

type tickMessage struct{}

func (tickMessage) apply(*config.Machine, time.Time) {}

type heardMessage struct {
	peer   string
	report config.Report
	at     time.Time
}

func (h heardMessage) apply(m *config.Machine, _ time.Time) {
	m.ReceiveReport(h.at, h.peer, h.report)
}

type platformMessage struct {
	op    config.Op
	value config.Value
}

func (p platformMessage) apply(m *config.Machine, now time.Time) {
	m.PlatformDone(now, p.op, p.value)
}

type fetchMessage struct {
	op     config.Op
	answer config.FetchResponse
	err    error
}

func (f fetchMessage) apply(m *config.Machine, now time.Time) {
	m.FetchDone(now, f.op, f.answer, f.err)
}

// handle runs on the duty.
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

func (r *Reader) tick(d *duty.Duty[message]) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			_ = d.Tell(tickMessage{})
		}
	}
}

// run performs one operation and delivers its result.
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
		err = errors.New("no response")
	}
	if err != nil {
		return fetchMessage{op: op, err: fmt.Errorf("fetch from %s: %w", op.Peer, err)}
	}
	return fetchMessage{op: op, answer: answerOf(res)}
}

func (r *Reader) deliver(m message) {
	d := r.duty.Load()
	for r.ctx.Err() == nil && d.Tell(m) != nil {
		time.Sleep(deliverEvery)
	}
}
