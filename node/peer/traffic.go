package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/node"
)

// Traffic counts control bytes. It is safe for concurrent use. Bytes of calls
// are those of the TCP payload, bytes of heartbeats include the IP and UDP
// headers.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	refused  atomic.Int64
	unsent   atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received, refused messages included.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Refused returns the number of messages refused.
func (t *Traffic) Refused() int64 { return t.refused.Load() }

// Unsent returns the number of heartbeats that could not be sent.
func (t *Traffic) Unsent() int64 { return t.unsent.Load() }

// Refusal is told about each refused message. It must not block.
type RefusalHandler func(from string, err error)

// refusalEventInterval spaces the events about refused messages; a sender
// outside the fleet must not be able to displace all other events.
const refusalEventInterval = time.Second

// RecordRefusals returns a Refusal that records events of kind PeerRefused.
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

// Accept waits for the next connection.
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

// Read reads and counts.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
