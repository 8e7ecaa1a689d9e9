// Package mirror serves the configuration documents from a store that does not hold
// such documents: it follows the store's changes and builds the documents from its
// content.
package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/registry"
)

// ErrCompacted is returned by Watch when the store no longer has the changes after the
// given revision.
var ErrCompacted = errors.New("the store has compacted the changes after the requested revision")

// errAwaitingPeers is returned by a read that must not be used before this VM has asked
// its peers for their configuration.
var errAwaitingPeers = errors.New("the peers have not been asked for their configuration yet")

// StoreClient reads the store. Its calls return an error when the store did not answer
// or refused the request.
type StoreClient interface {
	// Read returns the full content of one epoch and a position at or before the one
	// that the content has.
	Read(ctx context.Context) (all []registry.Change, at registry.Position, err error)
	// Watch returns the changes after a revision, or none when none came within wait,
	// and the position that they lead to; the changes are of no use when its epoch is not
	// that of the revision. It returns ErrCompacted when the store no longer has these
	// changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []registry.Change, at registry.Position, err error)
}

// Fleet is what this VM knows of the fleet. The functions must not block. All are
// required.
type Fleet struct {
	// Known returns what this VM knows of the configuration of the fleet.
	Known func() registry.Known
	// PeersAsked reports whether this VM has asked its peers for the configuration that
	// they have, or has one.
	PeersAsked func() bool
	// Silence returns how long the store has answered no VM as far as this VM knows, and
	// whether it receives reports from another VM that would report such responses.
	Silence func() (silence time.Duration, peerReports bool)
}

const (
	indexKey = "index"
	// fullReadInterval is the interval of reads of the full content, as a safeguard
	// against a watch that misses changes.
	fullReadInterval = 8 * time.Second
	// peersPollInterval is the interval at which a read that waits for the peers checks
	// whether they have been asked.
	peersPollInterval = 20 * time.Millisecond
	// maxCatchUp is how long a read of a new epoch waits for the configuration of a peer
	// that is in that epoch already. It is longer than a few failed fetches.
	maxCatchUp = 2 * time.Second
)

// Mirror is a platform.Source backed by a StoreClient. It is safe for concurrent use.
type Mirror struct {
	store  StoreClient
	fleet  Fleet
	logger logr.Logger
	now    func() time.Time

	mu       sync.Mutex
	registry *registry.Registry
	failing  bool
	// behindSince is when a peer was first known to be in a later epoch than the applied
	// configuration; zero when none is.
	behindSince time.Time
	// answered is when the store last answered; read is when its full content was last
	// read.
	answered time.Time
	read     time.Time
	index    []byte // JSON of the index
	ticket   uint64 // of the index; 0 before the first one
	content  document.Content
}

// New returns a mirror. Domains lists the failure domains that exist even without
// targets.
func New(store StoreClient, domains []string, fleet Fleet, logger logr.Logger) *Mirror {
	return &Mirror{store: store, fleet: fleet, logger: logger, now: time.Now, registry: registry.New(domains)}
}

// Read returns the index with its documents. Every other key is missing.
func (m *Mirror) Read(ctx context.Context, key string) config.Value {
	if key != indexKey {
		return config.Value{Status: config.Missing}
	}
	err := m.refresh(ctx)
	if errors.Is(err, errAwaitingPeers) {
		return config.Value{Status: config.Failed}
	}
	if err != nil {
		return m.failed(err)
	}
	return m.value(0)
}

// Watch waits for an index whose ticket differs from after. Every key other than that of
// the index fails.
func (m *Mirror) Watch(ctx context.Context, key string, after uint64, wait time.Duration) config.Value {
	if key != indexKey {
		return config.Value{Status: config.Failed}
	}
	m.mu.Lock()
	position, due := m.registry.Position(), m.now().Sub(m.read) >= fullReadInterval
	if at, ok := m.registry.NextExpiry(); ok {
		wait = min(wait, max(time.Millisecond, at.Sub(m.now())))
	}
	m.mu.Unlock()
	if position.Revision == 0 || due {
		return m.Read(ctx, key)
	}
	changes, next, err := m.store.Watch(ctx, position.Revision, wait)
	if errors.Is(err, ErrCompacted) || (err == nil && next.Epoch != position.Epoch) {
		return m.Read(ctx, key)
	}
	if err != nil {
		return m.failed(err)
	}
	if err := m.apply(next, func(a registry.Answer) { m.registry.Apply(changes, a) }); err != nil {
		return m.failed(err)
	}
	return m.value(after)
}

// refresh reads the full content of the store.
func (m *Mirror) refresh(ctx context.Context) error {
	all, at, err := m.store.Read(ctx)
	if err != nil {
		return err
	}
	if at.Epoch > 0 {
		if err := m.awaitPeers(ctx); err != nil {
			return err
		}
	}
	return m.apply(at, func(a registry.Answer) {
		if !at.Before(m.registry.Position()) {
			m.reset(all, a)
		}
		m.read = a.Now
	})
}

// awaitPeers waits until this VM has the configuration of its peers: the store may have
// returned from an older copy, and the peers know what it has lost.
func (m *Mirror) awaitPeers(ctx context.Context) error {
	for !m.fleet.PeersAsked() || m.behindPeers() {
		select {
		case <-ctx.Done():
			return errAwaitingPeers
		case <-time.After(peersPollInterval):
		}
	}
	return nil
}

// behindPeers reports whether a peer is known to be in a later epoch than the
// configuration applied here, for at most maxCatchUp.
func (m *Mirror) behindPeers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, now := m.fleet.Known(), m.now()
	if registry.EpochOf(known.NewestTicket) <= registry.EpochOf(known.Applied.Ticket()) {
		m.behindSince = time.Time{}
		return false
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	return now.Sub(m.behindSince) < maxCatchUp
}

// reset replaces the content of the registry and logs a change of the store epoch. The
// caller holds mu.
func (m *Mirror) reset(all []registry.Change, a registry.Answer) {
	old := m.registry.Position()
	m.registry.Reset(all, a)
	if old.Revision != 0 && a.At.Epoch != old.Epoch {
		m.logger.Info("the store has a new epoch", "epoch", a.At.Epoch, "revision", a.At.Revision,
			"formerEpoch", old.Epoch, "formerRevision", old.Revision, "appliedTicket", a.Known.Applied.Ticket())
	}
}

// apply applies an answer of the store to the registry and rebuilds the documents. An
// answer of an epoch lower than one already known is an error.
func (m *Mirror) apply(at registry.Position, change func(registry.Answer)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := registry.Answer{At: at, Known: m.fleet.Known(), Now: m.now()}
	known := max(m.registry.Position().TicketEpoch(), registry.EpochOf(a.Known.NewestTicket))
	if at.TicketEpoch() < known {
		return trace.CompareFailed("the answer has store epoch %d, lower than epoch %d, which is known", at.Epoch, known)
	}
	if m.failing {
		a.Outage.Own = a.Now.Sub(m.answered)
		a.Outage.Fleet, a.Outage.PeerReports = m.fleet.Silence()
	}
	change(a)
	m.failing, m.answered = false, a.Now
	m.registry.Expire(a.Now)
	index, content, err := m.registry.Build(a.Known, a.Now)
	if err != nil || index == nil || index.Ticket == m.ticket {
		return err
	}
	raw, err := json.Marshal(index)
	if err != nil {
		return err
	}
	m.content = content
	m.index, m.ticket = raw, index.Ticket
	return nil
}

// value returns the index, or Unchanged when its ticket is knownTicket, or Missing before
// the first index.
func (m *Mirror) value(knownTicket uint64) config.Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.ticket {
	case 0:
		return config.Value{Status: config.Missing}
	case knownTicket:
		return config.Value{Status: config.Unchanged}
	}
	return config.Value{Status: config.Found, Raw: m.index, Revision: m.ticket, Documents: m.content}
}

// failed records a failed call and logs the first one in a row.
func (m *Mirror) failed(err error) config.Value {
	m.mu.Lock()
	first := !m.failing
	m.failing = true
	m.mu.Unlock()
	if first {
		m.logger.Info("the store does not answer", "error", fmt.Sprint(err))
	}
	return config.Value{Status: config.Failed}
}
