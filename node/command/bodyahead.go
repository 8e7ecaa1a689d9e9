package command

import (
	"context"
	"errors"
	"io"
	"time"
)

// aheadDelay is how long a request waits before the rest of its body is read into memory. Most
// waits are shorter.
const aheadDelay = 100 * time.Millisecond

var errNoRoomAhead = errors.New("no memory for the rest of the body while the request waits")

// waitWithBody runs wait, which waits for a token or a permit. Meanwhile the rest of the body is
// read, so that a caller that closes its connection is noticed: its close follows the body.
// wait must return when the context ends.
func (ex *exchange) waitWithBody(wait func(context.Context) error) error {
	b := ex.body
	// HTTP/2 tells the end of a stream apart from its body.
	if b.buffered || ex.r.ProtoMajor != 1 {
		return wait(ex.ctx)
	}
	ctx, cancel := context.WithCancel(ex.ctx)
	defer cancel()
	b.allowAhead()
	begin := time.AfterFunc(aheadDelay, func() { b.beginAhead(cancel) })
	err := wait(ctx)
	begin.Stop()
	if failed := b.endAhead(); failed != nil {
		return ex.bodyError(failed)
	}
	return err
}

// aheadRead is the state of reading a body into memory while its request waits. The mu of its
// callerBody guards it.
type aheadRead struct {
	ended   bool // the wait has ended
	running bool
	cancel  func() // ends the wait
	err     error  // why the request cannot be served any more
}

// allowAhead allows beginAhead until endAhead.
func (b *callerBody) allowAhead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ahead = aheadRead{}
}

// beginAhead starts to read the rest of the body into memory. If the body cannot be read or held,
// it calls cancel.
func (b *callerBody) beginAhead(cancel func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ahead.ended {
		return
	}
	s := b.openStream()
	if s.taken || s.err != nil {
		return
	}
	b.ahead = aheadRead{running: true, cancel: cancel}
	if len(s.unsent) > 0 {
		// Read for an earlier attempt, which did not take it.
		b.keep(s.unsent)
		s.unsent = nil
	}
	b.startFill()
}

// endAhead ends reading into memory and returns why the request cannot be served any more, or
// nil. A read in progress continues for the next attempt.
func (b *callerBody) endAhead() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.ahead.err
	b.ahead = aheadRead{ended: true}
	return err
}

// storeAhead puts what was read into memory and reads on. It returns false if the bytes are for
// an attempt. The caller holds mu and has read p, whose end is err.
func (b *callerBody) storeAhead(p []byte, err error) bool {
	if !b.ahead.running {
		return false
	}
	if err != nil && err != io.EOF {
		b.failAhead(err)
		return false
	}
	if !b.held.ChargeSpare(int64(len(p))) {
		b.failAhead(errNoRoomAhead)
		return false
	}
	b.keep(p)
	if err == nil {
		go b.fill()
		return true
	}
	b.buffered, b.length = true, b.consumed
	b.ahead.running = false
	b.stream.reading = false
	// net/http goes on reading to notice the close of the connection.
	_ = b.control.SetReadDeadline(time.Time{})
	return true
}

// failAhead ends the wait of the request. The caller holds mu.
func (b *callerBody) failAhead(err error) {
	b.ahead.running = false
	b.ahead.err = err
	b.ahead.cancel()
}

// keep copies p to the part of the body in memory. The caller holds mu.
func (b *callerBody) keep(p []byte) {
	if len(p) > 0 {
		b.segments = append(b.segments, append([]byte(nil), p...))
	}
}
