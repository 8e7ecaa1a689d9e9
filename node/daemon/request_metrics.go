package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/pool"
	"github.com/galenasail/galenasail/node/query"
)

// maxCountedWorkspaces bounds the workspaces that have counters of their own, so that
// the counters of a VM stay small in a fleet with 140,000 workspaces.
const maxCountedWorkspaces = 1000

// requestMetrics implements command.Metrics and counts requests by workspace.
type requestMetrics struct {
	scope        tally.Scope
	byKind       map[fault.Kind]tally.Counter
	addedLatency tally.Histogram
	retries      tally.Counter
	hedges       tally.Counter
	// localPermits and remotePermits count permits for targets in the VM's failure domain
	// and in others, where requests prefer their own.
	localPermits, remotePermits tally.Counter
	// loadChoices counts choices by expected load.
	loadChoices map[pool.LoadChoice]tally.Counter
	withheld    tally.Counter
	// configAge is the time since a replaced configuration was last known up to date.
	configAge tally.Histogram

	mu         sync.Mutex
	workspaces map[string]*workspaceCounts
}

// workspaceCounts counts the requests of one workspace.
type workspaceCounts struct {
	admitted int64
	refused  map[fault.Kind]int64
}

// addedLatencyBuckets returns buckets from 0.1 ms to 50 ms, around the objective of
// 1.4 ms.
func addedLatencyBuckets() tally.Buckets {
	return tally.DurationBuckets{
		100 * time.Microsecond, 200 * time.Microsecond, 400 * time.Microsecond, 700 * time.Microsecond,
		time.Millisecond, 1400 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond,
		10 * time.Millisecond, 50 * time.Millisecond,
	}
}

// configAgeBuckets returns buckets around the time within which a change must take effect.
func configAgeBuckets() tally.Buckets {
	return tally.DurationBuckets{
		250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
		2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 10 * time.Second,
	}
}

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	c := &requestMetrics{
		scope:        scope,
		byKind:       map[fault.Kind]tally.Counter{},
		addedLatency: scope.Histogram("added_latency", addedLatencyBuckets()),
		retries:      scope.Counter("retries"),
		hedges:       scope.Counter("second_attempts"),
		withheld:     scope.Counter("withheld_retries"),
		configAge:    scope.Histogram("config_age", configAgeBuckets()),
		workspaces:   map[string]*workspaceCounts{},
		loadChoices:  map[pool.LoadChoice]tally.Counter{},

		localPermits:  scope.Tagged(map[string]string{"domain": "own"}).Counter("permits"),
		remotePermits: scope.Tagged(map[string]string{"domain": "other"}).Counter("permits"),
	}
	for _, r := range pool.LoadChoices() {
		c.loadChoices[r] = scope.Tagged(map[string]string{"result": string(r)}).Counter("load_choices")
	}
	for _, k := range fault.Kinds() {
		c.byKind[k] = scope.Tagged(map[string]string{"error": k.String()}).Counter("failed_requests")
	}
	return c
}

// Failed implements command.Metrics.
func (c *requestMetrics) Failed(k fault.Kind, workspace string) {
	c.byKind[k].Inc(1)
	if workspace == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.countsOf(workspace); w != nil {
		w.refused[k]++
	}
}

// Retried implements command.Metrics.
func (c *requestMetrics) Retried(string) {
	c.retries.Inc(1)
}

// Hedged implements command.Metrics.
func (c *requestMetrics) Hedged(string) {
	c.hedges.Inc(1)
}

// Withheld implements command.Metrics.
func (c *requestMetrics) Withheld(string) {
	c.withheld.Inc(1)
}

// AddedLatency implements command.Metrics.
func (c *requestMetrics) AddedLatency(d time.Duration) {
	c.addedLatency.RecordDuration(d)
}

// countPermit counts a permit by whether its target is in the VM's failure domain.
func (c *requestMetrics) countPermit(local bool) {
	if local {
		c.localPermits.Inc(1)
		return
	}
	c.remotePermits.Inc(1)
}

// countLoadChoice counts a choice of a target group by expected load.
func (c *requestMetrics) countLoadChoice(r pool.LoadChoice) {
	c.loadChoices[r].Inc(1)
}

// countsOf returns the counts of a workspace; nil when maxCountedWorkspaces others have
// counters. The caller holds the lock.
func (c *requestMetrics) countsOf(workspace string) *workspaceCounts {
	w, ok := c.workspaces[workspace]
	if ok {
		return w
	}
	if len(c.workspaces) >= maxCountedWorkspaces {
		return nil
	}
	w = &workspaceCounts{refused: map[fault.Kind]int64{}}
	c.workspaces[workspace] = w
	return w
}

func (c *requestMetrics) admitted(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.countsOf(workspace); w != nil {
		w.admitted++
	}
}

// states returns the counts of all counted workspaces, sorted by ID.
func (c *requestMetrics) states() []query.WorkspaceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []query.WorkspaceState
	for id, w := range c.workspaces {
		s := query.WorkspaceState{ID: id, Admitted: w.admitted}
		for k, n := range w.refused {
			s.Refused = append(s.Refused, query.RefusalCount{Kind: k.String(), Count: n})
		}
		sort.Slice(s.Refused, func(i, j int) bool { return s.Refused[i].Kind < s.Refused[j].Kind })
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// countingLimiter counts the requests that a limiter admits.
type countingLimiter struct {
	node.Limiter
	metrics *requestMetrics
}

// countAdmitted wraps l so that admitted requests are counted.
func (c *requestMetrics) countAdmitted(l node.Limiter) node.Limiter {
	return countingLimiter{Limiter: l, metrics: c}
}

// Admit implements node.Limiter.
func (l countingLimiter) Admit(ctx context.Context, w *document.Workspace) error {
	err := l.Limiter.Admit(ctx, w)
	if err == nil {
		l.metrics.admitted(w.ID)
	}
	return err
}
