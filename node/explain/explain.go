// Package explain defines the result of the query that explains a request: where the request
// would go now, and why. The package holds types only. Each part of a VM fills in the steps
// that it decides, with the code that decides them.
package explain

import (
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// Request is the request to explain.
type Request struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// URL is the URL as given, with or without a host.
	URL string `json:"url"`
	// From is the failure domain from which the request is taken to come.
	From string `json:"from"`
	// Workspace is the ID of the workspace; empty for a request without a key.
	Workspace string `json:"workspace,omitempty"`
}

// Result explains a request.
type Result struct {
	// VM is the VM that was asked, FailureDomain its failure domain.
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	// Ticket is the configuration in effect; 0 before the first one.
	Ticket uint64 `json:"ticket"`
	// Request is the request that is explained.
	Request Request `json:"request"`
	// Admission is the route, the workspace and the service.
	Admission
	// Rate is the rate limit of the workspace; absent without a workspace.
	Rate *Rate `json:"rate,omitempty"`
	// Placement is the choice of a target; absent without a service.
	Placement *Placement `json:"placement,omitempty"`
	// Refusal is the answer if the request would be refused now. The steps after the one that
	// refuses show what would follow without the refusal.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Unknown lists what the VM cannot know about the request.
	Unknown []string `json:"unknown"`
}

// Admission is the result of the steps before the rate limit.
type Admission struct {
	// Route is the matching route.
	Route *Route `json:"route,omitempty"`
	// Workspace is the workspace, if one was given.
	Workspace *Workspace `json:"workspace,omitempty"`
	// Service is the service of the route.
	Service *Service `json:"service,omitempty"`
	// Notes are remarks on the request and on steps that were left out.
	Notes []string `json:"notes,omitempty"`
}

// Route is the matching route.
type Route struct {
	// ID is the ID of the route.
	ID string `json:"id"`
	// Host, PathPrefix and Methods are its conditions; no host and no methods mean all.
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"`
	// Open is true when the route needs no key.
	Open bool `json:"open"`
	// Idempotent is true when the request may run more than once.
	Idempotent bool `json:"idempotent"`
	// TimeoutMs bounds the deadline of the request, in milliseconds.
	TimeoutMs int `json:"timeoutMs"`
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int `json:"priority"`
}

// Workspace is the workspace of the request.
type Workspace struct {
	// ID is the ID of the workspace.
	ID string `json:"id"`
	// Known is true when the configuration contains it, Allowed when it may use the route.
	Known   bool `json:"known"`
	Allowed bool `json:"allowed"`
	// Priority is the priority of the workspace; 0 is the most urgent.
	Priority int `json:"priority"`
}

// Service is the service that gets the request.
type Service struct {
	// Name is the name of the service that the next request of the route on this VM gets.
	Name string `json:"name"`
	// Placement says how targets are chosen: by outlier detection or by health estimates.
	Placement string `json:"placement"`
	// Split lists the services of a route with several.
	Split []Part `json:"split,omitempty"`
}

// Part is a service of a route with several.
type Part struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is its share of the requests, relative to the sum of all weights.
	Weight float64 `json:"weight"`
}

// Verdict says what a step would do with the request.
type Verdict string

// The verdicts.
const (
	// Admitted: the request passes at once.
	Admitted Verdict = "admitted"
	// Waits: the request waits, and the VM does not know for how long.
	Waits Verdict = "waits"
	// Refused: the request is refused.
	Refused Verdict = "refused"
)

// Rate is the rate limit of the workspace as this VM knows it.
type Rate struct {
	// Verdict says whether the rate limit would admit the request.
	Verdict Verdict `json:"verdict"`
	// RatePerSecond and Burst are the limit over the whole fleet.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	// Tokens is the number of tokens that this VM has left.
	Tokens int `json:"tokens"`
	// Waiting is the number of requests of the workspace that wait for a token on this VM.
	Waiting int `json:"waiting"`
	// AboveRate is true when the workspace counts as above its rate.
	AboveRate bool `json:"aboveRate"`
	// MaxWaitMs is the longest wait for a token, in milliseconds.
	MaxWaitMs int64 `json:"maxWaitMs"`
	// Holder is the VM that issues the tokens; empty when none is known.
	Holder string `json:"holder,omitempty"`
	// HolderTokens is the number of tokens that the holder could issue; absent when another VM
	// is the holder, or the holder did not answer the query.
	HolderTokens *float64 `json:"holderTokens,omitempty"`
	// Refusal is the refusal of the rate limit.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Placement is the choice among the groups of a service.
type Placement struct {
	// Rule says how requests choose among the groups.
	Rule string `json:"rule"`
	// Random is true when a part of the choice is random.
	Random bool `json:"random"`
	// IdlePermit is a permit that this VM has kept, and that the request would use.
	IdlePermit *IdlePermit `json:"idlePermit,omitempty"`
	// Groups lists the groups of the service, the preferred one first.
	Groups []Group `json:"groups"`
	// Omitted is the number of further groups whose targets are not explained.
	Omitted int `json:"omitted,omitempty"`
	// Refusal is the refusal for want of a target.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// IdlePermit is a permit that waits for its next use.
type IdlePermit struct {
	// Group and Target are the group and the target of the permit.
	Group  string `json:"group"`
	Target string `json:"target"`
}

// Group is a group of targets as the entry VM sees it.
type Group struct {
	// Name is the name of the group.
	Name string `json:"name"`
	// FailureDomain is the failure domain of its targets; empty where they are in several.
	FailureDomain string `json:"failureDomain,omitempty"`
	// Holder is the VM that holds the group; empty when none is known.
	Holder string `json:"holder,omitempty"`
	// HeldHere is true when this VM holds the group.
	HeldHere bool `json:"heldHere"`
	// Slots is the number of slots of its open targets.
	Slots int `json:"slots"`
	// ExpectedFree and ExpectedQueued are the free slots and the waiting requests that this VM
	// expects now; absent for a group that is not asked now.
	ExpectedFree   *float64 `json:"expectedFree,omitempty"`
	ExpectedQueued *float64 `json:"expectedQueued,omitempty"`
	// Free and Queued are the free slots and the waiting requests in the last response of the
	// holder, which came ReportAgeMs ago; absent without a response.
	Free        *int   `json:"free,omitempty"`
	Queued      *int   `json:"queued,omitempty"`
	ReportAgeMs *int64 `json:"reportAgeMs,omitempty"`
	// Room is the expected share of free slots, less the penalty of another failure domain;
	// absent where groups are not ranked by it, and for a group that is not asked now.
	Room *float64 `json:"room,omitempty"`
	// FreeSlot is true when the group is expected to have a free slot.
	FreeSlot bool `json:"freeSlot"`
	// Unreachable is true when the last call to the holder failed a moment ago.
	Unreachable bool `json:"unreachable"`
	// Remote is true when the group ranks lower because it is in another failure domain.
	Remote bool `json:"remote"`
	// Reasons are the reasons for the rank.
	Reasons []string `json:"reasons"`
	// Held is the state of the group at its holder, if that is this VM.
	Held *HeldGroup `json:"held,omitempty"`
	// Degraded lists the targets that this VM would choose from without a holder.
	Degraded []string `json:"degraded,omitempty"`
	// Note says why the targets are not explained.
	Note string `json:"note,omitempty"`
}

// HeldGroup is the state of a group at its holder.
type HeldGroup struct {
	// Ready is true when the takeover from the previous holder is complete.
	Ready bool `json:"ready"`
	// Verdict says what the holder would do with the request.
	Verdict Verdict `json:"verdict"`
	// Queued is the number of waiting requests, Ahead the number of those that are served
	// before the request.
	Queued int `json:"queued"`
	Ahead  int `json:"ahead"`
	// ExpectedWaitMs is the expected wait in the queue, in milliseconds.
	ExpectedWaitMs int64 `json:"expectedWaitMs"`
	// Targets lists the targets, the one that would be chosen first.
	Targets []Target `json:"targets"`
	// Refusal is the refusal of the holder.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Target is a target in the choice of its holder.
type Target struct {
	// ID is the ID of the target, FailureDomain its failure domain.
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	// Excluded says why the target may not get the request; empty if it may.
	Excluded string `json:"excluded,omitempty"`
	// Idle is the number of slots that are free within Limit, the number that may be in use
	// now. Slots is the number in the document.
	Idle  int `json:"idle"`
	Limit int `json:"limit"`
	Slots int `json:"slots"`
	// Gray is the probability that the target or the path to it is gray; absent where targets
	// are chosen by load.
	Gray *float64 `json:"gray,omitempty"`
	// Cold, Outlier and Required are true for a target in cold start, one that ranks last as
	// an outlier, and one that gets the request because of the floor of its service.
	Cold     bool `json:"cold"`
	Outlier  bool `json:"outlier"`
	Required bool `json:"required"`
	// Cost is the expected loss, or the share of slots in use, by which targets are ordered;
	// absent for excluded ones.
	Cost *float64 `json:"cost,omitempty"`
}

// Refusal is a refusal and what its caller is told.
type Refusal struct {
	// Step is the step that refuses: vm, request, route, workspace, rate, quarantine or
	// target.
	Step string `json:"step"`
	// Kind is the error kind, Status the HTTP status.
	Kind   string `json:"kind"`
	Status int    `json:"status"`
	// Detail is the sentence for the caller.
	Detail string `json:"detail"`
	// RetryAfterMs is the time after which the caller should return, in milliseconds; 0 for
	// none. The answer spreads some delays at random.
	RetryAfterMs int64 `json:"retryAfterMs"`
	// AfterMs is the longest time that the request waits before it is refused, in
	// milliseconds.
	AfterMs int64 `json:"afterMs,omitempty"`
}

// The steps of a refusal.
const (
	StepVM         = "vm"
	StepRequest    = "request"
	StepRoute      = "route"
	StepWorkspace  = "workspace"
	StepRate       = "rate"
	StepQuarantine = "quarantine"
	StepTarget     = "target"
)

// NewRefusal returns the refusal of a step by its error; nil for a nil error.
func NewRefusal(step string, err error) *Refusal {
	if err == nil {
		return nil
	}
	e := fault.From(err)
	return &Refusal{
		Step: step, Kind: e.Kind.String(), Status: e.Kind.Answer().Status, Detail: e.Detail,
		RetryAfterMs: millisUp(e.RetryAfter()),
	}
}

// millisUp rounds up to milliseconds, so that a short delay is not shown as none.
func millisUp(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
