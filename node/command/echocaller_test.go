package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/galenasail/galenasail/node/wire"
)

// echoCaller sends requests one after another, in batches on connections of its own or over
// the transports of net/http.
type echoCaller struct {
	run        *echoRun
	rng        *rand.Rand
	transports [2]*http.Transport // HTTP/1.1 and h2c
	conn       net.Conn           // a kept connection; nil for none
	in         *bufio.Reader
}

// newEntry draws a request and adds it to the ledger.
func (c *echoCaller) newEntry(id string, keyed bool) *echoEntry {
	e := &echoEntry{id: id, requestID: id, keyed: keyed, chunked: c.rng.IntN(2) == 0}
	if c.rng.IntN(8) == 0 {
		e.requestID = id[:6] // shared with requests of other callers
	}
	e.method = []string{"GET", "POST", "POST", "PUT", "HEAD"}[c.rng.IntN(5)]
	e.path = []string{"/get/", "/post/", "/post/", echoFlipPrefix}[c.rng.IntN(4)]
	if c.rng.IntN(8) == 0 {
		e.path += id[:6] // shared, so that a request that loses connections is quarantined
	} else {
		e.path += id
	}
	if e.method != "HEAD" {
		e.size = []int{0, 10, 300, prefixBytes, prefixBytes + 1, 3 * prefixBytes, 8 * prefixBytes}[c.rng.IntN(7)]
	}
	e.once = strings.HasPrefix(e.path, "/post/") || e.method == "POST" && !strings.HasPrefix(e.path, echoFlipPrefix)
	c.run.ledger.add(e)
	return e
}

// header returns the header lines of a request.
func (c *echoCaller) header(e *echoEntry) map[string]string {
	d := c.run.variant.dialect
	h := map[string]string{"X-Id": e.id, "Authorization": "Bearer " + testKey, d.Timeout: "200"}
	if d.AcceptRequestIDs {
		h[d.RequestID] = e.requestID
	}
	if e.keyed {
		h[wire.HeaderIdempotencyKey] = "abc." + e.id
	}
	return h
}

// twice sends a request with an idempotency key a second time, a little later. Without a key it
// sends it once.
func (c *echoCaller) twice(e *echoEntry) {
	c.overTransport(e)
	if e.keyed {
		time.Sleep(time.Duration(c.rng.IntN(3)) * time.Millisecond)
		c.overTransport(e)
	}
}

// overTransport sends one request over net/http, and cancels some at a random time.
func (c *echoCaller) overTransport(e *echoEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if c.rng.IntN(12) == 0 {
		time.AfterFunc(time.Duration(c.rng.IntN(4000))*time.Microsecond, cancel)
	}
	var body io.Reader = strings.NewReader(payload(e.id, e.size))
	if e.chunked && e.size > 0 {
		body = &slowReader{Reader: body, rng: rand.New(rand.NewPCG(c.rng.Uint64(), 0))}
	}
	req, err := http.NewRequestWithContext(ctx, e.method, c.run.f.url+e.path, body)
	if err != nil {
		panic(err)
	}
	for name, value := range c.header(e) {
		req.Header.Set(name, value)
	}
	a := receive(c.transports[c.rng.IntN(2)].RoundTrip(req))
	c.check(e, a)
}

// slowReader hides the length of a body and pauses now and then.
type slowReader struct {
	io.Reader
	rng *rand.Rand
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.rng.IntN(4) == 0 {
		time.Sleep(time.Duration(r.rng.IntN(1000)) * time.Microsecond)
	}
	return r.Reader.Read(p[:min(len(p), 9000)])
}

// requestText returns a request as it is written to an HTTP/1.1 connection.
func (c *echoCaller) requestText(e *echoEntry) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n", e.method, e.path)
	for name, value := range c.header(e) {
		text += name + ": " + value + "\r\n"
	}
	body := payload(e.id, e.size)
	if !e.chunked || e.size == 0 {
		return text + fmt.Sprintf("Content-Length: %d\r\n\r\n", e.size) + body
	}
	cut := c.rng.IntN(e.size)
	return text + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:cut]) + chunk(body[cut:]) + "0\r\n\r\n"
}

// pipelined writes several requests at once to a kept connection and reads their answers. It
// closes or resets some connections at a random step.
func (c *echoCaller) pipelined(batch []*echoEntry) {
	if !c.connect() {
		return
	}
	text := ""
	for _, e := range batch {
		text += c.requestText(e)
	}
	step := c.rng.IntN(16)
	if step == 0 {
		text = text[:c.rng.IntN(len(text))]
	}
	conn := c.conn
	written := make(chan bool, 1)
	go func() { written <- write(conn, text) }()
	switch step {
	case 0, 1:
		<-written
		c.hangUp()
	case 2:
		time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Microsecond)
		c.hangUp()
	case 3:
		_, _ = c.in.ReadByte()
		c.hangUp()
	default:
		c.readAnswers(batch)
	}
}

func (c *echoCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp", c.run.f.url[len("http://"):])
	if err != nil {
		if !c.run.stopping.Load() {
			c.run.f.t.Error(err)
		}
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

// hangUp closes or resets the kept connection.
func (c *echoCaller) hangUp() {
	if c.conn == nil {
		return
	}
	if c.rng.IntN(2) == 0 {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
	}
	_ = c.conn.Close()
	c.conn = nil
}

// close closes all connections of the caller.
func (c *echoCaller) close() {
	c.hangUp()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// readAnswers reads the answers to a batch in order until the connection ends.
func (c *echoCaller) readAnswers(batch []*echoEntry) {
	for _, e := range batch {
		_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		a := receive(http.ReadResponse(c.in, &http.Request{Method: e.method}))
		c.check(e, a)
		if a.err != nil || a.Close {
			c.hangUp()
			return
		}
	}
	if n := c.in.Buffered(); n > 0 {
		c.run.ledger.fault(batch[len(batch)-1], "%d bytes after the last answer", n)
	}
}

// check checks an answer to request e.
func (c *echoCaller) check(e *echoEntry, a answer) {
	if a.StatusCode == 0 {
		return
	}
	e.note("caller got %d, %s %q, %d bytes, error %v", a.StatusCode, wire.HeaderRan, a.Header.Get(wire.HeaderRan), len(a.body), a.err)
	if c.run.variant.saysNotRun(a) && !e.keyed {
		e.refused(a.Status)
	}
	if owner := a.Header.Get("X-Answers"); owner != "" && owner != e.id {
		c.run.ledger.fault(e, "got the answer of request %s", owner)
	}
	if a.StatusCode/100 == 2 {
		c.checkSuccess(e, a)
	}
}

func (c *echoCaller) checkSuccess(e *echoEntry, a answer) {
	want := answerBody(e.id)
	if e.method == http.MethodHead {
		want = ""
	}
	e.mu.Lock()
	runs := e.runs
	e.mu.Unlock()
	switch {
	case c.run.variant.signs && a.Header.Get(variantSignature) != e.id:
		c.run.ledger.fault(e, "got a success without its signature")
	case a.err == nil && a.body != want:
		c.run.ledger.fault(e, "got an answer of %d bytes as complete, want %d", len(a.body), len(want))
	case runs == 0:
		c.run.ledger.fault(e, "got a success, and no target ran it")
	}
}
