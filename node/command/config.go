// Package command implements the reverse proxy on the path of callers: it admits
// requests, forwards each to a target of its route's service, and returns the
// target's answer or an error that states whether the request may have run.
//
// Each attempt writes its request to at most one connection. Immediately before
// the first byte is written, the contact rule (a VM without contact to its
// cell must not serve requests), the caller's key and the permit are checked again
// (see writeGuard).
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

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Metrics receives measurements of the caller path. Implementations must be safe
// for concurrent use and must not block.
type Metrics interface {
	// Failed counts a request that ended with an error of kind k. workspace is
	// empty when the request could not be attributed to one.
	Failed(k fault.Kind, workspace string)
	// Retried counts an attempt that follows a failed attempt of the same request.
	Retried(service string)
	// AddedLatency observes the time from the arrival of a request to the start of
	// its answer, less the time spent in targets and in reading the caller's body.
	AddedLatency(d time.Duration)
	// Hedged counts a second attempt that is started while the first one has not
	// answered.
	Hedged(service string)
	// Withheld counts a request that a target shed and that was refused instead of retried.
	Withheld(service string)
}

// Config holds what a Handler needs. Fields without a default are required.
type Config struct {
	// Identity identifies this VM. Its instance is the prefix of the idempotency
	// keys that this VM accepts.
	Identity node.Identity
	// Configs provides the configuration that is in effect.
	Configs node.Configs
	// Contact reports whether this VM may accept requests.
	Contact node.Contact
	// Limiter enforces the request rate of each workspace.
	Limiter node.Limiter
	// Picker selects a target for each attempt and issues the permit to use it.
	Picker node.Picker
	// PoisonMarks exchanges poison marks with other VMs. Default: marks are kept on
	// this VM only.
	PoisonMarks node.PoisonMarks
	// Events records timeline events and invariant violations.
	Events node.Events
	// Metrics receives counts and latencies. Default: they are discarded.
	Metrics Metrics
	// ConnsPerTarget is the maximum number of connections to one target.
	// Default: 7.
	ConnsPerTarget int
	// IdleTargetConns is the maximum number of idle connections to all targets, at most
	// 4096. Default: 4096.
	IdleTargetConns int
	// Idempotency bounds the table of idempotency keys. Default: the defaults of
	// idem.Limits.
	Idempotency idem.Limits
	// Dialect defines the headers and status codes used with callers and targets.
	// Default: wire.Native.
	Dialect *wire.Dialect
	// VMRetryBudget limits this VM's retries and hedged attempts. Default: see the type.
	VMRetryBudget VMRetryBudget
	// StartupWait is how long after its creation the handler holds requests while
	// this VM has no configuration or VM list. Default: requests are refused immediately.
	StartupWait time.Duration
	// OverloadControl decides by package overload which requests that a target shed are
	// retried, and when refused callers return. Default: false.
	OverloadControl bool
	// Addresses serves GET /galenasail/v1/addresses. Default: the path is handled like any
	// other.
	Addresses http.Handler
	// Dial opens connections to targets. Default: TCP with a timeout of 500 ms.
	Dial DialFunc
}

const (
	// defaultConnsPerTarget lets 48 VMs share a target that accepts 350
	// connections.
	defaultConnsPerTarget = 7
	// dialTimeout is below the first SYN retransmission (1 s): after a lost SYN the
	// request is retried on another target instead of waiting a second.
	dialTimeout = 500 * time.Millisecond
)

// noMetrics discards all measurements.
type noMetrics struct{}

// Failed implements Metrics.
func (noMetrics) Failed(fault.Kind, string) {}

// Retried implements Metrics.
func (noMetrics) Retried(string) {}

// AddedLatency implements Metrics.
func (noMetrics) AddedLatency(time.Duration) {}

// Hedged implements Metrics.
func (noMetrics) Hedged(string) {}

// Withheld implements Metrics.
func (noMetrics) Withheld(string) {}

func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = noMetrics{}
	}
	if c.ConnsPerTarget <= 0 {
		c.ConnsPerTarget = defaultConnsPerTarget
	}
	if c.IdleTargetConns <= 0 || c.IdleTargetConns > maxIdleConns {
		c.IdleTargetConns = maxIdleConns
	}
	if c.Dialect == nil {
		c.Dialect = wire.Native()
	}
	c.VMRetryBudget = c.VMRetryBudget.withDefaults()
	if c.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		c.Dial = d.DialContext
	}
	return c
}

// Handler serves the requests of callers on all paths except that of address queries,
// where the server answers them. It is safe for concurrent use.
type Handler struct {
	cfg              Config
	created          time.Time
	transport        *http.Transport
	retryBudgets     serviceBudgets
	idempotency      idempotencyTable
	quarantine       *quarantine
	outcomes         serviceOutcomes
	transfers        transfers
	stopping         stoppables
	notices          *targetNotices
	reporter         *requestReporter
	returns          callerReturns
	running          atomic.Int64
	closeAfterAnswer atomic.Bool
	draining         atomic.Bool
	index            atomic.Pointer[routeIndex]
	indexMu          sync.Mutex
}

// New returns a handler. Stop it with Drain.
func New(cfg Config) *Handler {
	cfg = cfg.withDefaults()
	return &Handler{
		cfg:          cfg,
		created:      time.Now(),
		retryBudgets: serviceBudgets{limits: cfg.VMRetryBudget},
		transport:    newTransport(cfg),
		idempotency:  idempotencyTable{table: idem.New(cfg.Idempotency)},
		quarantine:   newQuarantine(cfg),
		notices:      newTargetNotices(cfg.Events),
		reporter:     newReporter(),
	}
}

// routeIndex is the route index built from one configuration snapshot.
type routeIndex struct {
	snapshot *document.Snapshot
	routes   *route.Index
	splitter *route.Splitter
}

// currentIndex returns the configuration in effect with its route index, or nil
// before the first configuration. The first request after a change builds the
// index.
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
	h.returns.retain(snapshot)
	h.outcomes.retain(snapshot)
	return ix
}

// currentSplitter returns the splitter in use, so that the shares of traffic
// splits are kept across configuration changes.
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
