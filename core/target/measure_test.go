package target

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
)

// measure enables the tests TestMeasure*, which print tables of simulations in virtual
// time with the sizes of both deployments. The tables should show detection within 3 s
// and no false ejection. Run
//
//	go test ./target -run TestMeasure -v -measure
var measure = flag.Bool("measure", false, "print the tables of the simulations in virtual time")

const measureSeeds = 20

type deployment struct {
	service document.Service
	vms     int
	// full is the request rate that uses all slots, in requests per second.
	full float64
}

func deployments() []deployment {
	// The mean service time is 34 ms: 30 ms × exp(0.5²/2).
	return []deployment{
		{citas(), 44, 60 / 0.034},
		{rentalDesk(), 44, 40 / 0.034},
	}
}

func (d deployment) options(seed uint64, load float64) options {
	return options{seed: seed, service: d.service, vms: d.vms, workspaces: 8, rate: load * d.full, median: 30 * time.Millisecond, sigma: 0.5, loss: 0.0005}
}

func skipUnlessMeasuring(t *testing.T) {
	if !*measure {
		t.Skip("prints a table only; run with -measure")
	}
}

func quantile(values []float64, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return time.Duration(sorted[int(q*float64(len(sorted)-1))]).Round(100 * time.Microsecond)
}

// TestMeasureDetection prints the time from the start of a fault to the ejection.
func TestMeasureDetection(t *testing.T) {
	skipUnlessMeasuring(t)
	faults := map[string]func(now time.Time) fakeFault{
		"slow 10x":                func(time.Time) fakeFault { return fakeFault{slow: 10} },
		"errors 30%":              func(time.Time) fakeFault { return fakeFault{errors: 0.3} },
		"truncates 30%":           func(time.Time) fakeFault { return fakeFault{truncates: 0.3} },
		"hangs":                   func(time.Time) fakeFault { return fakeFault{slow: 1e6} },
		"flaps 1 s (100% errors)": flapping(fakeFault{errors: 1}),
		"flaps 1 s (slow 10x)":    flapping(fakeFault{slow: 10}),
	}
	t.Logf("%-12s %-5s %-24s %8s %8s %8s %s", "service", "load", "fault", "median", "max", "missed", "others ejected")
	var rows []func() string
	for _, d := range deployments() {
		for _, load := range []float64{0.05, 0.2, 0.5} {
			for _, name := range slices.Sorted(maps.Keys(faults)) {
				rows = append(rows, func() string { return detectionRow(d, load, name, faults[name]) })
			}
		}
	}
	printRows(t, rows)
}

// printRows computes a few rows concurrently and logs them in order.
func printRows(t *testing.T, rows []func() string) {
	const workers = 4
	out := make([]string, len(rows))
	var wg sync.WaitGroup
	for first := range workers {
		wg.Go(func() {
			for i := first; i < len(rows); i += workers {
				out[i] = rows[i]()
			}
		})
	}
	wg.Wait()
	for _, line := range out {
		t.Log(line)
	}
}

func flapping(f fakeFault) func(time.Time) fakeFault {
	return func(now time.Time) fakeFault {
		if now.Unix()%2 == 0 {
			return f
		}
		return fakeFault{}
	}
}

func detectionRow(d deployment, load float64, name string, f func(time.Time) fakeFault) string {
	const begin = 30 * time.Second
	var times []float64
	missed, others := 0, 0
	for seed := uint64(1); seed <= measureSeeds; seed++ {
		w := newSimulation(d.options(seed, load))
		w.until(begin)
		id := w.content.Targets[int(seed)%len(w.content.Targets)].ID
		w.backends[id].fault = f
		w.until(begin + 15*time.Second)
		key := event.TargetEjected.String() + " " + w.content.Name + "/"
		if at, ok := w.firstAt[key+id]; ok {
			times = append(times, float64(at.Sub(w.start)-begin))
		} else {
			missed++
		}
		for k := range w.firstAt {
			if strings.HasPrefix(k, key) && k != key+id {
				others++
			}
		}
	}
	return fmt.Sprintf("%-12s %-5.2f %-24s %8s %8s %5d/%d %d", d.service.Name, load, name, quantile(times, 0.5), quantile(times, 1), missed, measureSeeds, others)
}

// TestMeasureFalseEjections prints the ejections of healthy targets.
func TestMeasureFalseEjections(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Logf("%-12s %-34s %9s %9s %9s", "service", "run", "requests", "ejected", "cold")
	var rows []func() string
	for _, d := range deployments() {
		for _, sigma := range []float64{0.5, 1} {
			for _, load := range []float64{0.05, 0.5} {
				o := d.options(1, load)
				o.sigma = sigma
				rows = append(rows, func() string {
					return falseEjectionRow(o, fmt.Sprintf("20 min, sigma %.1f, load %.2f", sigma, load), 20*time.Minute, nil)
				})
			}
		}
		slow := func(now time.Time) fakeFault {
			if now.Unix()%60 >= 30 {
				return fakeFault{slow: 5}
			}
			return fakeFault{}
		}
		rows = append(rows, func() string {
			return falseEjectionRow(d.options(2, 0.1), "all 5x slow, 30 s in 60 s, 20 min", 20*time.Minute, slow)
		})
		rows = append(rows, func() string {
			errs := func(time.Time) fakeFault { return fakeFault{errors: 0.05} }
			return falseEjectionRow(d.options(3, 0.5), "all 5% errors, 20 min", 20*time.Minute, errs)
		})
	}
	printRows(t, rows)
}

func falseEjectionRow(o options, name string, length time.Duration, f func(time.Time) fakeFault) string {
	w := newSimulation(o)
	for _, b := range w.backends {
		b.fault = f
	}
	w.until(length)
	return fmt.Sprintf("%-12s %-34s %9d %9d %9d", o.service.Name, name, w.sent, w.events[event.TargetEjected], w.events[event.TargetCold])
}

// TestMeasureFairness prints the share of requests served for the worst-served
// workspace while another one sends several times its share.
func TestMeasureFairness(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Logf("%-12s %-22s %14s %14s", "service", "total load", "worst served", "extra served")
	for _, d := range deployments() {
		for _, extraLoad := range []float64{0, 0.5, 1} {
			o := d.options(1, 0.6)
			o.extraRate = extraLoad * d.full
			w := newSimulation(o)
			w.warmUp()
			w.until(60 * time.Second)
			worst := 1.0
			for i := 1; i < o.workspaces; i++ {
				worst = min(worst, w.servedShare(i))
			}
			t.Logf("%-12s %-22s %13.2f%% %13.2f%%", d.service.Name, fmt.Sprintf("0.6 + extra %.1f", extraLoad), 100*worst, 100*w.servedShare(0))
		}
	}
}

// warmUp runs the cold start of a new simulation and resets its counters.
func (w *simulation) warmUp() {
	w.until(15 * time.Second)
	w.latencies, w.sent, w.shed = nil, 0, 0
	clear(w.served)
	clear(w.refused)
}

// servedShare returns the share of the requests of workspace i that were served.
func (w *simulation) servedShare(i int) float64 {
	return float64(w.served[i]) / float64(max(1, w.served[i]+w.refused[i]))
}

// TestMeasureDomain prints the results of a service whose failure domain is out for
// 30 s and returns with all its targets cold.
func TestMeasureDomain(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Logf("%-12s %-16s %10s %10s %10s", "service", "phase", "served", "p50", "p99")
	for _, d := range deployments() {
		w := newSimulation(d.options(1, 0.5))
		w.warmUp()
		w.until(30 * time.Second)
		w.phase(t, "before")
		w.setDomain("domain-1", true)
		w.until(60 * time.Second)
		w.phase(t, "out")
		w.setDomain("domain-1", false)
		w.until(90 * time.Second)
		w.phase(t, "returned cold")
		if len(w.violated) > 0 {
			t.Error(w.violated)
		}
	}
}

// phase logs what was served since the last call and resets the counters.
func (w *simulation) phase(t *testing.T, name string) {
	served, refused := 0, 0
	for i := range w.served {
		served += w.served[i]
		refused += w.refused[i]
		w.served[i], w.refused[i] = 0, 0
	}
	t.Logf("%-12s %-16s %9.2f%% %10s %10s", w.content.Name, name, 100*float64(served)/float64(served+refused), quantile(w.latencies, 0.5), quantile(w.latencies, 0.99))
	w.latencies = nil
}

// TestMeasureAgainstPowerOfTwo compares permits of group holders with power of two
// choices, where each VM only knows its own requests.
func TestMeasureAgainstPowerOfTwo(t *testing.T) {
	skipUnlessMeasuring(t)
	t.Logf("%-12s %-5s %-14s %10s %10s %10s %10s", "service", "load", "policy", "shed", "served", "p50", "p99")
	for _, d := range deployments() {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			for _, uncoordinated := range []bool{false, true} {
				o := d.options(1, load)
				o.uncoordinated = uncoordinated
				w := newSimulation(o)
				w.warmUp()
				w.until(60 * time.Second)
				served := 0.0
				for i := range o.workspaces {
					served += w.servedShare(i) / float64(o.workspaces)
				}
				t.Logf("%-12s %-5.2f %-14s %9.2f%% %9.2f%% %10s %10s", d.service.Name, load, map[bool]string{false: "permits", true: "power of two"}[uncoordinated],
					100*float64(w.shed)/float64(w.sent), 100*served, quantile(w.latencies, 0.5), quantile(w.latencies, 0.99))
			}
		}
	}
}
