package load

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histogram: 1 µs to 60 s with three significant
// digits.
const (
	minLatencyUs      = 1
	maxLatencyUs      = 60 * 1000 * 1000
	significantDigits = 3
)

// Stats counts the results of one workspace. It is safe for concurrent use.
type Stats struct {
	mu      sync.Mutex
	sent    int64
	ok      int64
	broken  int64
	byKind  map[string]int64
	latency *hdrhistogram.Histogram
}

// NewStats returns counters that start at 0.
func NewStats() *Stats {
	return &Stats{byKind: map[string]int64{}, latency: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantDigits)}
}

// Add counts one result.
func (s *Stats) Add(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case r.OK():
		s.ok++
		_ = s.latency.RecordValue(min(max(r.Elapsed.Microseconds(), minLatencyUs), maxLatencyUs))
	case r.Broken && r.Kind == "":
		s.broken++
	default:
		s.byKind[kindName(r)]++
	}
}

// kindName returns the error kind of a result, or target_ and the status for an answer
// of a target.
func kindName(r Result) string {
	if r.Kind != "" {
		return r.Kind
	}
	return fmt.Sprintf("target_%d", r.Status)
}

// Summary is a snapshot of the counters of a Stats.
type Summary struct {
	// Sent is the number of requests with a result.
	Sent int64 `json:"sent"`
	// OK is the number of complete answers of targets with a status of 200 to 399.
	OK int64 `json:"ok"`
	// Broken is the number of requests whose connection broke before the complete
	// answer arrived.
	Broken int64 `json:"broken"`
	// Kinds lists the counts of the error kinds, sorted by name.
	Kinds []KindCount `json:"kinds"`
	// P50 and P99 are latency quantiles of the answers counted in OK.
	P50 time.Duration `json:"p50Ns"`
	P99 time.Duration `json:"p99Ns"`
}

// KindCount is the number of answers of one error kind.
type KindCount struct {
	// Kind is the error kind, or target_ and the status for an answer of a target.
	Kind string `json:"kind"`
	// Count is the number of answers.
	Count int64 `json:"count"`
}

// Summary returns a snapshot of the counters.
func (s *Stats) Summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Summary{Sent: s.sent, OK: s.ok, Broken: s.broken}
	for k, n := range s.byKind {
		out.Kinds = append(out.Kinds, KindCount{k, n})
	}
	sort.Slice(out.Kinds, func(i, j int) bool { return out.Kinds[i].Kind < out.Kinds[j].Kind })
	out.P50 = time.Duration(s.latency.ValueAtQuantile(50)) * time.Microsecond
	out.P99 = time.Duration(s.latency.ValueAtQuantile(99)) * time.Microsecond
	return out
}

// SuccessRatio returns the ratio of OK to Sent, 1 if no request was sent.
func (s Summary) SuccessRatio() float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.OK) / float64(s.Sent)
}

// String returns all values in one line.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "sent=%d ok=%d (%.2f%%) broken=%d p50=%s p99=%s", s.Sent, s.OK, 100*s.SuccessRatio(), s.Broken, s.P50, s.P99)
	for _, k := range s.Kinds {
		fmt.Fprintf(&b, " %s=%d", k.Kind, k.Count)
	}
	return b.String()
}

// Stream sends the requests of one workspace as an open-loop load.
type Stream struct {
	// Caller sends the requests.
	Caller *Caller
	// Rate is the rate in requests per second.
	Rate float64
	// NextRequest returns request number i, counted from 0.
	NextRequest func(i int) Request
	// Observe is called with each request and its result, after Stats; it may be nil.
	Observe func(Request, Result)
	// Stats counts the results.
	Stats *Stats
}

// maxOutstanding limits the requests of one stream that wait for an answer. At the limit
// the stream pauses.
const maxOutstanding = 2000

// Run sends evenly spaced requests until ctx ends and then waits for the answers. The
// rate does not depend on the answers up to maxOutstanding, so a slow fleet does not
// reduce its own load.
func (s *Stream) Run(ctx context.Context) {
	interval := time.Duration(float64(time.Second) / s.Rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxOutstanding)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			s.sendOne(i)
		}()
	}
}

func (s *Stream) sendOne(i int) {
	request := s.NextRequest(i)
	result := s.Caller.Send(context.Background(), request)
	s.Stats.Add(result)
	if s.Observe != nil {
		s.Observe(request, result)
	}
}
