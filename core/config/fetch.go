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
	hedgeAfter = 300 * time.Millisecond
	maxFetches = 3
	// fetchBackoffMin and fetchBackoffMax bound the delay after a failed fetch.
	fetchBackoffMin = 50 * time.Millisecond
	fetchBackoffMax = 500 * time.Millisecond
	// maxFirstStartupFetches and maxStartupFetches bound the fetches in flight of a
	// newly started VM before and after it has a configuration.
	maxFirstAsks = 2
	maxAsks      = 8
	// startupFetchTimeout bounds a fetch of a newly started VM.
	askTimeout = time.Second
	// startupRetryDelay is the delay before a newly started VM queries the same peer
	// again.
	askAgain = time.Second
)

// fetchState is the state of the fetches from peers.
type fetches struct {
	// seeds holds the peer addresses from the settings.
	seeds []string
	// peerOrder holds the peers of the cell in random order.
	order []string
	// answered holds the peers that a newly started VM has received a report or a
	// response from; lastTried holds when the last fetch from a peer ended.
	answered map[string]bool
	tried    map[string]time.Time
	inFlight map[string]bool
	// wantedTicket and wantedList are the highest ticket and list version that a fetch
	// delay was drawn for.
	wantedTicket uint64
	wantedList   uint64
	next         time.Time
	failures     int
	lastFailed   string
}

func newFetches(p Params) fetches {
	return fetches{
		seeds:    p.Seeds,
		answered: map[string]bool{},
		tried:    map[string]time.Time{},
		inFlight: map[string]bool{},
	}
}

// shufflePeers draws a new random order of the peers in the cell.
func (f *fetches) listChanged(m *Machine) {
	f.order = f.order[:0]
	for _, vm := range m.cell.VMs {
		if vm.ID != m.params.Self {
			f.order = append(f.order, vm.ID)
		}
	}
	m.params.Rand.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
}

// hasNewer reports whether a peer has a ticket or a VM list that is newer than the one
// applied here.
func (m *Machine) better(report heard) bool {
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
func (m *Machine) source(now time.Time) (peer string, best Report, ok bool) {
	if m.topTicket <= m.snapshot.Ticket() && m.topList <= m.listVersion() {
		return "", best, false
	}
	var candidates []string
	for id, h := range m.reports {
		if now.Sub(h.at) > reportLife {
			delete(m.reports, id)
			continue
		}
		if !m.better(h) {
			continue
		}
		if h.Ticket > best.Ticket || (h.Ticket == best.Ticket && h.ListVersion > best.ListVersion) {
			best, candidates = h.Report, candidates[:0]
		}
		if h.Ticket == best.Ticket && h.ListVersion == best.ListVersion {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return "", best, false
	}
	slices.Sort(candidates)
	if local := m.inOwnDomain(candidates); len(local) > 0 && m.params.OwnList {
		candidates = local
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool {
		return id == m.fetch.lastFailed || m.fetch.inFlight[id]
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
	peer, best, ok := m.source(now)
	f := &m.fetch
	if ok && (best.Ticket > f.wantedTicket || best.ListVersion > f.wantedList) {
		f.wantedTicket = max(best.Ticket, f.wantedTicket)
		f.wantedList = max(best.ListVersion, f.wantedList)
		f.next = now.Add(m.between(0, fetchSpread))
	}
	if ok && len(f.inFlight) < maxFetches && !f.inFlight[peer] && !now.Before(f.next) {
		f.next = now.Add(hedgeAfter)
		ops = m.fetchFrom(ops, now, peer, min(fetchTimeoutMin<<min(f.failures/maxFetches, 4), fetchTimeoutMax))
	}
	if !m.ready {
		ops = m.askOps(ops, now)
	}
	return ops
}

// startupFetchOps appends the fetches of a newly started VM: few at a time until it has
// a configuration, so that the content is sent to it only a few times, then more.
func (m *Machine) askOps(ops []Op, now time.Time) []Op {
	limit := maxAsks
	if m.snapshot == nil {
		limit = maxFirstAsks
	}
	query := func(id string, again bool) {
		f := &m.fetch
		last, tried := f.tried[id]
		if len(f.inFlight) >= limit || f.inFlight[id] || (tried && now.Sub(last) < askAgain) {
			return
		}
		if f.answered[id] && !again {
			return
		}
		ops = m.fetchFrom(ops, now, id, askTimeout)
		if last := len(ops) - 1; last >= 0 && ops[last].Peer == id {
			ops[last].ask = true
		}
	}
	if m.list == nil || m.snapshot == nil {
		for _, address := range m.fetch.seeds {
			// A seed without a configuration may have obtained one since the last query.
			query(address, true)
		}
	}
	for _, id := range m.fetch.order {
		query(id, false)
	}
	return ops
}

// peerAddress returns the peer address of a VM ID or a seed; ok is false when neither
// is known.
func (m *Machine) address(peer string) (string, bool) {
	if vm, ok := m.list.Find(peer); ok {
		return vm.PeerAddress, true
	}
	return peer, slices.Contains(m.fetch.seeds, peer)
}

func (m *Machine) fetchFrom(ops []Op, now time.Time, peer string, timeout time.Duration) []Op {
	address, ok := m.address(peer)
	if !ok {
		delete(m.reports, peer)
		return ops
	}
	m.fetch.inFlight[peer] = true
	return append(ops, Op{Kind: Fetch, Peer: peer, Address: address, Known: m.known(), Timeout: timeout, Sent: now})
}

// knownDigests returns the digests of the index, the VM list and the documents that
// this VM has, sorted.
func (m *Machine) known() []string {
	var digests []string
	if m.list != nil {
		digests = append(digests, m.listSum)
	}
	if m.snapshot != nil {
		digests = append(digests, m.indexSum)
		for _, e := range m.snapshot.Index.Documents {
			digests = append(digests, e.Digest)
		}
	}
	for digest := range m.docs {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	return digests
}

// NewFetchResponse returns the response of a VM with the given configuration and VM
// list to a Fetch: everything but the contents whose digests are in known, with at most
// limit bytes of documents, yet at least one missing document. Index and list are nil
// when the VM has none.
func Serve(s *document.Snapshot, index, list []byte, known []string, limit int) Answer {
	has := make(map[string]bool, len(known))
	for _, digest := range known {
		has[digest] = true
	}
	a := Answer{Documents: document.Content{}}
	if len(list) > 0 && !has[document.Digest(list)] {
		a.List = list
	}
	if s == nil {
		return a
	}
	if !has[document.Digest(index)] {
		a.Index = index
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
		a.Documents[e.Name] = raw
	}
	return a
}

// FetchDone processes the result of a Fetch; a is ignored when err is not nil.
func (m *Machine) FetchDone(now time.Time, op Op, a Answer, err error) {
	f := &m.fetch
	delete(f.inFlight, op.Peer)
	f.tried[op.Peer] = now
	if err != nil {
		if op.ask {
			return
		}
		f.failures++
		f.lastFailed = op.Peer
		f.next = now.Add(m.backoff(fetchBackoffMin, fetchBackoffMax, f.failures))
		return
	}
	f.answered[op.Peer] = true
	if a.PlatformKnown {
		m.noteResponse(op.Sent.Add(-a.PlatformAge))
	}
	before := m.progress()
	if len(a.List) > 0 {
		m.offerList(a.List, op.Peer)
	}
	if len(a.Index) > 0 {
		m.offerIndex(now, a.Index, nil, op.Peer)
	}
	m.takeDocuments(now, a.Documents)
	m.noteAnswer(now, op, a)
	if op.ask {
		return
	}
	if _, _, wanted := m.source(now); wanted && m.progress() == before {
		f.failures++
		f.lastFailed = op.Peer
		f.next = now.Add(m.backoff(fetchBackoffMin, fetchBackoffMax, f.failures))
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
	p := progress{ticket: m.snapshot.Ticket(), list: m.listVersion(), documents: len(m.docs)}
	if m.pending != nil {
		p.pending = m.pending.index.Ticket
	}
	return p
}

// acceptDocuments stores the documents that the pending ticket lacks, and applies it
// once it is complete.
func (m *Machine) takeDocuments(now time.Time, docs document.Content) {
	if m.pending == nil {
		return
	}
	for _, e := range m.missing() {
		if raw, ok := docs[e.Name]; ok && document.Digest(raw) == e.Digest {
			m.keep(now, e, raw)
		}
	}
	m.build()
}

// recordResponseReport treats a fetch response as a report, so that a newly started VM
// knows where to fetch the rest of a configuration that did not fit into one response.
func (m *Machine) noteAnswer(now time.Time, op Op, a Answer) {
	ix, err := document.ParseIndex(a.Index)
	if err != nil {
		return
	}
	r := Report{Ticket: ix.Ticket, Digest: DigestPrefix(document.IndexDigest(ix)), ListVersion: m.reports[op.Peer].ListVersion}
	if old, ok := m.reports[op.Peer]; !ok || r.Ticket > old.Ticket {
		m.note(now, op.Peer, r)
	}
}

// maxStartupAge is the age of the applied configuration up to which a new process may
// serve without querying its peers for a higher ticket, where the fleet manages its VM
// list itself.
const freshResponse = 3 * time.Second

// updateReady lets a newly started VM serve once it has queried enough peers and has
// applied the highest ticket that it knows.
func (m *Machine) updateReady(now time.Time) {
	if m.ready || m.snapshot == nil || m.list == nil {
		return
	}
	fresh := m.params.OwnList && now.Sub(m.current.at) < freshResponse
	if !m.defects.serveEarly && (!(fresh || m.askedEnough(now)) || !m.highestApplied(now)) {
		return
	}
	m.ready = true
	m.effect(Effect{Kind: BecameReady})
}

// queriedEnoughPeers reports whether half of the peers in the cell have answered or,
// after StartupQueryWindow, each peer has answered or a fetch from it has ended.
func (m *Machine) askedEnough(now time.Time) bool {
	answered, failed := 0, 0
	for _, id := range m.fetch.order {
		if m.fetch.answered[id] {
			answered++
		} else if _, ok := m.fetch.tried[id]; ok {
			failed++
		}
	}
	n := len(m.fetch.order)
	return 2*answered >= n || (now.Sub(m.start) >= AskFor && answered+failed >= n)
}

func (m *Machine) highestApplied(now time.Time) bool {
	if p := m.pending; p != nil && now.Sub(p.progress) < pendingLife {
		return false
	}
	_, best, ok := m.source(now)
	return !ok || best.Ticket <= m.snapshot.Ticket()
}
