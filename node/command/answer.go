package command

import (
	"errors"
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
	// maxKeptBytes is the largest answer that is read completely before its
	// status is sent, so that a cut answer becomes a clear error.
	maxBufferedBytes = 64 << 10
	// writeGrace is the time after the deadline until which a caller may take
	// the rest of its answer.
	writeGrace = 10 * time.Second
)

// deliver passes the answer of a target to the caller. It releases the permit
// when the answer is complete; otherwise it returns the failure.
// An error of the target is not delivered when a retry may replace it, or when
// another attempt is still open.
func (a *attempt) deliver(resp *http.Response, othersOpen bool) *failure {
	a.exchange.targetBody = countBody(resp)
	defer resp.Body.Close()
	if f := a.validateAnswer(resp); f != nil {
		return f
	}
	if f := a.replaceableFailure(resp, othersOpen); f != nil {
		return f
	}
	buf, done := prefixBuffer(resp)
	defer done()
	head, err := readAnswerPrefix(resp, buf)
	a.targetTime += time.Since(a.writtenAt())
	if err != nil && err != io.EOF {
		return a.truncatedFailure(err)
	}
	if err == io.EOF {
		a.releaseCompleted(resp)
		a.exchange.storeAnswer(resp, head)
		a.exchange.sendBuffered(resp, head)
		return nil
	}
	return a.stream(resp, buf, len(head))
}

// release reports a complete answer.
func (a *attempt) releaseCompleted(resp *http.Response) {
	outcome := node.OutcomeOK
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = node.OutcomeError
	}
	a.permit.Release(outcome, a.latency)
}

// checkAnswer refuses answers whose end cannot be verified or that belong to
// another request.
func (a *attempt) validateAnswer(resp *http.Response) *failure {
	d := a.exchange.h.cfg.Dialect
	echo := resp.Header.Get(d.RequestID)
	if echo != a.exchange.id && (echo != "" || d.EchoRequired) {
		return a.unusableFailure("the target answered another request")
	}
	switch d.Read(resp) {
	case wire.NotRun:
		return a.notRunFailure(resp, node.OutcomeShed, "the target sheds load")
	case wire.Misdirected:
		return a.notRunFailure(resp, node.OutcomeUnreachable, "another target has the address")
	case wire.Unproven:
		return a.unusableFailure("the answer does not prove that it is the target's")
	}
	if resp.Header.Get("Content-Encoding") != "" && a.exchange.r.Header.Get("Accept-Encoding") == "" {
		return a.unusableFailure("the answer has an encoding that the caller did not ask for")
	}
	endless := !hasVerifiableEnd(resp) && !d.EndByClose
	if resp.StatusCode == http.StatusSwitchingProtocols || endless {
		return a.truncatedFailure(errNoFraming)
	}
	return nil
}

// unusable is the failure of an answer that must not reach the caller.
func (a *attempt) unusableFailure(detail string) *failure {
	return &failure{
		err:         fault.New(fault.OutcomeUnknown, "%s", detail),
		outcome:     node.OutcomeTruncated,
		ran:         fault.RanUnknown,
		retry:       retryIfIdempotent,
		avoidTarget: true,
	}
}

// replaceable returns the failure of a target's own error when another attempt
// may give a better answer, else nil.
func (a *attempt) replaceableFailure(resp *http.Response, othersOpen bool) *failure {
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
	if othersOpen {
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

// truncated is the failure of an answer that was cut before its status was
// sent to the caller.
func (a *attempt) truncatedFailure(err error) *failure {
	f := &failure{outcome: node.OutcomeTruncated, ran: fault.RanYes, retry: retryIfIdempotent, avoidTarget: true}
	f.err = fault.Wrap(err, fault.AnswerIncomplete, "the answer of the target was cut")
	if !time.Now().Before(a.exchange.deadline) {
		f.outcome = node.OutcomeTimeout
	} else if a.exchange.r.Context().Err() != nil {
		f.outcome = node.OutcomeCanceled
	}
	return f
}

// headBuffers holds buffers for the first maxKeptBytes of answers, and one byte
// more that shows whether there is a rest.
var prefixBuffers = sync.Pool{New: func() any { return new([maxBufferedBytes + 1]byte) }}

// smallBytes is the stated length up to which an answer gets its own buffer.
// The pool is emptied by each garbage collection, so large buffers for small
// answers would make collections frequent.
const smallAnswerBytes = 4 << 10

// headBuffer returns a buffer for readHead and the function that ends its use.
func prefixBuffer(resp *http.Response) (buf []byte, done func()) {
	if resp.Body == http.NoBody {
		return nil, func() {}
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= smallAnswerBytes {
		return make([]byte, resp.ContentLength+1), func() {}
	}
	pooled := prefixBuffers.Get().(*[maxBufferedBytes + 1]byte)
	return pooled[:], func() { prefixBuffers.Put(pooled) }
}

// readHead reads the answer into buf. The error is io.EOF when buf holds the
// complete answer, and nil when the answer is longer than maxKeptBytes.
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

var errTruncated = errors.New("the answer ended before its stated length")

// copyHeader sets the header of the caller's answer.
func (ex *exchange) copyHeader(resp *http.Response) {
	out := ex.w.Header()
	clean := endToEndHeader(resp.Header)
	removeFleetHeaders(clean)
	for name, values := range clean {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type.
		out["Content-Type"] = nil
	}
	ex.setConnectionClose()
}

// finishHeader closes the caller's connection during shutdown, and one of
// HTTP/1.1 on which the rest of a body may follow.
func (ex *exchange) setConnectionClose() {
	unread := ex.r.ProtoMajor == 1 && ex.body != nil && !ex.body.fullyRead()
	if unread || ex.h.draining.Load() {
		ex.w.Header().Set("Connection", "close")
	}
}

// sendWhole sends an answer whose body is complete in memory.
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
		// A caller that went away is noted by countedCaller.
		_, _ = ex.w.Write(body)
	}
	ex.sendTrailer(resp)
}

// allowsBody tells whether an answer with this status may have a body.
func allowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// sendStatus sends the status line and ends the fleet's part of the latency.
func (ex *exchange) sendStatus(status int) {
	ex.statusSent = true
	_ = http.NewResponseController(ex.w).SetWriteDeadline(ex.deadline.Add(writeGrace))
	ex.h.cfg.Metrics.Added(time.Since(ex.start) - ex.externalTime)
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

// stream passes on an answer that is too long to hold. A cut ends the caller's
// connection or stream with an error, because its status is already sent.
// The first n bytes of the answer are in buf.
func (a *attempt) stream(resp *http.Response, buf []byte, n int) *failure {
	ex := a.exchange
	ex.copyHeader(resp)
	if len(resp.Trailer) > 0 {
		ex.announceTrailer(resp)
	}
	ex.sendStatus(resp.StatusCode)
	toCaller, fromTarget := copyAnswer(ex.w, resp.Body, buf, n)
	if fromTarget == nil && toCaller == nil {
		a.releaseCompleted(resp)
		ex.sendTrailer(resp)
		return nil
	}
	if toCaller != nil {
		return &failure{
			err:     fault.Wrap(toCaller, fault.AnswerIncomplete, "the caller went away"),
			outcome: node.OutcomeCanceled,
			ran:     fault.RanYes,
		}
	}
	return a.truncatedFailure(fromTarget)
}

// copyAnswer writes the first n bytes of buf and the rest of from to w, and
// flushes each part.
func copyAnswer(w http.ResponseWriter, from io.Reader, buf []byte, n int) (toCaller, fromTarget error) {
	control := http.NewResponseController(w)
	for {
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err, nil
			}
			if err := control.Flush(); err != nil {
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
