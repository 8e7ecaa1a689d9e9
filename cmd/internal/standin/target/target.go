// Package target is a stand-in for a target (a back end), for tests and demos. It
// has slots with a bounded queue, load shedding, a cold start during which too much
// load makes it slow, and faults that are injected at run time over HTTP or by a
// call. It counts what it ran, so that a test can detect a request that ran twice
// or a workspace key that leaked.
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
	// HeaderRequestID carries the request's identifier.
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

// Config configures a Target.
type Config struct {
	// ID names the target in its answers.
	ID string
	// Slots is the number of requests that run at once. Default: 3.
	Slots int
	// Queue is the number of requests that wait for a slot. Default: 8.
	Queue int
	// MedianServiceTime is the median service time. Default: 20 ms.
	MedianServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	// Default: 0, a constant time.
	Sigma float64
	// ServiceTimeFactor returns the factor by which the service time of a request is longer.
	// Default: 1.
	ServiceTimeFactor func(r *http.Request) float64
	// ColdSlots is the number of concurrent requests that a cold target can
	// handle. Default: 1.
	ColdSlots int
	// ColdRamp is the time in which the capacity of a cold target grows from
	// ColdSlots to Slots. Default: 0, never cold.
	ColdRamp time.Duration
	// Keys lists the workspace keys; requests that contain one are counted as
	// leaks. Default: none.
	Keys []string
	// OnRun is called with each request that runs, so that the caller can detect
	// a request that ran on two targets. It must not block or retain the request.
	// Default: none.
	OnRun func(r *http.Request)
	// Seed seeds the random source of service times and faults.
	Seed uint64
}

func (c *Config) setDefaults() {
	if c.Slots <= 0 {
		c.Slots = 3
	}
	if c.Queue <= 0 {
		c.Queue = 8
	}
	if c.MedianServiceTime <= 0 {
		c.MedianServiceTime = 20 * time.Millisecond
	}
	if c.OnRun == nil {
		c.OnRun = func(*http.Request) {}
	}
	if c.ServiceTimeFactor == nil {
		c.ServiceTimeFactor = func(*http.Request) float64 { return 1 }
	}
	if c.ColdSlots <= 0 {
		c.ColdSlots = 1
	}
}

// Target is a stand-in for a target. It is safe for concurrent use.
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

// Handler returns the HTTP handler of the target: /health, /load, the endpoints
// below /standin/ that inject faults and return counters, and requests at any other
// path.
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

// Serve serves HTTP on l until ctx ends; it then returns nil.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           t.Handler(),
		ConnState:         t.trackConn,
		ReadHeaderTimeout: 10 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(copyingListener{l, t})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// trackConn keeps the set of open connections, which a crash resets.
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
