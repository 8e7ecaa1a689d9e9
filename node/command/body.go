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
	// prefixBytes of each body are read before it is forwarded. They are part of
	// the poison fingerprint, and a body within them can be sent again.
	prefixBytes = 16 << 10
	// readGrace is the time after the deadline when a blocked read of a caller's
	// body ends. It is above 0 so that the deadline itself decides the answer.
	readGrace = 100 * time.Millisecond
)

var (
	errBodyDetached = errors.New("the request has ended")
	errBodyTooLarge = errors.New("the body is larger than the route allows")
)

// callerBody is the body of a caller's request: a prefix in memory and the
// rest on the caller's connection.
type callerBody struct {
	prefix   []byte
	buffered bool // prefix is the whole body
	length   int64
	limit    int64
	control  *http.ResponseController

	detached atomic.Bool
	eof      atomic.Bool // the source is read to its end
	mu       sync.Mutex
	source   io.ReadCloser
	consumed int64 // bytes read from source
	readErr  error // why the source ended early
}

// readBody reads the prefix of the body. An error means that nothing ran.
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
		// One more read makes net/http parse the end and any trailer.
		_, err = b.source.Read(make([]byte, 1))
		b.buffered = err == io.EOF
	}
	return nil
}

// bodyFault converts an error of the caller's connection before anything ran.
func (ex *exchange) bodyError(err error) error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return fault.New(fault.TooLarge, "the body is larger than the %d bytes that the route allows", ex.route.MaxBodyBytes)
	case !time.Now().Before(ex.deadline):
		return fault.New(fault.DeadlineNotRun, "the body did not arrive before the deadline")
	}
	return fault.Wrap(err, fault.BadRequest, "the body could not be read")
}

// replayable tells whether the body can be sent from its start.
func (b *callerBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered || b.consumed == int64(len(b.prefix))
}

// err returns why the body ended early, nil when it did not.
func (b *callerBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// detach ends reads of the caller's connection: the transport may still read
// the body after an answer that came early, but not after the handler returned.
// A deadline ends a read that is blocked. Where no read is blocked, net/http
// reads and drops the rest of the body, so that the caller can read the answer.
func (b *callerBody) detach() {
	if b.buffered {
		return
	}
	b.detached.Store(true)
	if !b.mu.TryLock() {
		_ = b.control.SetReadDeadline(time.Now())
		b.mu.Lock()
	}
	b.mu.Unlock()
}

// complete tells whether the body was read to its end. If not, an HTTP/1.1
// connection must not be used again: the rest would be taken for a request.
func (b *callerBody) fullyRead() bool {
	return b.buffered || b.eof.Load()
}

// readSource reads from the caller's connection and enforces the limit.
func (b *callerBody) readSource(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.detached.Load() {
		return 0, errBodyDetached
	}
	n, err := b.source.Read(p)
	b.consumed += int64(n)
	if b.consumed > b.limit {
		err = errBodyTooLarge
	}
	b.eof.Store(err == io.EOF)
	if err != nil && err != io.EOF {
		b.readErr = err
	}
	return n, err
}

// attemptBody sends the body to one target: the prefix, then the rest. It has
// no GetBody, so net/http cannot rewind it.
type attemptBody struct {
	body   *callerBody
	offset int
	onEOF  func()
}

// Read returns the next bytes. At the end it publishes the trailer.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.offset < len(a.body.prefix) {
		n := copy(p, a.body.prefix[a.offset:])
		a.offset += n
		return n, nil
	}
	n, err := 0, io.EOF
	if !a.body.buffered {
		n, err = a.body.readSource(p)
	}
	if err == io.EOF {
		a.onEOF()
	}
	return n, err
}

// Close does nothing; the server closes the caller's body.
func (a *attemptBody) Close() error {
	return nil
}
