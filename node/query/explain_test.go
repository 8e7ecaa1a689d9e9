package query

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/explain"
)

// explainedParts is a fake of the parts of a VM that explain their steps.
type explainedParts struct {
	decision  explain.Decision
	rate      explain.Rate
	placement explain.Placement
	// from and host are those that the parts were asked for.
	from, host string
	// asked and proceed hold the query until the test lets it proceed; nil for no hold.
	asked, proceed chan struct{}
}

func (p *explainedParts) ExplainAdmission(r *http.Request, _ string) explain.Decision {
	p.host = r.Host
	return p.decision
}

func (p *explainedParts) ExplainRate(context.Context, *document.Workspace, time.Duration) explain.Rate {
	return p.rate
}

func (p *explainedParts) ExplainPlacement(_ context.Context, _ node.PermitRequest, from string) explain.Placement {
	p.from = from
	if p.asked != nil {
		p.asked <- struct{}{}
		<-p.proceed
	}
	return p.placement
}

// explainer returns an explainer with fake parts.
func (p *explainedParts) explainer(t *testing.T) *Explainer {
	id := node.Identity{VM: member.VM{ID: "vm-1", FailureDomain: "d1"}}
	return NewExplainer(ExplainerConfig{Identity: id, Configs: newFakeVM(t), Admission: p, Rate: p, Placement: p})
}

// ask sends a query with the given parameters, name and value in turn.
func ask(t *testing.T, e *Explainer, parameters ...string) (int, explain.Result) {
	t.Helper()
	values := url.Values{}
	for i := 0; i < len(parameters); i += 2 {
		values.Set(parameters[i], parameters[i+1])
	}
	rec := httptest.NewRecorder()
	Admin{Metrics: http.NotFoundHandler(), Explain: e}.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/galenasail/v1/explain?"+values.Encode(), nil))
	var r explain.Result
	if err := json.Unmarshal(rec.Body.Bytes(), &r); err != nil && rec.Code == http.StatusOK {
		t.Fatal(err)
	}
	return rec.Code, r
}

// refusal returns a refusal of a step.
func refusal(step string) *explain.Refusal { return &explain.Refusal{Step: step, Kind: "no_capacity"} }

// Guards against a refusal of a later step than the one that refuses the request, and
// against the refusal for want of a target without the time at which a pause of a target ends.
func TestFirstStepRefuses(t *testing.T) {
	p := &explainedParts{}
	p.decision.Permit.Service, p.decision.Workspace = &document.Service{}, &document.Workspace{}
	p.placement.Refusal = refusal("target")
	p.placement.Groups = []explain.Group{{Name: "g", Holder: "vm-3"}, {Name: "h", Holder: "vm-1", HeldHere: true}}
	e := p.explainer(t)
	check := func(step string) {
		t.Helper()
		if _, r := ask(t, e, "method", "GET", "url", "/x"); r.Refusal == nil || r.Refusal.Step != step {
			t.Errorf("refusal %+v, want that of step %s", r.Refusal, step)
		}
	}
	check("target")
	p.decision.NoCapacity = refusal("pause")
	check("pause")
	p.decision.Quarantine = refusal("quarantine")
	check("quarantine")
	p.rate.Refusal = refusal("rate")
	check("rate")
	p.decision.Refusal = refusal("route")
	check("route")
	_, r := ask(t, e, "method", "GET", "url", "/x")
	unknown := strings.Join(r.Unknown, "\n")
	if p.from != "d1" || r.Request.From != "d1" || !strings.Contains(unknown, "vm-3") || strings.Contains(unknown, "vm-1") {
		t.Errorf("from %q, unknown %q, want the domain of the VM and the state of vm-3", p.from, unknown)
	}
}

// Guards against queries that no caller could send, and against URLs whose host is lost.
func TestExplainedRequests(t *testing.T) {
	p := &explainedParts{}
	e := p.explainer(t)
	for _, c := range []struct {
		method, url, host string
		status            int
	}{
		{"GET", "/x?y=1", "", 200}, {"GET", "http://a.example:90/x", "a.example:90", 200}, {"GET", "https://a.example", "a.example", 200},
		{"GET", "a.example/x", "", 400}, {"GET", "", "", 400}, {"GET", "ftp://a/x", "", 400}, {"", "/x", "", 400},
		{"G T", "/x", "", 400}, {"GET", "/%zz", "", 400}, {"GET", "/" + strings.Repeat("x", maxURLBytes), "", 400},
	} {
		p.host = ""
		status, r := ask(t, e, "method", c.method, "url", c.url, "from", "nowhere")
		if status != c.status || p.host != c.host {
			t.Errorf("%s %.20s: status %d, host %q, want %d and %q", c.method, c.url, status, p.host, c.status, c.host)
		}
		if status == 200 && (len(r.Notes) != 1 || r.Placement != nil || r.Rate != nil) {
			t.Errorf("%s: %+v, want a note on the unknown failure domain and no choice without a service", c.url, r)
		}
	}
}

// Guards against operators who occupy a VM with queries.
func TestExplainQueriesAreBounded(t *testing.T) {
	p := &explainedParts{asked: make(chan struct{}), proceed: make(chan struct{})}
	p.decision.Permit.Service = &document.Service{}
	e := p.explainer(t)
	statuses := make(chan int, maxExplains)
	for range maxExplains {
		go func() {
			rec := httptest.NewRecorder()
			e.ServeHTTP(rec, httptest.NewRequest("GET", "/?method=GET&url=/x", nil))
			statuses <- rec.Code
		}()
		<-p.asked
	}
	if status, _ := ask(t, e, "method", "GET", "url", "/x"); status != http.StatusServiceUnavailable {
		t.Errorf("query above the bound: status %d, want 503", status)
	}
	close(p.proceed)
	for range maxExplains {
		if s := <-statuses; s != http.StatusOK {
			t.Errorf("query within the bound: status %d", s)
		}
	}
}
