package limit

import (
	"net/http"
	"sync"
	"time"
)

// Request is what is held for one request. A nil Request is not bounded. The methods may be
// called by one goroutine at a time, except BeginAttempt and EndAttempt, which are safe for
// concurrent use.
type Request struct {
	conn     *Conn
	held     int64
	reserved int64 // part of held that is meant for the response

	mu       sync.Mutex
	attempts int // begun and not ended
	ended    bool
}

// Begin charges the connection of r for the request and its header. It returns nil and no
// error for a connection without a Guard. The error states that the request did not run.
// The request must be released with End.
func Begin(r *http.Request) (*Request, error) {
	c := find(NetConn(r.Context()))
	if c == nil {
		return nil, nil
	}
	c.guard.pacer.wait()
	need := requestBytes + max(0, requestCost(r)-headerAllowance)
	if r.ProtoMajor == 1 {
		// What was charged while the header was read covers the same header.
		c.mu.Lock()
		need -= min(c.headerHeld, need-requestBytes)
		c.mu.Unlock()
	}
	if !c.guard.charge(c, need) {
		return nil, c.guard.refuse(c, NoRequest)
	}
	return &Request{conn: c, held: need}, nil
}

// maxUnheldBytes is the largest header of an HTTP/2 request for which there is no room that
// may stay in memory while the refusal is sent.
const maxUnheldBytes = 64 << 10

// Unanswerable reports whether the HTTP/2 stream of a request that Begin refused must be reset
// instead of answered: its header is not charged, and its caller could keep a large one in
// memory by not reading the refusal.
func Unanswerable(r *http.Request) bool {
	return r.ProtoMajor > 1 && find(NetConn(r.Context())) != nil && requestCost(r) > maxUnheldBytes
}

// requestCost returns the memory that the header of r takes.
func requestCost(r *http.Request) int64 {
	text, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		fields += max(1, len(values))
		for _, v := range values {
			text += len(name) + len(v)
		}
	}
	return headerCost(int64(text), int64(fields))
}

// End releases what is held for the request.
func (q *Request) End() {
	if q != nil {
		q.conn.guard.release(q.conn, q.held)
		q.held, q.reserved = 0, 0
		q.endAttempts()
	}
}

// BeginAttempt records that the request is about to be sent to a target. Until EndAttempt or End
// the connection is not closed to make room for others. ok is false if it is closed already: then
// the request must not be sent, because its caller cannot get the answer.
func (q *Request) BeginAttempt() (ok bool) {
	if q == nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended || !q.conn.guard.atTargets(q.conn, 1) {
		return false
	}
	q.attempts++
	return true
}

// EndAttempt records that a target does not run the request for which BeginAttempt returned
// true.
func (q *Request) EndAttempt() {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.attempts > 0 {
		q.attempts--
		q.conn.guard.atTargets(q.conn, -1)
	}
}

// endAttempts ends all attempts that have begun; no further one may begin.
func (q *Request) endAttempts() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conn.guard.atTargets(q.conn, -q.attempts)
	q.attempts, q.ended = 0, true
}

// Assign attributes the connection to a workspace.
func (q *Request) Assign(workspace string) {
	if q != nil {
		q.conn.assign("workspace " + workspace)
	}
}

// Prove records that the connection serves an ordinary caller without a workspace, whose idle
// connection is kept like one of a workspace.
func (q *Request) Prove() {
	if q != nil {
		q.conn.prove()
	}
}

// AssignPeer attributes the connection of r, a call that was authenticated, to the peers. It has
// no effect on a connection without a Guard.
func AssignPeer(r *http.Request) {
	if c := find(NetConn(r.Context())); c != nil {
		c.assign("peers")
	}
}

// ChargeBody charges bytes of a body that is about to be read into memory. The error states
// that the request did not run.
func (q *Request) ChargeBody(bytes int64) error {
	if q == nil {
		return nil
	}
	if !q.conn.guard.charge(q.conn, bytes) {
		return q.conn.guard.refuse(q.conn, NoBody)
	}
	q.held += bytes
	return nil
}

// ChargeSpare charges bytes of a body that were read while the request waits, and reports whether
// there is room: a quarter of the limit is left to other demands, and no connection is closed for
// it.
func (q *Request) ChargeSpare(bytes int64) bool {
	if q == nil {
		return true
	}
	if !q.conn.guard.chargeSpare(q.conn, bytes) {
		return false
	}
	q.held += bytes
	return true
}

// ReserveResponse charges a buffer for the response before the request is sent to a target, so
// that responses which their callers do not read cannot exceed the limits. The error states that
// the request did not run.
func (q *Request) ReserveResponse(bytes int64) error {
	if q == nil || bytes <= q.reserved {
		return nil
	}
	more := bytes - q.reserved
	if !q.conn.guard.charge(q.conn, more) {
		return q.conn.guard.refuse(q.conn, NoRequest)
	}
	q.held += more
	q.reserved = bytes
	return nil
}

// HoldResponse counts a buffer for a response, as far as it is larger than what ReserveResponse
// charged, until the returned function is called. It always succeeds, because the request has
// run.
func (q *Request) HoldResponse(bytes int64) (release func()) {
	if q == nil || bytes <= q.reserved {
		return func() {}
	}
	bytes -= q.reserved
	q.conn.guard.hold(q.conn, bytes)
	return func() { q.conn.guard.release(q.conn, bytes) }
}

// AwaitBody records that the VM waits for more of the caller's body, or no longer does.
func (q *Request) AwaitBody(waiting bool) {
	if q == nil || q.conn.isHTTP2() {
		return
	}
	q.conn.mu.Lock()
	q.conn.awaiting = waiting
	q.conn.bodySinceProgress = 0
	phase := q.conn.phaseWithoutHeader()
	q.conn.mu.Unlock()
	q.conn.guard.progress(q.conn, phase)
}

func (c *Conn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scan.http2
}

// Stall returns how long the caller may make no progress; 0 means without a bound.
func (q *Request) Stall() time.Duration {
	if q == nil {
		return 0
	}
	return q.conn.guard.cfg.Stall
}

// BodyBuffer returns the largest part of a body to read before a target is chosen; 0 for a
// request that is not bounded.
func (q *Request) BodyBuffer() int64 {
	if q == nil {
		return 0
	}
	return q.conn.guard.cfg.BodyBuffer
}

// ReportStalledBody reports a body that made no progress.
func (q *Request) ReportStalledBody() {
	if q != nil {
		q.conn.guard.cfg.OnRefused(BodyStalled, q.conn.address)
	}
}

// chargeReadAhead charges the connection for bytes that are read before net/http asks for
// them and reports whether there is room. A negative number releases them.
func (c *Conn) chargeReadAhead(bytes int64) bool {
	if bytes < 0 {
		c.guard.release(c, -bytes)
		return true
	}
	return c.guard.charge(c, bytes)
}
