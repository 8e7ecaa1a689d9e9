package command

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

var (
	errNoRequest    = errors.New("write on a target connection that has no request")
	errReplay       = errors.New("transport tried to write the request a second time")
	errUnsolicited  = errors.New("target sent bytes that belong to no request")
	errAttemptEnded = errors.New("write after the attempt has ended")
	errIdleTooLong  = errors.New("connection was idle too long for a non-idempotent request")
	errCarriedID    = errors.New("connection has carried a request with the same ID")
	errWornOut      = errors.New("connection has carried the maximum number of requests")
)

// writeGuard controls the writes of one attempt. It runs the final checks
// immediately before the first byte and binds the attempt to one connection, which
// prevents net/http from silently replaying the request on another one.
type writeGuard struct {
	// check runs before the first byte is written; an error prevents the write.
	check func() error
	// checkHeader is called before each write of header bytes, with the request
	// header up to and including that write; complete is true at the end of the
	// header. An error prevents the write.
	checkHeader func(header []byte, complete bool) error

	// method is the method of the request, echo how its answer repeats the request ID.
	method string
	echo   requestEcho
	// maxIdle is the longest idle time of a connection that may be used; 0 means no
	// limit.
	maxIdle time.Duration

	mu            sync.Mutex
	body          *attemptBody // nil if the caller's body is in memory and has no trailer
	conn          *targetConn
	requestOnConn int    // number of the request on conn, from 1
	undone        int    // first writes that sent nothing
	started       bool   // a byte may have been written
	answered      bool   // a byte of the answer was received
	connUnusable  bool   // the connection of the last write could not be used
	firstByte     bool   // the write in progress includes the first byte
	header        []byte // earlier chunks of a header that spans several writes
	headerDone    bool
	closed        bool      // the attempt has ended
	refusal       error     // error that prevented the write
	writtenAt     time.Time // time of the first write; zero if there was none
}

// allowWrite returns nil if p may be written to c, else the reason why not.
func (g *writeGuard) allowWrite(c *targetConn, p []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return errAttemptEnded
	case g.started && g.conn != c:
		return errReplay
	case g.refusal != nil:
		return g.refusal
	case !g.started && g.maxIdle > 0 && c.idle() > g.maxIdle:
		g.connUnusable = true
		return errIdleTooLong
	}
	if !g.started {
		number, err := c.beginAnswer(g.method, g.echo)
		if err != nil {
			g.connUnusable = true
			return err
		}
		g.requestOnConn = number
		if g.refusal = g.check(); g.refusal != nil {
			return g.refusal
		}
	}
	if err := g.scanHeader(p); err != nil {
		g.refusal = err
		return err
	}
	g.firstByte = !g.started
	if !g.started {
		g.writtenAt = time.Now()
	}
	g.started = true
	g.conn = c
	return nil
}

// headerEnd terminates the header of an HTTP/1.1 request.
var headerEnd = []byte("\r\n\r\n")

// scanHeader passes the request header, collected over several writes, to checkHeader.
func (g *writeGuard) scanHeader(p []byte) error {
	if g.headerDone || g.checkHeader == nil {
		return nil
	}
	header := p
	if len(g.header) > 0 {
		g.header = append(g.header, p...)
		header = g.header
	}
	end := bytes.Index(header, headerEnd)
	if end >= 0 {
		g.headerDone = true
		return g.checkHeader(header[:end+len(headerEnd)], true)
	}
	if len(g.header) == 0 {
		g.header = append(g.header, p...)
	}
	return g.checkHeader(header, false)
}

// setBody sets the body whose reads end with the connection.
func (g *writeGuard) setBody(body *attemptBody) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.body = body
}

// connEnded ends the reads of the caller's body if the request was written to c. net/http
// reports the loss of a connection only once its write loop has returned, which may be waiting
// for the caller's body.
func (g *writeGuard) connEnded(c *targetConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == c && g.body != nil {
		g.body.end(errTargetClosed)
	}
}

// undoFirstWrite resets the guard after a first write that failed without sending
// a byte. It reports whether the failed write was the first one.
func (g *writeGuard) undoFirstWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstByte {
		g.started = false
		g.headerDone = false
		g.header = nil
		g.writtenAt = time.Time{}
		g.conn = nil
		g.undone++
	}
	return g.firstByte
}

// recordAnswer records that bytes were received on c. It returns false if the
// request was not written to c or the attempt has ended.
func (g *writeGuard) recordAnswer(c *targetConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !g.started || g.conn != c {
		return false
	}
	g.answered = true
	return true
}

// takeConnUnusable reports whether the last write was refused only because of its
// connection and nothing has been written since. It clears the flag.
func (g *writeGuard) takeConnUnusable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	unusable := g.connUnusable && !g.started
	g.connUnusable = false
	return unusable
}

// attemptSummary is the state of a writeGuard at the end of its attempt.
type attemptSummary struct {
	written  bool  // a byte may have been written
	answered bool  // a byte of the answer was received
	refusal  error // error that prevented the write
}

// close ends the attempt: later writes and reads are refused.
func (g *writeGuard) close() attemptSummary {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.check = nil
	g.checkHeader = nil
	g.header = nil
	return attemptSummary{written: g.started, answered: g.answered, refusal: g.refusal}
}
