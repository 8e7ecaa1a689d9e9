package command

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// rawTarget is a target whose test controls every byte on its connections.
type rawTarget struct {
	address  string
	received atomic.Int64 // requests whose header was received
}

// startRaw starts a target that calls handle for each request of a connection until handle
// returns false, which closes the connection. The request body is read first, unless the
// request has a header X-Early.
func startRaw(t testing.TB, handle func(n int64, r *http.Request, c net.Conn) bool) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rawTarget{address: l.Addr().String()}
	var open sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		open.Wait()
	})
	open.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() { target.serve(c, handle) })
		}
	})
	return target
}

func (rt *rawTarget) serve(c net.Conn, handle func(int64, *http.Request, net.Conn) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n := rt.received.Add(1)
		if r.Header.Get("X-Early") == "" {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if !handle(n, r, c) {
			return
		}
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// write writes text to c and reports whether that succeeded.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
