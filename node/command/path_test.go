package command

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a request target that reaches the target of the route in another form than the
// caller sent it.
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
