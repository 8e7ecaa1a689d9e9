// Package baseline implements the policies that serve as the baseline of measurements: a
// fixed share of each rate on every VM, and round robin over targets without ejection.
// They need no coordination between VMs.
package baseline

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// Limiter admits a fixed share of each workspace's rate on this VM. It is safe for
// concurrent use.
type Limiter struct {
	configs node.Configs

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewLimiter returns a limiter that divides each rate by the length of the VM list.
func NewLimiter(configs node.Configs) *Limiter {
	return &Limiter{configs: configs, buckets: map[string]*rate.Limiter{}}
}

// Admit takes one token of this VM's share. It returns an error of kind RateLimited when
// there is none.
func (l *Limiter) Admit(_ context.Context, w *document.Workspace) error {
	if l.bucket(w).Allow() {
		return nil
	}
	return fault.New(fault.RateLimited, "this VM's share of the rate is used up")
}

// bucket returns the token bucket of a workspace. Its rate stays as it was at the first
// request of the workspace.
func (l *Limiter) bucket(w *document.Workspace) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[w.ID]
	if !ok {
		members := float64(max(l.configs.List().Len(), 1))
		b = rate.NewLimiter(rate.Limit(w.RatePerSecond/members), max(1, int(w.Burst/members)))
		l.buckets[w.ID] = b
	}
	return b
}

// Picker chooses targets round robin. It is safe for concurrent use.
type Picker struct {
	configs node.Configs
	next    atomic.Uint64
}

// NewPicker returns a picker over the targets that are active in the configuration and
// whose failure domain is not taken out.
func NewPicker(configs node.Configs) *Picker {
	return &Picker{configs: configs}
}

// Acquire returns a permit for the next target of the service that r does not avoid. It
// returns an error of kind NoCapacity when there is none.
func (p *Picker) Acquire(_ context.Context, r node.PermitRequest) (node.Permit, error) {
	snapshot := p.configs.Snapshot()
	service := snapshot.Services[r.Service.Name]
	if service == nil || len(service.Targets) == 0 {
		return nil, fault.New(fault.NoCapacity, "service %s has no targets", r.Service.Name)
	}
	for range service.Targets {
		t := service.Targets[p.next.Add(1)%uint64(len(service.Targets))]
		if t.State == document.Active && !snapshot.DomainIsOut(t.FailureDomain) && !contains(r.Avoid, t.ID) {
			return permit{t}, nil
		}
	}
	return nil, fault.New(fault.NoCapacity, "service %s has no target in service", r.Service.Name)
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// permit is a permit that never expires.
type permit struct {
	target document.Target
}

// Target implements node.Permit.
func (p permit) Target() document.Target { return p.target }

// Check implements node.Permit.
func (p permit) Check() error { return nil }

// HedgeAfter implements node.Permit.
func (p permit) HedgeAfter() time.Duration { return 0 }

// Release implements node.Permit.
func (p permit) Release(node.Outcome, time.Duration) {}
