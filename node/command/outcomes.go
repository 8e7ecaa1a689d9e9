package command

import (
	"sync"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/target"
)

// serviceOutcomes counts for each service of the configuration in force how requests ended. It is
// safe for concurrent use.
type serviceOutcomes struct {
	mu        sync.Mutex
	byService map[string]*target.ServiceFailures
	// services holds the services of the configuration in force; nil before the first one.
	services map[string]*document.Service
}

// retain drops the services that a new configuration lacks.
func (o *serviceOutcomes) retain(s *document.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services = s.Services
	for name := range o.byService {
		if s.Services[name] == nil {
			delete(o.byService, name)
		}
	}
}

// record records the end of one request. A request may end after its service was removed.
func (o *serviceOutcomes) record(service string, served bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.services != nil && o.services[service] == nil {
		return
	}
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
