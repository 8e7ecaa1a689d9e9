package fleet

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
)

// processCPUTime returns the CPU time of this process so far.
func processCPUTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleFleet measures the CPU time of one of 48 VMs without requests, which
// includes all background duties, heartbeats, configuration readers and metrics. Each
// iteration takes one second.
func BenchmarkIdleFleet(b *testing.B) {
	const vms = 48
	ports, err := deployment.FreePorts()
	if err != nil {
		b.Fatal(err)
	}
	f, err := Start(Config{Deployment: deployment.CabelloDigno(), VMs: vms, Ports: ports, Logger: logr.Discard()})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	cpu, began := processCPUTime(b), time.Now()
	b.ResetTimer()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(100*(processCPUTime(b)-cpu).Seconds()/time.Since(began).Seconds()/vms, "%core/vm")
}

// BenchmarkAddedLatency compares requests sent directly to a target with requests sent
// through a fleet of 5 VMs, which include token and permit calls, at 100 requests/s of
// one caller. Loopback lacks the 0.5 ms of network latency between the VMs of a real
// site.
func BenchmarkAddedLatency(b *testing.B) {
	d := deployment.CabelloDigno()
	ports, err := deployment.FreePorts()
	if err != nil {
		b.Fatal(err)
	}
	startPlainTargets(b, d, ports)
	f, err := Start(Config{Deployment: d, VMs: 5, Ports: ports, Logger: logr.Discard()})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	addresses := map[string]string{
		"direct": d.ServiceDocument(0, ports).Targets[0].Address,
		"fleet":  f.CallerAddresses()[0],
	}
	for _, name := range []string{"direct", "fleet"} {
		b.Run(name, func(b *testing.B) {
			latency := hdrhistogram.New(1, 1_000_000, 3)
			ticker := time.NewTicker(10 * time.Millisecond)
			defer ticker.Stop()
			for b.Loop() {
				<-ticker.C
				start := time.Now()
				sendGet(b, "http://"+addresses[name]+"/citas/x", d.Workspaces[0].Key())
				_ = latency.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// sendGet sends a request with a workspace key and fails the benchmark unless the
// complete answer has status 200.
func sendGet(b *testing.B, url, key string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("got status %s, want 200 OK; error %v", resp.Status, err)
	}
}
