package command

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/route"
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

// Guards against a route, and with it the service and the number of runs allowed, of another
// path than the target receives.
func TestRouteIsThatOfTheForwardedPath(t *testing.T) {
	const list = "/get/list/"
	seen := make(chan string, 1)
	target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		seen <- r.RequestURI
		return write(c, okAnswer)
	})
	f := startHarnessAt(t, target.address)
	f.addRoute(document.Route{ID: "list", PathPrefix: list, Open: true, Unavailable: "for this test"})
	for _, c := range []struct {
		sent string
		want string // the request target that is forwarded, or the status
	}{
		{"/get/list/17", "503"},
		{"/get/list%2F17", "/get/list%2F17"},
		{"/get/list%2f17", "/get/list%2f17"},
		{"/get/%6cist/17", "/get/%6cist/17"},
		{"/get//list/17", "/get//list/17"},
		{"//get/list/17", "404"},
		{"/get%2Flist/17", "404"},
		{"/get;x/list/17", "404"},
		{"/get/list;x/17", "/get/list;x/17"},
		{"/get/list/%00", "503"},
		{"/get/%00", "/get/%00"},
		{"/get/?/get/list/", "/get/?/get/list/"},
		{"/get/list/?/get/", "503"},
		{"/get/%2e%2e/get/list/", "400"},
		{"/get/list%2F..%2F..", "400"},
		{"/get/./list/", "400"},
		{"/get/%zz/list/", "400"},
		{"http://x/get/list/17", "503"},
		{"http://x/get/list%2F17", "/get/list%2F17"},
	} {
		conn := f.dialCaller()
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", c.sent, testKey)
		answer, _ := io.ReadAll(conn)
		got := strings.Split(string(answer)+"  ", " ")[1]
		if len(seen) > 0 {
			got = <-seen
		}
		if got != c.want {
			t.Errorf("%q: got %q, want %q", c.sent, got, c.want)
		}
	}
	if a := f.doOver(true, "GET", "/get/list%2F17", nil, nil); a.StatusCode != http.StatusOK || <-seen != "/get/list%2F17" {
		t.Errorf("over HTTP/2: status %d, want the answer to the path as it was sent", a.StatusCode)
	}
}

// Guards against a second run of a request that is idempotent only by a path that the target
// does not receive.
func TestEncodedSlashMakesNoRequestIdempotent(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) {})
	yes := true
	f.addRoute(document.Route{ID: "list", PathPrefix: "/post/list/", Service: "citas", Idempotent: &yes, TimeoutMs: 2000, MaxBodyBytes: 1 << 20})
	for path, want := range map[string]bool{"/post/list/17": true, "/post/list%2F17": false} {
		ex := f.newExchange(http.MethodPost, path)
		f.addRoute(document.Route{ID: "later", PathPrefix: "/later/", Service: "citas", TimeoutMs: 2000})
		if got := ex.allowsSecondRun(); got != want {
			t.Errorf("%s: a second run is allowed: %t, want %t", path, got, want)
		}
	}
}

// Guards against a path by which the route is chosen that differs from the one that the target
// receives, and against a route other than that of its longest prefix.
func FuzzRouteOfForwardedPath(f *testing.F) {
	for _, s := range []string{"/a/b/1", "/a/b%2F1", "/a%2Fb/1", "//a/b/", "/a//b/", "/a/b/?x=/a/", "http://h/a/b%2f", "/a/b;c", "/a/%00", "*", "/a|b/", "/\xff/"} {
		f.Add(s)
	}
	prefixes := []string{"/", "/a/", "/a/b/", "/a/b%2F/"}
	var routes []*document.Route
	for _, p := range prefixes {
		routes = append(routes, &document.Route{PathPrefix: p})
	}
	index := route.NewIndex(routes)
	f.Fuzz(func(t *testing.T, target string) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		r := &http.Request{Method: http.MethodGet, URL: u, RequestURI: target}
		forwarded, _, _ := strings.Cut(targetURL(r, "h", u.RawQuery).RequestURI(), "?")
		if got := requestPath(r); got != forwarded {
			t.Fatalf("%q: the path is %q, but %q is forwarded", target, got, forwarded)
		}
		longest := ""
		for _, p := range prefixes {
			if strings.HasPrefix(forwarded, p) && len(p) > len(longest) {
				longest = p
			}
		}
		got := ""
		if rt, ok := index.Match("", r.Method, requestPath(r)); ok {
			got = rt.PathPrefix
		}
		if got != longest {
			t.Fatalf("%q: got the route of %q, want that of %q", target, got, longest)
		}
	})
}
