package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// step is the virtual time between two calls of Machine.Next.
const step = 50 * time.Millisecond

// view is how the platform behaves towards one VM.
type view uint8

const (
	// fresh answers with the newest values.
	fresh view = iota
	// refusing fails each call at once.
	refusing
	// hanging lets each call time out.
	hanging
	// stale answers reads and watches with platform.staleValues.
	stale
)

// platform is the value store with a count of its reads per second.
type platform struct {
	revision      uint64
	index         *document.Index
	content       document.Content
	values        map[string]Value
	staleValues   map[string]Value // what VMs with the view stale get; nil: the newest values
	readsBySecond map[int64]int    // calls, counted in each Unix second in which they were open
}

func (p *platform) put(key string, raw []byte) {
	p.revision++
	p.values[key] = Value{Status: Found, Raw: raw, Revision: p.revision}
}

// publish publishes the given documents under the next ticket and returns it.
func (p *platform) publish(docs map[string]json.RawMessage) uint64 {
	t := document.TicketFile{Ticket: 1, Documents: docs}
	if p.index != nil {
		t.Ticket = p.index.Ticket + 1
	}
	p.index, p.content = t.Apply(p.index, p.content)
	for _, e := range p.index.Documents {
		p.put(e.Key(), p.content[e.Name])
	}
	raw, _ := json.Marshal(p.index)
	p.put(indexKey, raw)
	return t.Ticket
}

// pendingOp is an operation that waits for its result.
type pendingOp struct {
	op          Op
	incarnation int
	vm          *simVM
}

// simVM is one VM of a run. incarnation counts its restarts.
type simVM struct {
	id              string
	incarnation     int
	machine         *Machine
	view            view
	lastHeartbeat   map[string]time.Time
	heartbeatOffset time.Duration
	peers           []*simVM
	sim             *sim
}

// InContact implements Contacts: heartbeats must have arrived recently in both
// directions.
func (v *simVM) InContact(id string) bool {
	peer := v.sim.byID[id]
	limit := v.sim.now.Add(-PlatformSilenceTimeout)
	return peer != nil && v.lastHeartbeat[id].After(limit) && peer.lastHeartbeat[v.id].After(limit)
}

// sim advances a fleet of machines in virtual time.
type sim struct {
	rand         *rand.Rand
	parsedByCell map[int]parsedList
	now          time.Time
	start        time.Time
	platform     platform
	vms          []*simVM
	byID         map[string]*simVM
	openWatches  []pendingOp
	scheduled    map[int64][]func()
	// loss is the share of heartbeats lost, fetchLoss that of fetches, which use TCP
	// and fail less often.
	loss, fetchLoss float64

	maxDelay time.Duration
	list     *member.List
	defects  defects
	// isolated sends heartbeats, but receives none and gets no response to a fetch.
	isolated *simVM
	// disconnected reports whether messages from a to b are lost. Default: none are.
	disconnected func(a, b *simVM) bool
	// selfManaged is true when the VMs manage their list themselves. inlineDocuments is
	// true when an index comes with its documents.
	selfManaged, inlineDocuments bool

	onEffect func(*simVM, Effect)
	onRead   func(*simVM, string)
}

func newSim(seed uint64, n int) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), parsedByCell: map[int]parsedList{}, now: time.Unix(1000, 0), start: time.Unix(1000, 0),
		byID: map[string]*simVM{}, scheduled: map[int64][]func(){}, list: &member.List{Version: 1},
		platform: platform{values: map[string]Value{}, readsBySecond: map[int64]int{}},
		onEffect: func(*simVM, Effect) {}, onRead: func(*simVM, string) {},
		disconnected: func(_, _ *simVM) bool { return false },
	}
	for i := range n {
		id := fmt.Sprintf("vm-%04d", i)
		s.list.VMs = append(s.list.VMs, member.VM{ID: id, Address: "a", PeerAddress: id, FailureDomain: "d", State: member.Live})
		v := &simVM{id: id, sim: s, heartbeatOffset: time.Duration(s.rand.IntN(10)) * step}
		s.vms, s.byID[id] = append(s.vms, v), v
	}
	raw, _ := json.Marshal(s.list)
	s.platform.put(listKey, raw)
	cells := map[int][]*simVM{}
	for _, v := range s.vms {
		c := member.CellOf(v.id, member.CellCount(n))
		cells[c] = append(cells[c], v)
	}
	for _, cell := range cells {
		for _, v := range cell {
			v.peers = cell
		}
	}
	return s
}

// restart gives a VM a new machine without state and two other VMs as seeds.
func (s *sim) restart(v *simVM) {
	n, i := len(s.vms), slices.Index(s.vms, v)
	s.restartWith(v, s.vms[(i+1+s.rand.IntN(n-1))%n].id, s.vms[(i+1+s.rand.IntN(n-1))%n].id)
}

func (s *sim) restartWith(v *simVM, seeds ...string) {
	v.incarnation++
	v.machine = New(Params{Self: v.id, Seeds: seeds, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)), SelfManagedList: s.selfManaged}, s.now)
	v.machine.defects = s.defects
	v.machine.parse = s.parse
	if s.defects.noSpread {
		v.machine.listPoll.nextOp = s.now
	}
	v.lastHeartbeat = map[string]time.Time{}
	if s.selfManaged {
		v.machine.AdoptList(s.list)
	}
}

// parse parses the list once for each cell, because 2,800 VMs would parse 2,800 entries
// each. The runs use one list only.
func (s *sim) parse(raw []byte, self string) (parsedList, error) {
	cell := member.CellOf(self, member.CellCount(len(s.vms)))
	if p, ok := s.parsedByCell[cell]; ok {
		return p, nil
	}
	p, err := parseList(raw, self)
	s.parsedByCell[cell] = p
	return p, err
}

func (s *sim) stepNumber() int64 { return int64(s.now.Sub(s.start) / step) }

// schedule runs f in the first step that begins at least d from now.
func (s *sim) schedule(d time.Duration, f func()) {
	at := s.stepNumber() + max(1, int64((d+step-1)/step))
	s.scheduled[at] = append(s.scheduled[at], f)
}

// advance runs all VMs for d of virtual time.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		due := s.scheduled[s.stepNumber()]
		delete(s.scheduled, s.stepNumber())
		for _, f := range due {
			f()
		}
		s.answerWatches()
		for _, v := range s.vms {
			if (s.now.Sub(s.start)+v.heartbeatOffset)%(500*time.Millisecond) == 0 {
				s.heartbeat(v)
			}
			s.next(v)
		}
	}
}

func (s *sim) next(v *simVM) {
	for _, op := range v.machine.Next(s.now, v) {
		s.run(pendingOp{op: op, incarnation: v.incarnation, vm: v})
	}
	for _, e := range v.machine.TakeEffects() {
		s.onEffect(v, e)
		if e.Kind == Applied {
			s.heartbeat(v)
		}
	}
}

// heartbeat sends a report to the peers; some reports are lost, others are delayed and
// thereby arrive out of order.
func (s *sim) heartbeat(v *simVM) {
	r := Report{Ticket: v.machine.snapshot.Ticket(), Digest: v.machine.digest, ListVersion: v.machine.listVersion()}
	if r.PlatformKnown = !v.machine.lastOwnResponse.IsZero(); r.PlatformKnown {
		r.PlatformAge = s.now.Sub(v.machine.lastOwnResponse)
	}
	if s.selfManaged && !v.machine.lastResponse.IsZero() {
		r.PlatformKnown, r.PlatformAge = true, s.now.Sub(v.machine.lastResponse)
	}
	if at := v.machine.UpToDateByOwnReads(); !at.IsZero() {
		r.ReadKnown, r.ReadAge = true, s.now.Sub(at)
	}
	for _, peer := range v.peers {
		if peer == v || peer == s.isolated || s.disconnected(v, peer) || s.rand.Float64() < s.loss {
			continue
		}
		incarnation := peer.incarnation
		deliver := func() {
			if incarnation == peer.incarnation {
				peer.lastHeartbeat[v.id] = s.now
				peer.machine.ReceiveReport(s.now, v.id, r)
			}
		}
		if s.maxDelay == 0 {
			deliver()
			continue
		}
		s.schedule(time.Duration(s.rand.Int64N(int64(s.maxDelay))), deliver)
	}
}

// run starts an operation.
func (s *sim) run(p pendingOp) {
	if p.op.Kind == Fetch {
		s.fetch(p)
		return
	}
	switch {
	case p.vm.view == refusing:
		s.schedule(0, func() { s.answer(p, Value{Status: Failed}) })
	case p.vm.view == hanging:
		s.schedule(p.op.Timeout, func() { s.answer(p, Value{Status: Failed}) })
	case p.op.Kind == Watch:
		s.openWatches = append(s.openWatches, p)
	default:
		s.schedule(0, func() { s.answer(p, s.visibleValue(p)) })
	}
}

// visibleValue returns the value that the platform currently shows to the VM of p.
func (s *sim) visibleValue(p pendingOp) Value {
	values := s.platform.values
	if p.vm.view == stale && s.platform.staleValues != nil {
		values = s.platform.staleValues
	}
	if v, ok := values[p.op.Key]; ok {
		if s.inlineDocuments && p.op.Key == indexKey {
			v.Documents = s.platform.content
		}
		return v
	}
	return Value{Status: Missing}
}

// answerWatches answers the watches that see a change or have waited long enough.
func (s *sim) answerWatches() {
	open := s.openWatches
	s.openWatches = nil
	for _, p := range open {
		v := s.visibleValue(p)
		switch {
		case p.vm.view == refusing:
			s.answer(p, Value{Status: Failed})
		case p.vm.view == hanging && s.now.Sub(p.op.Sent) < p.op.Timeout:
			s.openWatches = append(s.openWatches, p)
		case p.vm.view == hanging:
			s.answer(p, Value{Status: Failed})
		case v.Status == Found && v.Revision > p.op.After:
			s.answer(p, v)
		case s.now.Sub(p.op.Sent) >= p.op.Wait:
			s.answer(p, Value{Status: Unchanged})
		default:
			s.openWatches = append(s.openWatches, p)
		}
	}
}

// answer delivers the result of a call. It counts the call once in each second during
// which the call was open.
func (s *sim) answer(p pendingOp, v Value) {
	for sec := p.op.Sent.Unix(); sec <= s.now.Unix(); sec++ {
		s.platform.readsBySecond[sec]++
	}
	if p.incarnation != p.vm.incarnation {
		return
	}
	if v.Status == Found {
		s.onRead(p.vm, p.op.Key)
	}
	p.vm.machine.PlatformDone(s.now, p.op, v)
}

func (s *sim) fetch(p pendingOp) {
	peer := s.byID[p.op.Address]
	done := func(response FetchResponse, err error) {
		if p.incarnation == p.vm.incarnation {
			p.vm.machine.FetchDone(s.now, p.op, response, err)
		}
	}
	if peer == nil || p.vm == s.isolated || s.disconnected(p.vm, peer) || s.disconnected(peer, p.vm) || s.rand.Float64() < s.fetchLoss {
		s.schedule(p.op.Timeout, func() { done(FetchResponse{}, errors.New("lost")) })
		return
	}
	index, list := peer.machine.RawIndexAndList()
	response := NewFetchResponse(peer.machine.snapshot, index, list, p.op.KnownDigests, 400)
	if response.PlatformKnown = !peer.machine.lastOwnResponse.IsZero(); response.PlatformKnown {
		response.PlatformAge = s.now.Sub(peer.machine.lastOwnResponse)
	}
	s.schedule(time.Duration(s.rand.Int64N(int64(s.maxDelay+step))), func() { done(response, nil) })
}

// peakReads returns the highest number of reads in one second since from.
func (s *sim) peakReads(from time.Time) int {
	best := 0
	for sec, n := range s.platform.readsBySecond {
		if sec >= from.Unix() {
			best = max(best, n)
		}
	}
	return best
}
