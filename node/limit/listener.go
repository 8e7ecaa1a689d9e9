package limit

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/membudget"
)

// Listener returns a listener whose connections are bounded by the guard. It closes new
// connections for which there is no room.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return listener{l, g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept waits for the next connection that may stay open.
func (l listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, guard: l.guard, address: hostOf(inner)}
		c.scan.startFirst()
		if l.guard.open(c) {
			if a, ok := inner.(readAheader); ok {
				a.SetReadAheadCharge(c.chargeReadAhead)
			}
			return c, nil
		}
		l.guard.cfg.OnRefused(NoConnection, c.address)
		_ = inner.Close()
	}
}

// readAheader is a connection that reads bytes before net/http asks for them.
type readAheader interface {
	// SetReadAheadCharge sets the function that charges such bytes and reports whether there
	// is room. A negative number releases them.
	SetReadAheadCharge(charge func(bytes int64) bool)
}

// hostOf returns the IP address of the other side of c.
func hostOf(c net.Conn) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return c.RemoteAddr().String()
}

// Conn is a connection that is bounded by a Guard. The server of net/http uses it.
type Conn struct {
	net.Conn
	guard   *Guard
	account *membudget.Account
	address string
	// closed is set by the first Close.
	closed atomic.Bool

	mu       sync.Mutex
	scan     headerScan
	active   bool // a request is being served
	awaiting bool // the VM waits for more of the body of the only request
	proven   bool // the connection has had a request of an ordinary caller or a peer
	// unmarked is the number of bytes of the body since the last progress.
	unmarked int
	// uncounted is the number of lines that net/http may have in its buffer and that belong to
	// no counted header.
	uncounted int64
	// deadlines is the number of read deadlines that were set since the connection became idle
	// and before the next read.
	deadlines  int
	headerHeld int64 // charged for the header in progress
	// writeDeadline is the deadline that net/http or the handler set.
	writeDeadline time.Time
	writing       bool
	// armed is the write deadline that is set on the connection below.
	armed time.Time
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// WithConn is the ConnContext of servers whose handlers charge requests.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// find returns the Conn that c is or wraps; nil without one.
func find(c net.Conn) *Conn {
	for c != nil {
		if own, ok := c.(*Conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// NetConn returns the connection of a request as WithConn stored it; nil without one.
func NetConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and its account.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.guard.close(c)
	}
	return c.Conn.Close()
}
