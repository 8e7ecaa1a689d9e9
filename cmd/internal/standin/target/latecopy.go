package target

import (
	"bytes"
	"net"
	"time"
)

// copyingListener accepts connections that may send an answer a second time.
type copyingListener struct {
	net.Listener
	target *Target
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &copyingConn{TCPConn: tcp, target: l.target}, err
	}
	return c, err
}

// copyingConn is a connection that remembers the last answer if net/http wrote it at
// once, as it does up to about 4 KB.
type copyingConn struct {
	*net.TCPConn
	target *Target
	former []byte
}

// Write writes p. If p starts an answer, a late copy of the former one may precede it.
func (c *copyingConn) Write(p []byte) (int, error) {
	former := c.former
	c.former = nil
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.TCPConn.Write(p)
	}
	c.former = bytes.Clone(p)
	f := c.target.activeFault(time.Now())
	if former != nil && c.target.random.chance(f.LateCopyPercent) {
		c.target.recordLateCopy()
		if _, err := c.TCPConn.Write(former); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}
