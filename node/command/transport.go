package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// idleConnTimeout is below the idle timeout of common targets, so that few
	// requests use a connection that the target is about to close.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections to all targets.
	maxIdleConns = 4096
	// maxAnswerHeaderBytes is the maximum size of the header of a target's answer.
	maxAnswerHeaderBytes = 64 << 10
)

// newTransport returns the transport that is shared by all targets: HTTP/1.1 only, no
// proxy, no decompression. Redirects are not followed, because requests are sent with
// RoundTrip and not through an http.Client.
func newTransport(cfg Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            guardedDial(cfg.Dial),
		DisableCompression:     true,
		MaxIdleConns:           cfg.IdleTargetConns,
		MaxIdleConnsPerHost:    cfg.ConnsPerTarget,
		MaxConnsPerHost:        cfg.ConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		Protocols:              protocols,
	}
}

// guardedDial wraps the connections of dial in targetConn and its errors in dialError.
func guardedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, &dialError{err}
		}
		return newTargetConn(c), nil
	}
}

// dialError is the error of a failed dial.
type dialError struct{ error }

// Unwrap returns the cause for errors.Is and errors.As.
func (e *dialError) Unwrap() error { return e.error }

// targetConn is a connection to a target. net/http uses it for one request at a time,
// and the writeGuard of that request allows or refuses each write.
//
// Bytes received before a request is written are never treated as its answer. A
// duplicate answer that is received later is detected by the request ID that targets
// repeat. A connection whose last answer did not repeat it gets no further request, because
// an HTTP/1.1 response does not identify its request. A connection carries each request ID at
// most once, because the attempts of a request share its ID and callers may choose IDs.
type targetConn struct {
	net.Conn
	number uint64 // identifies the connection in events
	guard  atomic.Pointer[writeGuard]
	// unsolicited is set once bytes were received that belong to no request. net/http
	// would parse them as the answer to the next request.
	unsolicited atomic.Bool
	// lastUsed is the time of the last read or write, in nanoseconds since
	// processStart; 0 for a new connection.
	lastUsed atomic.Int64

	mu      sync.Mutex
	closed  bool
	onClose chan struct{} // closed by Close; nil unless awaitClose waits
	framing *framing      // parser of the latest answer; nil before the first request
	ids     []uint64      // hashes of the IDs of all requests on the connection
	raw     syscall.RawConn
}

// lastConnNumber is the number of the newest connection to a target.
var lastConnNumber atomic.Uint64

// processStart is the origin of monotonic times that are stored as integers.
var processStart = time.Now()

// idle returns the time since the last read or write; 0 for a new connection.
func (c *targetConn) idle() time.Duration {
	at := c.lastUsed.Load()
	if at == 0 {
		return 0
	}
	return time.Since(processStart) - time.Duration(at)
}

func (c *targetConn) touch() {
	c.lastUsed.Store(int64(time.Since(processStart)))
}

// Write writes p if the guard of the current request allows it.
func (c *targetConn) Write(p []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, errNoRequest
	}
	if err := g.allowWrite(c, p); err != nil {
		return 0, err
	}
	c.touch()
	n, err := c.Conn.Write(p)
	undone := n == 0 && err != nil && g.undoFirstWrite()
	if !undone && isPeerClosed(err) {
		// net/http closes a connection whose write fails. The target may have answered before it
		// closed, so net/http first reads up to the end of the answer or of the connection.
		c.awaitClose()
	}
	return n, err
}

// isPeerClosed reports whether err is that of a write to a connection that the other side has
// closed. Reads of the connection then end too.
func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// Read reads the answer to the current request. It fails for bytes received before the
// request was written or after its attempt has ended.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.readAndParse(p)
	if n > 0 {
		c.touch()
		if g := c.guard.Load(); g == nil || !g.recordAnswer(c) {
			c.unsolicited.Store(true)
			return 0, errUnsolicited
		}
	}
	return n, err
}

// Close closes the connection and ends the reads of the caller's body for it.
func (c *targetConn) Close() error {
	err := c.Conn.Close()
	c.recordClose()
	if g := c.guard.Load(); g != nil {
		g.connEnded(c)
	}
	return err
}

func (c *targetConn) recordClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.onClose != nil {
		close(c.onClose)
		c.onClose = nil
	}
}

// awaitClose waits until Close has been called. Only the writer of the connection calls it.
func (c *targetConn) awaitClose() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	wait := make(chan struct{})
	c.onClose = wait
	c.mu.Unlock()
	<-wait
}
