package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// misbehavingConnections is the number of connections of each kind of misbehaving
	// callers.
	misbehavingConnections = 8
	// slowByteInterval is the time between two bytes of a slow caller.
	slowByteInterval = time.Second
	// slowBodyBytes and slowResponseBytes are the sizes of what slow callers send and read.
	slowBodyBytes     = 4096
	slowResponseBytes = 2 << 20
	// smallReceiveBuffer makes the system of a slow reader take only a few bytes ahead.
	smallReceiveBuffer = 4096
)

// misbehavingKind is a kind of misbehaving caller. It uses a connection until it is closed;
// path is unique.
type misbehavingKind struct {
	name string
	use  func(c net.Conn, path string)
}

var misbehavingKinds = []misbehavingKind{
	{"idle", func(net.Conn, string) {}},
	{"header without an end", func(c net.Conn, path string) {
		_, _ = io.WriteString(c, misbehavingHeader("GET", path))
		sendSlowly(c, strings.Repeat("x", slowBodyBytes))
	}},
	{"slow body", func(c net.Conn, path string) {
		_, _ = io.WriteString(c, misbehavingHeader("POST", path)+fmt.Sprintf("Content-Length: %d\r\n\r\n", slowBodyBytes))
		sendSlowly(c, strings.Repeat("x", slowBodyBytes))
	}},
	{"slow reader", func(c net.Conn, path string) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(smallReceiveBuffer)
		}
		_, _ = io.WriteString(c, misbehavingHeader("GET", fmt.Sprintf("%s?bytes=%d", path, slowResponseBytes))+"\r\n")
		for one := make([]byte, 1); ; time.Sleep(slowByteInterval) {
			if _, err := c.Read(one); err != nil {
				return
			}
		}
	}},
	{"reset after the request", func(c net.Conn, path string) {
		_, _ = io.WriteString(c, misbehavingHeader("POST", path)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(path), path))
		time.Sleep(medianServiceTime / 2)
		reset(c)
	}},
	{"pipelined", func(c net.Conn, path string) {
		var text strings.Builder
		for n := range 20 {
			text.WriteString(misbehavingHeader("GET", fmt.Sprintf("%s-%d", path, n)) + "\r\n")
		}
		_, _ = io.WriteString(c, text.String())
	}},
}

// misbehavingHeader returns the header of a request without its end.
func misbehavingHeader(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak\r\nAuthorization: Bearer %s\r\n", method, path, misbehavingWorkspace.Key())
}

// sendSlowly sends a text byte by byte until the connection ends.
func sendSlowly(c net.Conn, text string) {
	for i := range text {
		if _, err := c.Write([]byte{text[i]}); err != nil {
			return
		}
		time.Sleep(slowByteInterval)
	}
}

// misbehave keeps connections of each kind of misbehaving callers to random VMs. They end
// with the fault, half of them by a reset.
func (tb *testbed) misbehave(_ *testing.T, r *rand.Rand, during time.Duration) {
	addresses := tb.callerAddresses()
	ends := time.Now().Add(during)
	var mu sync.Mutex
	var conns []net.Conn
	for _, k := range misbehavingKinds {
		for range misbehavingConnections {
			address := addresses[r.IntN(len(addresses))]
			path := fmt.Sprintf("/%s/%s/%d", tb.deployment.Services[0].Name, misbehavingWorkspace.ID, tb.extraRequests.Add(1))
			tb.running.Go(func() {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					return // The VM may have another fault.
				}
				_ = c.SetDeadline(ends)
				mu.Lock()
				late := !time.Now().Before(ends)
				conns = append(conns, c)
				mu.Unlock()
				if late {
					_ = c.Close()
					return
				}
				k.use(c, path)
			})
		}
	}
	time.Sleep(time.Until(ends))
	mu.Lock()
	defer mu.Unlock()
	for i, c := range conns {
		if i%2 == 0 {
			reset(c)
		} else {
			_ = c.Close()
		}
	}
}
