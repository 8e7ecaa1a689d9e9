package limit

import (
	"bytes"
	"errors"
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
	// refusalResponse is the default of Config.Refusal.
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
	progress := phase != membudget.Body || c.countBody(n)
	c.mu.Unlock()
	if need > 0 && !c.guard.charge(c, need) {
		c.refuseHeader()
		return 0, errNoRoom
	}
	if progress {
		c.guard.progress(c, phase)
	}
	return n, err
}

// minBodyProgress is how many bytes of a body count as progress. Without it, a caller that sends
// one byte a second would never count as stalled.
const minBodyProgress = 4 << 10

// countBody counts n bytes of a body and reports whether it made progress. The caller holds mu.
func (c *Conn) countBody(n int) bool {
	c.unmarked += n
	if c.unmarked < minBodyProgress {
		return false
	}
	c.unmarked = 0
	return true
}

// received counts bytes that were read into a buffer of the given size. It returns what must
// be charged for the header and the new phase. The caller holds mu.
func (c *Conn) received(p []byte, size int) (need int64, phase membudget.Phase) {
	c.deadlines = idleDeadlines
	if c.scan.http2 {
		return 0, c.phaseWithoutHeader()
	}
	if size >= serverBufferBytes {
		c.uncounted = 0 // net/http reads this much only into an empty buffer
	}
	if !c.scan.active {
		c.uncounted += int64(bytes.Count(p, newline))
		return 0, c.phaseWithoutHeader()
	}
	rest := c.scan.feed(p)
	if c.scan.http2 {
		return http2Bytes, membudget.Header
	}
	c.uncounted += int64(bytes.Count(rest, newline))
	if c.scan.active {
		return c.chargeHeader(), membudget.Header
	}
	return c.chargeHeader(), membudget.Running
}

var newline = []byte{'\n'}

// chargeHeader returns what must be charged for the header so far. The caller holds mu.
func (c *Conn) chargeHeader() (need int64) {
	need = c.scan.cost() - headerAllowance - c.headerHeld
	if need <= 0 {
		return 0
	}
	need += headerStep
	c.headerHeld += need
	return need
}

// idleDeadlines is the number of read deadlines that net/http sets for an idle connection: one
// for the idle time and, once it has the first bytes of the next header, one for the header.
const idleDeadlines = 2

// SetReadDeadline sets the deadline for reads. When net/http sets that of a header before it
// has read anything, its buffer holds bytes that were read with the previous request.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadlines++
	var need int64
	if c.deadlines == idleDeadlines && c.scan.active {
		c.scan.lines, c.scan.bytes = c.uncounted, c.uncounted
		need = c.chargeHeader()
	}
	c.mu.Unlock()
	if need > 0 && !c.guard.charge(c, need) {
		c.refuseHeader()
	}
	return c.Conn.SetReadDeadline(t)
}

// refuseHeader answers a header for which there is no room and closes the connection.
func (c *Conn) refuseHeader() {
	_ = c.guard.refuse(c, NoHeader)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// The caller may not read the response; the connection is closed anyway.
	_, _ = c.Conn.Write(c.guard.cfg.Refusal)
	_ = c.Close()
}

// phaseWithoutHeader returns the phase while no HTTP/1 header is expected. The caller holds mu.
func (c *Conn) phaseWithoutHeader() membudget.Phase {
	switch {
	case c.scan.http2 && !c.active:
		return c.idlePhase()
	case c.scan.http2 && !c.proven && c.guard.cfg.Authenticated:
		return membudget.Unproven
	case c.awaiting:
		return membudget.Body
	}
	return membudget.Running
}

// idlePhase returns the phase between requests. The caller holds mu.
func (c *Conn) idlePhase() membudget.Phase {
	if c.proven {
		return membudget.Idle
	}
	return membudget.Unproven
}

// assign attributes the connection to a holder whose request was authenticated.
func (c *Conn) assign(holder string) {
	c.prove()
	c.guard.assign(c, holder)
}

// prove records that the connection has had a request of an ordinary caller or a peer.
func (c *Conn) prove() {
	c.mu.Lock()
	first := !c.proven
	c.proven = true
	phase := c.phaseWithoutHeader()
	c.mu.Unlock()
	if first {
		c.guard.progress(c, phase)
	}
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
	c.scan.startNext()
	c.deadlines = 0
	c.active = false
	phase := c.idlePhase()
	c.mu.Unlock()
	if held > 0 {
		c.guard.release(c, held)
	}
	c.guard.progress(c, phase)
}

// SetWriteDeadline sets the deadline for writes. Each Write has an earlier one if the other
// side does not read.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if !c.writing {
		return nil
	}
	c.armed = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets the deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write writes p. It fails if the other side reads nothing for the stall time.
func (c *Conn) Write(p []byte) (written int, err error) {
	tracked := c.beginWrite()
	defer c.endWrite(tracked)
	for idleSteps := 0; ; idleSteps++ {
		c.armWriteDeadline()
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			idleSteps = 0
			if tracked {
				c.guard.progress(c, membudget.Writing)
			}
		}
		if idleSteps == stallSteps-1 || c.deadlinePassed() {
			c.guard.cfg.OnRefused(ResponseStalled, c.address)
			return written, err
		}
	}
}

// stallSteps is the number of steps in which the stall time of a write is checked for progress.
const stallSteps = 4

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

// armWriteDeadline sets the deadline of the next write to the system. One that was set less than
// half a step ago is kept, because setting it wakes a thread of the runtime.
func (c *Conn) armWriteDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := c.guard.cfg.Stall / stallSteps
	at := time.Now().Add(step)
	explicit := !c.writeDeadline.IsZero() && c.writeDeadline.Before(at)
	if explicit {
		at = c.writeDeadline
	}
	if explicit || at.Sub(c.armed) > step/2 || c.armed.After(at) {
		c.armed = at
		// An error means that the connection is closed, which the write reports.
		_ = c.Conn.SetWriteDeadline(at)
	}
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
