// Package limit bounds what the connections of callers, operators and peers hold in memory.
// It wraps their connections, counts the bytes and fields of headers while net/http reads
// them, and closes connections as package membudget decides.
package limit

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/membudget"
)

// Sizes, in bytes, that are charged for what net/http and this VM allocate.
const (
	// connBytes covers a connection with its goroutine, its buffers and a header of
	// ordinary size.
	connBytes = 16 << 10
	// headerAllowance is the part of connBytes that is meant for the header.
	headerAllowance = 8 << 10
	// headerStep is the least charge for a header above headerAllowance.
	headerStep = 8 << 10
	// requestBytes covers a running request with its goroutines.
	requestBytes = 24 << 10
	// fieldBytes is the size of a header field in the maps of net/http and of the request
	// to the target, without its text.
	fieldBytes = 320
	// textFactor is how many copies of a header's text are in memory.
	textFactor = 2
)

// Reason is why a connection was closed or a request refused.
type Reason string

// NoConnection to Evicted are due to the limits of the Guard, the others to a caller without
// progress.
const (
	// NoConnection: no further connection may be open.
	NoConnection Reason = "no_connection"
	// NoHeader: there was no room for a header.
	NoHeader Reason = "no_header"
	// NoRequest: there was no room for a request.
	NoRequest Reason = "no_request"
	// NoBody: there was no room for a body.
	NoBody Reason = "no_body"
	// Evicted: a connection was closed to make room for others.
	Evicted Reason = "evicted"
	// BodyStalled: a body made no progress.
	BodyStalled Reason = "body_stalled"
	// ResponseStalled: a response was not read.
	ResponseStalled Reason = "response_stalled"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{NoConnection, NoHeader, NoRequest, NoBody, Evicted, BodyStalled, ResponseStalled}
}

// Config configures a Guard.
type Config struct {
	// Limits bounds what is held.
	Limits membudget.Limits
	// Stall is how long a body or a response may make no progress. Required.
	Stall time.Duration
	// BodyBuffer is the largest part of a body that is read before a target is chosen, in
	// bytes.
	BodyBuffer int64
	// Authenticated says that each HTTP/2 request is authenticated before it is served, so that
	// a connection without an authenticated one never counts as running. Default: false.
	Authenticated bool
	// Refusal is the HTTP/1.1 response to a header for which there is no room. Default: 503
	// without a body.
	Refusal []byte
	// OnRefused is called for each refusal with the caller's address. It must not block.
	// Default: none.
	OnRefused func(reason Reason, address string)
}

// Guard bounds what the connections of one or more servers hold together. It is safe for
// concurrent use.
type Guard struct {
	cfg   Config
	pacer *pacer

	mu     sync.Mutex
	budget *membudget.Budget
	conns  map[*membudget.Account]*Conn
}

// New returns a Guard without connections.
func New(cfg Config) *Guard {
	if cfg.OnRefused == nil {
		cfg.OnRefused = func(Reason, string) {}
	}
	if cfg.Refusal == nil {
		cfg.Refusal = []byte(refusalResponse)
	}
	return &Guard{cfg: cfg, pacer: newPacer(), budget: membudget.New(cfg.Limits), conns: map[*membudget.Account]*Conn{}}
}

// Usage returns the bytes and the connections that are held.
func (g *Guard) Usage() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Bytes(), g.budget.Connections()
}

// Stall returns how long a body or a response may make no progress.
func (g *Guard) Stall() time.Duration {
	return g.cfg.Stall
}

// BodyBuffer returns the largest part of a body that is read before a target is chosen.
func (g *Guard) BodyBuffer() int64 {
	return g.cfg.BodyBuffer
}

// Protect makes s call the guard at each change of the state of a connection.
func (g *Guard) Protect(s *http.Server) {
	s.ConnState = g.connState
}

// connState records when a connection has requests.
func (g *Guard) connState(c net.Conn, state http.ConnState) {
	own := find(c)
	switch {
	case own == nil:
	case state == http.StateIdle:
		own.becomeIdle()
	case state == http.StateActive:
		own.becomeActive()
	}
}

// open opens the account of a new connection. It returns false if there is no room.
func (g *Guard) open(c *Conn) bool {
	g.mu.Lock()
	account, evicted, ok := g.budget.Open(c.address, connBytes, time.Now())
	if ok {
		c.account = account
		g.conns[account] = c
	}
	victims := g.remove(evicted)
	g.mu.Unlock()
	g.closeAll(victims)
	return ok
}

// charge adds bytes to the account of c and reports whether there is room.
func (g *Guard) charge(c *Conn, bytes int64) bool {
	g.mu.Lock()
	evicted, ok := g.budget.Charge(c.account, bytes, time.Now())
	victims := g.remove(evicted)
	g.mu.Unlock()
	g.closeAll(victims)
	return ok
}

// chargeSpare is like charge, but closes no other connection.
func (g *Guard) chargeSpare(c *Conn, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.ChargeSpare(c.account, bytes)
}

// hold adds bytes that are in use to the account of c.
func (g *Guard) hold(c *Conn, bytes int64) {
	g.mu.Lock()
	victims := g.remove(g.budget.Hold(c.account, bytes, time.Now()))
	g.mu.Unlock()
	g.closeAll(victims)
}

func (g *Guard) release(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(c.account, bytes)
}

func (g *Guard) progress(c *Conn, p membudget.Phase) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Progress(c.account, p, now)
}

// atTargets adds n to the number of requests of c that a target may be running. It reports
// whether c is still open.
func (g *Guard) atTargets(c *Conn, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.AtTargets(c.account, n)
}

func (g *Guard) assign(c *Conn, holder string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Assign(c.account, holder)
}

func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c.account)
	delete(g.conns, c.account)
}

// remove returns the connections of evicted accounts. The caller holds mu and closes them
// after unlocking it.
func (g *Guard) remove(evicted []*membudget.Account) []*Conn {
	var victims []*Conn
	for _, a := range evicted {
		victims = append(victims, g.conns[a])
		delete(g.conns, a)
	}
	return victims
}

func (g *Guard) closeAll(victims []*Conn) {
	for _, c := range victims {
		g.cfg.OnRefused(Evicted, c.address)
		_ = c.Close()
	}
}

// refuse reports a refusal and returns the error that states that the request did not run.
func (g *Guard) refuse(c *Conn, reason Reason) error {
	g.cfg.OnRefused(reason, c.address)
	return fault.New(fault.Overloaded, "this VM holds as much for callers as its memory allows (%s)", reason)
}
