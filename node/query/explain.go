package query

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/explain"
)

const (
	// explainTimeout bounds the wait of one query for the holder sides of this VM.
	explainTimeout = time.Second
	// maxExplains bounds the concurrent queries, so that operators cannot occupy a VM.
	maxExplains = 2
	// maxURLBytes bounds the URL of a request to explain, in bytes.
	maxURLBytes = 8 << 10
)

// AdmissionExplainer explains the steps of the caller path before the rate limit.
type AdmissionExplainer interface {
	// ExplainAdmission explains a request without a body of the workspace with the given ID,
	// empty for a request without a key.
	ExplainAdmission(r *http.Request, workspace string) explain.Decision
}

// RateExplainer explains the rate limit.
type RateExplainer interface {
	// ExplainRate explains a request of w that has the time left until its deadline.
	ExplainRate(ctx context.Context, w *document.Workspace, left time.Duration) explain.Rate
}

// PlacementExplainer explains the choice of a target.
type PlacementExplainer interface {
	// ExplainPlacement explains the choice for a request from the failure domain from.
	ExplainPlacement(ctx context.Context, r node.PermitRequest, from string) explain.Placement
}

// ExplainerConfig configures an Explainer. All fields are required. None of the parts may
// change its state for a query.
type ExplainerConfig struct {
	// Identity is this VM.
	Identity node.Identity
	// Configs provides the configuration in effect.
	Configs node.Configs
	// Admission, Rate and Placement explain their steps.
	Admission AdmissionExplainer
	Rate      RateExplainer
	Placement PlacementExplainer
}

// Explainer explains where requests would go. It is safe for concurrent use.
type Explainer struct {
	cfg   ExplainerConfig
	slots chan struct{}
}

// NewExplainer returns an explainer.
func NewExplainer(cfg ExplainerConfig) *Explainer {
	return &Explainer{cfg: cfg, slots: make(chan struct{}, maxExplains)}
}

// ServeHTTP answers GET /galenasail/v1/explain with the parameters method, url, from and
// workspace: 400 for a request that no caller could send, 503 while too many queries run.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		http.Error(w, "too many explain queries at once", http.StatusServiceUnavailable)
		return
	}
	p := r.URL.Query()
	request := explain.Request{Method: p.Get("method"), URL: p.Get("url"), From: p.Get("from"), Workspace: p.Get("workspace")}
	parsed, err := ParseExplained(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, e.explain(ctx, request, parsed))
}

// ParseExplained returns the request that a caller would send. The URL may have a host and
// the scheme http or https, or begin with its path. It returns an error when no caller could
// send such a request.
func ParseExplained(r explain.Request) (*http.Request, error) {
	if len(r.URL) > maxURLBytes {
		return nil, trace.BadParameter("the URL has more than %d bytes", maxURLBytes)
	}
	u, err := url.Parse(r.URL)
	if err != nil {
		return nil, trace.BadParameter("URL: %v", err)
	}
	switch {
	case u.Scheme == "" && u.Host == "" && len(u.Path) > 0 && u.Path[0] == '/':
	case (u.Scheme == "http" || u.Scheme == "https") && u.Host != "":
	default:
		return nil, trace.BadParameter("URL %q is neither a path nor an http URL with a host", r.URL)
	}
	if r.Method == "" {
		return nil, trace.BadParameter("the method is empty")
	}
	if u.Path == "" {
		u.Path = "/"
	}
	parsed, err := http.NewRequest(r.Method, u.String(), nil)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	parsed.RequestURI = u.RequestURI()
	return parsed, nil
}

// explain runs the steps of the request.
func (e *Explainer) explain(ctx context.Context, request explain.Request, parsed *http.Request) explain.Result {
	vm := e.cfg.Identity.VM
	if request.From == "" {
		request.From = vm.FailureDomain
	}
	d := e.cfg.Admission.ExplainAdmission(parsed, request.Workspace)
	out := explain.Result{
		VM: vm.ID, FailureDomain: vm.FailureDomain, Ticket: e.cfg.Configs.Snapshot().Ticket(),
		Request: request, Admission: d.Admission,
	}
	if d.Permit.Service != nil {
		e.explainChoice(ctx, d, &out)
	}
	out.Refusal = firstRefusal(d, out)
	e.addRemarks(&out)
	return out
}

// explainChoice adds the rate limit and the choice of a target.
func (e *Explainer) explainChoice(ctx context.Context, d explain.Decision, out *explain.Result) {
	if d.Workspace != nil {
		r := e.cfg.Rate.ExplainRate(ctx, d.Workspace, d.Permit.MaxDuration)
		out.Rate = &r
	}
	p := e.cfg.Placement.ExplainPlacement(ctx, d.Permit, out.Request.From)
	if p.Refusal != nil && d.NoCapacity != nil && p.Refusal.Kind == fault.NoCapacity.String() {
		p.Refusal = d.NoCapacity
	}
	out.Placement = &p
}

// firstRefusal returns the refusal of the first step that refuses the request.
func firstRefusal(d explain.Decision, r explain.Result) *explain.Refusal {
	switch {
	case d.Refusal != nil:
		return d.Refusal
	case r.Rate != nil && r.Rate.Refusal != nil:
		return r.Rate.Refusal
	case d.Quarantine != nil:
		return d.Quarantine
	case r.Placement != nil:
		return r.Placement.Refusal
	}
	return nil
}

// addRemarks adds notes on the request, and what the VM cannot know.
func (e *Explainer) addRemarks(r *explain.Result) {
	vm := e.cfg.Identity.VM
	r.Unknown = []string{"requests that arrive before the explained one, and their effect on it"}
	if s := e.cfg.Configs.Snapshot(); s != nil {
		if _, known := s.Domains[r.Request.From]; !known {
			r.Notes = append(r.Notes, fmt.Sprintf("failure domain %q is not in the configuration", r.Request.From))
		}
	}
	if r.Request.From != vm.FailureDomain {
		r.Unknown = append(r.Unknown, fmt.Sprintf("the loads that the VMs know to which callers from %q are directed; those of %s are shown", r.Request.From, vm.ID))
	}
	if r.Rate != nil && r.Rate.Tokens == 0 && r.Rate.HolderTokens == nil {
		r.Unknown = append(r.Unknown, "the tokens that the holder of the rate has left: "+orNone(r.Rate.Holder))
	}
	if r.Placement == nil {
		return
	}
	var holders []string
	for _, g := range r.Placement.Groups {
		if !g.HeldHere && g.Holder != "" && !slices.Contains(holders, g.Holder) {
			holders = append(holders, g.Holder)
			r.Unknown = append(r.Unknown, fmt.Sprintf("the targets, the queue and the refusals of the groups that %s holds; ask that VM", g.Holder))
		}
	}
	if r.Refusal == nil {
		r.Unknown = append(r.Unknown, "whether the target answers, and what a retry would do")
	}
}

// orNone returns the ID of a VM, or that there is none.
func orNone(id string) string {
	if id == "" {
		return "no holder is known"
	}
	return id
}
