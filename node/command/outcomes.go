package command

import (
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/target"
)

// serviceOutcomes counts for each service how requests ended. It is safe for concurrent use.
// The number of entries is bounded by the services of the configurations that were in force.
type serviceOutcomes struct {
	mu        sync.Mutex
	byService map[string]*target.ServiceFailures
}

// record records the end of one request.
func (o *serviceOutcomes) record(service string, served bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.byService[service]
	if f == nil {
		f = target.NewServiceFailures()
		if o.byService == nil {
			o.byService = map[string]*target.ServiceFailures{}
		}
		o.byService[service] = f
	}
	f.Record(served, now)
}

// failing reports whether many requests for the service are not served.
func (o *serviceOutcomes) failing(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.byService[service]
	return f != nil && f.Failing(now)
}

// explainFailing returns the same as failing on a copy of the counts.
func (o *serviceOutcomes) explainFailing(service string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.byService[service]
	if f == nil {
		return false
	}
	copied := *f
	return copied.Failing(now)
}
