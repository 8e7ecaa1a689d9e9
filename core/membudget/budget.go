// Package membudget decides how much memory and how many connections may be held for the
// callers of a VM, and which connections are closed when a limit is reached.
//
// Each connection has an account. A holder is an address or a workspace with its connections;
// it is no holder of a lease. When a limit is reached, the connections that have made no
// progress for longest are closed first, then the newest ones of the holder that holds most,
// but none with a request that a target may be running: its caller could not tell whether it
// ran. Time is passed in; the package is not safe for concurrent use.
package membudget

import "time"

// Limits bounds a Budget.
type Limits struct {
	// Bytes is the maximum number of bytes held for all connections.
	Bytes int64
	// Connections is the maximum number of connections.
	Connections int
}

// Phase is what a connection is doing. It determines after which time without progress the
// connection counts as stalled.
type Phase uint8

// Header, Body and Writing wait for the caller, which counts as stalled after activeGrace.
const (
	// Header: the connection is new or its caller is sending a header.
	Header Phase = iota
	// Idle: the connection waits for the next request.
	Idle
	// Running: a request waits for a target, so no progress of the caller is due.
	Running
	// Body: the VM waits for more of the caller's body.
	Body
	// Writing: the VM waits until the caller has read more of its response.
	Writing
	// Unproven: like Idle, but the connection has had no request of an ordinary caller or a peer.
	// It counts as stalled after activeGrace.
	Unproven
)

const (
	// activeGrace is the time without progress after which a connection counts as stalled
	// while its caller has to send or to read.
	activeGrace = time.Second
	// idleGrace exceeds the time for which callers reuse idle connections (12 s).
	idleGrace = 15 * time.Second
)

// spareShare is the share of the bytes that ChargeSpare leaves to other demands.
const spareShare = 0.25

// Account is what is held for one connection.
type Account struct {
	holder   *holder
	number   uint64 // in the order of opening
	position int    // in Budget.accounts
	bytes    int64
	phase    Phase
	progress time.Time
	closed   bool
	// atTargets is the number of requests of the connection that a target may be running.
	atTargets int
}

// Closed reports whether the account was closed, for example to make room for others.
func (a *Account) Closed() bool {
	return a.closed
}

// Bytes returns the bytes held for the connection.
func (a *Account) Bytes() int64 {
	return a.bytes
}

// holder is an address or a workspace with the sum of its accounts.
type holder struct {
	name        string
	bytes       int64
	connections int
}

// Budget holds the accounts of all connections. Create it with New.
type Budget struct {
	limits   Limits
	accounts []*Account
	holders  map[string]*holder
	bytes    int64
	opened   uint64
}

// New returns a Budget without accounts.
func New(l Limits) *Budget {
	return &Budget{limits: l, holders: map[string]*holder{}}
}

// Bytes returns the bytes held for all connections.
func (b *Budget) Bytes() int64 {
	return b.bytes
}

// Connections returns the number of connections.
func (b *Budget) Connections() int {
	return len(b.accounts)
}

// Open opens an account with bytes for a connection of the named holder. evicted lists
// connections to close; they hold nothing any more. ok is false if there is no room.
func (b *Budget) Open(name string, bytes int64, now time.Time) (a *Account, evicted []*Account, ok bool) {
	a = &Account{phase: Header, progress: now, number: b.opened + 1}
	a.holder = b.join(name)
	evicted, ok = b.makeRoom(a, demand{bytes: bytes, connections: 1}, now)
	if !ok {
		b.leave(a.holder)
		return nil, evicted, false
	}
	b.opened++
	a.position = len(b.accounts)
	b.accounts = append(b.accounts, a)
	b.add(a, bytes)
	return a, evicted, true
}

// join adds a connection to the named holder.
func (b *Budget) join(name string) *holder {
	h, found := b.holders[name]
	if !found {
		h = &holder{name: name}
		b.holders[name] = h
	}
	h.connections++
	return h
}

// leave removes a connection from h.
func (b *Budget) leave(h *holder) {
	h.connections--
	if h.connections == 0 {
		delete(b.holders, h.name)
	}
}

// Charge adds bytes to an account. evicted lists connections to close. ok is false, and
// nothing is added, if there is no room or the account is closed.
func (b *Budget) Charge(a *Account, bytes int64, now time.Time) (evicted []*Account, ok bool) {
	if a.closed {
		return nil, false
	}
	evicted, ok = b.makeRoom(a, demand{bytes: bytes}, now)
	if ok {
		b.add(a, bytes)
	}
	return evicted, ok
}

// ChargeSpare adds bytes to an account if that leaves spareShare of the limit free. ok is false,
// and nothing is added, if it does not or the account is closed.
func (b *Budget) ChargeSpare(a *Account, bytes int64) (ok bool) {
	if a.closed || float64(b.bytes+bytes) > (1-spareShare)*float64(b.limits.Bytes) {
		return false
	}
	b.add(a, bytes)
	return true
}

// Hold adds bytes that are already in use, even beyond the limit. It closes stalled
// connections only; evicted lists them.
func (b *Budget) Hold(a *Account, bytes int64, now time.Time) (evicted []*Account) {
	if a.closed {
		return nil
	}
	evicted, _ = b.evictStalled(a, demand{bytes: bytes}, now)
	b.add(a, bytes)
	return evicted
}

func (b *Budget) add(a *Account, bytes int64) {
	a.bytes += bytes
	a.holder.bytes += bytes
	b.bytes += bytes
}

// Release subtracts at most bytes from an account.
func (b *Budget) Release(a *Account, bytes int64) {
	if !a.closed {
		b.add(a, -min(bytes, a.bytes))
	}
}

// Close closes an account. It has no effect on a closed one.
func (b *Budget) Close(a *Account) {
	if a.closed {
		return
	}
	b.add(a, -a.bytes)
	b.leave(a.holder)
	a.closed = true
	last := b.accounts[len(b.accounts)-1]
	b.accounts[a.position] = last
	last.position = a.position
	b.accounts[len(b.accounts)-1] = nil
	b.accounts = b.accounts[:len(b.accounts)-1]
}

// Progress records that the connection made progress at now and is in phase p. A header must be
// complete, and a connection proven, within the grace: more bytes alone are no progress there.
func (b *Budget) Progress(a *Account, p Phase, now time.Time) {
	if p == a.phase && (p == Header || p == Unproven) {
		return
	}
	a.phase, a.progress = p, now
}

// AtTargets adds n to the number of requests of the connection that a target may be running. ok
// is false, and nothing is added, if the account is closed.
func (b *Budget) AtTargets(a *Account, n int) (ok bool) {
	if a.closed {
		return false
	}
	a.atTargets += n
	return true
}

// Assign moves an account with its bytes to the named holder, for example from an address to
// a workspace once the request is authenticated.
func (b *Budget) Assign(a *Account, name string) {
	if a.closed || a.holder.name == name {
		return
	}
	bytes := a.bytes
	b.add(a, -bytes)
	b.leave(a.holder)
	a.holder = b.join(name)
	b.add(a, bytes)
}
