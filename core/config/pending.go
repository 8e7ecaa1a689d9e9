package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// Limits and delays of document reads.
const (
	// readerPositionDelay is the additional time that each further reader of a cell
	// waits before it reads documents, so that it can fetch them from an earlier reader
	// instead.
	readerPositionDelay = 300 * time.Millisecond
	// maxDocumentReads bounds the document reads in flight.
	maxDocumentReads = 8
	// maxDigestMismatches is the number of contents with a wrong digest after which a
	// ticket is refused. Fewer can be caused by a truncated response.
	maxDigestMismatches = 3
	// documentBackoffMin and documentBackoffMax bound the backoff for documents that
	// the platform does not have yet or does not return.
	documentBackoffMin = 250 * time.Millisecond
	documentBackoffMax = 4 * time.Second
	// pendingTimeout is the time without progress after which an incomplete ticket no
	// longer keeps a newly started VM from serving or a lower ticket from being loaded.
	pendingTimeout = 5 * time.Second
	// maxConfigBytes bounds the total size of the documents of a configuration. The
	// target fleet size needs 33 MB of the 64 MB that the control plane may use.
	maxConfigBytes = 48 << 20
)

// pending is a ticket whose documents are being collected.
type pending struct {
	index  *document.Index
	raw    []byte
	digest uint32
	// lastProgress is when the last missing document arrived; readAt is when to read
	// documents from the platform.
	lastProgress time.Time
	readAt       time.Time
	// fromPlatform is true when this VM read the index itself.
	fromPlatform     bool
	readFailures     int
	digestMismatches int
}

// DigestPrefix returns the first 32 bits of a hexadecimal digest, which heartbeats
// carry; 0 for a malformed digest.
func DigestPrefix(digest string) uint32 {
	if len(digest) < 8 {
		return 0
	}
	raw, err := hex.DecodeString(digest[:8])
	if err != nil {
		return 0
	}
	return uint32(raw[0])<<24 | uint32(raw[1])<<16 | uint32(raw[2])<<8 | uint32(raw[3])
}

// reportRefusal reports a configuration or VM list that was rejected.
func (m *Machine) reportRefusal(err error) {
	m.emit(Effect{Kind: Refused, Err: err})
}

// reportConflict reports, once for each content, that the applied ticket also exists
// with another content.
func (m *Machine) reportConflict(ticket uint64, digest uint32, from string) {
	m.contestedTicket = max(m.contestedTicket, ticket)
	if m.refused.add(ticket, digest) {
		m.reportRefusal(&document.ValidationError{
			Ticket: ticket, Document: indexKey, Field: "digest",
			Reason: fmt.Sprintf("%s has digest %08x for this ticket, but it is applied here with digest %08x", from, digest, m.digest),
		})
	}
}

// refuseOutdated rejects an index with a higher ticket that would revert what is in
// force here, and reports whether it does: its configuration version is lower, or a
// peer built it without the knowledge that is in force here. Its ticket does not count
// as settled: the content that comes with it is still expected under a higher ticket.
func (m *Machine) refuseOutdated(ix *document.Index, digest uint32, peer string) bool {
	e := &document.ValidationError{Ticket: ix.Ticket, Document: indexKey}
	switch {
	case ix.ConfigVersion < m.snapshot.ConfigVersion():
		e.Field = "configVersion"
		e.Reason = fmt.Sprintf("%s has version %d, lower than version %d, which is in force", describeSource(peer), ix.ConfigVersion, m.snapshot.ConfigVersion())
	case ix.Unverified && peer != "" && m.snapshot != nil && !m.snapshot.Unverified():
		e.Field = "unverified"
		e.Reason = describeSource(peer) + " built it without knowing the configuration in force"
	default:
		return false
	}
	m.contestedTicket = max(m.contestedTicket, ix.Ticket)
	m.refused.add(ix.Ticket, digest)
	m.reportRefusal(e)
	return true
}

// considerIndex processes an index read from the given peer, or from the platform when
// peer is empty. Docs are its documents where they came with it, else nil.
func (m *Machine) considerIndex(now time.Time, raw []byte, docs document.Content, peer string) {
	ix, err := document.ParseIndex(raw)
	if err != nil {
		if m.refused.add(0, DigestPrefix(document.Digest(raw))) {
			m.reportRefusal(err)
		}
		return
	}
	digest := DigestPrefix(document.IndexDigest(ix))
	switch {
	case ix.Ticket == 0 || m.refused.has(ix.Ticket, digest):
		return
	case ix.Ticket == m.snapshot.Ticket() && digest != m.digest && !m.defects.acceptConflict:
		m.reportConflict(ix.Ticket, digest, describeSource(peer))
		return
	case ix.Ticket < m.snapshot.Ticket() && !m.defects.acceptLowerTicket:
		return
	case ix.Ticket == m.snapshot.Ticket() && digest == m.digest:
		return
	case m.refuseOutdated(ix, digest, peer):
		return
	}
	if p := m.pending; docs == nil && p != nil && ix.Ticket <= p.index.Ticket && now.Sub(p.lastProgress) < pendingTimeout {
		if digest == p.digest && peer == "" && !p.fromPlatform {
			p.fromPlatform, p.readAt = true, now.Add(m.documentReadDelay(now))
		}
		return
	}
	m.pending = &pending{
		index: ix, raw: raw, digest: digest, lastProgress: now,
		fromPlatform: peer == "", readAt: m.documentReadTime(now),
	}
	m.dropUnusedDocuments()
	m.acceptDocuments(now, docs)
}

// documentReadTime returns when to start reading the documents of a new index. An index
// that replaces one whose documents are incomplete keeps the earlier start time:
// otherwise no documents would ever be read while changes come in quick succession.
func (m *Machine) documentReadTime(now time.Time) time.Time {
	at := now.Add(m.documentReadDelay(now))
	if p := m.pending; p != nil && p.fromPlatform && p.readAt.Before(at) {
		return p.readAt
	}
	return at
}

// describeSource names a peer, or the platform when peer is empty, in messages.
func describeSource(peer string) string {
	if peer == "" {
		return "the platform"
	}
	return "peer " + peer
}

// dropUnusedDocuments drops the collected documents that the pending ticket does not
// name.
func (m *Machine) dropUnusedDocuments() {
	used := make(map[string]bool, len(m.pending.index.Documents))
	for _, e := range m.pending.index.Documents {
		used[e.Digest] = true
	}
	for digest := range m.collected {
		if !used[digest] {
			delete(m.collected, digest)
		}
	}
}

// documentReadDelay returns how long this VM leaves the document reads to earlier
// readers. It does not wait for readers that report that the platform has not answered
// them recently.
func (m *Machine) documentReadDelay(now time.Time) time.Duration {
	if m.role == Standby {
		return m.randomBetween(0, readerPositionDelay)
	}
	earlier := 0
	for _, id := range m.ranked {
		if id == m.params.Self || earlier >= m.readerPosition {
			break
		}
		report, ok := m.reports[id]
		if !ok || (report.ReadKnown && report.ReadAge+now.Sub(report.receivedAt) < PlatformSilenceTimeout) {
			earlier++
		}
	}
	return time.Duration(earlier) * readerPositionDelay
}

// contentOf returns the content of e when this VM has it.
func (m *Machine) contentOf(e document.IndexEntry) ([]byte, bool) {
	if raw, ok := m.collected[e.Digest]; ok {
		return raw, true
	}
	if m.snapshot == nil {
		return nil, false
	}
	raw, ok := m.snapshot.Raw[e.Name]
	if !ok || m.snapshot.DigestOf(e.Name) != e.Digest {
		return nil, false
	}
	return raw, true
}

// missingEntries returns the entries of the pending ticket whose content this VM lacks.
func (m *Machine) missingEntries() []document.IndexEntry {
	var out []document.IndexEntry
	for _, e := range m.pending.index.Documents {
		if _, ok := m.contentOf(e); !ok {
			out = append(out, e)
		}
	}
	return out
}

// documentOps appends the document reads that are due.
func (m *Machine) documentOps(ops []Op, now time.Time) []Op {
	p := m.pending
	if p == nil || !p.fromPlatform || m.list == nil || now.Before(p.readAt) {
		return ops
	}
	for _, e := range m.missingEntries() {
		if len(m.readsInFlight) >= maxDocumentReads {
			break
		}
		if m.readsInFlight[e.Key()] {
			continue
		}
		if !m.documentLimiter.take(now, m.start, m.list.Len()) {
			break
		}
		m.readsInFlight[e.Key()] = true
		ops = append(ops, Op{Kind: Read, Key: e.Key(), Timeout: documentReadTimeout, Sent: now, entry: e})
	}
	return ops
}

// documentDone processes the result of a document read.
func (m *Machine) documentDone(now time.Time, op Op, v Value) {
	delete(m.readsInFlight, op.Key)
	p := m.pending
	if v.Status == Found && document.Digest(v.Raw) == op.entry.Digest {
		m.storeDocument(now, op.entry, v.Raw)
		m.applyIfComplete()
		return
	}
	if p == nil {
		return
	}
	p.readFailures++
	p.readAt = now.Add(m.backoff(documentBackoffMin, documentBackoffMax, p.readFailures))
	if v.Status != Found {
		return
	}
	p.digestMismatches++
	if p.digestMismatches >= maxDigestMismatches {
		m.refusePending(&document.ValidationError{
			Ticket: p.index.Ticket, Document: op.entry.Name, Field: "digest",
			Reason: "the document content does not match its digest in the index",
		})
	}
}

// storeDocument stores a document of the pending ticket whose digest was verified.
func (m *Machine) storeDocument(now time.Time, e document.IndexEntry, raw []byte) {
	if m.pending != nil {
		m.collected[e.Digest] = raw
		m.pending.lastProgress = now
	}
}

// refusePending rejects the pending ticket and drops its documents.
func (m *Machine) refusePending(err error) {
	m.reportRefusal(err)
	m.settleTicket(m.pending.index.Ticket)
	if !m.defects.forgetRefused {
		m.refused.add(m.pending.index.Ticket, m.pending.digest)
	}
	m.pending = nil
	m.collected = map[string][]byte{}
}

// applyIfComplete applies the pending ticket once all of its documents are available.
func (m *Machine) applyIfComplete() {
	p := m.pending
	if p == nil || len(m.missingEntries()) > 0 {
		return
	}
	content := make(document.Content, len(p.index.Documents))
	total := 0
	for _, e := range p.index.Documents {
		content[e.Name], _ = m.contentOf(e)
		total += len(content[e.Name])
	}
	if total > maxConfigBytes {
		m.refusePending(&document.ValidationError{
			Ticket: p.index.Ticket, Document: indexKey,
			Reason: fmt.Sprintf("the documents have %d bytes in total, at most %d are allowed", total, maxConfigBytes),
		})
		return
	}
	s, err := document.BuildFrom(m.snapshot, p.index, content)
	if err != nil {
		m.refusePending(err)
		return
	}
	m.snapshot, m.digest, m.indexRaw = s, p.digest, p.raw
	m.indexDigest = document.Digest(p.raw)
	m.settleTicket(s.Ticket())
	m.pending = nil
	m.collected = map[string][]byte{}
	m.emit(Effect{Kind: Applied, Snapshot: s, FromPlatform: p.fromPlatform})
}

// considerList processes a VM list read from the given peer, or from the platform when
// peer is empty.
func (m *Machine) considerList(raw []byte, peer string) {
	if m.list != nil && document.Digest(raw) == m.listDigest {
		return
	}
	parsed, err := m.parse(raw, m.params.Self)
	if err != nil {
		if m.refused.add(0, DigestPrefix(document.Digest(raw))) {
			m.reportRefusal(&document.ValidationError{Document: listKey, Reason: err.Error() + ", read from " + describeSource(peer)})
		}
		return
	}
	if m.list != nil && parsed.list.Version <= m.list.Version {
		m.reportListConflict(parsed.list, raw, peer)
		return
	}
	m.listRaw, m.listDigest = raw, document.Digest(raw)
	m.applyList(parsed)
}

// AdoptList applies a VM list that the fleet manages itself. The VMs ranked first for the
// first seat read the platform, because all other VMs receive their heartbeats often. A
// seat is a place in a cell that holds part of the cell's shards.
func (m *Machine) AdoptList(l *member.List) {
	cell := member.CellMembers(l, m.params.Self)
	m.applyList(parsedList{list: l, cell: cell, ranked: liveMembers(cell, member.RankSeats(cell, 1)[0])})
}

func (m *Machine) applyList(parsed parsedList) {
	m.list, m.cell, m.ranked = parsed.list, parsed.cell, parsed.ranked
	m.fetch.shufflePeers(m)
	m.emit(Effect{Kind: ListApplied, List: m.list})
}

// parsedList is a VM list with the cell and the ranked live VMs that one VM derives
// from it.
type parsedList struct {
	list, cell *member.List
	ranked     []string
}

// parseList parses and validates a VM list for the VM self.
func parseList(raw []byte, self string) (parsedList, error) {
	var l member.List
	if err := json.Unmarshal(raw, &l); err != nil {
		return parsedList{}, err
	}
	if err := l.Normalise(); err != nil {
		return parsedList{}, err
	}
	if l.Len() == 0 {
		return parsedList{}, fmt.Errorf("the VM list has no members")
	}
	cell := member.CellMembers(&l, self)
	return parsedList{list: &l, cell: cell, ranked: liveMembers(cell, member.Rank(cell, readerKey))}, nil
}

// reportListConflict reports, once for each content, that the applied list version also
// exists with another content.
func (m *Machine) reportListConflict(l *member.List, raw []byte, peer string) {
	if l.Version < m.list.Version || document.Digest(raw) == m.listDigest {
		return
	}
	if m.refused.add(0, DigestPrefix(document.Digest(raw))) {
		m.reportRefusal(&document.ValidationError{
			Document: listKey, Field: "version",
			Reason: fmt.Sprintf("the list with version %d from %s differs from the applied list of the same version", l.Version, describeSource(peer)),
		})
	}
}
