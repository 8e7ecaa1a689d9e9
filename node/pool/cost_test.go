package pool

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// BenchmarkExchangeBytes reports the protobuf size of one exchange that
// releases one permit and acquires another, without the headers of the call.
func BenchmarkExchangeBytes(b *testing.B) {
	request := &peerv1.ExchangePermitsRequest{
		Vm: "vm-01", Instance: 1 << 60, Group: "citas#0", Ticket: 18, BaselineUs: 30000, Generation: 3,
		Releases: []*peerv1.PermitRelease{{Permit: firstPermitID(1, 2, "citas#0"), Outcome: peerv1.Outcome_OUTCOME_OK, LatencyUs: 30000}},
		Acquire:  &peerv1.PermitAcquire{Workspace: "clinic-a", WaitMs: 1000, HoldMs: 10000},
	}
	response := &peerv1.ExchangePermitsResponse{
		Holder: true, Permit: firstPermitID(1, 2, "citas#0"), Target: "citas-01", IdleMs: 100, Free: 7, Ready: true,
		Warm: []string{"citas-01", "citas-05", "citas-09", "citas-13", "citas-17"},
	}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(request)), "B/request")
		b.ReportMetric(float64(proto.Size(response)), "B/response")
	}
}

// BenchmarkAcquireAtHolder reports the cost of a permit when this VM is the
// holder, including the actor and its goroutines.
func BenchmarkAcquireAtHolder(b *testing.B) {
	c := newTestCell(b, 1, service(5))
	time.Sleep(200 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		pt, err := c.acquire(0, time.Second)
		if err != nil {
			b.Fatal(err)
		}
		pt.Release(node.OutcomeCanceled, 0)
	}
}
