package command

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// Guards against the start of a late copy that becomes the start of the next answer.
func TestStartOfALateCopyIsNotTheStartOfTheNextAnswer(t *testing.T) {
	for _, c := range []struct{ name, first, cut, next string }{
		{"refusal becomes a success", okAnswer, "HTTP/1.1 200 O", shedAnswer},
		{"success becomes a refusal", shedAnswer, "HTTP/1.1 503 Busy\r\nGalenasail-Shed: not-run\r\nX-A: ", okAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := startRaw(t, func(n int64, r *http.Request, conn net.Conn) bool {
				if n == 1 {
					return write(conn, withEcho(r, c.first))
				}
				write(conn, c.cut)
				time.Sleep(5 * time.Millisecond)
				return write(conn, withEcho(r, c.next))
			})
			f := startHarnessAt(t, target.address)
			f.do("POST", "/post/x", "")
			f.wantKind(f.do("POST", "/post/x", ""), fault.OutcomeUnknown)
		})
	}
}

// Guards against two answers that are parsed as one, and against headers that only mention HTTP.
func TestFramingFindsAStatusLineWithinAHeader(t *testing.T) {
	for header, merged := range map[string]bool{
		"HTTP/1.1 200 OHTTP/1.1 503 Busy":           true,
		"HTTP/1.1 503 HTTP/1.0 200 OK":              true,
		"HTTP/1.1 200 OK\r\nX-A: HTTP/1.1 404 Gone": true,
		"HTTP/1.1 200 HTTP/1.1 is used":             false,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway":  false,
	} {
		f := newFraming("GET", requestEcho{})
		f.feed([]byte(header + "\r\nContent-Length: 0\r\n\r\n"))
		status, value, _ := strings.Cut(header, "\r\nX-A: ")
		resp := &http.Response{Status: status[len("HTTP/1.1 "):], Header: http.Header{"X-A": {value}}}
		if f.reusable() == merged || mergedAnswers(resp) != merged {
			t.Errorf("%q: reusable %t, merged %t, want merged %t", header, f.reusable(), mergedAnswers(resp), merged)
		}
	}
}
