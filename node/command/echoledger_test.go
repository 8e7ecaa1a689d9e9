package command

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// echoEntry is what callers, permits and targets have recorded about one request.
type echoEntry struct {
	id, method, path string
	requestID        string // sent where callers choose it
	size             int    // of the request's body
	chunked          bool   // the body has no announced length
	keyed            bool   // sent twice with one idempotency key

	mu       sync.Mutex
	once     bool // the route was non-idempotent from before the request was sent until its first attempt
	runs     int
	notRun   string        // the answer that stated "not run"; empty for none
	attempts []*echoPermit // all attempts, in the order of their start
	trace    []string
}

func (e *echoEntry) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trace = append(e.trace, fmt.Sprintf(format, args...))
}

// began records that a target began to run the request and returns the number of runs.
func (e *echoEntry) began() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs++
	return e.runs
}

func (e *echoEntry) refused(answer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notRun = answer
}

// laterAttemptsOnce reports whether each attempt but the first was written while the
// configuration in force made the request non-idempotent.
func (e *echoEntry) laterAttemptsOnce() bool {
	for _, p := range e.attempts[1:] {
		if p.written && !p.once {
			return false
		}
	}
	return true
}

// verdict returns the promise that the request broke, or "".
func (e *echoEntry) verdict() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.runs > 1 && e.once:
		return "ran twice"
	case e.runs > 1 && e.laterAttemptsOnce():
		return "ran again after its route became non-idempotent"
	case e.runs > 0 && e.notRun != "":
		return "ran and was answered " + e.notRun
	}
	return ""
}

// echoLedger holds the entries of a run, and the faults that were found.
type echoLedger struct {
	t  *testing.T
	mu sync.Mutex
	by map[string]*echoEntry
}

func (l *echoLedger) add(e *echoEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.by[e.id] = e
}

func (l *echoLedger) get(id string) *echoEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.by[id]
}

// fault fails the test with what happened to the request.
func (l *echoLedger) fault(e *echoEntry, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.t.Errorf("%s %s, %d bytes: %s; %s", e.method, e.path, e.size, fmt.Sprintf(format, args...), strings.Join(e.trace, "; "))
}

// finish checks each request after the run, when late runs have happened too.
func (l *echoLedger) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	repeated, refused := 0, 0
	for _, e := range l.by {
		if v := e.verdict(); v != "" {
			l.fault(e, "%s", v)
		}
		repeated += min(1, max(0, len(e.attempts)-1))
		refused += min(1, len(e.notRun))
	}
	l.t.Logf("%d requests, %d with several attempts, %d answered \"not run\"", len(l.by), repeated, refused)
}

// payload returns n bytes that name their request and their position.
func payload(id string, n int) string {
	b := make([]byte, 0, n+32)
	for len(b) < n {
		b = append(b, id...)
		b = append(b, '@')
		b = strconv.AppendInt(b, int64(len(b)), 10)
		b = append(b, ';')
	}
	return string(b[:n])
}
