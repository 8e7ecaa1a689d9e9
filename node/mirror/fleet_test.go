package mirror

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/registry"
)

const (
	// step is the virtual time between two calls of a machine.
	step = 50 * time.Millisecond
	// heartbeatInterval is the interval of the reports between VMs.
	heartbeatInterval = 500 * time.Millisecond
	// writeInterval is the interval at which targets renew their registrations, and
	// backAfter the time from the store's return until they do so again.
	writeInterval = 1500 * time.Millisecond
	backAfter     = 2 * time.Second
	// lapseAfter is the time after which the store removes a registration that was not
	// renewed.
	lapseAfter = 4 * writeInterval
	// applyBound is the time within which a change must be in force on all VMs.
	applyBound = 2500 * time.Millisecond
	// maxFetchDelay bounds the time that a fetch from a peer takes.
	maxFetchDelay = 300 * time.Millisecond
	// service is the service of all targets.
	service = "citas"
)

// copied is a copy of the store's content.
type copied struct {
	items    map[string]registry.Change
	revision uint64
}

// testStore is a store in memory that can return from an older copy.
type testStore struct {
	copied
	epoch  uint64
	events []registry.Change
	first  uint64 // the revision before the first event
}

// put writes a change under its key; a removal drops the key.
func (s *testStore) put(key string, c registry.Change) {
	s.revision++
	c.Revision = s.revision
	if c.Configuration == nil && c.Registration == nil && !c.DomainOut {
		delete(s.items, key)
	} else {
		s.items[key] = c
	}
	s.events = append(s.events, c)
}

func (s *testStore) copy() copied { return copied{maps.Clone(s.items), s.revision} }

// restore makes the store return from a copy in the next epoch.
func (s *testStore) restore(c copied) {
	s.copied = copied{maps.Clone(c.items), c.revision}
	s.epoch, s.events, s.first = s.epoch+1, nil, c.revision
}

func (s *testStore) at() registry.Position {
	return registry.Position{Epoch: s.epoch, Revision: s.revision}
}

// vm is one VM of a fleet: a machine with its mirror. It implements StoreClient for its
// mirror.
type vm struct {
	id      string
	fleet   *fleet
	machine *config.Machine
	mirror  *Mirror
	reports map[string]time.Time
	cutOff  bool // the store does not answer this VM
	side    int  // VMs reach only VMs of the same side
	// frozen is the store that this VM sees instead of the fleet's; nil for none.
	frozen *testStore
}

func (v *vm) store() *testStore {
	if v.frozen != nil {
		return v.frozen
	}
	return v.fleet.store
}

// Read implements StoreClient.
func (v *vm) Read(context.Context) ([]registry.Change, registry.Position, error) {
	if v.cutOff {
		return nil, registry.Position{}, context.DeadlineExceeded
	}
	s := v.store()
	return slices.Collect(maps.Values(s.items)), s.at(), nil
}

// Watch implements StoreClient. It never waits.
func (v *vm) Watch(_ context.Context, after uint64, _ time.Duration) ([]registry.Change, registry.Position, error) {
	if v.cutOff {
		return nil, registry.Position{}, context.DeadlineExceeded
	}
	s := v.store()
	if after < s.first || after > s.revision {
		return nil, registry.Position{}, ErrCompacted
	}
	var changes []registry.Change
	for _, c := range s.events {
		if c.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes, s.at(), nil
}

// InContact implements config.Contacts.
func (v *vm) InContact(id string) bool {
	return v.fleet.now.Sub(v.reports[id]) < config.PlatformSilenceTimeout
}

// fleet is a fleet of VMs in virtual time whose targets renew their registrations.
type fleet struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	store   *testStore
	vms     []*vm
	list    *member.List
	targets map[string]document.TargetState
	// renewed holds the time of the last write of each registration, or of the return.
	renewed map[string]time.Time
	// silentUntil is when the targets write again after a return of the store.
	silentUntil time.Time
	// due holds the results of fetches by the time at which they arrive.
	due map[time.Time][]func()
	// check is called after each step for each VM that has a configuration.
	check func(v *vm, s *document.Snapshot)
}

func newFleet(t *testing.T, seed uint64, n int) *fleet {
	f := &fleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), list: &member.List{Version: 1},
		store:   &testStore{copied: copied{items: map[string]registry.Change{}, revision: 10}, first: 10},
		targets: map[string]document.TargetState{}, renewed: map[string]time.Time{}, due: map[time.Time][]func(){}, check: func(*vm, *document.Snapshot) {},
	}
	for i := range n {
		id := fmt.Sprintf("vm-%02d", i)
		f.list.VMs = append(f.list.VMs, member.VM{ID: id, Address: "a", PeerAddress: id, FailureDomain: "d", State: member.Live})
		f.vms = append(f.vms, &vm{id: id, fleet: f})
	}
	f.configure(5, "key-5")
	for i := range 6 {
		f.targets[fmt.Sprint("t", i)] = document.Active
	}
	for _, v := range f.vms {
		f.start(v)
	}
	f.advance(4 * time.Second)
	return f
}

// start gives a VM a new machine and mirror without state, and the next VM as seed.
func (f *fleet) start(v *vm) {
	next := f.vms[(slices.Index(f.vms, v)+1)%len(f.vms)].id
	v.reports = map[string]time.Time{}
	v.machine = config.New(config.Params{Self: v.id, Seeds: []string{next}, Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 2)), SelfManagedList: true}, f.now)
	v.machine.AdoptList(f.list)
	v.mirror = New(v, []string{"a", "b"}, Fleet{
		Known: func() registry.Known {
			m := v.machine
			return registry.Known{
				Applied: m.Snapshot(), ContestedTicket: m.ContestedTicket(), NewestTicket: m.NewestTicket(),
				HearsPeers: m.HearsPeers(f.now),
			}
		},
		PeersAsked: func() bool { return v.machine.PeersAsked(f.now) },
		Silence:    func() (time.Duration, bool) { return 0, true },
	}, logr.Discard())
	v.mirror.now = func() time.Time { return f.now }
}

// configure writes a configuration with one workspace whose key is given.
func (f *fleet) configure(version uint64, key string) {
	f.store.put("config", registry.Change{Configuration: &registry.Configuration{
		Version:  version,
		Services: []document.Service{{Kind: "service", Name: service, ColdSlots: 1, ConnectionsPerTarget: 10}},
		Workspaces: []document.Workspace{{
			ID: "w", KeyDigests: []string{document.KeyDigest(key)}, RatePerSecond: 1, Burst: 1,
		}},
		Routes: []document.Route{},
	}})
}

// setDomain takes a failure domain out or brings it back.
func (f *fleet) setDomain(name string, out bool) {
	f.store.put("domain/"+name, registry.Change{Domain: name, DomainOut: out})
}

// write renews the registration of a target.
func (f *fleet) write(id string) {
	f.renewed[id] = f.now
	f.store.put("target/"+id, registry.Change{Key: id, Registration: &registry.Registration{
		Service: service,
		Target:  document.Target{ID: id, Address: "10.0.0.1:80", FailureDomain: "a", Slots: 3, State: f.targets[id]},
	}})
}

// leave removes a target and its registration.
func (f *fleet) leave(id string) {
	delete(f.targets, id)
	f.store.put("target/"+id, registry.Change{Key: id})
}

// restore makes the store return from a copy; targets are silent until backAfter.
func (f *fleet) restore(c copied) {
	f.store.restore(c)
	f.silentUntil = f.now.Add(backAfter)
	for id := range f.renewed {
		f.renewed[id] = f.now
	}
}

// advance runs the fleet for d.
func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		n := int(f.now.UnixMilli() / step.Milliseconds())
		for i, id := range slices.Sorted(maps.Keys(f.targets)) {
			if !f.now.Before(f.silentUntil) && (n+5*i)%int(writeInterval/step) == 0 {
				f.write(id)
			}
		}
		f.lapse()
		for _, arrive := range f.due[f.now] {
			arrive()
		}
		delete(f.due, f.now)
		for i, v := range f.vms {
			if (n+i)%int(heartbeatInterval/step) == 0 {
				f.heartbeat(v)
			}
			f.run(v)
		}
	}
}

// lapse removes the registrations that were not renewed.
func (f *fleet) lapse() {
	for id, at := range f.renewed {
		if f.now.Sub(at) >= lapseAfter {
			f.store.put("target/"+id, registry.Change{Key: id})
			delete(f.renewed, id)
		}
	}
}

// heartbeat sends the report of a VM to all that it reaches.
func (f *fleet) heartbeat(v *vm) {
	r := config.Report{Ticket: v.machine.Snapshot().Ticket()}
	if s := v.machine.Snapshot(); s != nil {
		r.Digest = config.DigestPrefix(s.Digest)
	}
	if at := v.machine.LastResponse(); !at.IsZero() {
		r.PlatformKnown, r.PlatformAge = true, f.now.Sub(at)
	}
	if at := v.machine.UpToDateByOwnReads(); !at.IsZero() {
		r.ReadKnown, r.ReadAge = true, f.now.Sub(at)
	}
	for _, peer := range f.vms {
		if peer != v && peer.side == v.side {
			peer.reports[v.id] = f.now
			peer.machine.ReceiveReport(f.now, v.id, r)
		}
	}
}

// run runs the operations that are due on a VM and checks its configuration.
func (f *fleet) run(v *vm) {
	for _, op := range v.machine.Next(f.now, v) {
		switch op.Kind {
		case config.Read, config.Watch:
			f.ask(v, op)
		case config.Fetch:
			f.fetch(v, op)
		}
	}
	for _, e := range v.machine.TakeEffects() {
		if e.Kind == config.Applied {
			f.heartbeat(v)
		}
	}
	if s := v.machine.Snapshot(); s != nil {
		f.check(v, s)
	}
}

// ask reads or watches the store. A read that waits for the peers fails at once, because
// no time passes in it, and is repeated until its timeout.
func (f *fleet) ask(v *vm, op config.Op) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	machine, value := v.machine, config.Value{}
	if op.Kind == config.Read {
		value = v.mirror.Read(ended, op.Key)
	} else {
		value = v.mirror.Watch(ended, op.Key, op.After, op.Wait)
	}
	if value.Status != config.Failed || v.cutOff || f.now.Sub(op.Sent) >= op.Timeout {
		machine.PlatformDone(f.now, op, value)
		return
	}
	next := f.now.Add(step)
	f.due[next] = append(f.due[next], func() {
		if v.machine == machine {
			f.ask(v, op)
		}
	})
}

// fetch fetches the configuration of a peer, which has it when the response is sent.
func (f *fleet) fetch(v *vm, op config.Op) {
	i := slices.IndexFunc(f.vms, func(p *vm) bool { return p.id == op.Address })
	peer := f.vms[i]
	at := f.now.Add(time.Duration(1+f.rand.IntN(int(maxFetchDelay/step))) * step)
	machine, response, err := v.machine, config.FetchResponse{}, error(nil)
	if peer.side != v.side {
		at, err = f.now.Add(op.Timeout.Truncate(step)), context.DeadlineExceeded
	} else {
		index, list := peer.machine.RawIndexAndList()
		response = config.NewFetchResponse(peer.machine.Snapshot(), index, list, op.KnownDigests, 1<<20)
	}
	f.due[at] = append(f.due[at], func() { machine.FetchDone(f.now, op, response, err) })
}

// states returns the states of the targets of a snapshot by ID.
func states(s *document.Snapshot) map[string]document.TargetState {
	out := map[string]document.TargetState{}
	if s == nil {
		return out
	}
	for _, t := range s.Services[service].Targets {
		out[t.ID] = t.State
	}
	return out
}

// converged fails the test unless all VMs have the store's content in the store's epoch.
func (f *fleet) converged(when string) {
	f.t.Helper()
	for _, v := range f.vms {
		s := v.machine.Snapshot()
		if s == nil || !maps.Equal(states(s), f.targets) || registry.EpochOf(s.Ticket()) != f.store.epoch {
			f.t.Errorf("%s: %s has ticket %d (epoch %d, revision %d) with targets %v, want %v in epoch %d", when, v.id, s.Ticket(),
				registry.EpochOf(s.Ticket()), s.Ticket()%(1<<40)/2, states(s), f.targets, f.store.epoch)
		}
		first := f.vms[0].machine.Snapshot()
		if s == nil || first == nil || !slices.Equal(s.Index.Documents, first.Index.Documents) || s.ConfigVersion() != first.ConfigVersion() {
			f.t.Errorf("%s: the documents of %s differ from those of %s", when, v.id, f.vms[0].id)
		}
	}
}
