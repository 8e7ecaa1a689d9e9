package limit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/membudget"
)

// Guards against a header whose bytes, fields or end are counted differently when it arrives
// in other pieces, and against body bytes that count as a header.
func TestHeaderIsCountedInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := rapid.IntRange(0, 50).Draw(t, "fields")
		header := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
		rest := header + "\n\nbody\n"
		var s headerScan
		s.startFirst()
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			s.feed([]byte(rest[:n]))
			rest = rest[n:]
		}
		if s.active || s.http2 || s.lines != int64(fields+1) || s.bytes != int64(len(header)) {
			t.Fatalf("%+v, want %d lines and %d bytes", s, fields+1, len(header))
		}
	})
}

// Guards against HTTP/2 frames that count as a header, however the preface is split.
func TestPrefaceEndsTheCount(t *testing.T) {
	text := preface + "\r\n\r\nSM\r\n\r\n" + strings.Repeat("\n", 100)
	for at := 1; at < len(text); at++ {
		var s headerScan
		s.startFirst()
		s.feed([]byte(text[:at]))
		s.feed([]byte(text[at:]))
		s.startNext()
		s.feed([]byte("\n\n\n"))
		if !s.http2 || s.active || s.lines != 0 {
			t.Errorf("split at %d: %+v", at, s)
		}
	}
}

// bounded is a server with a guard.
type bounded struct {
	t       *testing.T
	guard   *Guard
	address string

	mu      sync.Mutex
	refused map[Reason]int
}

func startBounded(t *testing.T, limits membudget.Limits, h http.Handler) *bounded {
	b := &bounded{t: t, refused: map[Reason]int{}}
	b.guard = New(Config{Limits: limits, Stall: 200 * time.Millisecond, OnRefused: func(r Reason, _ string) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.refused[r]++
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: Requests(h), ConnContext: WithConn, Protocols: protocols, HTTP2: HTTP2(100), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	b.guard.Protect(s)
	go func() { _ = s.Serve(b.guard.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	b.address = l.Addr().String()
	return b
}

// dial connects and sends text.
func (b *bounded) dial(text string) net.Conn {
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, text)
	return c
}

// wantStatus reads a response and checks its status.
func (b *bounded) wantStatus(c net.Conn, status string) {
	b.t.Helper()
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, head); err != nil || !strings.HasSuffix(string(head), status) {
		b.t.Errorf("response %q, error %v, want %s", head, err, status)
	}
}

// wantUsage waits until the guard holds the given number of bytes and connections.
func (b *bounded) wantUsage(bytes int64, connections int) {
	b.t.Helper()
	var gotBytes int64
	var got int
	for range 200 {
		if gotBytes, got = b.guard.Usage(); gotBytes == bytes && got == connections {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Errorf("%d bytes and %d connections are held, want %d and %d", gotBytes, got, bytes, connections)
}

func (b *bounded) wantRefused(r Reason) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refused[r] == 0 {
		b.t.Errorf("refusals %v, want %s", b.refused, r)
	}
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })

func headerOf(fields int) string {
	var text strings.Builder
	text.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for i := range fields {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// Guards against a header that is not charged while it is open, and against charges that
// remain after the request or after the connection.
func TestHeaderIsChargedUntilTheRequestEnds(t *testing.T) {
	b := startBounded(t, membudget.Limits{Bytes: 1 << 20, Connections: 10}, ok)
	c := b.dial(headerOf(1000))
	for range 100 {
		if held, _ := b.guard.Usage(); held > 1000*fieldBytes {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if held, _ := b.guard.Usage(); held <= 1000*fieldBytes {
		t.Errorf("an open header with 1000 fields is charged with %d bytes", held)
	}
	_, _ = io.WriteString(c, "\r\n")
	b.wantStatus(c, "200")
	b.wantUsage(connBytes, 1)
	_ = c.Close()
	b.wantUsage(0, 0)
}

// Guards against a header beyond the budget that is read to its end, and against a refusal
// that the caller or the operator does not see.
func TestHeaderBeyondTheBudgetIsRefused(t *testing.T) {
	b := startBounded(t, membudget.Limits{Bytes: 256 << 10, Connections: 10}, ok)
	b.wantStatus(b.dial(headerOf(1000)), "503")
	b.wantRefused(NoHeader)
	b.wantUsage(0, 0)
	b.wantStatus(b.dial(headerOf(10)+"\r\n"), "200")
}

// Guards against fields that net/http has read together with the previous request and that
// are not counted.
func TestFieldsReadWithTheLastRequestAreCharged(t *testing.T) {
	b := startBounded(t, membudget.Limits{Bytes: 1 << 20, Connections: 10}, ok)
	first := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	c := b.dial(first + headerOf(900)[:serverBufferBytes-len(first)-1])
	b.wantStatus(c, "200")
	_, _ = io.WriteString(c, "1:")
	for range 100 {
		if held, _ := b.guard.Usage(); held > 600*fieldBytes {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	held, _ := b.guard.Usage()
	t.Errorf("the open header is charged with %d bytes", held)
}

// Guards against connections above the limit that stay open while others of the same address
// are stalled, and against stalled ones that keep a new caller out.
func TestStalledConnectionsGiveWay(t *testing.T) {
	b := startBounded(t, membudget.Limits{Bytes: 1 << 20, Connections: 4}, ok)
	for range 4 {
		b.dial("GET /")
	}
	b.wantUsage(4*connBytes, 4)
	refused := b.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := io.ReadAll(refused); err == nil {
		b.wantRefused(NoConnection)
	}
	time.Sleep(1100 * time.Millisecond)
	b.wantStatus(b.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), "200")
	b.wantRefused(Evicted)
}

// Guards against a response that blocks its handler because the caller does not read.
func TestUnreadResponseEnds(t *testing.T) {
	ended := make(chan error, 1)
	b := startBounded(t, membudget.Limits{Bytes: 1 << 20, Connections: 4}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
		ended <- err
	}))
	b.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case <-ended:
		b.wantRefused(ResponseStalled)
	case <-time.After(5 * time.Second):
		t.Error("the handler still writes after 5 s")
	}
}

// Guards against HTTP/2 streams whose headers are not charged.
func TestStreamsAreCharged(t *testing.T) {
	started, release := make(chan bool, 8), make(chan bool)
	b := startBounded(t, membudget.Limits{Bytes: 600 << 10, Connections: 4}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- true
		<-release
	}))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, MaxConnsPerHost: 1}
	results := make(chan bool, 8)
	for range 8 {
		go func() {
			r, _ := http.NewRequest("GET", "http://"+b.address, nil)
			for i := range 400 {
				r.Header.Set(fmt.Sprint("f", i), "1")
			}
			resp, err := transport.RoundTrip(r)
			results <- err == nil && resp.StatusCode == http.StatusOK
		}()
	}
	<-started
	if served := <-results; served {
		t.Error("all requests fit into a budget that holds few of them")
	}
	b.wantRefused(NoRequest)
	close(release)
	transport.CloseIdleConnections()
}

// Guards against an idle connection of an ordinary caller that is closed as early as one without
// an accepted request, and against one without that keeps its place for as long.
func TestIdleConnectionsWithoutAnAcceptedRequestAreClosedFirst(t *testing.T) {
	for _, assigned := range []bool{false, true} {
		b := startBounded(t, membudget.Limits{Bytes: 1 << 20, Connections: 1}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if assigned {
				AssignPeer(r)
			}
		}))
		idle := b.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		b.wantStatus(idle, "200")
		time.Sleep(1100 * time.Millisecond) // above the grace of an unproven connection
		next := b.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if !assigned {
			b.wantStatus(next, "200")
			continue
		}
		_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		_, _ = io.Copy(io.Discard, io.LimitReader(idle, 1))
		if held, n := b.guard.Usage(); n != 1 || held < connBytes {
			t.Errorf("%d connections with %d bytes, want the idle one", n, held)
		}
	}
}
