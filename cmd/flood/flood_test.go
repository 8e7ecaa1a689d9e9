package flood

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// settleTime is the time from the end of a flood to the ordinary request.
	settleTime = 2 * time.Second
	// ordinaryTimeout bounds the ordinary request.
	ordinaryTimeout = 5 * time.Second
	// sendTimeout bounds what one connection of a flood sends.
	sendTimeout = 5 * time.Second
)

// crowd is a flood of connections that send the same and stay open.
type crowd struct {
	name        string
	connections int
	address     func(tb *testbed) string
	text        func(tb *testbed) string
}

func toCallers(tb *testbed) string { return tb.address }

func toAdmin(tb *testbed) string { return tb.admin }

// shortFields returns n fields with short names, all different.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%03x:1\r\n", i)
	}
	return b.String()
}

// request returns the text of a request up to its last field, without the end of the header.
func request(method, path string, fields ...string) func(tb *testbed) string {
	return func(tb *testbed) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s", method, path, tb.key, strings.Join(fields, ""))
	}
}

// followed returns the text of a request whose header is complete, followed by its body.
func followed(text func(*testbed) string, body string) func(tb *testbed) string {
	return func(tb *testbed) string { return text(tb) + "\r\n" + body }
}

// repeated returns a text n times.
func repeated(text func(*testbed) string, n int) func(tb *testbed) string {
	return func(tb *testbed) string { return strings.Repeat(text(tb), n) }
}

const (
	route   = "/citas/x"
	noRoute = "/none/x"
	unknown = "/galenasail/v1/unknown"
	query   = "/galenasail/v1/addresses"
	health  = "/galenasail/v1/health"
)

func crowds() []crowd {
	body := strings.Repeat("x", 999_999)
	bytewise := strings.Repeat("1\r\nx\r\n", 20_000)
	return []crowd{
		{"idle", 600, toCallers, func(*testbed) string { return "" }},
		{"idle at the admin address", 600, toAdmin, func(*testbed) string { return "" }},
		{"open headers on a route", 200, toCallers, request("GET", route, shortFields(8500))},
		{"open headers without a route", 200, toCallers, request("GET", noRoute, shortFields(8500))},
		{"open headers at the admin address", 200, toAdmin, request("GET", health, shortFields(8500))},
		{"many fields and a short body", 150, toCallers, followed(request("POST", route, shortFields(4200), "Content-Length: 16000\r\n"), body[:15_999])},
		{"bodies without their last byte", 100, toCallers, followed(request("POST", route, "Content-Length: 1000000\r\n"), body)},
		{"bodies of small chunks", 100, toCallers, followed(request("POST", route, "Transfer-Encoding: chunked\r\n"), bytewise)},
		{"bodies over the limit", 50, toCallers, followed(request("POST", route, "Content-Length: 1073741824\r\n"), body)},
		{"open bodies of 4 MB", 50, toCallers, followed(request("POST", route, "Content-Length: 67108864\r\n"), strings.Repeat(body, 4))},
		{"pipelined on a route", 50, toCallers, repeated(followed(request("GET", route), ""), 3000)},
		{"pipelined at an unknown path", 50, toCallers, repeated(followed(request("GET", unknown), ""), 3000)},
		{"pipelined address queries", 50, toCallers, repeated(followed(request("GET", query), ""), 3000)},
		{"large responses, unread", 20, toCallers, followed(request("GET", largePath), "")},
	}
}

// send opens the connections of the crowd and returns once each has sent its text or cannot.
func (c crowd) send(t *testing.T, tb *testbed) {
	text := c.text(tb)
	var sending sync.WaitGroup
	for range c.connections {
		conn, err := net.DialTimeout("tcp", c.address(tb), sendTimeout)
		if err != nil {
			continue // A VM may refuse connections of a flood.
		}
		t.Cleanup(func() { _ = conn.Close() })
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_, _ = io.WriteString(conn, text)
		})
	}
	sending.Wait()
}

// Guards against callers that make a VM exceed its memory or its descriptors, or that keep
// it from serving an ordinary caller while they stay connected.
func TestFloods(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs separate processes, which the race detector does not cover")
	}
	tb := startTestbed(t)
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) {
			tb.restart(t)
			c.send(t, tb)
			tb.check(t)
		})
	}
	t.Run("HTTP/2 streams", func(t *testing.T) {
		tb.restart(t)
		floodStreams(t, tb)
		tb.check(t)
	})
}

// check checks the first VM while a flood is connected.
func (tb *testbed) check(t *testing.T) {
	t.Helper()
	time.Sleep(settleTime)
	err := tb.get()
	tb.checkUsage(t)
	if err != nil {
		t.Errorf("the ordinary request failed: %v", err)
	}
}

// checkUsage checks that the process of the first VM is alive and within its resources.
func (tb *testbed) checkUsage(t *testing.T) {
	t.Helper()
	peak, descriptors, alive := tb.usage()
	t.Logf("peak of memory %d MB, %d descriptors", peak, descriptors)
	if !alive {
		t.Fatal("the process has exited")
	}
	if peak >= tb.memoryMB {
		t.Errorf("peak of memory %d MB, the machine has %d MB", peak, tb.memoryMB)
	}
	if descriptors >= tb.descriptors {
		t.Errorf("%d open descriptors, the limit is %d", descriptors, tb.descriptors)
	}
}

const (
	streamConnections = 10
	streamsEach       = 100
	streamFields      = 1200
)

// floodStreams opens HTTP/2 streams whose headers have many fields and whose bodies stay open.
func floodStreams(t *testing.T, tb *testbed) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	for range streamConnections {
		transport := &http.Transport{Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		for range streamsEach {
			body, open := io.Pipe()
			t.Cleanup(func() { _ = open.Close() })
			req, err := http.NewRequest("POST", "http://"+tb.address+route, body)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+tb.key)
			for i := range streamFields {
				req.Header.Set(fmt.Sprintf("a%03x", i), "1")
			}
			go func() {
				if resp, err := transport.RoundTrip(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
	}
}

// Guards against limits that refuse a single caller within the published limits, and against
// memory of one flood that is still held in the next.
func TestCallersWithinTheLimitsAreServed(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs separate processes, which the race detector does not cover")
	}
	tb := startTestbed(t)
	tb.restart(t)
	floods := crowds()
	for _, c := range []crowd{floods[2], floods[5]} {
		t.Run("after "+c.name, func(t *testing.T) {
			t.Run("flood", func(t *testing.T) {
				c.send(t, tb)
				tb.check(t)
			})
			time.Sleep(settleTime)
			tb.checkSingle(t, followed(request("GET", route, shortFields(2300)), ""))
			tb.checkSingle(t, followed(request("POST", route, "Content-Length: 20000000\r\n"), strings.Repeat("x", 20_000_000)))
		})
	}
	tb.checkSlowBody(t)
}

// checkSingle checks that a single request is answered with 200.
func (tb *testbed) checkSingle(t *testing.T, text func(*testbed) string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", tb.address, sendTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	go func() { _, _ = io.WriteString(conn, text(tb)) }()
	wantOK(t, conn)
}

// checkSlowBody checks that a body that arrives slowly but steadily is served.
func (tb *testbed) checkSlowBody(t *testing.T) {
	conn, err := net.DialTimeout("tcp", tb.address, sendTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, followed(request("POST", route, "Content-Length: 8\r\n"), "")(tb))
	for range 8 {
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, "x")
	}
	_ = conn.SetReadDeadline(time.Now().Add(ordinaryTimeout))
	wantOK(t, conn)
}

// wantOK reads the status line of a response and checks that it is 200.
func wantOK(t *testing.T, conn net.Conn) {
	t.Helper()
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(conn, head); err != nil || !strings.HasSuffix(string(head), "200") {
		t.Errorf("response %q, error %v, want 200", head, err)
	}
}
