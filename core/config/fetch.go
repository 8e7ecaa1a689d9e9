package config

import (
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// Limits and delays of fetches from peers.
const (
	// fetchSpread spreads the fetches of a new ticket, so that later fetches find more
	// than one VM that has it.
	fetchSpread = 150 * time.Millisecond
	// fetchTimeoutMin and fetchTimeoutMax bound the timeout of a fetch. The timeout
	// doubles with every third failure only, because most failures are lost fetches and
	// not slow ones.
	fetchTimeoutMin = 600 * time.Millisecond
	fetchTimeoutMax = 5 * time.Second
	// hedgeDelay is the time after which an unanswered fetch is sent to another peer
	// too, because a lost fetch would use up much of the 3 s within which a ticket must
	// be applied. maxFetches bounds the fetches in flight.
	hedgeDelay = 300 * time.Millisecond
	maxFetches = 3
	// fetchBackoffMin and fetchBackoffMax bound the delay after a failed fetch.
	fetchBackoffMin = 50 * time.Millisecond
	fetchBackoffMax = 500 * time.Millisecond
	// maxFirstStartupFetches and maxStartupFetches bound the fetches in flight of a
	// newly started VM before and after it has a configuration.
	maxFirstStartupFetches = 2
	maxStartupFetches      = 8
	// startupFetchTimeout bounds a fetch of a newly started VM.
	startupFetchTimeout = time.Second
	// startupRetryDelay is the delay before a newly started VM queries the same peer
	// again.
	startupRetryDelay = time.Second
)

// fetchState is the state of the fetches from peers.
type fetchState struct {
	// seeds holds the peer addresses from the settings.
	seeds []string
	// peerOrder holds the peers of the cell in random order.
	peerOrder []string
	// answered holds the peers that a newly started VM has received a report or a
	// response from; lastTried holds when the last fetch from a peer ended.
	answered  map[string]bool
	lastTried map[string]time.Time
	inFlight  map[string]bool
	// wantedTicket and wantedList are the highest ticket and list version that a fetch
	// delay was drawn for.
	wantedTicket   uint64
	wantedList     uint64
	nextFetch      time.Time
	failures       int
	lastFailedPeer string
}

func newFetchState(p Params) fetchState {
	return fetchState{
		seeds:     p.Seeds,
		answered:  map[string]bool{},
		lastTried: map[string]time.Time{},
		inFlight:  map[string]bool{},
	}
}

// shufflePeers draws a new random order of the peers in the cell.
func (f *fetchState) shufflePeers(m *Machine) {
	f.peerOrder = f.peerOrder[:0]
	for _, vm := range m.cell.VMs {
		if vm.ID != m.params.Self {
			f.peerOrder = append(f.peerOrder, vm.ID)
		}
	}
	m.params.Rand.Shuffle(len(f.peerOrder), func(i, j int) { f.peerOrder[i], f.peerOrder[j] = f.peerOrder[j], f.peerOrder[i] })
}

// hasNewer reports whether a peer has a ticket or a VM list that is newer than the one
// applied here.
func (m *Machine) hasNewer(report peerReport) bool {
	if report.Ticket > m.snapshot.Ticket() && !m.refused.has(report.Ticket, report.Digest) {
		return true
	}
	return report.ListVersion > m.listVersion()
}

func (m *Machine) listVersion() uint64 {
	if m.list == nil {
		return 0
	}
	return m.list.Version
}

// selectSource returns a random peer among those with the highest ticket or, next, list
// version. It avoids the peer that failed last and peers with a fetch in flight when
// there are others. Where the fleet manages its VM list itself, it prefers peers of its
// own failure domain.
func (m *Machine) selectSource(now time.Time) (peer string, best Report, ok bool) {
	if m.highestTicket <= m.snapshot.Ticket() && m.highestListVersion <= m.listVersion() {
		return "", best, false
	}
	var candidates []string
	for id, report := range m.reports {
		if now.Sub(report.receivedAt) > reportLifetime {
			delete(m.reports, id)
			continue
		}
		if !m.hasNewer(report) {
			continue
		}
		if report.Ticket > best.Ticket || (report.Ticket == best.Ticket && report.ListVersion > best.ListVersion) {
			best, candidates = report.Report, candidates[:0]
		}
		if report.Ticket == best.Ticket && report.ListVersion == best.ListVersion {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return "", best, false
	}
	slices.Sort(candidates)
	if local := m.inOwnDomain(candidates); len(local) > 0 && m.params.SelfManagedList {
		candidates = local
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool {
		return id == m.fetch.lastFailedPeer || m.fetch.inFlight[id]
	})
	if len(others) > 0 {
		candidates = others
	}
	return candidates[m.params.Rand.IntN(len(candidates))], best, true
}

// inOwnDomain returns the given peers that are in this VM's failure domain.
func (m *Machine) inOwnDomain(ids []string) []string {
	self, ok := m.list.Find(m.params.Self)
	if !ok {
		return nil
	}
	var local []string
	for _, id := range ids {
		if vm, ok := m.list.Find(id); ok && vm.FailureDomain == self.FailureDomain {
			local = append(local, id)
		}
	}
	return local
}

// fetchOps appends the fetches that are due.
func (m *Machine) fetchOps(ops []Op, now time.Time) []Op {
	if m.defects.ignorePeers {
		return ops
	}
	peer, best, ok := m.selectSource(now)
	f := &m.fetch
	if ok && (best.Ticket > f.wantedTicket || best.ListVersion > f.wantedList) {
		f.wantedTicket = max(best.Ticket, f.wantedTicket)
		f.wantedList = max(best.ListVersion, f.wantedList)
		f.nextFetch = now.Add(m.randomBetween(0, fetchSpread))
	}
	if ok && len(f.inFlight) < maxFetches && !f.inFlight[peer] && !now.Before(f.nextFetch) {
		f.nextFetch = now.Add(hedgeDelay)
		ops = m.fetchFrom(ops, now, peer, min(fetchTimeoutMin<<min(f.failures/maxFetches, 4), fetchTimeoutMax))
	}
	if !m.ready {
		ops = m.startupFetchOps(ops, now)
	}
	return ops
}

// startupFetchOps appends the fetches of a newly started VM: few at a time until it has
// a configuration, so that the content is sent to it only a few times, then more.
func (m *Machine) startupFetchOps(ops []Op, now time.Time) []Op {
	limit := maxStartupFetches
	if m.snapshot == nil {
		limit = maxFirstStartupFetches
	}
	query := func(id string, requery bool) {
		f := &m.fetch
		last, tried := f.lastTried[id]
		if len(f.inFlight) >= limit || f.inFlight[id] || (tried && now.Sub(last) < startupRetryDelay) {
			return
		}
		if f.answered[id] && !requery {
			return
		}
		ops = m.fetchFrom(ops, now, id, startupFetchTimeout)
		if last := len(ops) - 1; last >= 0 && ops[last].Peer == id {
			ops[last].startupQuery = true
		}
	}
	if m.list == nil || m.snapshot == nil {
		for _, address := range m.fetch.seeds {
			// A seed without a configuration may have obtained one since the last query.
			query(address, true)
		}
	}
	for _, id := range m.fetch.peerOrder {
		query(id, false)
	}
	return ops
}

// peerAddress returns the peer address of a VM ID or a seed; ok is false when neither
// is known.
func (m *Machine) peerAddress(peer string) (string, bool) {
	if vm, ok := m.list.Find(peer); ok {
		return vm.PeerAddress, true
	}
	return peer, slices.Contains(m.fetch.seeds, peer)
}

// fetchFrom appends a fetch from a peer. When the peer's address is unknown, it drops
// the peer's report instead.
func (m *Machine) fetchFrom(ops []Op, now time.Time, peer string, timeout time.Duration) []Op {
	address, ok := m.peerAddress(peer)
	if !ok {
		delete(m.reports, peer)
		return ops
	}
	m.fetch.inFlight[peer] = true
	return append(ops, Op{Kind: Fetch, Peer: peer, Address: address, KnownDigests: m.knownDigests(), Timeout: timeout, Sent: now})
}

// knownDigests returns the digests of the index, the VM list and the documents that
// this VM has, sorted.
func (m *Machine) knownDigests() []string {
	var digests []string
	if m.list != nil {
		digests = append(digests, m.listDigest)
	}
	if m.snapshot != nil {
		digests = append(digests, m.indexDigest)
		for _, e := range m.snapshot.Index.Documents {
			digests = append(digests, e.Digest)
		}
	}
	for digest := range m.collected {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	return digests
}

// NewFetchResponse returns the response of a VM with the given configuration and VM
// list to a Fetch: everything but the contents whose digests are in known, with at most
// limit bytes of documents, yet at least one missing document. Index and list are nil
// when the VM has none.
func NewFetchResponse(s *document.Snapshot, index, list []byte, known []string, limit int) FetchResponse {
	has := make(map[string]bool, len(known))
	for _, digest := range known {
		has[digest] = true
	}
	response := FetchResponse{Documents: document.Content{}}
	if len(list) > 0 && !has[document.Digest(list)] {
		response.List = list
	}
	if s == nil {
		return response
	}
	if !has[document.Digest(index)] {
		response.Index = index
	}
	size := 0
	for _, e := range s.Index.Documents {
		raw := s.Raw[e.Name]
		if has[e.Digest] {
			continue
		}
		if size > 0 && size+len(raw) > limit {
			break
		}
		size += len(raw)
		response.Documents[e.Name] = raw
	}
	return response
}

// FetchDone processes the result of a Fetch; the response is ignored when err is not nil.
func (m *Machine) FetchDone(now time.Time, op Op, response FetchResponse, err error) {
	f := &m.fetch
	delete(f.inFlight, op.Peer)
	f.lastTried[op.Peer] = now
	if err != nil {
		if op.startupQuery {
			return
		}
		f.failures++
		f.lastFailedPeer = op.Peer
		f.nextFetch = now.Add(m.backoff(fetchBackoffMin, fetchBackoffMax, f.failures))
		return
	}
	f.answered[op.Peer] = true
	if response.PlatformKnown {
		m.recordResponse(op.Sent.Add(-response.PlatformAge))
	}
	before := m.progress()
	if len(response.List) > 0 {
		m.considerList(response.List, op.Peer)
	}
	if len(response.Index) > 0 {
		m.considerIndex(now, response.Index, nil, op.Peer)
	}
	m.acceptDocuments(now, response.Documents)
	m.recordFetchedTicket(now, op, response)
	if op.startupQuery {
		return
	}
	if _, _, wanted := m.selectSource(now); wanted && m.progress() == before {
		f.failures++
		f.lastFailedPeer = op.Peer
		f.nextFetch = now.Add(m.backoff(fetchBackoffMin, fetchBackoffMax, f.failures))
		return
	}
	f.failures = 0
}

// progress is the state that a useful fetch response changes.
type progress struct {
	ticket, list, pending uint64
	documents             int
}

func (m *Machine) progress() progress {
	p := progress{ticket: m.snapshot.Ticket(), list: m.listVersion(), documents: len(m.collected)}
	if m.pending != nil {
		p.pending = m.pending.index.Ticket
	}
	return p
}

// acceptDocuments stores the documents that the pending ticket lacks, and applies it
// once it is complete.
func (m *Machine) acceptDocuments(now time.Time, docs document.Content) {
	if m.pending == nil {
		return
	}
	for _, e := range m.missingEntries() {
		if raw, ok := docs[e.Name]; ok && document.Digest(raw) == e.Digest {
			m.storeDocument(now, e, raw)
		}
	}
	m.applyIfComplete()
}

// recordFetchedTicket records the ticket in a fetch response like that of a heartbeat
// report, so that a newly started VM knows where to fetch the rest of a configuration
// that did not fit into one response.
func (m *Machine) recordFetchedTicket(now time.Time, op Op, response FetchResponse) {
	ix, err := document.ParseIndex(response.Index)
	if err != nil {
		return
	}
	r := Report{Ticket: ix.Ticket, Digest: DigestPrefix(document.IndexDigest(ix)), ListVersion: m.reports[op.Peer].ListVersion}
	if old, ok := m.reports[op.Peer]; !ok || r.Ticket > old.Ticket {
		m.recordReport(now, op.Peer, r)
	}
}

// maxStartupAge is the age of the applied configuration, counted from when it was last
// confirmed to be the newest one, up to which a new process may serve without querying
// its peers for a higher ticket, where the fleet manages its VM list itself.
const maxStartupAge = 3 * time.Second

// updateReady lets a newly started VM serve once it has applied the highest ticket that
// it knows and has queried enough peers. Where the fleet manages its VM list itself, a
// configuration confirmed within maxStartupAge replaces the queries.
func (m *Machine) updateReady(now time.Time) {
	if m.ready || m.snapshot == nil || m.list == nil {
		return
	}
	fresh := m.params.SelfManagedList && now.Sub(m.freshness.asOf) < maxStartupAge
	if !m.defects.serveTooEarly && (!(fresh || m.queriedEnoughPeers(now)) || !m.highestTicketApplied(now)) {
		return
	}
	m.ready = true
	m.emit(Effect{Kind: BecameReady})
}

// queriedEnoughPeers reports whether half of the peers in the cell have answered or,
// after StartupQueryWindow, each peer has answered or a fetch from it has ended.
func (m *Machine) queriedEnoughPeers(now time.Time) bool {
	answered, failed := 0, 0
	for _, id := range m.fetch.peerOrder {
		if m.fetch.answered[id] {
			answered++
		} else if _, ok := m.fetch.lastTried[id]; ok {
			failed++
		}
	}
	n := len(m.fetch.peerOrder)
	return 2*answered >= n || (now.Sub(m.start) >= StartupQueryWindow && answered+failed >= n)
}

// enoughSeeds and enoughPeers are the numbers of seeds and of peers whose answers suffice
// for PeersAsked. One is not enough, because the first to answer may have just started too.
// All are not needed: after a restart of all VMs none has a configuration, and waiting for
// more answers only delays the start.
const (
	enoughSeeds = 2
	enoughPeers = 3
)

// PeersAsked reports whether this VM has learned what its peers have in force as far as
// they can be reached: a configuration is applied, or enough peers and seeds have
// answered without one, or StartupQueryWindow has passed.
func (m *Machine) PeersAsked(now time.Time) bool {
	if m.snapshot != nil || now.Sub(m.start) >= StartupQueryWindow {
		return true
	}
	answered := 0
	for _, id := range m.fetch.peerOrder {
		if m.fetch.answered[id] {
			answered++
		}
	}
	peers := answered >= enoughPeers || m.queriedEnoughPeers(now)
	return m.list != nil && peers && m.queriedEnoughSeeds() && m.highestTicketApplied(now)
}

// queriedEnoughSeeds reports whether enoughSeeds have answered, or each seed has answered
// or a fetch from it has ended.
func (m *Machine) queriedEnoughSeeds() bool {
	answered, ended := 0, 0
	for _, seed := range m.fetch.seeds {
		if m.fetch.answered[seed] {
			answered++
		}
		if _, ok := m.fetch.lastTried[seed]; ok {
			ended++
		}
	}
	return answered >= enoughSeeds || ended == len(m.fetch.seeds)
}

// highestTicketApplied reports whether no higher ticket is being collected or reported
// by a peer than the one applied here.
func (m *Machine) highestTicketApplied(now time.Time) bool {
	if p := m.pending; p != nil && now.Sub(p.lastProgress) < pendingTimeout {
		return false
	}
	_, best, ok := m.selectSource(now)
	return !ok || best.Ticket <= m.snapshot.Ticket()
}
