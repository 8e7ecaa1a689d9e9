package command

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessAnswers maps a name to an answer that never ends: its start and the part that is
// repeated until the connection is closed.
var endlessAnswers = map[string][2]string{
	"a header line":      {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096)},
	"header lines":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 512)},
	"a status line":      {"", strings.Repeat("x", 4096)},
	"interim answers":    {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 128)},
	"a chunk extension":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", strings.Repeat("x", 4096)},
	"a chunk length":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	"trailers":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", strings.Repeat("X-A: b\r\n", 512)},
	"a body of chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nhello\r\n", 512)},
	"a body until close": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
	"a body without length where that is allowed": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
	"bytes after answers":                         {okAnswer, strings.Repeat("x", 4096)},
}

// Guards against a target whose endless answer keeps a request past its deadline, keeps a
// connection open forever or uses unbounded memory.
func TestEndlessAnswersEndWithTheirRequest(t *testing.T) {
	const (
		timeout = 2 * time.Second // of the route
		slack   = time.Second
		// mostUnread bounds how much a target can send of an answer that is not delivered:
		// its header, the read-ahead, and what it writes until it detects the close.
		mostUnread = 1 << 20
	)
	for name, parts := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			closed := make(chan struct{})
			target := startRaw(t, func(_ int64, _ *http.Request, c net.Conn) bool {
				defer close(closed)
				_, err := io.WriteString(c, parts[0])
				for err == nil {
					_, err = io.WriteString(c, parts[1])
					sent.Add(int64(len(parts[1])))
					time.Sleep(time.Millisecond)
				}
				return false
			})
			f := startHarnessAt(t, target.address)
			allowed := strings.HasSuffix(name, "allowed")
			f.handler.cfg.Dialect.AllowCloseDelimited = allowed
			start := time.Now()
			a := f.do("POST", "/post/x", "")
			if took := time.Since(start); took > timeout+slack {
				t.Errorf("the caller waited %v, longer than the timeout of the route", took)
			}
			if complete := a.err == nil && a.StatusCode == http.StatusOK; complete && name != "bytes after answers" {
				t.Errorf("the caller received a complete answer %q", a.body[:min(len(a.body), 40)])
			}
			select {
			case <-closed:
			case <-time.After(timeout + writeGrace):
				t.Fatal("the connection to the target is still open after the deadline and the write grace period")
			}
			forwarded := allowed || name == "a body of chunks"
			if n := sent.Load(); !forwarded && n > mostUnread {
				t.Errorf("the target could send %d bytes of an answer that was not delivered", n)
			}
		})
	}
}
