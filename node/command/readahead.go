package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/galenasail/galenasail/node/limit"
)

// maxReadAhead bounds the bytes of pipelined requests that are read from one caller before
// the request that runs has been answered. A caller that sends more is stopped by TCP.
const maxReadAhead = 64 << 10

// readAheadListener wraps the connections of callers in readAheadConn.
type readAheadListener struct{ net.Listener }

// Accept waits for the next connection.
func (l readAheadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newReadAheadConn(c), nil
}

// readAheadConn is a caller's connection whose close is noticed also behind pipelined requests.
// While a request runs, net/http reads one byte in the background to notice the close. Once
// that byte is the first one of the next request, it reads no further until the request that
// runs has been answered. From then on this connection reads ahead into a bounded buffer.
type readAheadConn struct {
	net.Conn
	// closed ends when the caller has closed the connection.
	closed context.Context
	close  context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond // of the fields below
	buf     []byte    // holds the bytes that were read ahead from next on
	next    int
	err     error // why reading ahead ended; nil while it continues
	reading bool  // readAhead runs
	// deadline is the deadline for reads; zero for none.
	deadline time.Time
	// charge charges bytes that are read ahead; it reports whether there is room.
	charge func(bytes int64) bool
}

// SetReadAheadCharge sets the function that charges bytes that are read ahead, and releases
// them when their number is negative. It is called before the connection is used.
func (c *readAheadConn) SetReadAheadCharge(charge func(bytes int64) bool) {
	c.charge = charge
}

func newReadAheadConn(c net.Conn) *readAheadConn {
	r := &readAheadConn{Conn: c, charge: func(int64) bool { return true }}
	r.closed, r.close = context.WithCancel(context.Background())
	r.changed.L = &r.mu
	return r
}

// Read returns the bytes that were read ahead, then those of the connection.
func (c *readAheadConn) Read(p []byte) (int, error) {
	if n, err, done := c.readBuffered(p); done {
		return n, err
	}
	n, err := c.Conn.Read(p)
	// net/http reads single bytes only in the background.
	if n == 1 && len(p) == 1 {
		c.mu.Lock()
		c.reading = true
		c.mu.Unlock()
		go c.readAhead()
	}
	return n, err
}

// readBuffered waits while bytes are being read ahead. done is false when the connection itself
// is to be read.
func (c *readAheadConn) readBuffered(p []byte) (n int, err error, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.reading && c.next == len(c.buf) && c.err == nil {
		c.changed.Wait()
	}
	if c.next < len(c.buf) {
		n = copy(p, c.buf[c.next:])
		c.next += n
		c.charge(-int64(n))
		return n, nil, true
	}
	if err = c.err; err == nil {
		return 0, nil, false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The deadline may have been replaced since; later calls of Read may have another.
		c.err = nil
		if c.deadline.IsZero() || time.Now().Before(c.deadline) {
			return 0, nil, false
		}
	}
	return 0, err, true
}

// SetReadDeadline sets the deadline for reads.
func (c *readAheadConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes.
func (c *readAheadConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// readAhead reads until the buffer is full or reading fails.
func (c *readAheadConn) readAhead() {
	chunk := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(chunk)
		room := c.charge(int64(n))
		c.mu.Lock()
		c.store(chunk[:n])
		c.err = err
		c.reading = err == nil && room && len(c.buf)-c.next < maxReadAhead
		more := c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.close()
		}
		if !more {
			return
		}
	}
}

// store adds p to the buffer, whose memory is used again. The caller holds mu.
func (c *readAheadConn) store(p []byte) {
	if len(c.buf)+len(p) > cap(c.buf) || c.next == len(c.buf) {
		c.buf = c.buf[:copy(c.buf, c.buf[c.next:])]
		c.next = 0
	}
	c.buf = append(c.buf, p...)
}

// Close closes the connection.
func (c *readAheadConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, with which net/http lets the last answer arrive before it
// closes the connection.
func (c *readAheadConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// readAheadOf returns the readAheadConn that c is or wraps.
func readAheadOf(c net.Conn) (own *readAheadConn, ok bool) {
	if wrapper, wraps := c.(interface{ NetConn() net.Conn }); wraps {
		c = wrapper.NetConn()
	}
	own, ok = c.(*readAheadConn)
	return own, ok
}

// endWithConn returns r with a context that also ends when its caller closes the connection
// behind pipelined requests, and a function that releases it.
func endWithConn(r *http.Request) (*http.Request, context.CancelFunc) {
	c, ok := readAheadOf(limit.NetConn(r.Context()))
	if !ok {
		return r, func() {}
	}
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(c.closed, cancel)
	return r.WithContext(ctx), func() {
		stop()
		cancel()
	}
}
