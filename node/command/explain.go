package command

import (
	"fmt"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/core/route"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/explain"
	"github.com/galenasail/galenasail/node/wire"
)

// explanation collects the decision about a request.
type explanation struct {
	explain.Decision
	h *Handler
	r *http.Request
}

// ExplainAdmission reports what the handler would decide now about a request without a body
// of the workspace with the given ID, empty for a request without a key. It changes no state.
// The steps after a refusal show what would follow without it.
func (h *Handler) ExplainAdmission(r *http.Request, workspace string) explain.Decision {
	e := &explanation{h: h, r: r}
	e.refuse(explain.StepVM, h.checkAccepting())
	if h.startingUp() {
		e.note("the VM is starting up: it holds requests until it has its configuration, at most %v after its start", h.cfg.StartupWait)
	}
	current := h.indexForQuery()
	if current == nil {
		e.refuse(explain.StepVM, errNoConfiguration())
		return e.Decision
	}
	e.refuse(explain.StepRequest, validateRequest(r))
	e.findWorkspace(current.snapshot, workspace)
	if requestPath(r) == wire.AddressesPath && h.cfg.Addresses != nil {
		e.note("the VM answers this path itself")
		return e.Decision
	}
	e.findRoute(current)
	return e.Decision
}

// indexForQuery returns the configuration in effect with its route index, or nil before the
// first one. Unlike currentIndex it does not store an index that it has to build.
func (h *Handler) indexForQuery() *routeIndex {
	snapshot := h.cfg.Configs.Snapshot()
	if snapshot == nil {
		return nil
	}
	if ix := h.index.Load(); ix != nil && ix.snapshot == snapshot {
		return ix
	}
	return &routeIndex{snapshot: snapshot, routes: route.NewIndex(snapshot.Routes), splitter: h.currentSplitter()}
}

// refuse records the refusal of a step unless an earlier step refused.
func (e *explanation) refuse(step string, err error) {
	if e.Refusal == nil {
		e.Refusal = explain.NewRefusal(step, err)
	}
}

func (e *explanation) note(format string, args ...any) {
	e.Admission.Notes = append(e.Admission.Notes, fmt.Sprintf(format, args...))
}

// findWorkspace sets the workspace with the given ID.
func (e *explanation) findWorkspace(s *document.Snapshot, id string) {
	if id == "" {
		return
	}
	e.Admission.Workspace = &explain.Workspace{ID: id}
	w, ok := s.Workspaces[id]
	if !ok {
		e.note("workspace %s is not in the configuration: its keys are not valid", id)
		return
	}
	e.Workspace = w
	e.Admission.Workspace.Known, e.Admission.Workspace.Priority = true, w.Priority
}

// findRoute sets the route, its service and what follows from them.
func (e *explanation) findRoute(current *routeIndex) {
	rt, ok := current.routes.Match(e.r.Host, e.r.Method, requestPath(e.r))
	if !ok {
		if e.r.Host == "" {
			e.note("without a host in the URL only routes for all hosts match")
		}
		e.refuse(explain.StepRoute, errNoRoute())
		return
	}
	err := authorize(rt, e.Workspace)
	e.refuse(explain.StepWorkspace, err)
	if w := e.Admission.Workspace; w != nil {
		w.Allowed = err == nil
	}
	idempotent := isIdempotent(rt, e.r.Method)
	e.Admission.Route = &explain.Route{
		ID: rt.ID, Host: rt.Host, PathPrefix: rt.PathPrefix, Methods: rt.Methods, Open: rt.Open,
		Idempotent: idempotent, TimeoutMs: rt.TimeoutMs, Priority: rt.Priority,
	}
	if err := checkAvailable(rt); err != nil {
		e.refuse(explain.StepRoute, err)
		return
	}
	service := current.snapshot.Services[current.splitter.Next(rt)]
	e.Admission.Service = explainService(rt, service)
	e.Permit = e.permitRequest(rt, service, idempotent)
	e.Quarantine = explain.NewRefusal(explain.StepQuarantine, e.h.quarantine.explain(
		poison.Fingerprint(e.Permit.Workspace, e.r.Method, requestPath(e.r), 0, nil)))
}

func explainService(rt *document.Route, s *document.Service) *explain.Service {
	out := &explain.Service{Name: s.Name, Placement: "outlier_detection"}
	if s.Placement == document.ByHealthEstimate {
		out.Placement = "health_estimate"
	}
	for _, part := range rt.Split {
		out.Split = append(out.Split, explain.Part{Service: part.Service, Weight: part.Weight})
	}
	return out
}

// permitRequest returns the request for a permit of the first attempt of a new caller.
func (e *explanation) permitRequest(rt *document.Route, s *document.Service, idempotent bool) node.PermitRequest {
	now := time.Now()
	unwanted, pause := e.h.notices.explainUnwanted(s, now)
	if pause > 0 {
		e.NoCapacity = explain.NewRefusal(explain.StepTarget, errPaused(s.Name, pause))
	}
	r := node.PermitRequest{
		Service: s, Route: rt.ID, Idempotent: idempotent,
		DueAfter:    dueAfter(rt, e.Workspace),
		Objective:   time.Duration(rt.ObjectiveMs) * time.Millisecond,
		Failing:     e.h.outcomes.explainFailing(s.Name, now),
		Avoid:       unwanted,
		MaxDuration: time.Duration(rt.TimeoutMs) * time.Millisecond,
	}
	if e.Workspace != nil {
		r.Workspace = e.Workspace.ID
	}
	return r
}
