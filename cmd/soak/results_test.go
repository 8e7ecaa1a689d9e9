package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/load"
)

// callerResults holds the results of callers. It is safe for concurrent use.
type callerResults struct {
	mu sync.Mutex
	// requests holds the requests of the callers that announce them with begin, by path.
	requests   map[string]*callerRequest
	succeeded  map[string]int // by workspace
	mismatched []string
	failed     []failedRequest
}

// callerRequest is a request whose beginning was announced.
type callerRequest struct {
	workspace string
	began     time.Time
	// ended is true once it has a result, succeeded if that is a successful answer.
	ended, succeeded bool
}

// serviceCount counts the requests that began in some time.
type serviceCount struct {
	sent, succeeded, running int
}

// failedRequest is a request without a successful answer.
type failedRequest struct {
	workspace string
	began     time.Time
	// incomplete is true if the answer was truncated or missing.
	incomplete bool
	detail     string
}

func newCallerResults() *callerResults {
	return &callerResults{requests: map[string]*callerRequest{}, succeeded: map[string]int{}}
}

// begin notes that a caller sends a request now.
func (s *callerResults) begin(workspace string, r load.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[r.Path] = &callerRequest{workspace: workspace, began: time.Now()}
}

// record counts a result and checks that a successful answer repeats the path and the
// workspace of its request.
func (s *callerResults) record(workspace string, r load.Request, res load.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.requests[r.Path]; known != nil {
		known.ended, known.succeeded = true, res.OK()
	}
	if !res.OK() {
		s.failed = append(s.failed, newFailedRequest(workspace, r, res))
		return
	}
	s.succeeded[workspace]++
	if !strings.Contains(res.Body, `"path":"`+r.Path+`"`) || !strings.Contains(res.Body, workspace) {
		s.mismatched = append(s.mismatched, r.Path)
	}
}

func newFailedRequest(workspace string, r load.Request, res load.Result) failedRequest {
	return failedRequest{
		workspace: workspace, began: time.Now().Add(-res.Elapsed),
		// A caller that got no address has not sent the request.
		incomplete: res.Broken && res.Kind != "no_address",
		detail:     fmt.Sprintf("%s %s after %v, status %d %s", r.Method, r.Path, res.Elapsed.Round(time.Millisecond), res.Status, res.Kind),
	}
}

// successes returns the number of successful answers of a workspace.
func (s *callerResults) successes(workspace string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.succeeded[workspace]
}

// countBetween counts the requests of a workspace that began from one time until another.
func (s *callerResults) countBetween(workspace string, from, to time.Time) serviceCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c serviceCount
	for _, r := range s.requests {
		if r.workspace != workspace || r.began.Before(from) || !r.began.Before(to) {
			continue
		}
		c.sent++
		switch {
		case !r.ended:
			c.running++
		case r.succeeded:
			c.succeeded++
		}
	}
	return c
}

// incompleteSince returns the truncated or missing answers to requests sent since a
// time. Earlier requests may have been affected by a fault that has ended.
func (s *callerResults) incompleteSince(since time.Time) []string {
	return s.details(func(f failedRequest) bool { return f.incomplete && !f.began.Before(since) })
}

// details returns the details of the failed requests that match.
func (s *callerResults) details(matches func(failedRequest) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var details []string
	for _, f := range s.failed {
		if matches(f) {
			details = append(details, f.detail)
		}
	}
	return details
}
