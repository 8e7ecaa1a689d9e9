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

// endless are answers that go on until the caller closes: the part before, and the part
// that is repeated without end.
var endlessAnswers = map[string][2]string{
	"a header line":       {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096)},
	"header lines":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 512)},
	"a status line":       {"", strings.Repeat("x", 4096)},
	"interim answers":     {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 128)},
	"a chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", strings.Repeat("x", 4096)},
	"a chunk length":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	"trailers":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", strings.Repeat("X-A: b\r\n", 512)},
	"a body of chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("5\r\nhello\r\n", 512)},
	"a body to the close": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
	"a body without length where that is allowed": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
	"bytes behind answers":                        {okAnswer, strings.Repeat("x", 4096)},
}

// Guards against a target that sends bytes without end and thereby holds a request beyond
// its time, a connection for good or memory without bound.
func TestEndlessAnswersEndWithTheirRequest(t *testing.T) {
	const (
		timeout = 2 * time.Second // of the route
		slack   = time.Second
		// mostUnread bounds what may be sent of an answer that no caller gets: its header,
		// what is read ahead and what the target writes until it sees the close.
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
			f.handler.cfg.Dialect.EndByClose = allowed
			start := time.Now()
			a := f.do("POST", "/post/x", "")
			if took := time.Since(start); took > timeout+slack {
				t.Errorf("the caller waited %v", took)
			}
			if whole := a.err == nil && a.StatusCode == http.StatusOK; whole && name != "bytes behind answers" {
				t.Errorf("the caller got a whole answer %q", a.body[:min(len(a.body), 40)])
			}
			select {
			case <-closed:
			case <-time.After(timeout + writeGrace):
				t.Fatal("the connection to the target stays open")
			}
			passedOn := allowed || name == "a body of chunks"
			if n := sent.Load(); !passedOn && n > mostUnread {
				t.Errorf("%d bytes were taken from the target", n)
			}
		})
	}
}
