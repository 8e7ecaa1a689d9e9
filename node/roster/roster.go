// Package roster finds the VMs of a fleet without a published list: it asks the
// seeds, exchanges rosters with peers whose digest differs, and publishes the
// list that leases and shares count by.
package roster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/roster"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

const (
	// tickEvery is the period of the duty.
	tickEvery = 100 * time.Millisecond
	// seedEvery is the pause between questions to the seeds before the VM joined.
	seedEvery = 200 * time.Millisecond
	// gatherTime is how long after its start a VM asks as often: VMs that start
	// together learn of each other by the seeds.
	gatherTime = 1500 * time.Millisecond
	// confirmEvery is the same afterwards: it joins fleets that began apart.
	confirmEvery = 5 * time.Second
	// compareEvery is the pause between exchanges with peers whose digest differs.
	compareEvery = 300 * time.Millisecond
	// renewEvery is the pause between questions for all that another VM knows, where
	// the fleet has several cells: a VM hears only its own cell, and forgets others
	// after a minute.
	renewEvery = 20 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// aloneAfter is how long a VM that hears nobody waits before it counts itself
	// as the whole fleet.
	aloneAfter = 6 * time.Second
)

// Exchanger calls ExchangeMembers of the VM at a peer address.
type Exchanger interface {
	ExchangeMembers(ctx context.Context, address string, r *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error)
}

// Heard is what the cell knows of a peer.
type Heard struct {
	ID       string
	Instance uint64
	Leaving  bool
	// At is when it was heard last.
	At time.Time
}

// Config has the parts that the roster needs.
type Config struct {
	Identity node.Identity
	// Seeds are the peer addresses to ask first.
	Seeds []string
	// CellSize is the number of VMs that a cell aims for, 0 for the default. It is
	// the same on all VMs.
	CellSize int
	Peer     Exchanger
	Events   node.Events
	// Contacts returns the peers that are in contact now.
	Contacts func() []Heard
	// OnList is called with each new list, on the roster's goroutine.
	OnList func(*member.List)
}

// Roster runs the exchange. Create it with New.
type Roster struct {
	cfg    Config
	start  time.Time
	list   atomic.Pointer[member.List]
	digest atomic.Uint64
	differ atomic.Pointer[string] // peer address with another digest
	// stranger is set when a VM outside the list sent a heartbeat.
	stranger atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	seeds    []string
	core     *roster.Roster
	joined   bool
	asked    time.Time
	compared time.Time
	renewed  time.Time
}

// New returns a roster that knows only the VM itself.
func New(cfg Config) *Roster {
	r := &Roster{cfg: cfg, start: time.Now()}
	r.core = roster.New(cfg.Identity.VM, cfg.Identity.Instance, cfg.CellSize)
	r.seeds = cfg.Seeds
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start begins to ask the seeds.
func (r *Roster) Start() {
	r.done.Add(1)
	go r.run()
}

// Stop ends the exchange.
func (r *Roster) Stop() {
	r.cancel()
	r.done.Wait()
}

// SetSeeds replaces the peer addresses to ask.
func (r *Roster) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// List returns the VMs that count, nil before the VM joined.
func (r *Roster) List() *member.List { return r.list.Load() }

// Digest identifies the VMs that count.
func (r *Roster) Digest() uint64 { return r.digest.Load() }

// Differs notes that a peer has another digest.
func (r *Roster) Differs(vm member.VM, digest uint64) {
	if digest != 0 && digest != r.digest.Load() {
		r.differ.Store(&vm.PeerAddress)
	}
}

// Stranger notes that a VM outside the list sends heartbeats. While this VM is young it
// asks a seed sooner: the other one started with it and is known there.
func (r *Roster) Stranger() {
	r.stranger.Store(true)
}

// ExchangeMembers answers a peer.
func (r *Roster) ExchangeMembers(_ context.Context, req *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error) {
	r.merge(fromWire(req.GetMembers()))
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.core.Export(time.Now())
	if req.GetDigest() == r.core.Digest() {
		all = all[:1]
	}
	return &peerv1.ExchangeMembersResponse{Members: toWire(all)}, nil
}

// merge takes what a peer knows.
func (r *Roster) merge(all []roster.MemberRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.core.Merge(all, now)
	r.publish(now)
}

// publish stores the list once the VM joined. It needs mu.
func (r *Roster) publish(now time.Time) {
	if !r.joined && r.core.Len() == 1 && now.Sub(r.start) < aloneAfter {
		return
	}
	r.joined = true
	if r.list.Load() == r.core.List() {
		return
	}
	r.list.Store(r.core.List())
	r.digest.Store(r.core.Digest())
	r.cfg.OnList(r.core.List())
}

func (r *Roster) run() {
	defer r.done.Done()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		r.tick(time.Now())
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Roster) tick(now time.Time) {
	r.refresh(now)
	for _, address := range r.due(now) {
		r.done.Add(1)
		go r.exchange(address)
	}
	if address := r.toRenew(now); address != "" {
		r.done.Add(1)
		go r.renew(address)
	}
}

// toRenew returns the address of a random VM of another cell to ask for all that it
// knows, none when the VM hears all others itself.
func (r *Roster) toRenew(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.core.List()
	if list.Cells() == 1 || now.Sub(r.renewed) < renewEvery {
		return ""
	}
	r.renewed = now
	own := member.CellMembers(list, r.cfg.Identity.VM.ID)
	var others []string
	for _, vm := range list.VMs {
		if _, ok := own.Find(vm.ID); !ok {
			others = append(others, vm.PeerAddress)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// renew takes all that the VM at address knows.
func (r *Roster) renew(address string) {
	defer r.done.Done()
	r.mu.Lock()
	self := r.core.Export(time.Now())[:1]
	r.mu.Unlock()
	// Without a digest the answer lists all VMs.
	r.tell(address, &peerv1.ExchangeMembersRequest{Members: toWire(self)})
}

// refresh notes who is in contact and forgets who is gone.
func (r *Roster) refresh(now time.Time) {
	heard := r.cfg.Contacts()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range heard {
		r.core.RecordHeartbeat(h.ID, h.Instance, h.Leaving, h.At)
	}
	r.core.Expire(now)
	r.publish(now)
}

// due returns the addresses to exchange with now.
func (r *Roster) due(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if now.Sub(r.compared) >= compareEvery {
		if differ := r.differ.Swap(nil); differ != nil {
			r.compared = now
			out = append(out, *differ)
		}
	}
	wait := r.pause(now)
	if now.Sub(r.asked) < wait || len(r.seeds) == 0 {
		return out
	}
	r.asked = now
	r.stranger.Store(false)
	if r.core.Len() == 1 {
		return append(out, r.seeds...)
	}
	return append(out, r.seeds[rand.IntN(len(r.seeds))])
}

// pause returns the time between questions to the seeds.
func (r *Roster) pause(now time.Time) time.Duration {
	young := now.Sub(r.start) < gatherTime
	switch {
	case young && r.stranger.Load():
		return tickEvery
	case young || r.core.Len() == 1:
		return seedEvery
	default:
		return confirmEvery
	}
}

func (r *Roster) exchange(address string) {
	defer r.done.Done()
	if address == r.cfg.Identity.VM.PeerAddress {
		return
	}
	told, ok := r.ask(address, nil)
	if !ok {
		return
	}
	r.mu.Lock()
	lacking := r.core.MissingFrom(told, time.Now())
	r.mu.Unlock()
	if len(told) > 1 && len(lacking) > 1 {
		r.ask(address, lacking)
	}
}

// ask tells the VM at address what it lacks and takes what it knows.
func (r *Roster) ask(address string, lacking []roster.MemberRecord) (told []roster.MemberRecord, ok bool) {
	r.mu.Lock()
	if len(lacking) == 0 {
		lacking = r.core.Export(time.Now())[:1]
	}
	req := &peerv1.ExchangeMembersRequest{Members: toWire(lacking), Digest: r.core.Digest()}
	r.mu.Unlock()
	return r.tell(address, req)
}

// tell sends req to the VM at address and takes what it knows.
func (r *Roster) tell(address string, req *peerv1.ExchangeMembersRequest) (told []roster.MemberRecord, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, exchangeTimeout)
	defer cancel()
	resp, err := r.cfg.Peer.ExchangeMembers(ctx, address, req)
	if err != nil {
		r.note(address, err)
		return nil, false
	}
	told = fromWire(resp.GetMembers())
	r.merge(told)
	return told, true
}

// note records a failed question while the VM has not joined.
func (r *Roster) note(address string, err error) {
	if r.list.Load() == nil && r.ctx.Err() == nil {
		r.cfg.Events.Record(event.PeerLost, address, "the seed does not answer: "+err.Error())
	}
}

func toWire(all []roster.MemberRecord) []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(all))
	for _, k := range all {
		out = append(out, &peerv1.Member{
			Id: k.VM.ID, Address: k.VM.Address, PeerAddress: k.VM.PeerAddress, FailureDomain: k.VM.FailureDomain,
			Capacity: uint32(k.VM.Capacity), Instance: k.Instance, AgeMs: uint32(k.Age.Milliseconds()), Left: k.Left,
		})
	}
	return out
}

func fromWire(all []*peerv1.Member) []roster.MemberRecord {
	out := make([]roster.MemberRecord, 0, len(all))
	for _, m := range all {
		out = append(out, roster.MemberRecord{
			VM: member.VM{
				ID: m.GetId(), Address: m.GetAddress(), PeerAddress: m.GetPeerAddress(),
				FailureDomain: m.GetFailureDomain(), State: member.Live, Capacity: int(m.GetCapacity()),
			},
			Instance: m.GetInstance(),
			Age:      time.Duration(m.GetAgeMs()) * time.Millisecond,
			Left:     m.GetLeft(),
		})
	}
	return out
}
