package target

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxRuns bounds the request IDs and idempotency keys that a target remembers.
const maxRuns = 200_000

// Stats holds the counters of a target since its start.
type Stats struct {
	// Target is the ID of the target.
	Target string `json:"target"`
	// Runs counts executions.
	Runs int `json:"runs"`
	// Duplicates counts executions of a request whose ID or idempotency key had
	// run before.
	Duplicates int `json:"duplicates"`
	// DuplicateIDs lists the request IDs of the first 100 of them.
	DuplicateIDs []string `json:"duplicateIds,omitempty"`
	// Canceled counts executions that the client canceled or whose deadline passed.
	Canceled int `json:"canceled"`
	// Shed counts requests refused on arrival, also those of a fault; ShedDraining counts those of them
	// that were refused because the target was draining.
	Shed         int `json:"shed"`
	ShedDraining int `json:"shedDraining"`
	// LateCopies counts answers that were sent a second time.
	LateCopies int `json:"lateCopies"`
	// ExpiredInQueue counts requests whose deadline passed in the queue.
	ExpiredInQueue int `json:"expiredInQueue"`
	// ColdStarts counts how often the target became cold after its start;
	// ColdOverloads counts how often a cold target was overloaded.
	ColdStarts    int `json:"coldStarts"`
	ColdOverloads int `json:"coldOverloads"`
	// Crashes counts crashes caused by a request with the crash marker.
	Crashes int `json:"crashes"`
	// KeysSeen counts the workspace keys found in requests.
	KeysSeen int `json:"keysSeen"`
	// MaxInFlight is the largest number of concurrent requests, queued ones
	// included.
	MaxInFlight int `json:"maxPresent"`
}

// Stats returns a copy of the counters.
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

// health handles GET /health: status 503 while the target is draining or slow after
// an overload, unless the fault makes it report healthy in any state.
func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	slow := !t.cold.collapsedAt.IsZero() && time.Since(t.cold.collapsedAt) < collapseDuration
	unhealthy := (t.draining || slow) && !t.fault.AlwaysHealthy
	t.mu.Unlock()
	if unhealthy {
		http.Error(w, "target is unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loadSample is the load at a time, as reported by /load.
type loadSample struct {
	at       time.Time
	inFlight int
}

// load handles GET /load: the number of concurrent requests and of slots. The fault
// may make the number outdated or wrong.
func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	now := time.Now()
	if now.Sub(t.lastSample.at) >= time.Duration(t.fault.LoadLagMs)*time.Millisecond {
		t.lastSample = loadSample{now, t.inFlight}
	}
	reported := t.lastSample.inFlight
	if t.fault.FalseLoad != nil {
		reported = *t.fault.FalseLoad
	}
	t.mu.Unlock()
	writeJSON(w, struct {
		Present int `json:"present"`
		Slots   int `json:"slots"`
	}{reported, t.config.Slots})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// runCounter counts executions by request ID and by idempotency key. It forgets
// the oldest entry above maxRuns.
type runCounter struct {
	counts map[string]int
	order  []string
}

func newRunCounter() *runCounter {
	return &runCounter{counts: map[string]int{}}
}

// increment counts an execution of id and returns its count; an empty id always
// counts as a first run.
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

// recordRun records an execution and returns how often its request ID has run on
// this target, this run included.
func (t *Target) recordRun(r *http.Request) int {
	id := r.Header.Get(HeaderRequestID)
	key := r.Header.Get(HeaderIdempotencyKey)
	t.config.OnRun(r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Runs++
	run := t.runs.increment(id)
	repeated := run > 1
	if key != "" && t.runs.increment("key "+key) > 1 {
		repeated = true
	}
	if repeated {
		t.stats.Duplicates++
		if len(t.stats.DuplicateIDs) < 100 {
			t.stats.DuplicateIDs = append(t.stats.DuplicateIDs, id)
		}
	}
	return run
}

func (t *Target) recordShed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Shed++
}

func (t *Target) recordLateCopy() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.LateCopies++
}

func (t *Target) recordCanceled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Canceled++
}

// randomSource is a seeded random source that is safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rng: rand.New(rand.NewPCG(seed, 0))}
}

// chance returns true with the given probability, in percent.
func (s *randomSource) chance(percent float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return percent > 0 && s.rng.Float64()*100 < percent
}

// lognormal returns a log-normally distributed duration.
func (s *randomSource) lognormal(median time.Duration, sigma float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(median) * math.Exp(sigma*s.rng.NormFloat64()))
}
