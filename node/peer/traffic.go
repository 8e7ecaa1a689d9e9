package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/node"
)

// Traffic counts the control traffic of a VM. It is safe for concurrent use. Calls
// count with their TCP payload, heartbeats with their IP and UDP headers.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	refused  atomic.Int64
	unsent   atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received, including refused messages.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Refused returns the number of refused messages: those that failed authentication
// or could not be decoded.
func (t *Traffic) Refused() int64 { return t.refused.Load() }

// Unsent returns the number of heartbeats that could not be sent.
func (t *Traffic) Unsent() int64 { return t.unsent.Load() }

// RefusalHandler is called for each refused message with the sender's network
// address and the reason. It must not block.
type RefusalHandler func(from string, err error)

// refusalEventInterval is the least time between two events about refused messages.
// Without a limit, a sender outside the fleet could displace all other events from
// the event buffer.
const refusalEventInterval = time.Second

// RecordRefusals returns a RefusalHandler that records events of kind PeerRefused,
// at most one per refusalEventInterval.
func RecordRefusals(events node.Events) RefusalHandler {
	var mu sync.Mutex
	var last time.Time
	return func(from string, err error) {
		now := time.Now()
		mu.Lock()
		due := last.IsZero() || now.Sub(last) >= refusalEventInterval
		if due {
			last = now
		}
		mu.Unlock()
		if due {
			events.Record(event.PeerRefused, from, err.Error())
		}
	}
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.traffic}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
