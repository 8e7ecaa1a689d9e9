package command

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

var (
	errNoRequest    = errors.New("no request on this connection")
	errReplay       = errors.New("the transport tried to write the request again")
	errUnsolicited  = errors.New("the connection carries bytes that answer no request")
	errAttemptEnded = errors.New("the attempt has ended")
	errIdleTooLong  = errors.New("the connection was idle for too long")
)

// gate guards the writes of one attempt. It runs the last checks right before
// the first byte, binds the attempt to one connection, and so keeps net/http
// from silently writing a request again on another one.
type writeGuard struct {
	// check runs before the first byte; a non-nil error stops the write.
	check func() error
	// inspect sees the request header as far as it is known; last is true when
	// it is complete. A non-nil error stops the write.
	checkHeader func(header []byte, last bool) error

	// method is the method of the request.
	method string
	// maxIdle refuses connections that were idle for longer; 0 for no limit.
	maxIdle time.Duration

	mu           sync.Mutex
	conn         *targetConn
	started      bool   // a byte may have been written
	answered     bool   // a byte of the answer arrived
	connUnusable bool   // the last write was refused because of its connection
	firstByte    bool   // the write in progress holds the first byte
	header       []byte // earlier chunks of a header that spans several writes
	headerDone   bool
	closed       bool
	refusal      error
	writtenAt    time.Time
}

// open lets p pass to c or returns why not.
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
		if err := c.beginAnswer(g.method); err != nil {
			g.connUnusable = true
			return err
		}
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

// headerEnd ends the header of an HTTP/1.1 request.
var headerEnd = []byte("\r\n\r\n")

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

// nothingWritten takes back a first write that failed without a byte sent.
func (g *writeGuard) undoFirstWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstByte {
		g.started = false
		g.headerDone = false
		g.header = nil
		g.writtenAt = time.Time{}
		g.conn = nil
	}
}

// answerArrived notes bytes that arrived on c. It returns false when the
// request was not written on c, or its attempt has ended.
func (g *writeGuard) recordAnswer(c *targetConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !g.started || g.conn != c {
		return false
	}
	g.answered = true
	return true
}

// takeUnusable tells whether the last write was refused because of the
// connection alone, and nothing was written since.
func (g *writeGuard) takeConnUnusable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	unusable := g.connUnusable && !g.started
	g.connUnusable = false
	return unusable
}

// sealed is what an attempt did.
type attemptSummary struct {
	written  bool  // a byte may have been written
	answered bool  // a byte of the answer arrived
	refusal  error // what stopped the write
}

// seal ends the attempt: no further byte passes.
func (g *writeGuard) close() attemptSummary {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.check = nil
	g.checkHeader = nil
	g.header = nil
	return attemptSummary{written: g.started, answered: g.answered, refusal: g.refusal}
}
