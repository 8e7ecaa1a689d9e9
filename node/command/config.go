// Package command is the caller path: it admits requests, forwards each to a
// target of its route's service, and answers truthfully.
//
// Each attempt at a target writes its request to at most one connection. The
// contact rule, the key and the permit are checked again when its first byte
// is about to be written (see gate).
package command

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/idem"
	"github.com/galenasail/galenasail/core/route"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// Dial opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Metrics counts what the caller path does. Implementations are safe for
// concurrent use and do not block.
type Metrics interface {
	// Failed counts an error answer. Workspace is empty when it is not known.
	Failed(k fault.Kind, workspace string)
	// Retried counts a further attempt of a request.
	Retried(service string)
	// Added observes the part of a request's time, until its answer began, that
	// neither a target nor a slow caller took.
	Added(d time.Duration)
	// Hedged is called for a second attempt while the first one hangs.
	Hedged(service string)
}

// Config holds what a Handler needs. Fields without a default are required.
type Config struct {
	// Identity is this VM; its instance is the prefix of idempotency keys.
	Identity node.Identity
	// Configs gives the configuration in force.
	Configs node.Configs
	// Contact is the contact rule.
	Contact node.Contact
	// Limiter admits requests within the rate of a workspace.
	Limiter node.Limiter
	// Picker gives out permits.
	Picker node.Picker
	// Marks spreads poison marks. Default: marks stay on this VM.
	Marks node.Marks
	// Events records the time line and violated invariants.
	Events node.Events
	// Metrics counts failures and latency. Default: none.
	Metrics Metrics
	// ConnsPerTarget bounds the connections of this VM to one target.
	// Default: 7.
	ConnsPerTarget int
	// Idempotency bounds the idempotency table. Default: those of idem.Limits.
	Idempotency idem.Limits
	// Dialect is how callers and targets are spoken to. Default: the product's own.
	Dialect *wire.Dialect
	// Retries limits the attempts beyond the first of each request. Default: see Retries.
	Retries Retries
	// StartWait is how long after its creation the handler holds requests while there is
	// no configuration. Default: requests are refused at once.
	StartWait time.Duration
	// Dial opens connections to targets. Default: TCP within dialTimeout.
	Dial DialFunc
}

const (
	// defaultConnsPerTarget is 350 connections of a target over 48 VMs.
	defaultConnsPerTarget = 7
	// dialTimeout is below the first retransmission of a SYN (1 s), so a lost
	// one costs another target's dial and not a second of waiting.
	dialTimeout = 500 * time.Millisecond
)

// noMetrics is the Metrics of a handler that is not observed.
type noMetrics struct{}

// Failed implements Metrics.
func (noMetrics) Failed(fault.Kind, string) {}

// Retried implements Metrics.
func (noMetrics) Retried(string) {}

// Added implements Metrics.
func (noMetrics) Added(time.Duration) {}

// Hedged implements Metrics.
func (noMetrics) Hedged(string) {}

func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
	if c.ConnsPerTarget <= 0 {
		c.ConnsPerTarget = defaultConnsPerTarget
	}
	if c.Dialect == nil {
		c.Dialect = wire.Native()
	}
	c.Retries = c.Retries.withDefaults()
	if c.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		c.Dial = d.DialContext
	}
	return c
}

// Handler serves all caller paths but those below /galenasail/. It is safe for
// concurrent use.
type Handler struct {
	cfg              Config
	created          time.Time
	transport        *http.Transport
	retryBudgets     serviceBudgets
	idempotency      idempotencyTable
	quarantine       *quarantine
	reporter         *requestReporter
	running          atomic.Int64
	closeAfterAnswer atomic.Bool
	draining         atomic.Bool
	index            atomic.Pointer[routeIndex]
	indexMu          sync.Mutex
}

// New returns a handler. The caller stops it with Drain.
func New(cfg Config) *Handler {
	cfg = cfg.withDefaults()
	return &Handler{
		cfg:          cfg,
		created:      time.Now(),
		retryBudgets: serviceBudgets{limits: cfg.Retries},
		transport:    newTransport(cfg),
		idempotency:  idempotencyTable{table: idem.New(cfg.Idempotency)},
		quarantine:   newQuarantine(cfg),
		reporter:     newReporter(),
	}
}

// routeIndex is the index of one snapshot.
type routeIndex struct {
	snapshot *document.Snapshot
	routes   *route.Index
	splitter *route.Splitter
}

// current returns the configuration in force with its route index, nil before
// the first one. The first request after a change builds the index.
func (h *Handler) currentIndex() *routeIndex {
	snapshot := h.cfg.Configs.Snapshot()
	if snapshot == nil {
		return nil
	}
	if ix := h.index.Load(); ix != nil && ix.snapshot == snapshot {
		return ix
	}
	h.indexMu.Lock()
	defer h.indexMu.Unlock()
	if ix := h.index.Load(); ix != nil && ix.snapshot == snapshot {
		return ix
	}
	ix := &routeIndex{snapshot: snapshot, routes: route.NewIndex(snapshot.Routes), splitter: h.currentSplitter()}
	h.index.Store(ix)
	return ix
}

// splitter returns the splitter in use, so that its shares go on over changes
// of the configuration.
func (h *Handler) currentSplitter() *route.Splitter {
	if ix := h.index.Load(); ix != nil {
		return ix.splitter
	}
	return route.NewSplitter()
}

// Running returns the number of requests in progress.
func (h *Handler) Running() int64 {
	return h.running.Load()
}
