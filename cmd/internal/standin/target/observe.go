package target

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxRuns bounds the request IDs that a target remembers.
const maxRuns = 200_000

// Stats is what a target saw.
type Stats struct {
	// Target is the ID of the target.
	Target string `json:"target"`
	// Runs counts executions.
	Runs int `json:"runs"`
	// Duplicates counts executions of a request ID or idempotency key that had
	// run before.
	Duplicates int `json:"duplicates"`
	// DuplicateIDs lists the first of them.
	DuplicateIDs []string `json:"duplicateIds,omitempty"`
	// Canceled counts executions that the caller gave up.
	Canceled int `json:"canceled"`
	// Shed counts refusals before a run; ShedDraining those while draining.
	Shed         int `json:"shed"`
	ShedDraining int `json:"shedDraining"`
	// ExpiredInQueue counts deadlines that passed in the queue.
	ExpiredInQueue int `json:"expiredInQueue"`
	// ColdStarts counts restarts; ColdOverloads counts collapses of a cold target.
	ColdStarts    int `json:"coldStarts"`
	ColdOverloads int `json:"coldOverloads"`
	// Crashes counts crashes by a marked request.
	Crashes int `json:"crashes"`
	// KeysSeen counts requests that carried a workspace key.
	KeysSeen int `json:"keysSeen"`
	// MaxPresent is the largest number of requests at once, queue included.
	MaxInFlight int `json:"maxPresent"`
}

// Stats returns what the target saw so far.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Target = t.config.ID
	s.DuplicateIDs = append([]string(nil), t.stats.DuplicateIDs...)
	return s
}

func (t *Target) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Stats())
}

// health answers 503 while the target drains or has collapsed, unless it lies.
func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	collapsed := !t.cold.collapsedAt.IsZero() && time.Since(t.cold.collapsedAt) < collapseDuration
	bad := (t.draining || collapsed) && !t.fault.AlwaysHealthy
	t.mu.Unlock()
	if bad {
		http.Error(w, "not healthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loadSample is the load that /load shows until it is old enough.
type loadSample struct {
	at       time.Time
	inFlight int
}

// load shows the number of requests, as old or as wrong as the fault says.
func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	now := time.Now()
	if now.Sub(t.lastSample.at) >= time.Duration(t.fault.LoadLagMs)*time.Millisecond {
		t.lastSample = loadSample{now, t.inFlight}
	}
	shown := t.lastSample.inFlight
	if t.fault.FalseLoad != nil {
		shown = *t.fault.FalseLoad
	}
	t.mu.Unlock()
	writeJSON(w, struct {
		Present int `json:"present"`
		Slots   int `json:"slots"`
	}{shown, t.config.Slots})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// runs counts executions by request ID and idempotency key.
type runCounter struct {
	counts map[string]int
	order  []string
}

func newRunCounter() *runCounter {
	return &runCounter{counts: map[string]int{}}
}

func (r *runCounter) increment(id string) int {
	if id == "" {
		return 1
	}
	if _, known := r.counts[id]; !known {
		r.order = append(r.order, id)
	}
	if len(r.order) > maxRuns {
		delete(r.counts, r.order[0])
		r.order = r.order[1:]
	}
	r.counts[id]++
	return r.counts[id]
}

// recordRun counts an execution and returns how often its request ID ran here.
func (t *Target) recordRun(r *http.Request) int {
	id := r.Header.Get(HeaderRequestID)
	key := r.Header.Get(HeaderIdempotencyKey)
	t.config.OnRun(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Runs++
	run := t.runs.increment(id)
	again := run > 1
	if key != "" && t.runs.increment("key "+key) > 1 {
		again = true
	}
	if again {
		t.stats.Duplicates++
		if len(t.stats.DuplicateIDs) < 100 {
			t.stats.DuplicateIDs = append(t.stats.DuplicateIDs, id)
		}
	}
	return run
}

func (t *Target) recordCanceled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Canceled++
}

// source is a random source that is safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rng: rand.New(rand.NewPCG(seed, 0))}
}

func (s *randomSource) chance(percent float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return percent > 0 && s.rng.Float64()*100 < percent
}

func (s *randomSource) lognormal(median time.Duration, sigma float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(median) * math.Exp(sigma*s.rng.NormFloat64()))
}
