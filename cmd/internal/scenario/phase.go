package scenario

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/load"
)

// Phase counts the results that callers get during one part of a run. It is safe
// for concurrent use.
type Phase struct {
	name         string
	start        time.Time
	workspaceIDs []string
	stats        []*load.Stats

	mu          sync.Mutex
	mismatched  int
	lastSuccess []time.Time
}

func newPhase(name string, d deployment.Deployment) *Phase {
	p := &Phase{name: name, start: time.Now(), lastSuccess: make([]time.Time, len(d.Workspaces))}
	for _, ws := range d.Workspaces {
		p.workspaceIDs = append(p.workspaceIDs, ws.ID)
		p.stats = append(p.stats, load.NewStats())
	}
	return p
}

// record counts a result and checks that a successful answer repeats the path and
// the workspace of its request.
func (p *Phase) record(workspace int, r load.Request, res load.Result) {
	p.stats[workspace].Add(res)
	if !res.OK() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSuccess[workspace] = time.Now()
	if !strings.Contains(res.Body, `"path":"`+r.Path+`"`) || !strings.Contains(res.Body, p.workspaceIDs[workspace]) {
		p.mismatched++
	}
}

// Report holds the figures of a phase.
type Report struct {
	// Name of the phase.
	Name string `json:"name"`
	// Seconds is the length of the phase.
	Seconds float64 `json:"seconds"`
	// Sent, OK and Broken count the requests of all workspaces, those with a
	// successful answer, and those whose connection broke before the answer was
	// complete.
	Sent   int64 `json:"sent"`
	OK     int64 `json:"ok"`
	Broken int64 `json:"broken"`
	// Refused counts requests that the fleet refused; see isRefusal.
	Refused int64 `json:"refused"`
	// OtherErrors counts the remaining error answers.
	OtherErrors int64 `json:"unclear"`
	// Mismatched counts answers that belong to another request.
	Mismatched int `json:"crossed"`
	// WorstShare is the lowest share of successful answers over the workspaces.
	WorstShare float64 `json:"worstShare"`
	// WorstWorkspace is the workspace with that share.
	WorstWorkspace string `json:"worst"`
	// P99 is the highest 99th percentile of the latency over the workspaces.
	P99 time.Duration `json:"p99Ns"`
	// SlowestWorkspace is the workspace with that percentile.
	SlowestWorkspace string `json:"slowest"`
	// Kinds lists the error kinds of all workspaces with their counts.
	Kinds string `json:"kinds"`
}

// isRefusal reports whether an error kind means that the fleet refused the request
// without running it. rate_limited is a refusal like the others, because the
// workspaces of a report send less than their rates, except the first one during
// random faults.
func isRefusal(kind string) bool {
	switch kind {
	case "rate_limited", "overloaded", "no_capacity", "not_in_contact", "not_ready", "shutting_down",
		"deadline_not_run", "unauthorized", "poisoned", "no_address":
		return true
	}
	return false
}

// Report returns the figures so far. It leaves out the workspaces in skip, which are
// those that the phase denies service on purpose.
func (p *Phase) Report(skip ...int) Report {
	r := Report{Name: p.name, Seconds: time.Since(p.start).Seconds(), WorstShare: 1}
	kinds := map[string]int64{}
	for i, s := range p.stats {
		if contains(skip, i) {
			continue
		}
		sum := s.Summary()
		r.Sent += sum.Sent
		r.OK += sum.OK
		r.Broken += sum.Broken
		if sum.P99 > r.P99 {
			r.P99, r.SlowestWorkspace = sum.P99, p.workspaceIDs[i]
		}
		if share := sum.SuccessRatio(); share < r.WorstShare {
			r.WorstShare, r.WorstWorkspace = share, p.workspaceIDs[i]
		}
		for _, k := range sum.Kinds {
			kinds[k.Kind] += k.Count
			if isRefusal(k.Kind) {
				r.Refused += k.Count
			} else {
				r.OtherErrors += k.Count
			}
		}
	}
	if len(kinds) > 0 {
		r.Kinds = fmt.Sprint(kinds)
	}
	p.mu.Lock()
	r.Mismatched = p.mismatched
	p.mu.Unlock()
	return r
}

func contains(all []int, i int) bool {
	for _, other := range all {
		if other == i {
			return true
		}
	}
	return false
}

// LastSuccess returns when a workspace last got a successful answer; the zero time
// if it got none in this phase.
func (p *Phase) LastSuccess(workspace int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSuccess[workspace]
}

// Summary returns the figures of one workspace.
func (p *Phase) Summary(workspace int) load.Summary {
	return p.stats[workspace].Summary()
}
