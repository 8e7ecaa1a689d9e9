package command

import (
	"io"
	"net"
	"os"
	"syscall"
)

// newTargetConn wraps a connection. On a TCP connection, bytes that are still
// in the kernel can be seen before a request is written.
func newTargetConn(conn net.Conn) *targetConn {
	c := &targetConn{Conn: conn}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without a raw connection, receive reads the ordinary way.
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// begin starts to follow the answer to a request. It returns errUnsolicited
// unless the connection stands exactly at the end of the answer before.
func (c *targetConn) beginAnswer(method string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsolicited.Load() || c.framing != nil && !c.framing.reusable() || c.hasUnread() {
		return errUnsolicited
	}
	c.framing = newFraming(method)
	return nil
}

// pending tells whether the kernel holds unread bytes or an end of stream.
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

// receive reads from the connection and follows the answer. Both happen under
// one lock, so that begin sees each byte either in the kernel or in the framing.
func (c *targetConn) readAndFollow(p []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.follow(p[:max(n, 0)])
		return n, err
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = syscall.Read(int(fd), p)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), p)
		}
		c.follow(p[:max(n, 0)])
		return err != syscall.EAGAIN
	})
	n = max(n, 0)
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// follow passes bytes to the framing. The caller holds the lock.
func (c *targetConn) follow(p []byte) {
	if c.framing != nil {
		c.framing.feed(p)
	}
}
