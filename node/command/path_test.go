package command

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/galenasail/galenasail/core/fault"
)

// Guards against a path that reaches the target in another form than the caller sent.
func TestRequestTargetIsForwardedUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		seen <- r.RequestURI
		return write(c, okAnswer)
	})
	f := startHarnessAt(t, target.address)
	for _, sent := range []string{"/get/%2Fa//b;c?", "/get/a%7cb", "/get/a?x=%zz|\"#", "/get/a|b", "/get/a{b}", "/get/a\"b", "/get/\u00fc"} {
		c := f.dialCaller()
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", sent, testKey)
		answer, _ := io.ReadAll(c)
		if len(seen) == 0 {
			t.Errorf("%q was not forwarded: %q", sent, answer)
		} else if got := <-seen; got != sent {
			t.Errorf("%q was forwarded as %q", sent, got)
		}
	}
}

// Guards against an HTTP/2 request whose path or query ends the request line that the target gets.
func TestSpaceInRequestTargetIsRefused(t *testing.T) {
	target := startRaw(t, func(_ int64, _ *http.Request, c net.Conn) bool { return write(c, okAnswer) })
	f := startHarnessAt(t, target.address)
	for _, path := range []string{"/get/x HTTP/1.0", "/get/x?a=1 HTTP/1.0"} {
		req, err := http.NewRequest(http.MethodGet, f.url, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.URL.Opaque = path
		req.Header.Set("Authorization", "Bearer "+testKey)
		f.wantKind(receive(callerTransport(true).RoundTrip(req)), fault.BadRequest)
	}
	if n := target.received.Load(); n != 0 {
		t.Errorf("the target received %d requests, want 0", n)
	}
}
