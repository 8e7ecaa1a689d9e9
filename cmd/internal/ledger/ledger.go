// Package ledger records which requests targets ran, to check the answers that callers
// received against it.
package ledger

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/load"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
)

// maxRunDelay is the longest time between the admission of a request and its run, which
// is the timeout of the example routes.
const maxRunDelay = 10 * time.Second

// Ledger records the runs of requests on all targets and when each failure domain last
// ran a request. It is safe for concurrent use.
type Ledger struct {
	mu             sync.Mutex
	runs           map[string]int
	requestIDs     map[string]string // ID of the latest run, by path
	duplicates     []string
	reportedNotRun []string
	lastRun        map[string]time.Time
	firstRuns      map[string][]time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{runs: map[string]int{}, requestIDs: map[string]string{}, lastRun: map[string]time.Time{}, firstRuns: map[string][]time.Time{}}
}

// RecordNotRun records a non-idempotent request whose answer states that it did not run.
// It ignores all other requests.
func (l *Ledger) RecordNotRun(r load.Request, res load.Result) {
	if r.Method != http.MethodPost || res.Ran != "no" || res.Broken {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedNotRun = append(l.reportedNotRun, r.Path)
}

// FalseNotRunAnswers describes the recorded requests that ran although their answer
// stated that they did not.
func (l *Ledger) FalseNotRunAnswers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, path := range l.reportedNotRun {
		if l.runs[path] > 0 {
			out = append(out, l.describe(path))
		}
	}
	return out
}

// describe returns the path and the request ID of a request that ran. The caller holds mu.
func (l *Ledger) describe(path string) string {
	return path + " with ID " + l.requestIDs[path]
}

// RunRecorder returns a callback that a target in the given failure domain calls for
// each request that it runs. The path of each request has to be unique, because a path
// that occurs again counts as a second run of the same request.
func (l *Ledger) RunRecorder(domain string) func(*http.Request) {
	return func(r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := time.Now()
		l.lastRun[domain] = now
		l.runs[r.URL.Path]++
		l.requestIDs[r.URL.Path] = r.Header.Get(target.HeaderRequestID)
		if l.runs[r.URL.Path] == 1 {
			workspace := r.Header.Get(target.HeaderWorkspace)
			l.firstRuns[workspace] = append(l.firstRuns[workspace], now)
			return
		}
		if r.Method == http.MethodPost {
			l.duplicates = append(l.duplicates, l.describe(r.URL.Path))
		}
	}
}

// RateExcess returns by how many requests the runs of a workspace exceeded rate × window
// + burst in the worst window between two of its runs; a value of 0 or less means that
// the limit held, minus infinity that nothing ran. Windows count as longer by
// maxRunDelay, because requests admitted earlier may run within them. Only the first run
// of each request counts.
func (l *Ledger) RateExcess(workspace string, rate, burst float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.firstRuns[workspace]
	largest := math.Inf(-1)
	// excess is the number of requests above the rate in the worst window that ends
	// with the current run.
	excess := 0.0
	for i, at := range times {
		if i > 0 {
			excess = max(0, excess-rate*at.Sub(times[i-1]).Seconds())
		}
		excess++
		largest = max(largest, excess-burst-rate*maxRunDelay.Seconds())
	}
	return largest
}

// DuplicateRuns describes the repeated runs of non-idempotent requests.
func (l *Ledger) DuplicateRuns() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.duplicates)
}

// LastRunIn returns when a target in the failure domain last ran a request, the zero time
// if none did.
func (l *Ledger) LastRunIn(domain string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRun[domain]
}
