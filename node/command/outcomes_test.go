package command

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// withServices returns a copy of s whose services have the given names. The routes refer to the
// first one.
func withServices(s *document.Snapshot, names ...string) *document.Snapshot {
	next := *s
	next.Services = map[string]*document.Service{}
	for _, name := range names {
		service := *s.Services["citas"]
		service.Name = name
		next.Services[name] = &service
	}
	next.Routes = nil
	for _, r := range s.Routes {
		route := *r
		route.Service = names[0]
		next.Routes = append(next.Routes, &route)
	}
	return &next
}

// Guards against outcomes that are kept for every service that was ever configured, also for one
// whose request ends after its removal, and against losing those of a service that stays.
func TestOutcomesOfRemovedServicesAreDropped(t *testing.T) {
	block := make(chan bool)
	arrived := make(chan bool, 1)
	f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/get/late" {
			arrived <- true
			<-block
		}
	})
	first := f.snapshot.Load()
	o := &f.handler.outcomes
	for i := range 20 {
		f.snapshot.Store(withServices(first, fmt.Sprintf("service-%d", i), "kept"))
		if a := f.do("GET", "/get/x", ""); a.StatusCode != http.StatusOK {
			t.Fatalf("status %d: %s", a.StatusCode, a.body)
		}
		o.record("kept", false, time.Now())
	}
	late := make(chan answer)
	go func() { late <- f.do("GET", "/get/late", "") }()
	<-arrived
	f.snapshot.Store(withServices(first, "last", "kept"))
	f.do("GET", "/get/x", "")
	close(block)
	<-late
	if !o.failing("kept", time.Now()) {
		t.Error("the failures of a service that stays are lost")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.byService) != 2 || o.byService["last"] == nil || o.byService["kept"] == nil {
		t.Errorf("outcomes of %d services, want those of last and kept", len(o.byService))
	}
}
