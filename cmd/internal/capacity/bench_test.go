package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// processCPUTime returns the CPU time of this process so far.
func processCPUTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeapBytes returns the size of the heap after garbage collection. The second run
// frees what finalizers and pools kept through the first one.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// addDocument adds v as JSON under a document name.
func addDocument(content document.Content, name string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	content[name] = raw
}

// newContent returns configuration documents with the given numbers of entries.
func newContent(workspaces, routes, services, targets int) document.Content {
	result := document.Content{}
	addDocument(result, "domains", document.Domains{Kind: "domains", Domains: []document.FailureDomain{{Name: "d", State: document.DomainIn}}})
	for i := range services {
		s := document.Service{Kind: "service", Name: fmt.Sprintf("s-%d", i), FloorPercent: 60, ColdSlots: 1, ColdRampMs: 5000, ConnectionsPerTarget: 400}
		for t := range targets / services {
			s.Targets = append(s.Targets, document.Target{ID: fmt.Sprintf("s-%d-%d", i, t), Address: fmt.Sprintf("127.0.0.1:%d", 1024+t), FailureDomain: "d", Slots: 3, State: document.Active})
		}
		addDocument(result, "services/"+s.Name, s)
	}
	const parts = 16
	for p := range parts {
		w := document.Workspaces{Kind: "workspaces"}
		for i := range workspaces / parts {
			id := fmt.Sprintf("workspace-%d-%d", p, i)
			w.Workspaces = append(w.Workspaces, document.Workspace{ID: id, KeyDigests: []string{document.KeyDigest(id)}, RatePerSecond: 10, Burst: 20})
		}
		addDocument(result, fmt.Sprintf("workspaces/%d", p), w)
		r := document.Routes{Kind: "routes"}
		for i := range routes / parts {
			id := fmt.Sprintf("route-%d-%d", p, i)
			r.Routes = append(r.Routes, document.Route{ID: id, PathPrefix: "/" + id + "/", Service: fmt.Sprintf("s-%d", i%services), TimeoutMs: 1000, MaxBodyBytes: 1 << 20})
		}
		addDocument(result, fmt.Sprintf("routes/%d", p), r)
	}
	return result
}

// BenchmarkSnapshotMemory measures, for each kind of entry, the heap size of an applied
// configuration together with its documents, which a VM keeps to send them to other VMs.
func BenchmarkSnapshotMemory(b *testing.B) {
	sizes := []struct {
		kind                                  string
		workspaces, routes, services, targets int
	}{
		{"workspaces", 14000, 16, 1, 1}, {"workspaces", 140000, 16, 1, 1},
		{"routes", 16, 3200, 1, 1}, {"routes", 16, 32000, 1, 1},
		{"targets", 16, 16, 160, 4400}, {"targets", 16, 16, 1600, 44000},
	}
	for _, s := range sizes {
		n := max(s.workspaces, s.routes, s.targets)
		b.Run(fmt.Sprintf("%s=%d", s.kind, n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeapBytes()
				c := newContent(s.workspaces, s.routes, s.services, s.targets)
				ix := &document.Index{Ticket: 1}
				for name, raw := range c {
					ix.Documents = append(ix.Documents, document.IndexEntry{Name: name, Ticket: 1, Digest: document.Digest(raw)})
				}
				snapshot, err := document.Build(ix, c)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric((liveHeapBytes()-before)/float64(n), "B/entry")
				runtime.KeepAlive(snapshot)
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkCalls measures signed calls between two VMs: bytes on the wire without TCP
// and IP headers, and the CPU time of both sides together.
func BenchmarkCalls(b *testing.B) {
	key := []byte("0123456789abcdef0123456789abcdef")
	traffic := &peer.Traffic{}
	server, err := peer.NewServer(peer.ServerConfig{Address: "127.0.0.1:0", Key: key, Handlers: peer.Handlers{
		AcquireTokens: func(context.Context, *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
			return &peerv1.AcquireTokensResponse{Given: 20, LifetimeMs: 500, Holder: true}, nil
		},
		ExchangePermits: func(context.Context, *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
			return &peerv1.ExchangePermitsResponse{Holder: true, Permit: 1 << 40, Target: "service-17-target-4", IdleMs: 100, Free: 9}, nil
		},
	}})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close() }()
	client := peer.NewClient(peer.ClientConfig{Key: key, Traffic: traffic})
	defer client.Close()
	ctx := context.Background()
	calls := []struct {
		name string
		call func() error
	}{
		{"tokens", func() error {
			_, err := client.AcquireTokens(ctx, server.Address(), &peerv1.AcquireTokensRequest{Vm: "vm-1234", Instance: 7, Workspace: "workspace-123456", Want: 20, Ticket: 18000000})
			return err
		}},
		{"permits", func() error {
			_, err := client.ExchangePermits(ctx, server.Address(), &peerv1.ExchangePermitsRequest{
				Vm: "vm-1234", Instance: 7, Group: "service-17/3", Ticket: 18000000, BaselineUs: 20000,
				Releases: []*peerv1.PermitRelease{{Permit: 1 << 40, Outcome: peerv1.Outcome_OUTCOME_OK, LatencyUs: 20000}},
				Acquire:  &peerv1.PermitAcquire{Workspace: "workspace-123456", WaitMs: 1000, HoldMs: 10000},
			})
			return err
		}},
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			bytes, cpu := traffic.Sent()+traffic.Received(), processCPUTime(b)
			for b.Loop() {
				if err := c.call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(traffic.Sent()+traffic.Received()-bytes)/float64(b.N), "B/call")
			b.ReportMetric(float64((processCPUTime(b)-cpu).Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}
