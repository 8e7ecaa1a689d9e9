package command

import (
	"net/http"
	"testing"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

// addRoute adds a route to the configuration in effect.
func (f *harness) addRoute(r document.Route) {
	next := *f.snapshot.Load()
	next.Routes = append([]*document.Route{&r}, next.Routes...)
	f.snapshot.Store(&next)
}

// Guards against a request of a route that cannot be served and that runs at the service of
// a shorter prefix, or waits.
func TestUnavailableRouteRefuses(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) {})
	f.addRoute(document.Route{ID: "odd", PathPrefix: "/get/odd/", Unavailable: "no service x"})
	f.wantKind(f.do("GET", "/get/odd/x", ""), fault.NoCapacity)
	if a := f.do("GET", "/get/x", ""); a.StatusCode != http.StatusOK {
		t.Errorf("status %d on the route beside it, want 200", a.StatusCode)
	}
	if d := f.explain("GET", "/get/odd/x", "clinic-a"); d.Refusal == nil || d.Refusal.Kind != fault.NoCapacity.String() {
		t.Errorf("explained as %+v, want a refusal", d.Refusal)
	}
	f.wantViolations()
}

// Guards against a path of the product that hides a route where nobody asks for the VMs to
// use on the caller address.
func TestPathOfAddressQueriesIsARouteLikeAnyOther(t *testing.T) {
	f := startHarness(t, func(http.ResponseWriter, *http.Request) {})
	f.addRoute(document.Route{ID: "own", PathPrefix: "/galenasail/", Service: "citas", TimeoutMs: 2000, MaxBodyBytes: 1 << 20})
	if a := f.do("GET", wire.AddressesPath, ""); a.StatusCode != http.StatusOK {
		t.Errorf("status %d, want the target's 200", a.StatusCode)
	}
}
