package command

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// idleConnTimeout closes connections before common targets do, so that few
	// requests meet a connection that its target is closing.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns bounds idle connections to all targets.
	maxIdleConns = 4096
	// maxAnswerHeaderBytes bounds the header of a target's answer.
	maxAnswerHeaderBytes = 64 << 10
)

// newTransport returns the one transport to all targets: HTTP/1.1 only, no
// proxy, no decompression. Redirects are not followed because requests go to
// the transport without a client.
func newTransport(cfg Config) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            guardedDial(cfg.Dial),
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    cfg.ConnsPerTarget,
		MaxConnsPerHost:        cfg.ConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		Protocols:              protocols,
	}
}

func guardedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, &dialError{err}
		}
		return newTargetConn(c), nil
	}
}

// dialError marks a connection that could not be made.
type dialError struct{ error }

// Unwrap returns the cause, so that errors.Is sees it.
func (e *dialError) Unwrap() error { return e.error }

// targetConn is a connection to a target. net/http uses it for one request at
// a time; the gate of that request decides on each write.
//
// Bytes that arrive before a request is written are never taken for its answer.
// A repeated answer that arrives later is only noticed when the target sends
// back the request ID; HTTP/1.1 itself does not name the request of an answer.
type targetConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
	// unsolicited is set when bytes arrived that answer no request. They would
	// be taken for the answer to the next request.
	unsolicited atomic.Bool
	// usedAt is when bytes last passed, in nanoseconds since processStart; 0
	// for a new connection.
	lastUsed atomic.Int64

	mu      sync.Mutex
	framing *framing // of the current answer; nil before the first request
	raw     syscall.RawConn
}

// processStart is the origin of monotonic times that are stored as integers.
var processStart = time.Now()

// idle returns how long no byte has passed; 0 for a new connection.
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

// Write writes p if the gate of the current request lets it pass.
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
	if n == 0 && err != nil {
		g.undoFirstWrite()
	}
	return n, err
}

// Read reads the answer to the current request. It fails for bytes that arrive
// before the request was written or after its attempt has ended.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.readAndFollow(p)
	if n > 0 {
		c.touch()
		if g := c.guard.Load(); g == nil || !g.recordAnswer(c) {
			c.unsolicited.Store(true)
			return 0, errUnsolicited
		}
	}
	return n, err
}
