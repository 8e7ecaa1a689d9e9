package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/galenasail/galenasail/node/explain"
)

// writeExplanation writes an explanation as tables.
func writeExplanation(w io.Writer, r explain.Result) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	writeSteps(tw, r)
	if r.Placement != nil {
		writeGroups(tw, *r.Placement)
		writeChoices(tw, *r.Placement)
		writeTargets(tw, *r.Placement)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "NOT KNOWN TO THIS VM")
	for _, u := range r.Unknown {
		fmt.Fprintln(tw, u)
	}
	return tw.Flush()
}

// writeSteps writes one row for each step.
func writeSteps(w io.Writer, r explain.Result) {
	row := func(step, format string, args ...any) {
		fmt.Fprintf(w, "%s\t%s\n", step, fmt.Sprintf(format, args...))
	}
	fmt.Fprintln(w, "STEP\tRESULT")
	row("request", "%s %s from %s", r.Request.Method, r.Request.URL, r.Request.From)
	row("VM", "%s in %s, ticket %d", r.VM, r.FailureDomain, r.Ticket)
	row("route", "%s", describeRoute(r.Route))
	row("workspace", "%s", describeWorkspace(r.Workspace))
	row("rate", "%s", describeRate(r.Rate))
	row("service", "%s", describeService(r.Service))
	if r.Placement != nil {
		row("groups", "%s", describePlacement(*r.Placement))
	}
	row("refusal", "%s", describeRefusal(r.Refusal))
	for _, n := range r.Notes {
		row("note", "%s", n)
	}
}

func describeRoute(rt *explain.Route) string {
	if rt == nil {
		return "none"
	}
	methods := "all methods"
	if len(rt.Methods) > 0 {
		methods = strings.Join(rt.Methods, ",")
	}
	kind := "not idempotent"
	if rt.Idempotent {
		kind = "idempotent"
	}
	access := "key needed"
	if rt.Open {
		access = "open"
	}
	return fmt.Sprintf("%s: %s%s, %s, %s, %s, timeout %d ms, priority %d", rt.ID, rt.Host, rt.PathPrefix, methods, access, kind, rt.TimeoutMs, rt.Priority)
}

func describeWorkspace(ws *explain.Workspace) string {
	switch {
	case ws == nil:
		return "none: the request has no key"
	case !ws.Known:
		return ws.ID + ": not in the configuration"
	case !ws.Allowed:
		return ws.ID + ": may not use the route"
	}
	return fmt.Sprintf("%s, priority %d", ws.ID, ws.Priority)
}

func describeRate(r *explain.Rate) string {
	if r == nil {
		return "no limit applies"
	}
	text := fmt.Sprintf("%s: %d tokens on this VM, %d requests wait (at most %d ms), limit %g/s burst %g, holder %s",
		r.Verdict, r.Tokens, r.Waiting, r.MaxWaitMs, r.RatePerSecond, r.Burst, orDash(r.Holder))
	if r.HolderTokens != nil {
		text += fmt.Sprintf(" has %.1f", *r.HolderTokens)
	}
	if r.AboveRate {
		text += ", above its rate"
	}
	return text
}

func describeService(s *explain.Service) string {
	if s == nil {
		return "none"
	}
	text := s.Name + ", targets by " + s.Placement
	if len(s.Split) > 0 {
		var parts []string
		for _, p := range s.Split {
			parts = append(parts, fmt.Sprintf("%s=%g", p.Service, p.Weight))
		}
		text += ", next of the weights " + strings.Join(parts, " ")
	}
	return text
}

func describePlacement(p explain.Placement) string {
	text := p.Rule
	if p.Random {
		text += " (random: the order below is by preference)"
	}
	if p.IdlePermit != nil {
		text += fmt.Sprintf("; before that an idle permit of this VM for %s in %s is used", p.IdlePermit.Target, p.IdlePermit.Group)
	}
	if p.Omitted > 0 {
		text += fmt.Sprintf("; %d further groups are left out", p.Omitted)
	}
	return text
}

func describeRefusal(r *explain.Refusal) string {
	if r == nil {
		return "none by what this VM knows"
	}
	text := fmt.Sprintf("%s (%d) by step %s: %s", r.Kind, r.Status, r.Step, r.Detail)
	if r.AfterMs > 0 {
		text += fmt.Sprintf(", after a wait of %d ms", r.AfterMs)
	}
	if r.RetryAfterMs > 0 {
		text += fmt.Sprintf(", return after %d ms", r.RetryAfterMs)
	}
	return text
}

func writeGroups(w io.Writer, p explain.Placement) {
	fmt.Fprintln(w)
	fmt.Fprintln(w, "GROUP\tHOLDER\tDOMAIN\tFREE\tQUEUED\tSLOTS\tREPORTED\tREASONS")
	for _, g := range p.Groups {
		holder := orDash(g.Holder)
		if g.HeldHere {
			holder += " (this VM)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", g.Name, holder, orDash(g.FailureDomain),
			optional("%.1f", g.ExpectedFree), optional("%.1f", g.ExpectedQueued), g.Slots, describeReport(g), strings.Join(g.Reasons, "; "))
	}
}

// describeReport returns the last response of the holder: free slots, waiting requests, age.
func describeReport(g explain.Group) string {
	if g.ReportAgeMs == nil {
		return "-"
	}
	return fmt.Sprintf("%d/%d %d ms ago", *g.Free, *g.Queued, *g.ReportAgeMs)
}

// writeChoices writes what the holder of each group would do, as far as the VM knows.
func writeChoices(w io.Writer, p explain.Placement) {
	fmt.Fprintln(w)
	fmt.Fprintln(w, "GROUP\tCHOICE OF A TARGET")
	for _, g := range p.Groups {
		text := g.Note
		if g.Held != nil {
			text = describeHeld(*g.Held)
		}
		fmt.Fprintf(w, "%s\t%s\n", g.Name, text)
	}
}

func writeTargets(w io.Writer, p explain.Placement) {
	fmt.Fprintln(w)
	fmt.Fprintln(w, "GROUP\tTARGET\tDOMAIN\tIDLE\tLIMIT\tSLOTS\tGRAY\tCOST\tREASON")
	for _, g := range p.Groups {
		if g.Held != nil {
			for _, t := range g.Held.Targets {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", g.Name, t.ID, t.FailureDomain, t.Idle, t.Limit, t.Slots,
					optional("%.2f", t.Gray), optional("%.3f", t.Cost), describeTarget(t))
			}
		}
		for _, id := range g.Degraded {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t-\t-\tcandidate without a holder\n", g.Name, id)
		}
	}
}

func describeHeld(h explain.HeldGroup) string {
	text := fmt.Sprintf("%s: %d requests wait, %d of them before this one, expected wait %d ms", h.Verdict, h.Queued, h.Ahead, h.ExpectedWaitMs)
	if !h.Ready {
		text += ", takeover not complete"
	}
	if h.Refusal != nil {
		text += ", return after " + fmt.Sprint(h.Refusal.RetryAfterMs) + " ms"
	}
	return text
}

// describeTarget returns why a target is at its place.
func describeTarget(t explain.Target) string {
	var marks []string
	if t.Excluded != "" {
		marks = append(marks, "excluded: "+t.Excluded)
	}
	if t.Cold {
		marks = append(marks, "cold")
	}
	if t.Outlier {
		marks = append(marks, "outlier")
	}
	if t.Required {
		marks = append(marks, "required by the floor")
	}
	if len(marks) == 0 {
		return "candidate"
	}
	return strings.Join(marks, ", ")
}

// optional formats a value; a dash for an absent one.
func optional[T any](format string, v *T) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf(format, *v)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
