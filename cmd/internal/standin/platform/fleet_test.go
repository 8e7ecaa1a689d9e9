package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	reader "github.com/galenasail/galenasail/node/platform"
)

// recorder counts events by kind; a violated invariant ends the test run.
type recorder struct {
	invariant.Panic
	mu     sync.Mutex
	counts map[event.Kind]int
}

func (r *recorder) Record(k event.Kind, _, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[k]++
}

func (r *recorder) count(k event.Kind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[k]
}

// fleet is a set of readers that call each other directly instead of over a network.
type fleet struct {
	list    *member.List
	readers map[string]*reader.Reader
	events  *recorder
}

func (f *fleet) FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	r, ok := f.readers[address]
	if !ok {
		return nil, trace.NotFound("no VM at %s", address)
	}
	return r.FetchConfig(ctx, req)
}

func testList(n int, version uint64) *member.List {
	l := &member.List{Version: version}
	for i := range n {
		l.VMs = append(l.VMs, member.VM{
			ID: fmt.Sprintf("vm-%02d", i), Address: "127.0.0.1:8000",
			PeerAddress: fmt.Sprintf("peer-%02d", i), FailureDomain: "d", State: member.Live,
		})
	}
	return l
}

func startFleet(t *testing.T, n int, url string) *fleet {
	f := &fleet{list: testList(n, 1), readers: map[string]*reader.Reader{}, events: &recorder{counts: map[event.Kind]int{}}}
	system := duty.NewSystem(slog.New(slog.DiscardHandler), f.events)
	for _, vm := range f.list.VMs {
		f.readers[vm.PeerAddress] = reader.New(reader.Config{
			Identity:  node.Identity{VM: vm},
			Source:    reader.NewHTTP(url, vm.ID, nil),
			Fetcher:   f,
			InContact: func(string) bool { return true },
			Events:    f.events, System: system, Seed: 1,
		})
	}
	stop := make(chan struct{})
	for _, r := range f.readers {
		r.Start()
	}
	go f.heartbeats(stop)
	t.Cleanup(func() {
		close(stop)
		for _, r := range f.readers {
			r.Stop()
		}
		system.Shutdown()
	})
	return f
}

// heartbeats passes the reports of each reader to all others every 100 ms.
func (f *fleet) heartbeats(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, from := range f.list.VMs {
			for _, to := range f.list.VMs {
				if from.ID != to.ID {
					f.readers[to.PeerAddress].ReceiveReport(from.ID, f.readers[from.PeerAddress].Report())
				}
			}
		}
	}
}

// waitFor waits until ok returns true and fails the test after 15 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	start := time.Now()
	defer func() { t.Logf("%s after %v", what, time.Since(start)) }()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within 15 s: %s", what)
}

// allAtTicket returns a condition: all readers have applied the ticket.
func (f *fleet) allAtTicket(ticket uint64) func() bool {
	return func() bool {
		for _, r := range f.readers {
			if r.Snapshot().Ticket() != ticket {
				return false
			}
		}
		return true
	}
}

func publish(t *testing.T, s *Server, raw string) {
	t.Helper()
	ticket, err := document.ParseTicket([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Publish(ticket); err != nil {
		t.Fatal(err)
	}
}

// Guards against faults in how the parts work together: HTTP client, reading of the
// configuration, relay between VMs and events. An invalid ticket is published and the
// platform has an outage in between.
func TestFleetReadsStandin(t *testing.T) {
	s := New(Config{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	publish(t, s, `{"ticket":1,"documents":{"domains":{"kind":"domains","domains":[{"name":"d","state":"in"}]}}}`)
	if err := s.SetList(testList(5, 1), 0); err != nil {
		t.Fatal(err)
	}
	f := startFleet(t, 5, server.URL)
	waitFor(t, "ticket 1 applied", f.allAtTicket(1))
	publish(t, s, `{"ticket":2,"documents":{"domains":{"kind":"domains","domains":[{"name":"d","state":"gone"}]}}}`)
	waitFor(t, "ticket 2 refused", func() bool { return f.events.count(event.ConfigRefused) > 0 })
	// TestReadersDetectRefusingPlatform in core/config checks in virtual time how soon
	// readers detect the outage. Here a busy machine may run none of them for seconds.
	s.SetOutage(Refusing, time.Minute)
	waitFor(t, "platform lost", func() bool { return f.events.count(event.PlatformLost) > 0 })
	s.SetOutage(Available, 0)
	waitFor(t, "platform back", func() bool { return f.events.count(event.PlatformBack) > 0 })
	publish(t, s, `{"ticket":3,"documents":{"domains":{"kind":"domains","domains":[{"name":"d","state":"out"}]}}}`)
	waitFor(t, "ticket 3 applied", f.allAtTicket(3))
	waitFor(t, "failure domain taken out on five VMs", func() bool { return f.events.count(event.DomainOut) == 5 })
}

// Guards against readers that wait for a revision that the platform no longer has, after it
// has returned from an older copy, and against a ticket of the copy that replaces a newer one.
func TestReadersFollowAPlatformThatReturnsFromACopy(t *testing.T) {
	const domains = `{"ticket":%d,"documents":{"domains":{"kind":"domains","domains":[{"name":"d","state":"%s"}]}}}`
	s := New(Config{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	publish(t, s, fmt.Sprintf(domains, 1, "in"))
	if err := s.SetList(testList(3, 1), 0); err != nil {
		t.Fatal(err)
	}
	f := startFleet(t, 3, server.URL)
	waitFor(t, "ticket 1 applied", f.allAtTicket(1))
	copied := s.Copy()
	for ticket := 2; ticket <= 6; ticket++ {
		publish(t, s, fmt.Sprintf(domains, ticket, "in"))
	}
	waitFor(t, "ticket 6 applied", f.allAtTicket(6))
	s.ReturnFrom(copied)
	time.Sleep(time.Second)
	if !f.allAtTicket(6)() {
		t.Error("a VM has left ticket 6 for one of the copy")
	}
	publish(t, s, fmt.Sprintf(domains, 7, "out"))
	waitFor(t, "ticket 7 applied", f.allAtTicket(7))
}
