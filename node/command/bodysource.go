package command

import (
	"errors"
	"io"
	"sync"
	"time"
)

// streamBytes is the size of the buffer for the part of a body that does not fit in memory. The
// transport of net/http copies bodies in pieces of the same size.
const streamBytes = 32 << 10

var (
	errBodyDetached = errors.New("read of the caller's body after its request has ended")
	errBodyTaken    = errors.New("the rest of the caller's body belongs to another attempt")
	errTargetClosed = errors.New("the connection to the target ended while the caller was sending the body")
)

// bodyStream is the part of a caller's body that does not fit in memory. The mu of its callerBody
// guards it.
type bodyStream struct {
	changed sync.Cond // of the fields below, and of whose turn it is to read
	reading bool      // fill runs
	buf     []byte    // used by fill
	unsent  []byte    // part of buf that was read and that no attempt has taken
	err     error     // error or io.EOF that follows unsent; nil while the body continues
	taken   bool      // an attempt has taken bytes of the stream
}

// wake lets readers check whether they may still read.
func (s *bodyStream) wake() {
	if s != nil {
		s.changed.Broadcast()
	}
}

// forAttempt returns the body for the newest attempt and calls onEOF at its end. The bodies of
// earlier attempts get no further bytes.
func (b *callerBody) forAttempt(onEOF func()) *attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.buffered {
		b.openStream()
	}
	b.reader = &attemptBody{body: b, onEOF: onEOF, gap: b.stream != nil && b.stream.taken}
	b.stream.wake()
	return b.reader
}

// openStream returns the stream and creates it if necessary. The caller holds mu.
func (b *callerBody) openStream() *bodyStream {
	if b.stream == nil {
		b.stream = &bodyStream{changed: sync.Cond{L: &b.mu}}
	}
	return b.stream
}

// endAttempt ends the reads of the newest attempt, so that the body can be sent again by the
// next one. A read from the caller's connection that is in progress continues for that one.
func (b *callerBody) endAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
	b.stream.wake()
}

// detach ends reads from the caller's connection. After an early answer a read may still be in
// progress, which is not allowed once the handler has returned. It is ended by a read deadline.
// If no read is in progress, net/http reads and discards the rest of the body, so that the
// caller can read the answer.
func (b *callerBody) detach() {
	if b.buffered {
		return
	}
	b.detached.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stream.wake()
	if b.stream != nil && b.stream.reading {
		_ = b.control.SetReadDeadline(time.Now())
		for b.stream.reading {
			b.stream.changed.Wait()
		}
	}
	b.transfer.leave()
}

// readSource returns bytes that follow the part in memory to the attempt with body a. The read
// from the caller's connection runs in a goroutine of its own: when the attempt ends, the
// transport waits for this method, while the read lasts until the caller sends more.
func (b *callerBody) readSource(a *attemptBody, p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stream
	for {
		if err := b.mayRead(a); err != nil {
			return 0, err
		}
		if len(s.unsent) > 0 {
			n := copy(p, s.unsent)
			s.unsent = s.unsent[n:]
			s.taken = true
			// Reading on while the bytes are sent detects a caller that closes its connection
			// also while the target does not read.
			b.startFill()
			return n, nil
		}
		if s.err != nil {
			return 0, s.err
		}
		b.startFill()
		s.changed.Wait()
	}
}

// startFill starts the next read from the caller's connection unless bytes of the last one are
// left, the body has ended or a read is in progress. The caller holds mu.
func (b *callerBody) startFill() {
	if s := b.stream; len(s.unsent) == 0 && s.err == nil && !s.reading {
		s.reading = true
		go b.fill()
	}
}

// mayRead returns an error unless the attempt with body a may get further bytes. The caller
// holds mu.
func (b *callerBody) mayRead(a *attemptBody) error {
	switch {
	case b.detached.Load():
		return errBodyDetached
	case a.ended != nil:
		return a.ended
	case a != b.reader:
		return errBodyTaken
	case a.gap:
		b.readErr = errBodyTaken
		return errBodyTaken
	}
	return nil
}

// fill reads once from the caller's connection, for the newest attempt or the one that follows
// it, and enforces the limit.
func (b *callerBody) fill() {
	s := b.stream
	if s.buf == nil {
		s.buf = make([]byte, streamBytes)
	}
	b.joinTransfer()
	b.held.AwaitBody(true)
	n, err := b.readStreamed(s.buf)
	b.held.AwaitBody(false)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed += int64(n)
	if b.consumed > b.limit {
		n, err = 0, errBodyTooLarge
	}
	b.eof.Store(err == io.EOF)
	if b.storeAhead(s.buf[:n], err) {
		return
	}
	s.unsent = s.buf[:n]
	s.err = err
	if err != nil && err != io.EOF {
		b.readErr = err
	}
	s.reading = false
	s.wake()
}

// joinTransfer adds the body to the transfers once it is streamed to a target.
func (b *callerBody) joinTransfer() {
	b.mu.Lock()
	waits := b.ahead.running
	b.mu.Unlock()
	if b.transfer == nil && b.held != nil && !waits {
		b.transfer = b.join(b.endSlow)
	}
}

// attemptBody reads the body for one attempt: first the part in memory, then the rest. The
// request has no GetBody, so that net/http cannot rewind and resend the body.
type attemptBody struct {
	body   *callerBody
	offset int
	onEOF  func()
	gap    bool  // an earlier attempt has sent bytes that follow the part in memory
	ended  error // why the attempt gets no further bytes; guarded by body.mu
}

// Read implements io.Reader. At the end of the body it calls onEOF.
func (a *attemptBody) Read(p []byte) (int, error) {
	if rest := a.body.inMemory(a.offset); len(rest) > 0 {
		n := copy(p, rest)
		a.offset += n
		return n, nil
	}
	n, err := 0, io.EOF
	if !a.body.buffered {
		n, err = a.body.readSource(a, p)
	}
	if err == io.EOF {
		a.onEOF()
	}
	return n, err
}

// end makes reads of bytes that follow the part in memory fail with err, also one that waits.
func (a *attemptBody) end(err error) {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.ended = err
	a.body.stream.wake()
}

// Close does nothing, because the server closes the caller's body.
func (a *attemptBody) Close() error {
	return nil
}
