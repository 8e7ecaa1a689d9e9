package limit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/galenasail/galenasail/core/membudget"
)

const (
	// serverBufferBytes is the size of the buffer from which net/http parses requests.
	serverBufferBytes = 4 << 10
	// http2Bytes is charged for an HTTP/2 connection. It covers the buffers that HTTP2 allows
	// and a header that is being decoded.
	http2Bytes = 256 << 10
	// refusalTimeout bounds the write of the response to a refused header.
	refusalTimeout = 100 * time.Millisecond
	// refusalResponse is sent when there is no room for a header. The request did not run.
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n"
)

// HTTP2 returns the limits of one HTTP/2 connection, which may have the given number of
// streams.
func HTTP2(streams int) *http.HTTP2Config {
	const receiveBuffer, maxFrameBytes = 64 << 10, 16 << 10
	return &http.HTTP2Config{
		MaxConcurrentStreams:          streams,
		MaxReadFrameSize:              maxFrameBytes,
		MaxReceiveBufferPerConnection: receiveBuffer,
		MaxReceiveBufferPerStream:     receiveBuffer,
	}
}

var errNoRoom = errors.New("no memory for the header of the request")

// Read reads from the connection and counts the header that is being received.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	need, phase := c.received(p[:n], len(p))
	c.mu.Unlock()
	if need > 0 && !c.guard.charge(c, need) {
		c.refuseHeader()
		return 0, errNoRoom
	}
	c.guard.progress(c, phase)
	return n, err
}

// received counts bytes that were read into a buffer of the given size. It returns what must
// be charged for the header and the new phase. The caller holds mu.
func (c *Conn) received(p []byte, size int) (need int64, phase membudget.Phase) {
	if c.idle {
		c.idle = false
		if size > 1 && size < serverBufferBytes {
			c.scan.start(int64(serverBufferBytes - size))
		}
	}
	if !c.scan.active {
		return 0, c.phaseWithoutHeader()
	}
	wasHTTP2 := c.scan.http2
	c.scan.feed(p)
	if c.scan.http2 && !wasHTTP2 {
		return http2Bytes, membudget.Header
	}
	need = c.scan.cost() - headerAllowance - c.headerHeld
	if need > 0 {
		need += headerStep
		c.headerHeld += need
	}
	if c.scan.active {
		return max(need, 0), membudget.Header
	}
	return max(need, 0), membudget.Running
}

// refuseHeader answers a header for which there is no room and closes the connection.
func (c *Conn) refuseHeader() {
	_ = c.guard.refuse(c, NoHeader)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// The caller may not read the response; the connection is closed anyway.
	_, _ = io.WriteString(c.Conn, refusalResponse)
	_ = c.Close()
}

// phaseWithoutHeader returns the phase while no HTTP/1 header is expected. The caller holds mu.
func (c *Conn) phaseWithoutHeader() membudget.Phase {
	switch {
	case c.scan.http2 && !c.active:
		return membudget.Idle
	case c.awaiting:
		return membudget.Body
	}
	return membudget.Running
}

// becomeActive records that the connection has a request.
func (c *Conn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
}

// becomeIdle releases the header of the last request.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	held := c.headerHeld
	c.headerHeld = 0
	c.scan.start(0)
	c.idle = true
	c.active = false
	c.mu.Unlock()
	if held > 0 {
		c.guard.release(c, held)
	}
	c.guard.progress(c, membudget.Idle)
}

// SetWriteDeadline sets the deadline for writes. Each Write has an earlier one if the other
// side does not read.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if c.writing {
		return c.Conn.SetWriteDeadline(t)
	}
	return nil
}

// SetDeadline sets the deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write writes p. It fails if the other side reads nothing for the stall time.
func (c *Conn) Write(p []byte) (written int, err error) {
	tracked := c.beginWrite()
	defer c.endWrite(tracked)
	for {
		deadline := c.nextWriteDeadline()
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n == 0 || c.deadlinePassed() {
			c.guard.cfg.OnRefused(ResponseStalled, c.address)
			return written, err
		}
		c.guard.progress(c, membudget.Writing)
	}
}

// beginWrite reports whether the phase of the connection is that of its only request.
func (c *Conn) beginWrite() (tracked bool) {
	c.mu.Lock()
	c.writing = true
	tracked = !c.scan.http2
	c.mu.Unlock()
	if tracked {
		c.guard.progress(c, membudget.Writing)
	}
	return tracked
}

func (c *Conn) endWrite(tracked bool) {
	c.mu.Lock()
	c.writing = false
	phase := c.phaseWithoutHeader()
	c.mu.Unlock()
	if tracked {
		c.guard.progress(c, phase)
	}
}

// nextWriteDeadline returns the deadline of the next write to the system.
func (c *Conn) nextWriteDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	stall := time.Now().Add(c.guard.cfg.Stall)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(stall) {
		return c.writeDeadline
	}
	return stall
}

// deadlinePassed reports whether the deadline that net/http or the handler set has passed.
func (c *Conn) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
}

// CloseWrite closes the sending side, with which net/http lets the last answer arrive before
// it closes the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
