package command

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

const (
	// prefixBytes is how much of each body is read before the request is forwarded.
	// The prefix is part of the poison fingerprint; a body that fits into it can be
	// sent again by a retry.
	prefixBytes = 16 << 10
	// readGrace is how long after the request's deadline a blocked read of the
	// caller's body fails. It is above 0 so that the request ends with a deadline
	// error and not with a read error.
	readGrace = 100 * time.Millisecond
)

var (
	errBodyDetached = errors.New("read of the caller's body after its request has ended")
	errBodyTaken    = errors.New("the rest of the caller's body belongs to another attempt")
	errBodyTooLarge = errors.New("the body is larger than the route allows")
)

// callerBody is the body of a caller's request: a prefix in memory and the rest
// still to be read from the caller's connection.
type callerBody struct {
	prefix   []byte
	buffered bool                     // prefix is the complete body
	length   int64                    // in bytes; -1 if unknown
	limit    int64                    // maximum length in bytes
	control  *http.ResponseController // nil if the request has no body

	detached atomic.Bool
	eof      atomic.Bool // source was read to its end
	reading  sync.Mutex  // held during a read from source
	source   io.ReadCloser

	mu       sync.Mutex
	consumed int64        // bytes read from source
	begun    bool         // an attempt has begun to read what follows the prefix
	reader   *attemptBody // body of the newest attempt, the only one that may read from source
	readErr  error        // error that ended source early
}

// readBody reads the prefix of the body. An error means that nothing was sent to a
// target.
func (ex *exchange) readBody() error {
	b := &callerBody{source: ex.r.Body, length: ex.r.ContentLength, limit: ex.route.MaxBodyBytes}
	ex.body = b
	if ex.r.Body == nil || ex.r.Body == http.NoBody {
		b.buffered = true
		b.length = 0
		return nil
	}
	began := time.Now()
	b.control = http.NewResponseController(ex.w)
	// These calls fail only on writers without a connection, as in tests.
	_ = b.control.EnableFullDuplex()
	_ = b.control.SetReadDeadline(ex.deadline.Add(readGrace))
	err := b.readPrefix()
	ex.externalTime += time.Since(began)
	if err != nil {
		return ex.bodyError(err)
	}
	if b.buffered {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return nil
}

func (b *callerBody) readPrefix() error {
	size := int64(prefixBytes)
	if b.length >= 0 && b.length < size {
		size = b.length
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(b.source, buf)
	b.prefix = buf[:n]
	b.consumed = int64(n)
	if b.consumed > b.limit {
		return errBodyTooLarge
	}
	if err == io.EOF || err == io.ErrUnexpectedEOF && b.length < 0 {
		b.buffered = true
		b.length = b.consumed
		return nil
	}
	if err != nil {
		return err
	}
	if b.length >= 0 && b.length == b.consumed {
		// Another read makes net/http parse the end of the body and any trailer.
		_, err = b.source.Read(make([]byte, 1))
		b.buffered = err == io.EOF
	}
	return nil
}

// bodyError converts a read error on the caller's connection into the error that is
// returned to the caller. Nothing was sent to a target yet.
func (ex *exchange) bodyError(err error) error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return fault.New(fault.TooLarge, "the body is larger than the %d bytes that the route allows", ex.route.MaxBodyBytes)
	case !time.Now().Before(ex.deadline):
		return fault.New(fault.DeadlineNotRun, "the body did not arrive before the deadline")
	}
	return fault.Wrap(err, fault.BadRequest, "the body could not be read")
}

// replayable reports whether the body can still be sent from its start.
func (b *callerBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered || !b.begun
}

// readError returns the error that ended the body early, or nil.
func (b *callerBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// detach ends reads from the caller's connection. After an early answer the
// transport may still be reading the body, which is not allowed once the handler
// has returned. A blocked read is ended by a read deadline. If no read is blocked,
// net/http reads and discards the rest of the body, so that the caller can read the
// answer.
func (b *callerBody) detach() {
	if b.buffered {
		return
	}
	b.detached.Store(true)
	if !b.reading.TryLock() {
		_ = b.control.SetReadDeadline(time.Now())
		b.reading.Lock()
	}
	b.reading.Unlock()
}

// fullyRead reports whether the body was read to its end. If not, an HTTP/1.1
// connection must not be reused: the rest would be parsed as the next request.
func (b *callerBody) fullyRead() bool {
	return b.buffered || b.eof.Load()
}

// forAttempt returns the body for the newest attempt and calls onEOF at its end. The bodies of
// earlier attempts get no further bytes.
func (b *callerBody) forAttempt(onEOF func()) *attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &attemptBody{body: b, onEOF: onEOF, gap: b.begun}
	return b.reader
}

// endAttempt ends the reads of the newest attempt, so that the body can be sent again by the
// next one.
func (b *callerBody) endAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
}

// readSource reads from the caller's connection for the attempt with body a and enforces the
// limit.
func (b *callerBody) readSource(a *attemptBody, p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if err := b.beginRead(a); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	return n, b.endRead(n, err)
}

// beginRead returns an error unless the attempt with body a may read from source.
func (b *callerBody) beginRead(a *attemptBody) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detached.Load() {
		return errBodyDetached
	}
	if a != b.reader {
		return errBodyTaken
	}
	if a.gap {
		b.readErr = errBodyTaken
		return errBodyTaken
	}
	b.begun = true
	return nil
}

// endRead records a read of n bytes that ended with err, and returns err or the error of a
// body above the limit.
func (b *callerBody) endRead(n int, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed += int64(n)
	if b.consumed > b.limit {
		err = errBodyTooLarge
	}
	b.eof.Store(err == io.EOF)
	if err != nil && err != io.EOF {
		b.readErr = err
	}
	return err
}

// attemptBody reads the body for one attempt: first the prefix, then the rest. The
// request has no GetBody, so that net/http cannot rewind and resend the body.
type attemptBody struct {
	body   *callerBody
	offset int
	onEOF  func()
	gap    bool // an earlier attempt has read bytes that follow the prefix
}

// Read implements io.Reader. At the end of the body it calls onEOF.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.offset < len(a.body.prefix) {
		n := copy(p, a.body.prefix[a.offset:])
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

// Close does nothing, because the server closes the caller's body.
func (a *attemptBody) Close() error {
	return nil
}
