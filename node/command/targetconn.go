package command

import (
	"io"
	"net"
	"os"
	"slices"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

// newTargetConn wraps conn. A TCP connection also provides access to its socket,
// so that bytes in the kernel's receive buffer are detected before a request is
// written.
func newTargetConn(conn net.Conn) *targetConn {
	c := &targetConn{Conn: conn, number: lastConnNumber.Add(1)}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If this fails, raw is nil and readAndParse uses Conn.Read.
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// maxRequestsPerConn bounds the request IDs that a connection remembers.
const maxRequestsPerConn = 1000

// beginAnswer prepares to parse the answer to a request and returns the number of the request
// on the connection. It returns errUnsolicited unless the connection is exactly at the end of
// the previous answer, which repeated the ID of its request, and errCarriedID or errWornOut if
// an answer to the request could not be told from others or no more IDs are remembered.
func (c *targetConn) beginAnswer(method string, echo requestEcho) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsolicited.Load() || c.framing != nil && !c.framing.reusable() || c.hasUnread() {
		return 0, errUnsolicited
	}
	id := xxhash.Sum64String(echo.id)
	if slices.Contains(c.ids, id) {
		return 0, errCarriedID
	}
	if len(c.ids) == maxRequestsPerConn {
		return 0, errWornOut
	}
	c.ids = append(c.ids, id)
	c.framing = newFraming(method, echo)
	return len(c.ids), nil
}

// hasUnread reports whether the kernel's receive buffer holds unread bytes or an
// end of stream.
func (c *targetConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	found := false
	err := c.raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return found || err != nil
}

// readAndParse reads from the connection and passes the bytes to the framing parser. Both
// happen under one lock, so that beginAnswer finds each byte either in the kernel's
// receive buffer or in the parser's state.
func (c *targetConn) readAndParse(p []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.parse(p[:max(n, 0)])
		return n, err
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = syscall.Read(int(fd), p)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), p)
		}
		c.parse(p[:max(n, 0)])
		return err != syscall.EAGAIN
	})
	n = max(n, 0)
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0 && c.wasReset():
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// tcpClosed is the state of a TCP connection that was reset (TCP_CLOSE of Linux).
const tcpClosed = 7

// wasReset reports whether the other side has reset the connection. The system reports a reset
// once, to a read or a write; a read after a write that failed with it returns the end of the
// stream, which must not count as the end of an answer.
func (c *targetConn) wasReset() bool {
	reset := false
	err := c.raw.Control(func(fd uintptr) {
		// The state is the first byte of the information.
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		reset = err != nil || info&0xff == tcpClosed
	})
	return reset || err != nil
}

// parse passes p to the framing parser. c.mu must be held.
func (c *targetConn) parse(p []byte) {
	if c.framing != nil {
		c.framing.feed(p)
	}
}
