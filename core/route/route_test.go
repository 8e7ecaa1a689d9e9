package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/document"
)

// scan is the reference implementation of Match. It checks all routes.
func scan(routes []*document.Route, method, path string) *document.Route {
	var best *document.Route
	for _, r := range routes {
		p := r.PathPrefix
		onBoundary := strings.HasPrefix(path, p) &&
			(len(path) == len(p) || p[len(p)-1] == '/' || path[len(p)] == '/')
		if onBoundary && Allows(r, method) && (best == nil || len(p) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Guards against an index that finds a different route than a scan of all routes: one
// with a shorter prefix, a prefix that ends inside a segment, or another method.
func TestIndexAgreesWithScan(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{0,2}){1,5}`)
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfN(path, 0, 12).Draw(t, "prefixes")
		var routes []*document.Route
		for i, p := range prefixes {
			r := &document.Route{ID: fmt.Sprint(i), PathPrefix: p}
			r.Methods = rapid.SampledFrom([][]string{nil, {"GET"}, {"POST", "PUT"}}).Draw(t, "methods")
			routes = append(routes, r)
		}
		request := path.Draw(t, "path")
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
		want := scan(routes, method, request)
		got, ok := NewIndex(routes).Match("any.example", method, request)
		if got != want || ok != (want != nil) {
			t.Fatalf("%s %s: got %v, want %v", method, request, got, want)
		}
	})
}

// BenchmarkMatch compares lookups among 32 and 32,000 routes.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{32, 32000} {
		var routes []*document.Route
		for i := range n {
			routes = append(routes, &document.Route{PathPrefix: fmt.Sprintf("/s%d/v1/items/", i%1600) + fmt.Sprint(i) + "/"})
		}
		ix := NewIndex(routes)
		path := routes[n/2].PathPrefix + "one/two/three"
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := ix.Match("h", "GET", path); !ok {
					b.Fatal("no route found")
				}
			}
		})
	}
}
