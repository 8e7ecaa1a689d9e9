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

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/registry"
)

// ErrCompacted is returned by Watch when the store no longer has the changes after the
// given revision.
var ErrCompacted = errors.New("the store has compacted the changes after the requested revision")

// StoreClient reads the store. Its calls return an error when the store did not answer
// or refused the request.
type StoreClient interface {
	// Read returns the full content and a revision at or before the one that the
	// content has.
	Read(ctx context.Context) (all []registry.Change, revision uint64, err error)
	// Watch returns the changes after a revision, or none when none came within wait,
	// and the revision that they lead to. It returns ErrCompacted when the store no
	// longer has these changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []registry.Change, revision uint64, err error)
}

const (
	indexKey = "index"
	// fullReadInterval is the interval of reads of the full content, as a safeguard
	// against a watch that misses changes.
	fullReadInterval = 8 * time.Second
)

// Mirror is a platform.Source backed by a StoreClient. It is safe for concurrent use.
type Mirror struct {
	store        StoreClient
	applied      func() *document.Index
	fleetSilence func() (silence time.Duration, peerReports bool)
	logger       logr.Logger

	mu       sync.Mutex
	registry *registry.Registry
	failing  bool
	// answered is when the store last answered; read is when its full content was last
	// read.
	answered time.Time
	read     time.Time
	index    []byte // JSON of the index
	ticket   uint64 // of the index; 0 before the first one
	content  document.Content
}

// New returns a mirror. Domains lists the failure domains that exist even without
// targets. Applied returns the index applied on this VM, whether from this mirror or
// from a peer; nil before the first one. FleetSilence returns how long the store has
// answered no VM as far as this VM knows, and whether it receives reports from another
// VM that would report such responses. Neither function may block.
func New(store StoreClient, domains []string, applied func() *document.Index, fleetSilence func() (silence time.Duration, peerReports bool), logger logr.Logger) *Mirror {
	return &Mirror{store: store, applied: applied, fleetSilence: fleetSilence, logger: logger, registry: registry.New(domains)}
}

// Read returns the index with its documents. Every other key is missing.
func (m *Mirror) Read(ctx context.Context, key string) config.Value {
	if key != indexKey {
		return config.Value{Status: config.Missing}
	}
	if err := m.refresh(ctx); err != nil {
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
	revision, due := m.registry.Revision(), time.Since(m.read) >= fullReadInterval
	if at, ok := m.registry.NextExpiry(); ok {
		wait = min(wait, max(time.Millisecond, time.Until(at)))
	}
	m.mu.Unlock()
	if revision == 0 || due {
		return m.Read(ctx, key)
	}
	changes, next, err := m.store.Watch(ctx, revision, wait)
	if errors.Is(err, ErrCompacted) {
		return m.Read(ctx, key)
	}
	if err != nil {
		return m.failed(err)
	}
	if err := m.apply(func(now time.Time, outage registry.Outage) { m.registry.Apply(changes, next, outage, now) }); err != nil {
		return m.failed(err)
	}
	return m.value(after)
}

// refresh reads the full content of the store.
func (m *Mirror) refresh(ctx context.Context) error {
	all, revision, err := m.store.Read(ctx)
	if err != nil {
		return err
	}
	return m.apply(func(now time.Time, outage registry.Outage) {
		if revision >= m.registry.Revision() {
			m.registry.Reset(all, revision, outage, now)
		}
		m.read = now
	})
}

// apply applies a change to the registry and rebuilds the documents.
func (m *Mirror) apply(change func(now time.Time, outage registry.Outage)) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	outage := registry.Outage{}
	if m.failing {
		outage.Own = now.Sub(m.answered)
		outage.Fleet, outage.PeerReports = m.fleetSilence()
	}
	change(now, outage)
	m.failing, m.answered = false, now
	m.registry.Expire(now)
	index, content, err := m.registry.Build(m.applied())
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
