package command

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/node/wire"
)

// echoTarget is a target process that repeats request IDs and misbehaves otherwise.
type echoTarget struct {
	run      *echoRun
	address  string
	current  atomic.Pointer[string] // its own ID; former IDs may still be listed
	shedRate int                    // requests of 10 that are answered "not run"
	open     atomic.Int64           // connections
}

func startEchoTarget(run *echoRun, shedRate int) *echoTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		run.f.t.Fatal(err)
	}
	run.f.t.Cleanup(func() { _ = l.Close() })
	t := &echoTarget{run: run, address: l.Addr().String(), shedRate: shedRate}
	go func() {
		for n := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.open.Add(1)
			if n++; n%40 == 0 { // too many connections
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				t.open.Add(-1)
				continue
			}
			go (&echoConn{target: t, c: c, in: bufio.NewReader(c)}).serve()
		}
	}()
	return t
}

// echoConn is a connection to an echoTarget.
type echoConn struct {
	target *echoTarget
	c      net.Conn
	in     *bufio.Reader
	former []string // answers that were sent on the connection
}

func (c *echoConn) serve() {
	defer c.target.open.Add(-1)
	defer c.c.Close()
	for c.serveOne() {
	}
}

// reset ends the connection with a TCP reset.
func (c *echoConn) reset() bool {
	_ = c.c.(*net.TCPConn).SetLinger(0)
	return false
}

// brokenOff reports whether a read ended because the connection did.
func brokenOff(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// serveOne serves the next request and reports whether the connection stays open.
func (c *echoConn) serveOne() bool {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		if !brokenOff(err) {
			c.target.run.f.t.Errorf("a target received bytes that are no request: %v", err)
		}
		return false
	}
	e := c.target.run.ledger.get(r.Header.Get("X-Id"))
	if e == nil || r.Method != e.method || r.URL.Path != e.path {
		c.target.run.f.t.Errorf("a target received a request that no caller sent: %s %s %v", r.Method, r.RequestURI, r.Header)
		return false
	}
	e.mu.Lock()
	visit := uint64(len(e.trace))
	e.mu.Unlock()
	rng := rand.New(rand.NewPCG(c.target.run.seed, xxhash.Sum64String(e.id)+visit))
	return (&echoVisit{c: c, e: e, r: r, rng: rng}).serve()
}

// echoVisit is one request at a target.
type echoVisit struct {
	c   *echoConn
	e   *echoEntry
	r   *http.Request
	rng *rand.Rand
}

// chance is true in one of n cases.
func (v *echoVisit) chance(n int) bool { return v.rng.IntN(n) == 0 }

func (v *echoVisit) serve() bool {
	if v.chance(60) {
		return v.c.reset()
	}
	copies, early := v.lateCopies(), v.chance(3)
	if copies != "" && v.chance(2) {
		write(v.c.c, copies)
		copies = ""
	}
	a := v.answer()
	v.e.note("target %s on connection %s: %s", *v.c.target.current.Load(), v.c.c.RemoteAddr(), a.name)
	if !early && !v.readBody() {
		return false
	}
	time.Sleep(a.delay)
	sent := write(v.c.c, v.interim()+copies+a.text)
	v.c.former = append(v.c.former, a.text)
	time.Sleep(a.pause)
	if !sent || a.end != keepOpen {
		return a.end == resetAtEnd && v.c.reset()
	}
	return write(v.c.c, a.extra) && (!early || v.readBody())
}

// lateCopies returns second copies of former answers, which come where the next answer is due.
func (v *echoVisit) lateCopies() string {
	former := v.c.former
	if len(former) == 0 || !v.chance(3) {
		return ""
	}
	v.e.note("late copies first")
	last := former[len(former)-1]
	switch v.rng.IntN(6) {
	case 0:
		return former[v.rng.IntN(len(former))]
	case 1:
		return former[v.rng.IntN(len(former))] + last
	case 2:
		return last[:v.rng.IntN(min(len(last), 100))]
	}
	return last
}

// readBody reads the request body, checks it and reports whether it was complete.
func (v *echoVisit) readBody() bool {
	got, err := io.ReadAll(v.r.Body)
	if !strings.HasPrefix(payload(v.e.id, v.e.size), string(got)) {
		v.c.target.run.ledger.fault(v.e, "a target received other bytes of the body, near %.60q", got[max(0, len(got)-60):])
	}
	if err == nil && len(got) != v.e.size {
		v.c.target.run.ledger.fault(v.e, "a target received a complete body of %d bytes", len(got))
	}
	if err != nil && !brokenOff(err) {
		v.c.target.run.ledger.fault(v.e, "a target received a malformed body: %v", err)
	}
	return err == nil
}

func (v *echoVisit) interim() string {
	if !v.chance(8) {
		return ""
	}
	return strings.Repeat([]string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}[v.rng.IntN(2)], 1+v.rng.IntN(2))
}

// connEnd is what follows an answer on its connection.
type connEnd uint8

const (
	keepOpen connEnd = iota
	closeAtEnd
	resetAtEnd
)

// echoAnswer is what a target sends for one request.
type echoAnswer struct {
	name  string
	text  string
	end   connEnd
	delay time.Duration // before text
	pause time.Duration // after text
	extra string        // sent when no request is waiting
}

// head returns a status line and header that repeats the ID of the request.
func (v *echoVisit) head(status int, lines ...string) string {
	id := v.c.target.run.variant.dialect.RequestID
	lines = append(lines, id+": "+v.r.Header.Get(id), "X-Answers: "+v.e.id, "", "")
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n", status) + strings.Join(lines, "\r\n")
}

// whole returns a complete answer.
func (v *echoVisit) whole(status int, body string, lines ...string) string {
	if v.r.Method == http.MethodHead {
		return v.head(status, append(lines, "Content-Length: "+strconv.Itoa(len(body)))...)
	}
	if v.chance(3) {
		half := len(body) / 2
		return v.head(status, append(lines, "Transfer-Encoding: chunked")...) + chunk(body[:half]) + chunk(body[half:]) + "0\r\n\r\n"
	}
	return v.head(status, append(lines, "Content-Length: "+strconv.Itoa(len(body)))...) + body
}

func chunk(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

// answer decides whether the request runs and how it is answered.
func (v *echoVisit) answer() echoAnswer {
	variant := v.c.target.run.variant
	meant := v.r.Header.Get(variant.dialect.Target)
	if variant.dialect.Target != "" && meant != *v.c.target.current.Load() {
		return echoAnswer{name: "misdirected", text: v.whole(http.StatusMisdirectedRequest, "", variant.notRun)}
	}
	if v.rng.IntN(10) < v.c.target.shedRate {
		return echoAnswer{name: "not run", text: v.whole(http.StatusServiceUnavailable, "", append(v.notices(), variant.notRun)...)}
	}
	return v.ranAnswer(fmt.Sprintf("run %d, ", v.e.began()))
}

// notices returns what the target says about itself beside "not run".
func (v *echoVisit) notices() []string {
	switch v.rng.IntN(60) {
	case 0:
		return []string{wire.HeaderLeaving + ": 1"}
	case 1, 2, 3, 4, 5:
		return []string{"Retry-After: 0.002"}
	}
	return nil
}

// ranAnswer returns the answer to a request that has run, in one of several forms.
func (v *echoVisit) ranAnswer(name string) echoAnswer {
	signed := variantSignature + ": " + v.e.id
	body := answerBody(v.e.id)
	good := v.whole(http.StatusOK, body, signed)
	a := echoAnswer{name: name + "answered", text: good}
	pause := time.Duration(v.rng.IntN(2000)) * time.Microsecond
	switch v.rng.IntN(32) {
	case 0:
		return echoAnswer{name: name + "closed", end: closeAtEnd}
	case 1:
		return echoAnswer{name: name + "reset", end: resetAtEnd}
	case 2:
		return echoAnswer{name: name + "truncated", text: good[:v.rng.IntN(len(good))], end: closeAtEnd}
	case 3:
		return echoAnswer{name: name + "truncated by reset", text: good[:v.rng.IntN(len(good))], end: resetAtEnd}
	case 4:
		a.name, a.delay = name+"after the deadline", 250*time.Millisecond
	case 5, 6:
		a.name, a.delay = name+"slow", time.Duration(v.rng.IntN(8))*time.Millisecond
	case 7:
		return echoAnswer{name: name + "failed", text: v.whole(http.StatusInternalServerError, "own", signed)}
	case 8:
		status := []int{408, 429, 503}[v.rng.IntN(3)]
		return echoAnswer{name: name + fmt.Sprint("own status ", status), text: v.whole(status, "own", signed)}
	case 9:
		return echoAnswer{name: name + "unsigned", text: v.whole(http.StatusOK, body)}
	case 10:
		return echoAnswer{name: name + "delimited by close", text: v.head(http.StatusOK, signed) + v.bodyUnlessHead(body), end: closeAtEnd}
	case 11:
		return echoAnswer{name: name + "delimited by reset", text: v.head(http.StatusOK, signed) + v.bodyUnlessHead(body[:v.rng.IntN(len(body))]), end: resetAtEnd}
	case 12:
		a.name, a.extra = name+"second copy at once", good
	case 13:
		a.name, a.extra, a.pause = name+"second copy later", good, pause
	case 14:
		a.name, a.text = name+"second copy in the same write", good+good
	case 15:
		a.name, a.text, a.end = name+"last", v.whole(http.StatusOK, body, signed, "Connection: close"), closeAtEnd
	case 16:
		a.name, a.extra, a.pause = name+"part of a second copy later", good[:v.rng.IntN(len(good))], pause
	case 17:
		a.name, a.end, a.pause = name+"closed while idle", closeAtEnd, pause
	case 18:
		a.name, a.end, a.pause = name+"reset while idle", resetAtEnd, pause
	case 19:
		return echoAnswer{name: name + "no answer in the protocol", text: "\x00\r\nno answer\r\n\r\n", end: closeAtEnd}
	}
	return a
}

func (v *echoVisit) bodyUnlessHead(body string) string {
	if v.r.Method == http.MethodHead {
		return ""
	}
	return body
}

// answerBody returns the body of the answer to a request. Some are long enough to be streamed.
func answerBody(id string) string {
	return payload(id, []int{16, 16, 160, 160, 160, 4000, 20000, 90000}[xxhash.Sum64String(id)%8])
}
