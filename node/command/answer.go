package command

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

const (
	// maxBufferedBytes is the size up to which an answer is read completely before its
	// status is sent, so that a truncated answer can be replaced by an error.
	maxBufferedBytes = 64 << 10
	// answerPrefixBytes is the size of the buffer that shows whether an answer is longer.
	answerPrefixBytes = maxBufferedBytes + 1
	// writeGrace is how long after the deadline a caller may read the rest of its
	// answer.
	writeGrace = 10 * time.Second
)

// deliver forwards the answer of a target, which checkAnswer accepted, to the caller. It
// releases the permit if the answer is complete and otherwise returns the failure. An error
// status (5xx) of an idempotent request is not delivered if a retry is allowed or another
// attempt is still running.
func (a *attempt) deliver(resp *http.Response, othersRunning bool) *failure {
	a.exchange.targetBody = countBody(resp)
	defer resp.Body.Close()
	if f := a.replaceableFailure(resp, othersRunning); f != nil {
		return f
	}
	buf, done := prefixBuffer(resp)
	defer done()
	defer a.exchange.held.HoldResponse(int64(len(buf)))()
	body, err := readAnswerPrefix(resp, buf)
	a.targetTime += time.Since(a.writtenAt())
	if err != nil && err != io.EOF {
		return a.truncatedFailure(err)
	}
	if err == io.EOF {
		a.releaseCompleted(resp)
		a.exchange.storeAnswer(resp, body)
		a.exchange.sendBuffered(resp, body)
		return nil
	}
	return a.stream(resp, buf, len(body))
}

// releaseCompleted releases the permit with the outcome of a complete answer.
func (a *attempt) releaseCompleted(resp *http.Response) {
	outcome := node.OutcomeOK
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = node.OutcomeError
	}
	a.permit.Release(outcome, a.latency)
}

// checkAnswer returns the failure of an answer that must not be delivered, and closes it.
func (a *attempt) checkAnswer(resp *http.Response) *failure {
	f := a.validateAnswer(resp)
	if f != nil {
		_ = resp.Body.Close()
	}
	return f
}

// validateAnswer returns a failure for an answer that belongs to another request, that has no
// final status, that says the request did not run, that is not confirmed to come from the target, that has a
// Content-Encoding which the caller did not request, or whose end cannot be verified.
func (a *attempt) validateAnswer(resp *http.Response) *failure {
	if mergedAnswers(resp) {
		return a.unusableFailure("the answer of the target begins with bytes of another one")
	}
	if !isFinalStatus(resp.StatusCode) && resp.StatusCode != http.StatusSwitchingProtocols {
		return a.unusableFailure(fmt.Sprintf("the answer of the target has status %03d, which is no final HTTP status", resp.StatusCode))
	}
	d := a.exchange.h.cfg.Dialect
	echo := resp.Header.Get(d.RequestID)
	if echo != a.exchange.id && (echo != "" || d.RequireRequestIDEcho) {
		return a.unusableFailure("the answer of the target has the ID of another request")
	}
	switch d.Classify(resp) {
	case wire.NotRun:
		return a.notRunFailure(resp, node.OutcomeShed, "the target sheds load")
	case wire.Misdirected:
		return a.notRunFailure(resp, node.OutcomeUnreachable, "another target is listening on the address")
	case wire.Unverified:
		return a.unusableFailure("the answer is not confirmed to come from the selected target")
	}
	if resp.Header.Get("Content-Encoding") != "" && a.exchange.r.Header.Get("Accept-Encoding") == "" {
		return a.unusableFailure("the answer has a Content-Encoding that the caller did not request")
	}
	endless := !hasVerifiableEnd(resp) && !d.AllowCloseDelimited
	if resp.StatusCode == http.StatusSwitchingProtocols || endless {
		return a.truncatedFailure(errNoFraming)
	}
	return nil
}

// unusableFailure returns the failure of an answer that must not be delivered.
func (a *attempt) unusableFailure(detail string) *failure {
	return &failure{
		err:         fault.New(fault.OutcomeUnknown, "%s", detail),
		outcome:     node.OutcomeTruncated,
		ran:         fault.RanUnknown,
		retry:       retryIfIdempotent,
		avoidTarget: true,
	}
}

// replaceableFailure returns the failure of an answer with an error status (5xx) if
// another attempt may replace it, else nil.
func (a *attempt) replaceableFailure(resp *http.Response, othersRunning bool) *failure {
	if resp.StatusCode < http.StatusInternalServerError || !a.exchange.idempotent() || a.exchange.recordPending {
		return nil
	}
	f := &failure{
		err:         fault.New(fault.OutcomeUnknown, "the target answered with status %d", resp.StatusCode),
		outcome:     node.OutcomeError,
		ran:         fault.RanYes,
		retry:       retryIfIdempotent,
		avoidTarget: true,
	}
	if othersRunning {
		return f
	}
	if f.retryApproved = a.exchange.mayRetry(f); f.retryApproved {
		return f
	}
	return nil
}

func hasVerifiableEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || slices.Contains(resp.TransferEncoding, "chunked")
}

// truncatedFailure returns the failure of an answer that ended before it was complete.
func (a *attempt) truncatedFailure(err error) *failure {
	f := &failure{outcome: node.OutcomeTruncated, ran: fault.RanYes, retry: retryIfIdempotent, avoidTarget: true}
	f.err = fault.Wrap(err, fault.AnswerIncomplete, "the answer of the target was truncated")
	if !time.Now().Before(a.exchange.deadline) {
		f.outcome = node.OutcomeTimeout
	} else if a.exchange.r.Context().Err() != nil || a.exchange.stop.isEnded() {
		f.outcome = node.OutcomeCanceled
	}
	return f
}

// prefixBuffers holds buffers for the first maxBufferedBytes of an answer and one more
// byte, which shows whether the answer is longer.
var prefixBuffers = sync.Pool{New: func() any { return new([answerPrefixBytes]byte) }}

// smallAnswerBytes is the Content-Length up to which an answer gets a buffer of its
// own. Each garbage collection empties the pool, so using large pooled buffers for small
// answers would make collections frequent.
const smallAnswerBytes = 4 << 10

// prefixBuffer returns a buffer for readAnswerPrefix and the function that releases it.
func prefixBuffer(resp *http.Response) (buf []byte, done func()) {
	if resp.Body == http.NoBody {
		return nil, func() {}
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= smallAnswerBytes {
		return make([]byte, resp.ContentLength+1), func() {}
	}
	pooled := prefixBuffers.Get().(*[answerPrefixBytes]byte)
	return pooled[:], func() { prefixBuffers.Put(pooled) }
}

// readAnswerPrefix reads the answer into buf. The error is io.EOF if buf holds the
// complete answer and nil if the answer is longer than maxBufferedBytes.
func readAnswerPrefix(resp *http.Response, buf []byte) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, io.EOF
	}
	if resp.ContentLength > maxBufferedBytes {
		return nil, nil
	}
	n := 0
	for n < len(buf) {
		got, err := resp.Body.Read(buf[n:])
		n += got
		if err == io.EOF && resp.ContentLength >= 0 && int64(n) != resp.ContentLength {
			return nil, errTruncated
		}
		if err != nil {
			return buf[:n], err
		}
	}
	return buf, nil
}

var errTruncated = errors.New("answer ended before its Content-Length")

// copyHeader copies the end-to-end header of resp to the answer for the caller.
func (ex *exchange) copyHeader(resp *http.Response) {
	out := ex.w.Header()
	clean := endToEndHeader(resp.Header)
	removeFleetHeaders(clean)
	for name, values := range clean {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting a content type.
		out["Content-Type"] = nil
	}
	ex.setConnectionClose()
}

// setConnectionClose requests that the caller's connection be closed after the answer
// if the VM is shutting down, or if the rest of the request body may still follow on an
// HTTP/1.1 connection.
func (ex *exchange) setConnectionClose() {
	unread := ex.r.ProtoMajor == 1 && ex.body != nil && !ex.body.fullyRead()
	if unread || ex.h.draining.Load() {
		ex.w.Header().Set("Connection", "close")
	}
}

// sendBuffered sends an answer whose complete body is in memory.
func (ex *exchange) sendBuffered(resp *http.Response, body []byte) {
	ex.copyHeader(resp)
	bodyless := resp.Body == http.NoBody && ex.r.Method == http.MethodHead
	if len(resp.Trailer) > 0 {
		ex.announceTrailer(resp)
	} else if !bodyless && allowsBody(resp.StatusCode) {
		ex.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	ex.sendStatus(resp.StatusCode)
	if len(body) > 0 {
		ex.boundStreamWrite(http.NewResponseController(ex.w))
		// countingWriter records a write error of a disconnected caller.
		_, _ = ex.w.Write(body)
	}
	ex.sendTrailer(resp)
}

// allowsBody reports whether an answer with this status may have a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// sendStatus sends the status line and observes the latency added by the fleet.
func (ex *exchange) sendStatus(status int) {
	ex.statusSent = true
	_ = http.NewResponseController(ex.w).SetWriteDeadline(ex.deadline.Add(writeGrace))
	ex.h.cfg.Metrics.AddedLatency(time.Since(ex.start) - ex.externalTime)
	ex.w.WriteHeader(status)
}

func (ex *exchange) announceTrailer(resp *http.Response) {
	names := make([]string, 0, len(resp.Trailer))
	for name := range resp.Trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	ex.w.Header().Set("Trailer", strings.Join(names, ", "))
}

func (ex *exchange) sendTrailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		ex.w.Header()[http.TrailerPrefix+name] = values
	}
}

// stream forwards an answer that is too long to buffer; its first n bytes are in buf.
// The status is sent before the answer is complete, so a truncated answer ends the
// caller's connection or HTTP/2 stream with an error.
func (a *attempt) stream(resp *http.Response, buf []byte, n int) *failure {
	ex := a.exchange
	ex.copyHeader(resp)
	if len(resp.Trailer) > 0 {
		ex.announceTrailer(resp)
	}
	ex.sendStatus(resp.StatusCode)
	toCaller, fromTarget := ex.copyAnswer(resp.Body, buf, n)
	if fromTarget == nil && toCaller == nil {
		a.releaseCompleted(resp)
		ex.sendTrailer(resp)
		return nil
	}
	if toCaller != nil {
		return &failure{
			err:     fault.Wrap(toCaller, fault.AnswerIncomplete, "the answer could not be written to the caller"),
			outcome: node.OutcomeCanceled,
			ran:     fault.RanYes,
		}
	}
	return a.truncatedFailure(fromTarget)
}

// copyAnswer writes the first n bytes of buf and then the rest of from to the caller, and
// flushes after each write.
func (ex *exchange) copyAnswer(from io.Reader, buf []byte, n int) (toCaller, fromTarget error) {
	control := http.NewResponseController(ex.w)
	// This call fails only on writers without a connection, as in tests.
	t := ex.h.transfers.join(ex.service.Name, func() { _ = control.SetWriteDeadline(time.Now()) })
	defer t.leave()
	for {
		if n > 0 {
			if err := ex.writePieces(control, t, buf[:n]); err != nil {
				return err, nil
			}
			if _, err := t.wait(func() (int, error) { return 0, control.Flush() }); err != nil {
				return err, nil
			}
		}
		if fromTarget != nil {
			break
		}
		n, fromTarget = from.Read(buf)
	}
	if fromTarget == io.EOF {
		return nil, nil
	}
	return nil, fromTarget
}

// pieceBytes is the part of a response on HTTP/2 after which its caller counts as progressing.
// With one deadline for a whole buffer, a caller that reads 5 KiB/s would be cut off. The
// connection bounds writes of HTTP/1, where pieces would only cost further system calls.
const pieceBytes = minTransferBytes

var errResponseSlow = errors.New("the caller reads too slowly while other requests wait")

// writePieces writes p to the caller and counts the time that the caller takes.
func (ex *exchange) writePieces(control *http.ResponseController, t *transfer, p []byte) error {
	size := len(p)
	if ex.r.ProtoMajor >= 2 {
		size = pieceBytes
	}
	for len(p) > 0 {
		piece := p[:min(size, len(p))]
		p = p[len(piece):]
		ex.boundStreamWrite(control)
		if t.isEnded() {
			// The deadline set here may have replaced the one that ends the transfer.
			return errResponseSlow
		}
		n, err := t.wait(func() (int, error) { return ex.w.Write(piece) })
		if err != nil || n < len(piece) {
			return errors.Join(err, io.ErrShortWrite)
		}
	}
	return nil
}

// boundStreamWrite bounds the wait for an HTTP/2 caller that reads nothing of its stream. The
// connection itself bounds writes of HTTP/1.
func (ex *exchange) boundStreamWrite(control *http.ResponseController) {
	stall := ex.held.Stall()
	if stall == 0 || ex.r.ProtoMajor == 1 {
		return
	}
	deadline := ex.deadline.Add(writeGrace)
	if at := time.Now().Add(stall); at.Before(deadline) {
		deadline = at
	}
	// This call fails only on writers without a connection, as in tests.
	_ = control.SetWriteDeadline(deadline)
}
