package command

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/limit"
)

const (
	// prefixBytes is the part of each body that is part of the poison fingerprint. At least
	// this part is read before the request is forwarded.
	prefixBytes = 16 << 10
	// segmentBytes is the size of the buffers for what follows the prefix.
	segmentBytes = 64 << 10
	// readGrace is how long after the request's deadline a blocked read of the
	// caller's body fails. It is above 0 so that the request ends with a deadline
	// error and not with a read error.
	readGrace = 100 * time.Millisecond
)

var (
	errBodyTooLarge = errors.New("the body is larger than the route allows")
	errBodyStalled  = errors.New("the caller sent no more of the body")
	errBodyStopped  = errors.New("the VM shut down while the caller sent the body")
)

// callerBody is the body of a caller's request: the part in memory, which retries can send
// again, and the rest still to be read from the caller's connection.
type callerBody struct {
	prefix   []byte
	segments [][]byte                   // what follows the prefix in memory
	buffered bool                       // the complete body is in memory
	length   int64                      // in bytes; -1 if unknown
	limit    int64                      // maximum length in bytes
	control  *http.ResponseController   // nil if the request has no body
	deadline time.Time                  // of the request
	readTill time.Time                  // deadline that is set for reads
	held     *limit.Request             // nil without a bound
	join     func(end func()) *transfer // adds the transfer of the streamed part; end ends its reads

	announced http.Header // trailer of the request after readAhead; net/http changes it at the end of source

	detached atomic.Bool
	stopped  atomic.Bool // the VM shuts down
	eof      atomic.Bool // source was read to its end
	source   io.ReadCloser

	mu       sync.Mutex
	consumed int64       // bytes read from source
	stream   *bodyStream // nil before the first attempt and if the complete body is in memory
	ahead    aheadRead
	reader   *attemptBody // body of the newest attempt, the only one that may read from source
	readErr  error        // error that ended source early

	transfer *transfer // nil until bytes are streamed; used by fill, and by detach when no fill runs
}

// readBody reads the prefix of the body. An error means that nothing was sent to a
// target.
func (ex *exchange) readBody() error {
	b := &callerBody{source: ex.r.Body, length: ex.r.ContentLength, limit: ex.route.MaxBodyBytes, deadline: ex.deadline, held: ex.held}
	b.join = func(end func()) *transfer { return ex.h.transfers.join(ex.service.Name, end) }
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
	b.boundRead()
	b.held.AwaitBody(true)
	ex.stop.awaitBody(b)
	err := b.readAhead()
	ex.stop.awaitBody(nil)
	b.held.AwaitBody(false)
	ex.externalTime += time.Since(began)
	if err != nil {
		return ex.bodyError(err)
	}
	b.announced = maps.Clone(ex.r.Trailer)
	if b.buffered {
		_ = b.control.SetReadDeadline(time.Time{})
		return nil
	}
	return b.held.ChargeBody(streamBytes)
}

// readAhead reads the body until its end or until the part that may be in memory is full.
func (b *callerBody) readAhead() error {
	bound := max(prefixBytes, b.held.BodyBuffer())
	size := int64(prefixBytes)
	for {
		err := b.readSegment(size)
		if err != nil || b.buffered {
			return err
		}
		size = min(segmentBytes, bound-b.consumed)
		if size <= 0 || b.consumed == b.length {
			return nil
		}
	}
}

// readSegment reads at most size bytes into memory and sets buffered at the end of the body.
func (b *callerBody) readSegment(size int64) error {
	if b.length >= 0 {
		size = min(size, b.length-b.consumed)
	}
	if err := b.held.ChargeBody(size); err != nil {
		return err
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(boundedSource{b}, buf)
	if b.prefix == nil {
		b.prefix = buf[:n]
	} else {
		b.segments = append(b.segments, buf[:n])
	}
	b.consumed += int64(n)
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
		_, err = boundedSource{b}.Read(make([]byte, 1))
		b.buffered = err == io.EOF
	}
	return nil
}

// boundRead sets the deadline of the next read: that of the request, or the time by which the
// caller must have sent more. A deadline that was set less than a quarter of the stall time
// ago is kept, because setting it wakes a thread of the runtime.
func (b *callerBody) boundRead() {
	at := b.deadline.Add(readGrace)
	if stall := b.held.Stall(); stall > 0 {
		next := time.Now().Add(stall)
		if next.Sub(b.readTill) < stall/4 {
			return
		}
		if next.Before(at) {
			at = next
		}
	}
	b.readTill = at
	// This call fails only on writers without a connection, as in tests.
	_ = b.control.SetReadDeadline(at)
}

// stalled reports whether err ended a read because the caller sent nothing for the stall time.
func (b *callerBody) stalled(err error) bool {
	return b.held != nil && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(b.deadline) && !b.detached.Load() && !b.stopped.Load()
}

// boundedSource reads from the caller's connection as long as the caller makes progress.
type boundedSource struct{ body *callerBody }

// Read implements io.Reader.
func (s boundedSource) Read(p []byte) (int, error) {
	b := s.body
	if b.held == nil {
		return b.source.Read(p)
	}
	b.boundRead()
	// The deadline set here may have replaced the one with which detach or endReads ends a read.
	if b.detached.Load() {
		return 0, errBodyDetached
	}
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	ended := b.transfer != nil && b.transfer.isEnded()
	var n int
	var err error
	if !ended {
		n, err = b.source.Read(p)
	}
	if ended || b.stalled(err) {
		b.held.ReportStalledBody()
		err = errBodyStalled
	}
	return n, err
}

// bodyError converts a read error on the caller's connection into the error that is
// returned to the caller. Nothing was sent to a target yet.
func (ex *exchange) bodyError(err error) error {
	var refusal *fault.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, errNoRoomAhead):
		return fault.New(fault.Overloaded, "this VM has no room for the body while the request waits")
	case errors.Is(err, errBodyStalled):
		return fault.Wrap(err, fault.DeadlineNotRun, "the body made no progress")
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
	return b.buffered || b.stream == nil || !b.stream.taken
}

// readError returns the error that ended the body early, or nil.
func (b *callerBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr
}

// endReads ends the reads of the body because the VM shuts down.
func (b *callerBody) endReads() {
	b.stopped.Store(true)
	// This call fails only on writers without a connection, as in tests.
	_ = b.control.SetReadDeadline(time.Now())
}

// endSlow ends the reads of a body that is streamed too slowly while other requests wait.
func (b *callerBody) endSlow() {
	_ = b.control.SetReadDeadline(time.Now())
}

// readStreamed reads from source and counts the time that the caller takes.
func (b *callerBody) readStreamed(p []byte) (int, error) {
	read := func() (int, error) { return boundedSource{b}.Read(p) }
	if b.transfer == nil {
		return read()
	}
	return b.transfer.wait(read)
}

// fullyRead reports whether the body was read to its end. If not, an HTTP/1.1
// connection must not be reused: the rest would be parsed as the next request.
func (b *callerBody) fullyRead() bool {
	return b.buffered || b.eof.Load()
}

// inMemory returns the bytes in memory from offset to the end of their buffer; none at the end
// of the part in memory.
func (b *callerBody) inMemory(offset int) []byte {
	if offset < len(b.prefix) {
		return b.prefix[offset:]
	}
	offset -= len(b.prefix)
	for _, s := range b.segments {
		if offset < len(s) {
			return s[offset:]
		}
		offset -= len(s)
	}
	return nil
}

// completeReader returns a reader of a body that is completely in memory.
func (b *callerBody) completeReader() io.Reader {
	if len(b.segments) == 0 {
		return bytes.NewReader(b.prefix)
	}
	readers := []io.Reader{bytes.NewReader(b.prefix)}
	for _, s := range b.segments {
		readers = append(readers, bytes.NewReader(s))
	}
	return io.MultiReader(readers...)
}
