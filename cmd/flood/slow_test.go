package flood

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// slowInterval is the time between two bytes of a slow caller.
	slowInterval = time.Second
	// smallWindow is the receive buffer of a caller that does not read.
	smallWindow = 4 << 10
)

// slowCrowd is a flood of connections that send a text, and then send or read one byte each
// slowInterval until the flood ends.
type slowCrowd struct {
	name        string
	connections int
	// addresses and texts are taken in turn by the connections.
	addresses []func(tb *testbed) string
	texts     []func(tb *testbed) string
	// sends makes the connections send one byte each slowInterval; otherwise every second
	// connection reads one, and the others read nothing after their first byte.
	sends bool
	// check checks the VM while the flood is connected.
	check func(tb *testbed, t *testing.T)
}

// openRequests returns requests on a path of which each lacks most of one part: the header, a
// body that fits into the buffer of the VM, a longer body, and a chunk.
func openRequests(path string) []func(*testbed) string {
	body := strings.Repeat("x", 600_000)
	return []func(*testbed) string{
		request("GET", path, "X-Slow: "),
		followed(request("POST", path, "Content-Length: 1000000\r\n"), body[:400_000]),
		followed(request("POST", path, "Content-Length: 1000000\r\n"), body),
		followed(request("POST", path, "Transfer-Encoding: chunked\r\n"), "fffff\r\n"+body[:1000]),
	}
}

// one returns a list with one element.
func one[T any](v T) []T { return []T{v} }

func slowCallers() []slowCrowd {
	callers, admin := one(toCallers), one(toAdmin)
	return []slowCrowd{
		{"senders on a route", 300, callers, openRequests(route), true, (*testbed).check},
		{"senders of long bodies on a route", 24, callers, openRequests(route)[2:3], true, (*testbed).check},
		{"senders of headers", 300, callers, openRequests(route)[:1], true, (*testbed).check},
		{"senders of HTTP/2 frames", 300, callers, fixed(preface + openFrame), true, (*testbed).check},
		{"idle after the HTTP/2 preface", 300, callers, fixed(preface), false, (*testbed).check},
		{"idle after a request without a route", 300, callers, one(followed(request("GET", unknown), "")), false, (*testbed).check},
		{"senders without a route", 300, callers, openRequests(noRoute), true, (*testbed).check},
		{"senders of address queries", 300, callers, openRequests(query), true, (*testbed).check},
		{"senders on the readiness path", 100, admin, openRequests(health), true, (*testbed).checkAdmin},
		{"readers on a route", 40, callers, one(followed(request("GET", largePath), "")), false, (*testbed).check},
		{"readers without a route", 100, callers, one(repeated(followed(request("GET", noRoute), ""), 1000)), false, (*testbed).check},
		{"readers on the readiness path", 100, admin, []func(*testbed) string{
			repeated(followed(request("GET", health), ""), 1000),
			repeated(followed(request("GET", "/galenasail/v1/events"), ""), 100),
			repeated(followed(request("GET", "/galenasail/v1/metrics"), ""), 100),
		}, false, (*testbed).checkAdmin},
	}
}

// connect opens the connections of the crowd, which stay open until the test ends.
func (c slowCrowd) connect(t *testing.T, tb *testbed) {
	for i := range c.connections {
		conn, err := net.DialTimeout("tcp", c.addresses[i%len(c.addresses)](tb), sendTimeout)
		if err != nil {
			continue // A VM may refuse connections of a flood.
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.(*net.TCPConn).SetReadBuffer(smallWindow)
		go c.hold(conn, c.texts[i%len(c.texts)](tb), i%2 == 0)
	}
}

// hold sends the text and continues slowly until the connection is closed.
func (c slowCrowd) hold(conn net.Conn, text string, reads bool) {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, _ = io.WriteString(conn, text)
	_ = conn.SetWriteDeadline(time.Time{})
	var b [1]byte
	for {
		var err error
		switch {
		case c.sends:
			_, err = conn.Write([]byte("x"))
		default:
			_, err = conn.Read(b[:])
		}
		if err != nil || !c.sends && !reads {
			return
		}
		time.Sleep(slowInterval)
	}
}

// Guards against callers that send or read one byte a second, on any listener, and thereby
// make a VM exceed its memory or its descriptors, or keep it from serving an ordinary caller
// or a peer. The floods of one group are sent one after the other to the same process, so that
// memory held for one of them counts in the next.
func TestSlowFloods(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs separate processes, which the race detector does not cover")
	}
	tb := startTestbed(t)
	tb.restart(t)
	tb.floodSlowly(t, slowCallers())
	t.Run("readers of HTTP/2 streams", func(t *testing.T) {
		floodUnreadStreams(t, tb)
		tb.check(t)
	})
	tb.restart(t)
	tb.floodSlowly(t, peerCrowds())
	t.Run("peers: datagrams", func(t *testing.T) {
		floodDatagrams(t, tb.peer)
		tb.checkPeers(t)
	})
	t.Run("peers: calls with open bodies", func(t *testing.T) {
		floodCalls(t, tb)
		tb.checkPeers(t)
	})
	tb.startFront(t)
	t.Run("front: datagrams", func(t *testing.T) {
		floodDatagrams(t, fmt.Sprintf("%s:%d", tb.front, internalPort))
		tb.checkFront(t)
	})
	tb.floodSlowly(t, frontCrowds())
}

// floodSlowly sends the floods one after the other.
func (tb *testbed) floodSlowly(t *testing.T, crowds []slowCrowd) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			c.connect(t, tb)
			c.check(tb, t)
		})
	}
}

// checkAdmin checks the first VM and its admin address.
func (tb *testbed) checkAdmin(t *testing.T) {
	t.Helper()
	tb.check(t)
	if err := answered("http://" + tb.admin + health); err != nil {
		t.Errorf("admin address: %v", err)
	}
}

// answered sends an ordinary request and returns an error unless a response arrives in time.
func answered(url string) error {
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// unreadStreams returns a transport for HTTP/2 connections of one of which only one stream
// gets a response, because its window is not larger than the response.
func unreadStreams(t *testing.T) *http.Transport {
	const window = 64 << 10
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: window, MaxReceiveBufferPerStream: window}}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// floodUnreadStreams requests responses of 60 kB over HTTP/2 and reads one byte of each every
// slowInterval.
func floodUnreadStreams(t *testing.T, tb *testbed) {
	for range streamConnections {
		transport := unreadStreams(t)
		for range streamsEach {
			req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+tb.address+mediumPath, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+tb.key)
			go func() {
				resp, err := transport.RoundTrip(req)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				var b [1]byte
				for err == nil {
					time.Sleep(slowInterval)
					_, err = resp.Body.Read(b[:])
				}
			}()
		}
	}
}

// trickle returns a body that starts with size bytes and continues with one each slowInterval
// until the test ends.
func trickle(t *testing.T, size int) io.Reader {
	body, rest := io.Pipe()
	t.Cleanup(func() { _ = rest.Close() })
	go func() {
		_, err := fmt.Fprint(rest, strings.Repeat("x", size))
		for err == nil {
			time.Sleep(slowInterval)
			_, err = rest.Write([]byte("x"))
		}
	}()
	return body
}
