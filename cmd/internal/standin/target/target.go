// Package target is a stand-in for a back end. It has slots with a bounded
// queue, a cold start that collapses under too much load, load shedding, and
// faults that an admin call switches while it runs. It counts what it ran, so
// that a test can see a request that ran twice or a workspace key that leaked.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header names of the protocol between the fleet and a target.
const (
	// HeaderRequestID identifies a request.
	HeaderRequestID = "Galenasail-Request-Id"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Galenasail-Idempotency-Key"
	// HeaderTimeout is the remaining time of the request, in milliseconds.
	HeaderTimeout = "Galenasail-Timeout-Ms"
	// HeaderWorkspace names the workspace of the request.
	HeaderWorkspace = "Galenasail-Workspace"
	// HeaderShed is set to ShedNotRun on a refusal before the request ran.
	HeaderShed = "Galenasail-Shed"
	// ShedNotRun is the value of HeaderShed.
	ShedNotRun = "not-run"
)

// Config sets up a target. Durations of 0 switch a mechanism off.
type Config struct {
	// ID names the target in its answers.
	ID string
	// Slots is the number of requests that run at once. Default: 3.
	Slots int
	// Queue is the number of requests that wait for a slot. Default: 8.
	Queue int
	// Median is the median service time. Default: 20 ms.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	// Default: 0, a constant time.
	Sigma float64
	// ColdSlots is the number of requests a cold target bears. Default: 1.
	ColdSlots int
	// ColdRamp is the time from cold to all slots. Default: 0, never cold.
	ColdRamp time.Duration
	// Keys lists workspace keys that must never arrive.
	Keys []string
	// OnRun is called with each request that runs, so that a run on two targets
	// is visible. It must not block or keep the request. Default: none.
	OnRun func(r *http.Request)
	// Seed makes service times and faults repeatable.
	Seed uint64
}

func (c *Config) setDefaults() {
	if c.Slots <= 0 {
		c.Slots = 3
	}
	if c.Queue <= 0 {
		c.Queue = 8
	}
	if c.Median <= 0 {
		c.Median = 20 * time.Millisecond
	}
	if c.OnRun == nil {
		c.OnRun = func(*http.Request) {}
	}
	if c.ColdSlots <= 0 {
		c.ColdSlots = 1
	}
}

// Target is a running stand-in. It is safe for concurrent use.
type Target struct {
	config Config
	slots  chan struct{}
	random *randomSource

	mu         sync.Mutex
	fault      Fault
	faultSetAt time.Time
	draining   bool
	cold       coldStart
	inFlight   int
	stats      Stats
	runs       *runCounter
	conns      map[net.Conn]struct{}
	lastSample loadSample
}

// New returns a target that starts cold.
func New(c Config) *Target {
	c.setDefaults()
	t := &Target{
		config: c,
		slots:  make(chan struct{}, c.Slots),
		random: newRandomSource(c.Seed),
		runs:   newRunCounter(),
		conns:  map[net.Conn]struct{}{},
	}
	t.cold.restart(time.Now())
	return t
}

// Handler returns the HTTP interface: requests, /health, /load and /standin/.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serve)
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("GET /standin/stats", t.getStats)
	mux.HandleFunc("POST /standin/fault", t.setFault)
	mux.HandleFunc("POST /standin/cold", t.handleCold)
	mux.HandleFunc("POST /standin/drain", t.setDraining)
	return mux
}

// Serve answers on l until ctx ends.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           t.Handler(),
		ConnState:         t.trackConn,
		ReadHeaderTimeout: 10 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// track remembers open connections, which a crash resets.
func (t *Target) trackConn(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}
