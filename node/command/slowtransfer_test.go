package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/membudget"
	"github.com/galenasail/galenasail/node/limit"
)

// slowHarness returns a bounded harness whose target answers with size bytes, or without a body at
// the path /get/small, and whose routes allow 60 s.
func slowHarness(t *testing.T, cfg limit.Config, size int) (*harness, *limit.Guard) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/get/small" {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	for _, one := range f.snapshot.Load().Routes {
		one.TimeoutMs = 60_000
	}
	return f, f.bound(cfg)
}

// slowBounds allows bodies of 64 KiB in memory and pauses of 3 s.
func slowBounds() limit.Config {
	return limit.Config{Limits: membudget.Limits{Bytes: 2 << 20, Connections: 100}, Stall: 3 * time.Second, BodyBuffer: 64 << 10}
}

// Guards against callers that read one byte a second and thereby make the VM hold more than
// its budget: on HTTP/1.1 a response for each connection, on HTTP/2 one for each stream.
func TestSlowReadersStayWithinTheBudget(t *testing.T) {
	const callers = 60
	for _, h2 := range []bool{false, true} {
		size := 8 << 20
		if h2 {
			size = 60_000
		}
		cfg := slowBounds()
		cfg.Stall = 10 * time.Second
		f, guard := slowHarness(t, cfg, size)
		transport := slowTransport(t, h2)
		for range callers {
			req, err := http.NewRequestWithContext(t.Context(), "GET", f.url+"/get/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			go func() {
				if resp, err := transport.RoundTrip(req); err == nil {
					readSlowly(resp.Body, 1, time.Second)
				}
			}()
		}
		var most int64
		for range 150 {
			held, _ := guard.Usage()
			most = max(most, held)
			time.Sleep(10 * time.Millisecond)
		}
		if most > cfg.Limits.Bytes {
			t.Errorf("HTTP/2 %v: %d bytes are held, the limit is %d", h2, most, cfg.Limits.Bytes)
		}
	}
}

// slowTransport returns a transport with small receive buffers.
func slowTransport(t *testing.T, h2 bool) *http.Transport {
	transport := callerTransport(h2)
	transport.HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerConnection: 64 << 10, MaxReceiveBufferPerStream: 64 << 10}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		return c, err
	}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// readSlowly reads a body in pieces with pauses and returns its length.
func readSlowly(body io.ReadCloser, piece int64, pause time.Duration) (size int64, err error) {
	defer body.Close()
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, body, piece)
		size += n
		time.Sleep(pause)
	}
	return size, err
}

// Guards against a response that is cut off although its caller reads it, slowly but with
// pauses far below the stall time.
func TestSlowlyReadResponseIsComplete(t *testing.T) {
	for _, c := range []struct {
		h2          bool
		size, piece int
	}{{false, 64 << 20, 2 << 20}, {true, 128 << 10, 4 << 10}} {
		t.Run(fmt.Sprintf("HTTP/2 %v", c.h2), func(t *testing.T) {
			t.Parallel()
			f, _ := slowHarness(t, slowBounds(), c.size)
			req, err := http.NewRequest("GET", f.url+"/get/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			transport := callerTransport(false)
			if c.h2 {
				transport = slowTransport(t, true)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := readSlowly(resp.Body, int64(c.piece), 250*time.Millisecond); n != int64(c.size) || err != io.EOF {
				t.Errorf("%d of %d bytes, error %v", n, c.size, err)
			}
		})
	}
}

// Guards against a body that is refused although it arrives, in small pieces with pauses below
// the stall time: one that fits into the buffer, and one that is streamed to the target.
func TestSlowBodyOfAnySizeIsServed(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		for _, first := range []int{0, 100_000} {
			t.Run(fmt.Sprintf("HTTP/2 %v, %d bytes at once", h2, first), func(t *testing.T) {
				t.Parallel()
				f, _ := slowHarness(t, slowBounds(), 2)
				body, rest := io.Pipe()
				go func() {
					_, _ = io.WriteString(rest, strings.Repeat("x", first))
					for range 12 {
						time.Sleep(300 * time.Millisecond)
						_, _ = io.WriteString(rest, "x")
					}
					_ = rest.Close()
				}()
				if a := f.doOver(h2, "POST", "/post/x", body, nil); a.body != "xx" {
					t.Errorf("status %d, body %q, error %v", a.StatusCode, a.body, a.err)
				}
			})
		}
	}
}
