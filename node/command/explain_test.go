package command

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/explain"
	"github.com/galenasail/galenasail/node/wire"
)

// explain explains a request of the workspace.
func (f *harness) explain(method, path, workspace string) explain.Decision {
	r, err := http.NewRequest(method, f.url+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.RequestURI = r.URL.RequestURI()
	return f.handler.ExplainAdmission(r, workspace)
}

// Guards against an explained refusal that differs from the one that the caller gets: other
// conditions, another order of them, or another answer.
func TestExplainedRefusalIsTheAnswer(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") })
	keys := map[string]string{"clinic-a": testKey, "clinic-b": "key-b", "clinic-x": "unknown-key"}
	check := func(method, path, workspace string) {
		t.Helper()
		got := f.do(method, path, "", "Authorization: Bearer "+keys[workspace])
		d := f.explain(method, path, workspace)
		if d.Refusal != nil {
			kind := fault.Kinds()[0]
			for _, k := range fault.Kinds() {
				if k.String() == d.Refusal.Kind {
					kind = k
				}
			}
			f.wantKind(got, kind)
		} else if got.StatusCode != http.StatusOK {
			t.Errorf("%s %s of %q: answered %d %s, explained without a refusal", method, path, workspace, got.StatusCode, got.body)
		}
	}
	all := func() {
		t.Helper()
		for _, workspace := range []string{"clinic-a", "clinic-b", "clinic-x", ""} {
			for _, path := range []string{"/get/x", "/post/x", "/open/x", "/b/x", "/other", "/get/../b"} {
				check("GET", path, workspace)
			}
		}
	}
	all()
	err := fault.New(fault.NotInContact, "cut off")
	f.contact.Store(&err)
	all()
	f.contact.Store(nil)
	f.snapshot.Store(nil)
	all()
}

// Guards against an admission that lacks a step, or has another than the request gets.
func TestExplainedAdmission(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {})
	d := f.explain("POST", "/get/x", "clinic-b")
	ex := f.newExchange("POST", "/get/x")
	want := ex.permitRequest()
	got := d.Permit
	if got.Service != want.Service || got.Route != want.Route || got.Idempotent != want.Idempotent || got.DueAfter != want.DueAfter ||
		got.Objective != want.Objective || got.MaxDuration < want.MaxDuration || got.Workspace != "clinic-b" || got.Retry || got.Hedge {
		t.Errorf("permit request %+v, the handler makes %+v", got, want)
	}
	a := d.Admission
	if a.Route.ID != "get" || a.Route.Idempotent || !a.Workspace.Known || !a.Workspace.Allowed || a.Service.Name != "citas" || len(a.Notes) > 0 {
		t.Errorf("admission %+v", a)
	}
	if d := f.explain("GET", "/b/x", "clinic-a"); d.Admission.Workspace.Allowed || d.Admission.Route == nil || d.Permit.Service == nil {
		t.Errorf("steps after a refusal are missing: %+v", d)
	}
	if d := f.explain("GET", wire.AddressesPath, "clinic-x"); d.Refusal == nil || d.Refusal.Step != explain.StepRoute {
		t.Errorf("path that the VM does not answer itself explained as %+v", d)
	}
	f.handler.cfg.Addresses = http.NotFoundHandler()
	if d := f.explain("GET", wire.AddressesPath, "clinic-x"); d.Refusal != nil || d.Admission.Route != nil || len(d.Admission.Notes) != 2 {
		t.Errorf("path of the VM explained as %+v", d)
	}
}

// Guards against an explanation that changes the state of the handler: the route index, the
// counts of requests, notices or the table of quarantined requests.
func TestExplainedAdmissionChangesNoState(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {})
	h, now := f.handler, time.Now()
	fingerprint := poison.Fingerprint("clinic-a", "GET", "/get/x", 0, nil)
	for target := range uint64(2) {
		h.quarantine.add(node.PoisonMark{Fingerprint: fingerprint, Target: target})
	}
	service := f.snapshot.Load().Services["citas"]
	h.notices.record("citas", service.Targets[0], wire.TargetNotices{Pause: time.Minute}, now)
	h.notices.record("citas", document.Target{ID: "gone"}, wire.TargetNotices{Pause: time.Nanosecond}, now.Add(-time.Second))
	d := f.explain("GET", "/get/x", "clinic-a")
	if d.Quarantine == nil || d.Quarantine.Kind != fault.Poisoned.String() || d.Quarantine.RetryAfterMs <= 0 {
		t.Errorf("quarantined request explained as %+v", d.Quarantine)
	}
	if len(d.Permit.Avoid) != 1 || d.NoCapacity == nil || d.NoCapacity.RetryAfterMs < 50_000 {
		t.Errorf("paused target explained as %+v, %+v", d.Permit.Avoid, d.NoCapacity)
	}
	if h.index.Load() != nil || h.Running() != 0 || len(h.outcomes.byService) != 0 || len(h.notices.byService["citas"]) != 2 {
		t.Errorf("index %v, %d requests, outcomes %v, notices %v", h.index.Load(), h.Running(), h.outcomes.byService, h.notices.byService)
	}
	h.quarantine.table.Clear(fingerprint, time.Now())
	rec := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/get/x", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	h.ServeHTTP(rec, r)
	if f.explain("GET", "/get/x", "clinic-a").Quarantine != nil {
		t.Error("a request that is not quarantined is explained as refused")
	}
}
