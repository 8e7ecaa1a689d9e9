// Package route matches a request to a route of a Snapshot.
package route

import (
	"net"
	"strings"

	"github.com/galenasail/galenasail/core/document"
)

// Index finds routes by host and path prefix. It is immutable and safe for
// concurrent use. A lookup takes at most two map reads per path segment and host,
// independently of the number of routes.
type Index struct {
	byHost map[string]*hostIndex
}

// hostIndex holds the routes of one host. The hostIndex of the empty host name holds
// the routes without a host, which apply to all hosts.
type hostIndex struct {
	byPrefix      map[string][]*document.Route
	longestPrefix int // length of the longest prefix, in bytes
}

// NewIndex returns an index of routes. If several routes with the same prefix match a
// request, the first one in the slice is used.
func NewIndex(routes []*document.Route) *Index {
	ix := &Index{byHost: map[string]*hostIndex{}}
	for _, r := range routes {
		h := ix.host(r.Host)
		h.byPrefix[r.PathPrefix] = append(h.byPrefix[r.PathPrefix], r)
		h.longestPrefix = max(h.longestPrefix, len(r.PathPrefix))
	}
	return ix
}

func (ix *Index) host(name string) *hostIndex {
	h := ix.byHost[name]
	if h == nil {
		h = &hostIndex{byPrefix: map[string][]*document.Route{}}
		ix.byHost[name] = h
	}
	return h
}

// Match returns the route for a request. Among the routes of its host, or else among
// those without a host, it is the route with the longest prefix of path that allows
// method. Path is the path as it is sent to the target; prefixes are compared with it byte by
// byte, without decoding. A port in host is ignored.
func (ix *Index) Match(host, method, path string) (*document.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if h := ix.byHost[host]; h != nil && host != "" {
		if r, ok := h.match(method, path); ok {
			return r, true
		}
	}
	if h := ix.byHost[""]; h != nil {
		return h.match(method, path)
	}
	return nil, false
}

// match returns the route with the longest prefix of path that allows method.
// A prefix matches at segment boundaries only: /a matches /a and /a/b, but not /ab,
// and /a/ matches /a/b, but not /a.
func (ix *hostIndex) match(method, path string) (*document.Route, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	end := len(path)
	if end > ix.longestPrefix+1 {
		end = lastBoundary(path, ix.longestPrefix+1)
	}
	for end > 0 {
		if r, ok := ix.find(path[:end], method); ok {
			return r, true
		}
		end = lastBoundary(path, end)
	}
	return nil, false
}

// lastBoundary returns the length of the longest candidate prefix of path that is
// shorter than end: first the one that includes the slash, then the one without it.
// It returns 0 when there is none.
func lastBoundary(path string, end int) int {
	if path[end-1] == '/' {
		return end - 1
	}
	return strings.LastIndexByte(path[:end], '/') + 1
}

func (ix *hostIndex) find(prefix, method string) (*document.Route, bool) {
	for _, r := range ix.byPrefix[prefix] {
		if Allows(r, method) {
			return r, true
		}
	}
	return nil, false
}

// Allows reports whether r accepts method.
func Allows(r *document.Route, method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}
