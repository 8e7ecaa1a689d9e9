package command

import "sync"

// Retries limits the attempts beyond the first of each request, for each
// service on this VM.
type Retries struct {
	// Share is the number of such attempts that a request earns. Default 0.1.
	Share float64
	// Reserve is the number of such attempts that need not be earned, so that a
	// service with few requests can retry too. Default 10.
	Reserve float64
}

func (r Retries) withDefaults() Retries {
	if r.Share <= 0 {
		r.Share = 0.1
	}
	if r.Reserve <= 0 {
		r.Reserve = 10
	}
	return r
}

// budget limits the retries of one service.
type serviceBudget struct {
	limits Retries
	mu     sync.Mutex
	spent  float64
}

// earn accounts one request.
func (b *serviceBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.limits.Share)
}

// take accounts one retry and tells whether it is within the budget.
func (b *serviceBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.limits.Reserve {
		return false
	}
	b.spent++
	return true
}

// budgets holds the budget of each service.
type serviceBudgets struct {
	limits    Retries
	byService sync.Map
}

func (b *serviceBudgets) forService(service string) *serviceBudget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*serviceBudget)
	}
	v, _ := b.byService.LoadOrStore(service, &serviceBudget{limits: b.limits})
	return v.(*serviceBudget)
}
