package rate

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// measureSeeds is the number of runs behind each line of the table.
const measureSeeds = 5

// situations lists the measured fault situations. Each starts 2 s after the
// warm-up.
var situations = []struct {
	name string
	do   func(*fleet)
}{
	{"normal", func(*fleet) {}},
	{"takeover", func(f *fleet) { f.partitions[0] = -1 }},
	{"split 24/24", (*fleet).split},
	{"12 VMs lost", func(f *fleet) {
		for n := 1; n < len(f.partitions); n += 4 {
			f.partitions[n] = -1
		}
	}},
}

// TestMeasureRefusals prints the share of requests that are refused although an
// ideal bucket would have admitted them (wrongful%), and for comparison the
// share that would be refused if each VM had a fixed 1/48 of the limit
// (share/48%). The column r is Config.LentFraction, expired% is the share of the
// received tokens that expired, and asks/req is the number of calls to holders
// per request. It asserts nothing. RATE_MEASURE selects the lines of the table:
//
//	RATE_MEASURE=. go test ./rate -run Measure -v
func TestMeasureRefusals(t *testing.T) {
	pattern := os.Getenv("RATE_MEASURE")
	if pattern == "" {
		t.Skip("set RATE_MEASURE to a pattern of lines to print the table")
	}
	fmt.Println("situation    entries load  r     wrongful%  share/48%  expired%  asks/req  wait p99")
	for _, at := range situations {
		for _, entries := range []int{1, 4, 48} {
			for _, load := range []float64{0.5, 0.9, 1} {
				for _, r := range []float64{0.25, 0.5, 1} {
					line := fmt.Sprintf("%-12s %7d %4.2f  %4.2f", at.name, entries, load, r)
					if ok, _ := regexp.MatchString(pattern, line); !ok {
						continue
					}
					t.Run(line, func(t *testing.T) {
						t.Parallel()
						measure(t, line, at.do, entries, load, r)
					})
				}
			}
		}
	}
}

// measure runs one line of the table and prints it.
func measure(t *testing.T, line string, do func(*fleet), entries int, load, lentFraction float64) {
	var offered, wrongful, fixed, expired, received, calls, all float64
	var waits []time.Duration
	for seed := range uint64(measureSeeds) {
		s := scenario{
			size: 48, entries: entries, seed: seed, lentFraction: lentFraction, load: load,
			warmUp: 6 * time.Second, length: 10 * time.Second,
			limit: document.Workspace{RatePerSecond: 50, Burst: 100},
		}
		s.onHeartbeat = func(f *fleet, at time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if at >= s.warmUp+2*time.Second {
				do(f)
			}
		}
		r := run(t, s)
		within := admits(r.arrivals, s.limit, 1, 0)
		shares := admits(r.arrivals, s.limit, s.size, 2*time.Second)
		for i, a := range r.arrivals {
			if a.at.Sub(r.start) < s.warmUp {
				continue
			}
			offered++
			if a.err == nil {
				waits = append(waits, a.admitted.Sub(a.at))
			}
			if within[i] {
				wrongful += boolToFloat(a.err != nil)
				fixed += boolToFloat(!shares[i])
			}
		}
		expired, received = expired+float64(r.stats.Expired), received+float64(r.stats.Received)
		calls, all = calls+float64(r.stats.Calls), all+float64(len(r.arrivals))
	}
	slices.Sort(waits)
	fmt.Printf("%s  %9.3f  %9.2f  %8.2f  %8.2f  %8v\n", line,
		100*wrongful/offered, 100*fixed/offered, 100*expired/received, calls/all, waits[len(waits)*99/100].Round(100*time.Microsecond))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// admits reports which arrivals are admitted by buckets that share a limit
// evenly, where a request may wait for the given time. One bucket is the ideal;
// one bucket for each VM is the baseline.
func admits(all []*arrival, limit document.Workspace, buckets int, wait time.Duration) []bool {
	out := make([]bool, len(all))
	rate, burst := limit.RatePerSecond/float64(buckets), limit.Burst/float64(buckets)
	level, last := make([]float64, buckets), make([]time.Time, buckets)
	for i, a := range all {
		b := a.vm % buckets
		level[b] = min(burst, level[b]+rate*min(1e6, a.at.Sub(last[b]).Seconds()))
		last[b] = a.at
		if out[i] = level[b] >= 1-rate*wait.Seconds(); out[i] {
			level[b]--
		}
	}
	return out
}
