// Package roster discovers the VMs of a fleet that has no published VM list. It
// queries the seeds, exchanges membership records with peers whose roster has
// another digest, and publishes the VM list on which leases and shares are based.
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
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

const (
	// tickInterval is the period at which due exchanges are started.
	tickInterval = 100 * time.Millisecond
	// contactsInterval is the period at which the roster takes over from the cell which
	// VMs sent heartbeats.
	contactsInterval = 500 * time.Millisecond
	// startSeedInterval is the interval of seed queries during startPeriod and while
	// the VM knows no other VM.
	startSeedInterval = 200 * time.Millisecond
	// startPeriod is the time after the start during which the seeds are queried
	// more often, because VMs that start at the same time learn of each other by
	// the seeds.
	startPeriod = 1500 * time.Millisecond
	// seedInterval is the interval of seed queries afterwards. These queries merge
	// fleets that started separately.
	seedInterval = 5 * time.Second
	// exchangeInterval is the least time between exchanges with peers whose digest
	// differs.
	exchangeInterval = 300 * time.Millisecond
	// refreshInterval is the interval at which a VM of a fleet with several cells
	// requests all records of a VM in another cell. It receives heartbeats from its
	// own cell only, and removes VMs of which it received nothing for a minute.
	refreshInterval = 20 * time.Second
	// exchangeTimeout bounds one ExchangeMembers call.
	exchangeTimeout = 500 * time.Millisecond
	// isolatedAfter is how long a VM that learned of no other VM waits before it
	// publishes a list with itself as the only member.
	isolatedAfter = 6 * time.Second
)

// Exchanger calls ExchangeMembers of other VMs.
type Exchanger interface {
	// ExchangeMembers calls the VM at the peer address, host:port.
	ExchangeMembers(ctx context.Context, address string, r *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error)
}

// PeerContact is the contact state of a peer.
type PeerContact struct {
	// ID is the ID of the peer.
	ID string
	// Instance identifies its process.
	Instance uint64
	// Leaving is true when its last heartbeat reported that it is leaving.
	Leaving bool
	// LastSeen is when its last heartbeat was accepted.
	LastSeen time.Time
}

// Config configures a Roster.
type Config struct {
	// Identity is this VM. Required.
	Identity node.Identity
	// Seeds lists the peer addresses to query first.
	Seeds []string
	// CellSize is the intended number of VMs in a cell; 0 for the default. It must be
	// the same on all VMs.
	CellSize int
	// Peer calls other VMs. Required.
	Peer Exchanger
	// Events records events. Required.
	Events node.Events
	// Contacts returns the peers that are in contact now. Required.
	Contacts func() []PeerContact
	// OnList is called with each new VM list. The roster is locked during the call, so
	// it must not call the roster and should return soon. Required.
	OnList func(*member.List)
}

// Roster discovers VMs and publishes the VM list. Create it with New. It is safe for
// concurrent use.
type Roster struct {
	cfg           Config
	start         time.Time
	list          atomic.Pointer[member.List]
	digest        atomic.Uint64
	differingPeer atomic.Pointer[string] // address of a peer with another digest
	// unknownSender is set when a VM outside the list sent a heartbeat.
	unknownSender atomic.Bool
	ctx           context.Context
	cancel        context.CancelFunc
	done          sync.WaitGroup

	mu            sync.Mutex
	seeds         []string
	selfAddresses map[string]bool // peer addresses at which this VM reached itself
	core          *roster.Roster
	joined        bool // the first list was published
	lastSeedQuery time.Time
	lastExchange  time.Time
	lastRefresh   time.Time
	lastContacts  time.Time
}

// New returns a roster that contains only the VM itself.
func New(cfg Config) *Roster {
	r := &Roster{cfg: cfg, start: time.Now()}
	r.core = roster.New(cfg.Identity.VM, cfg.Identity.Instance, cfg.CellSize)
	r.selfAddresses = map[string]bool{cfg.Identity.VM.PeerAddress: true}
	r.setSeeds(cfg.Seeds)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start begins to query the seeds.
func (r *Roster) Start() {
	r.done.Add(1)
	go r.run()
}

// Stop ends running exchanges and waits for them.
func (r *Roster) Stop() {
	r.cancel()
	r.done.Wait()
}

// SetSeeds replaces the peer addresses of the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setSeeds(seeds)
}

// setSeeds replaces the seeds. A VM that reaches none of the others counts them as members.
// mu must be held once the roster is started.
func (r *Roster) setSeeds(seeds []string) {
	r.seeds = seeds
	others := map[string]bool{}
	for _, address := range seeds {
		if !r.selfAddresses[address] {
			others[address] = true
		}
	}
	r.core.SetSeedCount(len(others))
}

// recordSelf records that the VM at address is this one.
func (r *Roster) recordSelf(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.selfAddresses[address] {
		r.selfAddresses[address] = true
		r.setSeeds(r.seeds)
	}
}

// List returns the VM list; nil before the first one is published.
func (r *Roster) List() *member.List { return r.list.Load() }

// Digest identifies the VMs in the list and their states: rosters with the same VMs in
// the same states have the same digest.
func (r *Roster) Digest() uint64 { return r.digest.Load() }

// ObserveDigest records the digest that a peer reported. If it differs from that
// of this VM, records are exchanged with that peer. 0 means unknown.
func (r *Roster) ObserveDigest(vm member.VM, digest uint64) {
	if digest != 0 && digest != r.digest.Load() {
		r.differingPeer.Store(&vm.PeerAddress)
	}
}

// ObserveUnknownSender records that a VM outside the list sent a heartbeat. During
// startPeriod a seed is then queried sooner: the other VM started at about the same
// time and the seed probably knows it.
func (r *Roster) ObserveUnknownSender() {
	r.unknownSender.Store(true)
}

// ExchangeMembers merges the records of a peer and returns those of this VM. With
// the same digest on both sides it returns only the record of this VM.
func (r *Roster) ExchangeMembers(_ context.Context, req *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error) {
	r.merge(fromProto(req.GetMembers()))
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.core.Export(time.Now())
	if req.GetDigest() == r.core.Digest() {
		all = all[:1]
	}
	return &peerv1.ExchangeMembersResponse{Members: toProto(all)}, nil
}

// merge adds the records of a peer.
func (r *Roster) merge(all []roster.MemberRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.core.Merge(all, now)
	r.publish(now)
}

// publish stores a changed list and passes it to OnList. It publishes the first list
// when the VM knows another VM or isolatedAfter has passed. mu must be held.
func (r *Roster) publish(now time.Time) {
	if !r.joined && r.core.Len() == 1 && now.Sub(r.start) < isolatedAfter {
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

// run calls tick every tickInterval until Stop.
func (r *Roster) run() {
	defer r.done.Done()
	r.tick(time.Now())
	duty.Every(r.ctx.Done(), tickInterval, func() { r.tick(time.Now()) })
}

// tick starts the exchanges that are due.
func (r *Roster) tick(now time.Time) {
	r.updateContacts(now)
	for _, address := range r.dueExchanges(now) {
		r.done.Add(1)
		go r.exchange(address)
	}
	if address := r.nextRefreshAddress(now); address != "" {
		r.done.Add(1)
		go r.refreshFrom(address)
	}
}

// nextRefreshAddress returns the address of a random VM in another cell when a
// refresh is due. It returns "" otherwise, and when the fleet has only one cell.
func (r *Roster) nextRefreshAddress(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.core.List()
	if list.Cells() == 1 || now.Sub(r.lastRefresh) < refreshInterval {
		return ""
	}
	r.lastRefresh = now
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

// refreshFrom merges all records of the VM at address.
func (r *Roster) refreshFrom(address string) {
	defer r.done.Done()
	r.mu.Lock()
	self := r.core.Export(time.Now())[:1]
	r.mu.Unlock()
	// Without a digest in the request, the response contains all records.
	r.call(address, &peerv1.ExchangeMembersRequest{Members: toProto(self)})
}

// updateContacts records the peers in contact and removes VMs that have expired.
func (r *Roster) updateContacts(now time.Time) {
	r.mu.Lock()
	due := now.Sub(r.lastContacts) >= contactsInterval
	r.mu.Unlock()
	if !due {
		return
	}
	contacts := r.cfg.Contacts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContacts = now
	for _, c := range contacts {
		r.core.RecordHeartbeat(c.ID, c.Instance, c.Leaving, c.LastSeen)
	}
	r.core.Expire(now)
	r.publish(now)
}

// dueExchanges returns the addresses with which records are to be exchanged now. A
// VM that knows no other VM queries all seeds, otherwise one at random.
func (r *Roster) dueExchanges(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	if now.Sub(r.lastExchange) >= exchangeInterval {
		if differ := r.differingPeer.Swap(nil); differ != nil {
			r.lastExchange = now
			out = append(out, *differ)
		}
	}
	interval := r.seedQueryInterval(now)
	if now.Sub(r.lastSeedQuery) < interval || len(r.seeds) == 0 {
		return out
	}
	r.lastSeedQuery = now
	r.unknownSender.Store(false)
	if r.core.Len() == 1 {
		return append(out, r.seeds...)
	}
	return append(out, r.seeds[rand.IntN(len(r.seeds))])
}

// seedQueryInterval returns the time between seed queries.
func (r *Roster) seedQueryInterval(now time.Time) time.Duration {
	starting := now.Sub(r.start) < startPeriod
	switch {
	case starting && r.unknownSender.Load():
		return tickInterval
	case starting || r.core.Len() == 1:
		return startSeedInterval
	default:
		return seedInterval
	}
}

// exchange queries the VM at address and then sends it the records that its response
// lacked.
func (r *Roster) exchange(address string) {
	defer r.done.Done()
	if address == r.cfg.Identity.VM.PeerAddress {
		return
	}
	received, ok := r.sendRecords(address, nil)
	if !ok {
		return
	}
	r.mu.Lock()
	missing := r.core.MissingFrom(received, time.Now())
	r.mu.Unlock()
	// The other VM merges the record in the request before it responds, so a response
	// with a single record means equal digests. The first of missing is the record of
	// this VM, which the other one already has.
	if len(received) > 1 && len(missing) > 1 {
		r.sendRecords(address, missing)
	}
}

// sendRecords sends records to the VM at address, or only that of this VM when there
// are none, and merges the records of the response.
func (r *Roster) sendRecords(address string, records []roster.MemberRecord) (received []roster.MemberRecord, ok bool) {
	r.mu.Lock()
	if len(records) == 0 {
		records = r.core.Export(time.Now())[:1]
	}
	req := &peerv1.ExchangeMembersRequest{Members: toProto(records), Digest: r.core.Digest()}
	r.mu.Unlock()
	return r.call(address, req)
}

// call sends req to the VM at address and merges the records of the response.
func (r *Roster) call(address string, req *peerv1.ExchangeMembersRequest) (received []roster.MemberRecord, ok bool) {
	ctx, cancel := context.WithTimeout(r.ctx, exchangeTimeout)
	defer cancel()
	resp, err := r.cfg.Peer.ExchangeMembers(ctx, address, req)
	if err != nil {
		r.recordFailure(address, err)
		return nil, false
	}
	received = fromProto(resp.GetMembers())
	if len(received) > 0 && received[0].VM.ID == r.cfg.Identity.VM.ID {
		r.recordSelf(address)
	}
	r.merge(received)
	return received, true
}

// recordFailure records a failed call as an event as long as no list has been
// published.
func (r *Roster) recordFailure(address string, err error) {
	if r.list.Load() == nil && r.ctx.Err() == nil {
		r.cfg.Events.Record(event.PeerLost, address, "seed did not answer: "+err.Error())
	}
}

func toProto(all []roster.MemberRecord) []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(all))
	for _, k := range all {
		out = append(out, &peerv1.Member{
			Id: k.VM.ID, Address: k.VM.Address, PeerAddress: k.VM.PeerAddress, FailureDomain: k.VM.FailureDomain,
			Capacity: uint32(k.VM.Capacity), Instance: k.Instance, AgeMs: uint32(k.Age.Milliseconds()), Left: k.Left,
		})
	}
	return out
}

func fromProto(all []*peerv1.Member) []roster.MemberRecord {
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
