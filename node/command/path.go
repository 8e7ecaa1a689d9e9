package command

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// requestPath returns the path of r as the target receives it: as the caller sent it, byte
// for byte, or in the form of net/http where the request target is in another form than a path
// or begins with two slashes. Everything that depends on the path reads it here, so that no
// decision is made for another path than the one that is sent.
func requestPath(r *http.Request) string {
	if path, ok := sentPath(r); ok {
		return path
	}
	if path := r.URL.EscapedPath(); path != "" {
		return path
	}
	return "/"
}

// sentPath returns the path as the caller sent it. ok is false where net/http cannot send it
// unchanged.
func sentPath(r *http.Request) (path string, ok bool) {
	path, _, _ = strings.Cut(r.RequestURI, "?")
	return path, strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//")
}

// targetURL returns the URL of the request to the target at address, with the path of r and the
// given query.
func targetURL(r *http.Request, address, query string) *url.URL {
	u := &url.URL{
		Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath,
		RawQuery: query, ForceQuery: r.URL.ForceQuery,
	}
	if path, ok := sentPath(r); ok {
		u.Opaque = path
	}
	return u
}

// hasDotSegment reports whether the decoded path contains a dot segment. A target may resolve
// it and serve a path outside the prefix of the route.
func hasDotSegment(r *http.Request) bool {
	return slices.ContainsFunc(strings.Split(r.URL.Path, "/"), isDotSegment)
}

func isDotSegment(s string) bool {
	return s == "." || s == ".."
}
