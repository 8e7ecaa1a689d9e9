// Package config decides how a VM obtains its configuration: which VMs watch the
// platform, when to fetch from a peer, when to read the platform directly, what to
// apply and what to refuse, and when a newly started VM may serve.
//
// The package starts no goroutines and reads no clock. The caller passes the time in,
// runs the operations that Machine.Next returns and hands their results back.
package config

import (
	"math/rand/v2"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// Timing of reads, watches and reports.
const (
	// PlatformSilenceTimeout is the time without a known platform response after which
	// a standby VM reads the platform directly.
	PlatformSilenceTimeout = 1500 * time.Millisecond
	// StartupQueryWindow is the time after the start during which a newly started VM
	// waits for responses from half of its peers and treats all listed VMs as in
	// contact.
	StartupQueryWindow = 2 * time.Second
	// reportLifetime is how long the last report of a peer stays valid.
	reportLifetime = 3 * time.Second
	// startupReadSpread spreads the first VM list reads of VMs that start at the same
	// time: 2,800 reads in 3 s leave half of the platform's 2,000 reads/s to the
	// watches of readers.
	startupReadSpread = 3 * time.Second
	// directReadSpread spreads the direct reads of VMs that lose the platform at the
	// same time.
	directReadSpread = 4 * time.Second
	// indexPollInterval is the index read interval of a reader that is in contact with
	// less than half of its cell; 2,800 isolated VMs make 1,400 reads/s.
	indexPollInterval = 2 * time.Second
	// listPollInterval is the VM list read interval of such a reader.
	listPollInterval = 10 * time.Second
	// plainReadInterval is the interval of plain reads between watches. A plain read
	// finds a value whose revision decreased, which a watch would never return.
	plainReadInterval = 30 * time.Second
	// readTimeout bounds a read of the index or the VM list.
	readTimeout = time.Second
	// documentReadTimeout bounds a read of a document of up to 1 MB.
	documentReadTimeout = 2 * time.Second
	// watchTimeoutMargin is added to the wait of a watch to get its timeout.
	watchTimeoutMargin = 500 * time.Millisecond
	// listWatchWait is the wait of a watch on the VM list.
	listWatchWait = 10 * time.Second
	// indexWatchWaitMin and indexWatchWaitMax bound the wait of a watch on the index.
	// The upper bound plus one heartbeat interval equals PlatformSilenceTimeout; the
	// random spread keeps the three readers from getting their responses at the same
	// moment.
	indexWatchWaitMin = 600 * time.Millisecond
	indexWatchWaitMax = time.Second
	// confirmWatchWait is the wait of the watch that follows a changed value. The time
	// of the platform response is known more precisely from that watch than from the
	// changed value.
	confirmWatchWait = 200 * time.Millisecond
)

// Report is the configuration part of a heartbeat from a peer.
type Report struct {
	// Ticket is the ticket applied on the peer; 0 for none.
	Ticket uint64
	// Digest holds the first 32 bits of the configuration digest.
	Digest uint32
	// ListVersion is the version of the VM list applied on the peer; 0 for none.
	ListVersion uint64
	// PlatformKnown is false when the peer knows of no platform response.
	PlatformKnown bool
	// PlatformAge is the age of the newest platform response that the peer knows of,
	// received by itself or reported to it by another VM.
	PlatformAge time.Duration
	// ReadKnown is false when the peer itself has not read the platform recently.
	ReadKnown bool
	// ReadAge is the age of the last platform response to the peer itself that held
	// nothing newer than Ticket. Relayed ages are excluded: they would lose the network
	// delay at each hop and could circulate without growing.
	ReadAge time.Duration
}

// Contacts reports which VMs are in contact.
type Contacts interface {
	// InContact reports whether the VM answers heartbeats and is not leaving.
	InContact(id string) bool
}

// OpKind is the kind of an operation.
type OpKind uint8

// The kinds of operations.
const (
	// Read reads the platform value Key.
	Read OpKind = iota + 1
	// Watch watches the platform value Key.
	Watch
	// Fetch requests the configuration and the VM list from the peer at Address.
	Fetch
)

// Op is an operation that the caller runs.
type Op struct {
	// Kind selects which of the other fields are used.
	Kind OpKind
	// Key is the platform key of a Read or Watch.
	Key string
	// After is the revision that a Watch has to exceed: it returns a value with a
	// higher one.
	After uint64
	// Wait is how long the platform may hold a Watch open without a change.
	Wait time.Duration
	// Peer is the VM ID of a Fetch, or the address of a seed.
	Peer string
	// Address is the peer address of a Fetch, host:port.
	Address string
	// KnownDigests lists the digests of the documents, the index and the VM list that
	// the peer can leave out of its response.
	KnownDigests []string
	// Timeout bounds the operation.
	Timeout time.Duration
	// Sent is when the operation was issued.
	Sent time.Time

	// entry is the index entry of the document that a Read returns.
	entry document.IndexEntry
	// startupQuery marks a fetch of a newly started VM.
	startupQuery bool
}

// Status is the result of a Read or Watch.
type Status uint8

// The results of a Read or Watch.
const (
	// Found means that the platform returned a value.
	Found Status = iota + 1
	// Unchanged means that a Watch ended without a change.
	Unchanged
	// Missing means that the platform answered and does not have the value.
	Missing
	// Failed means that no usable response arrived.
	Failed
)

// Value is the result of a Read or Watch.
type Value struct {
	// Status selects which of the other fields are used.
	Status Status
	// Raw is the value.
	Raw []byte
	// Revision is the platform's revision of the value.
	Revision uint64
	// Documents holds the documents of an index where the source composes them itself;
	// nil where each document is a separate value of the platform.
	Documents document.Content
}

// FetchResponse is the result of a Fetch.
type FetchResponse struct {
	// Index and List are the peer's index and VM list; empty when it has none or the
	// caller knows them.
	Index, List []byte
	// Documents holds documents by name.
	Documents document.Content
	// PlatformKnown and PlatformAge have the meaning that they have in Report.
	PlatformKnown bool
	PlatformAge   time.Duration
}

// Params configures a Machine.
type Params struct {
	// Self is the ID of this VM. Required.
	Self string
	// Seeds lists the peer addresses to query before the VM list is known. Default:
	// none.
	Seeds []string
	// Rand is the source of jitter. Required.
	Rand *rand.Rand
	// SelfManagedList is true when the VM list is set by AdoptList and not read from
	// the platform or from peers.
	SelfManagedList bool
}

// EffectKind is the kind of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// Applied reports a newly applied configuration.
	Applied EffectKind = iota + 1
	// ListApplied reports a newly applied VM list.
	ListApplied
	// Refused reports a configuration or VM list that was rejected.
	Refused
	// PlatformLost reports that the platform stopped answering this VM.
	PlatformLost
	// PlatformBack reports that the platform answers this VM again.
	PlatformBack
	// BecameReady reports that a newly started VM may serve.
	BecameReady
	// Behind reports that the applied configuration has not been confirmed to be the
	// newest one for behindAfter.
	Behind
	// CaughtUp reports that the applied configuration is confirmed to be the newest again.
	CaughtUp
)

// Effect is a state change that the caller acts on or reports.
type Effect struct {
	// Kind selects which of the other fields are used.
	Kind EffectKind
	// Snapshot is the new configuration of an Applied effect.
	Snapshot *document.Snapshot
	// List is the new VM list of a ListApplied effect.
	List *member.List
	// FromPlatform is true when this VM read the snapshot of an Applied effect from the
	// platform itself.
	FromPlatform bool
	// Err is the reason of a Refused effect.
	Err error
	// Lag describes the state at a Behind or CaughtUp effect.
	Lag Lag
}

// defects are deliberate faults that tests inject to prove that a check detects them.
// All are off outside tests.
type defects struct {
	acceptLowerTicket bool
	acceptConflict    bool
	ignorePeers       bool
	forgetRefused     bool
	noSpread          bool
	serveTooEarly     bool
}

// peerReport is the last report of a peer.
type peerReport struct {
	Report
	receivedAt time.Time
}

// Machine makes the configuration decisions of one VM. It is not safe for concurrent
// use.
type Machine struct {
	params  Params
	start   time.Time
	defects defects
	// parse is parseList; tests with many VMs replace it to share its results.
	parse func(raw []byte, self string) (parsedList, error)

	// snapshot is the applied configuration and digest the prefix of its digest.
	snapshot *document.Snapshot
	digest   uint32
	list     *member.List
	listRaw  []byte
	indexRaw []byte
	// listDigest and indexDigest are the digests of listRaw and indexRaw.
	listDigest  string
	indexDigest string
	// cell holds the VMs of this VM's cell; ranked holds the IDs of the live ones in the
	// order in which they become readers.
	cell   *member.List
	ranked []string

	contacts Contacts
	reports  map[string]peerReport
	// highestTicket and highestListVersion are the highest values that any peer
	// reported.
	highestTicket      uint64
	highestListVersion uint64

	role Role
	// readerPosition is the rank of this VM among the readers, starting at 0; Readers for
	// standby VMs and backup readers.
	readerPosition int

	// indexPoll and listPoll are the polling states of the index and of the VM list.
	indexPoll valuePoll
	listPoll  valuePoll

	// lastResponse is when the platform last answered any VM as far as known here,
	// lastOwnResponse when it last answered this VM.
	lastResponse    time.Time
	lastOwnResponse time.Time
	platformLost    bool

	// ownFreshness and freshness hold the time as of which the applied configuration is
	// confirmed to have been the newest one: by this VM's own platform reads, and by
	// those of all VMs.
	ownFreshness freshness
	freshness    freshness
	// settledTicket is the highest ticket that was applied or refused.
	settledTicket uint64
	// contestedTicket is the highest ticket that is in use with a content that this VM
	// does not apply although its ticket is high enough.
	contestedTicket uint64
	behind          bool

	pending *pending
	// collected holds the documents collected for the pending ticket, by digest.
	collected       map[string][]byte
	documentLimiter readLimiter
	// readsInFlight holds the keys of the document reads in flight.
	readsInFlight map[string]bool
	refused       refusals

	fetch fetchState
	ready bool

	effects []Effect
}

// New returns the machine of a VM that starts at now.
func New(p Params, now time.Time) *Machine {
	m := &Machine{
		params:        p,
		start:         now,
		parse:         parseList,
		reports:       map[string]peerReport{},
		collected:     map[string][]byte{},
		readsInFlight: map[string]bool{},
		refused:       newRefusals(),
		fetch:         newFetchState(p),
		role:          Newcomer,
	}
	m.listPoll.nextOp = now.Add(m.randomBetween(0, startupReadSpread))
	return m
}

// randomBetween returns a random duration in [low, high), or low when defects.noSpread
// is set.
func (m *Machine) randomBetween(low, high time.Duration) time.Duration {
	if m.defects.noSpread {
		return low
	}
	return low + time.Duration(m.params.Rand.Int64N(int64(high-low)))
}

// ReceiveReport processes the configuration report in a heartbeat from a peer.
func (m *Machine) ReceiveReport(now time.Time, peer string, r Report) {
	m.recordReport(now, peer, r)
	m.fetch.answered[peer] = true
	if r.PlatformKnown {
		m.recordResponse(now.Add(-r.PlatformAge))
	}
	if r.ReadKnown && m.canConfirm(r) {
		m.freshness.record(platformRead{ticket: r.Ticket, at: now.Add(-r.ReadAge)}, m.settledTicket)
	}
	if r.Ticket != 0 && r.Ticket == m.snapshot.Ticket() && r.Digest != m.digest {
		m.reportConflict(r.Ticket, r.Digest, "peer "+peer)
	}
}

// recordReport stores the report of a peer.
func (m *Machine) recordReport(now time.Time, peer string, r Report) {
	m.reports[peer] = peerReport{Report: r, receivedAt: now}
	m.highestTicket = max(m.highestTicket, r.Ticket)
	m.highestListVersion = max(m.highestListVersion, r.ListVersion)
}

// recordResponse records a platform response to any VM.
func (m *Machine) recordResponse(at time.Time) {
	if at.After(m.lastResponse) {
		m.lastResponse = at
	}
}

// Next returns the operations to start now. The caller must call it after each input
// and at least every 50 ms.
func (m *Machine) Next(now time.Time, c Contacts) []Op {
	m.contacts = c
	m.updateRole(now)
	var ops []Op
	ops = m.appendValueOp(ops, now, &m.indexPoll, indexKey)
	if !m.params.SelfManagedList {
		ops = m.appendValueOp(ops, now, &m.listPoll, listKey)
	}
	ops = m.documentOps(ops, now)
	ops = m.fetchOps(ops, now)
	m.updateReady(now)
	m.updateLag(now)
	return ops
}

// TakeEffects returns and clears the effects since the last call, oldest first.
func (m *Machine) TakeEffects() []Effect {
	taken := m.effects
	m.effects = nil
	return taken
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// Snapshot returns the applied configuration; nil before the first one.
func (m *Machine) Snapshot() *document.Snapshot { return m.snapshot }

// List returns the applied VM list; nil before the first one.
func (m *Machine) List() *member.List { return m.list }

// RawIndexAndList returns the applied index and VM list as they were published; nil
// before the first ones.
func (m *Machine) RawIndexAndList() (index, list []byte) { return m.indexRaw, m.listRaw }

// NewestTicket returns the highest ticket that is applied here or reported by a peer; 0
// for none.
func (m *Machine) NewestTicket() uint64 { return max(m.highestTicket, m.snapshot.Ticket()) }

// HearsPeers reports whether this VM has no peers or has recently received the report of
// one.
func (m *Machine) HearsPeers(now time.Time) bool {
	for _, r := range m.reports {
		if now.Sub(r.receivedAt) < PlatformSilenceTimeout {
			return true
		}
	}
	return m.list != nil && m.list.Len() <= 1
}

// ContestedTicket returns the highest ticket under which a peer or the platform has a
// content that this VM does not apply, because it would revert the one in force or
// because another content is applied here under the same ticket; 0 for none. Only a
// higher ticket makes the VMs agree again.
func (m *Machine) ContestedTicket() uint64 { return m.contestedTicket }

// Role returns how the VM currently reads the platform.
func (m *Machine) Role() Role { return m.role }

// Ready reports whether the VM may serve. Once true, it stays true.
func (m *Machine) Ready() bool { return m.ready }

// LastOwnResponse returns the latest time at which the platform is certain to have
// answered this VM; zero before the first response.
func (m *Machine) LastOwnResponse() time.Time { return m.lastOwnResponse }

// LastResponse returns the time of the newest known platform response to this VM or to
// a peer; zero before the first one.
func (m *Machine) LastResponse() time.Time { return m.lastResponse }
