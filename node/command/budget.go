package command

import "sync"

// VMRetryBudget limits the attempts beyond the first of each request: retries and
// hedged attempts. Each VM keeps its own budget for each service;
// a target.FleetRetryBudget, if one is set, applies in addition.
type VMRetryBudget struct {
	// Ratio is the number of further attempts that each request adds to the budget.
	// Default: 0.1.
	Ratio float64
	// Reserve is the initial and maximum size of the budget, so that a service with
	// few requests can retry too. Default: 10.
	Reserve float64
}

func (r VMRetryBudget) withDefaults() VMRetryBudget {
	if r.Ratio <= 0 {
		r.Ratio = 0.1
	}
	if r.Reserve <= 0 {
		r.Reserve = 10
	}
	return r
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	limits VMRetryBudget
	mu     sync.Mutex
	spent  float64
}

// addRequest refills the budget for one request.
func (b *serviceBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.limits.Ratio)
}

// takeRetry takes one retry from the budget and reports whether it was available.
func (b *serviceBudget) takeRetry() bool {
	return b.takeRetryWithin(1)
}

// takeRetryWithin takes one retry if at most the given share of the budget, 0 to 1, is
// spent then. The rest is kept for other requests.
func (b *serviceBudget) takeRetryWithin(share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > share*b.limits.Reserve {
		return false
	}
	b.spent++
	return true
}

// serviceBudgets holds the retry budget of each service.
type serviceBudgets struct {
	limits    VMRetryBudget
	byService sync.Map
}

func (b *serviceBudgets) forService(service string) *serviceBudget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*serviceBudget)
	}
	v, _ := b.byService.LoadOrStore(service, &serviceBudget{limits: b.limits})
	return v.(*serviceBudget)
}
