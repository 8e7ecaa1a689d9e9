package platform

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// eventLog records events and violations.
type eventLog struct {
	mu         sync.Mutex
	events     []string
	violations []invariant.Name
}

func (r *eventLog) Record(k event.Kind, subject, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, k.String()+" "+subject)
}

func (r *eventLog) Violated(name invariant.Name, _, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, name)
}

// snapshot builds a configuration with the given ticket and documents.
func snapshot(t *testing.T, ticket uint64, docs map[string]json.RawMessage) *document.Snapshot {
	t.Helper()
	s, err := document.Build((&document.TicketFile{Ticket: ticket, Documents: docs}).Apply(nil, nil))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// docs returns documents with one failure domain, one workspace key and one target in
// the given states.
func docs(domain, key, state string) map[string]json.RawMessage {
	return map[string]json.RawMessage{
		"domains":      json.RawMessage(`{"kind":"domains","domains":[{"name":"d","state":"` + domain + `"}]}`),
		"workspaces/w": json.RawMessage(`{"kind":"workspaces","workspaces":[{"id":"w","keyDigests":["` + document.KeyDigest(key) + `"],"ratePerSecond":5,"burst":5}]}`),
		"services/s": json.RawMessage(`{"kind":"service","service":"s","coldSlots":1,"connectionsPerTarget":1,` +
			`"targets":[{"id":"t","address":"127.0.0.1:1","failureDomain":"d","slots":1,"state":"` + state + `"}]}`),
	}
}

// Guards against a defect in core/config that reverts the configuration or the VM list:
// the reader must report a violation and keep the newer one.
func TestInvariantConfig(t *testing.T) {
	events := &eventLog{}
	r := New(Config{Events: events})
	r.machine = config.New(config.Params{Rand: rand.New(rand.NewPCG(1, 2))}, time.Now())
	next := *r.state.Load()
	r.applySnapshot(&next, snapshot(t, 5, nil))
	r.applySnapshot(&next, snapshot(t, 4, nil))
	r.applySnapshot(&next, snapshot(t, 5, nil))
	r.applyList(&next, &member.List{Version: 7})
	r.applyList(&next, &member.List{Version: 6})
	if next.snapshot.Ticket() != 5 || next.list.Version != 7 {
		t.Errorf("got ticket %d and list version %d, want 5 and 7", next.snapshot.Ticket(), next.list.Version)
	}
	if len(events.violations) != 3 || events.violations[0] != invariant.Config {
		t.Errorf("got violations %v, want three of config", events.violations)
	}
}

// Guards against missing events for changes that affect callers: revoked keys, failure
// domains taken out or brought in, and draining targets.
func TestChangeEvents(t *testing.T) {
	events := &eventLog{}
	r := New(Config{Events: events})
	old, next := snapshot(t, 1, docs("in", "k1", "active")), snapshot(t, 2, docs("out", "k2", "draining"))
	r.reportChanges(nil, old, "")
	r.reportChanges(old, next, "")
	r.reportChanges(next, snapshot(t, 3, docs("in", "k2", "draining")), "")
	got := strings.Join(events.events, ", ")
	want := "config_applied ticket 1, config_applied ticket 2, key_withdrawn w, domain_out d, target_draining s/t, config_applied ticket 3, domain_in d"
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// Guards against FetchConfig responses that repeat what the caller has or exceed the
// limits, and against requests without a limit.
func TestFetchConfig(t *testing.T) {
	r := New(Config{Events: &eventLog{}})
	s := snapshot(t, 1, docs("in", "k1", "active"))
	r.state.Store(&state{snapshot: s, indexRaw: []byte("index"), list: &member.List{}, listRaw: []byte("list")})
	res, err := r.FetchConfig(context.Background(), &peerv1.FetchConfigRequest{KnownDigests: []string{s.DigestOf("domains"), document.Digest([]byte("list"))}})
	if err != nil || len(res.Documents) != 2 || string(res.Index) != "index" || len(res.Vms) != 0 {
		t.Errorf("got %v, %v, want the index and two documents, without the known list and document", res, err)
	}
	if _, ok := DecodeAge(res.PlatformAgeMs); ok {
		t.Error("a VM without a platform response reported an age")
	}
	if _, err := r.FetchConfig(context.Background(), &peerv1.FetchConfigRequest{KnownDigests: make([]string, maxKnownDigests+1)}); err == nil {
		t.Error("a request with too many known digests was accepted")
	}
	if got := config.NewFetchResponse(s, nil, nil, nil, 1); len(got.Documents) != 1 {
		t.Errorf("got %d documents with a limit that none fits into, want one so that the caller makes progress", len(got.Documents))
	}
}

// Guards against platform responses that are mapped to the wrong status.
func TestHTTPSource(t *testing.T) {
	responses := map[string]func(http.ResponseWriter){
		"unchanged": func(w http.ResponseWriter) { w.WriteHeader(204) },
		"missing":   func(w http.ResponseWriter) { w.WriteHeader(404) },
		"absent":    func(w http.ResponseWriter) { w.WriteHeader(503) },
		"no-number": func(w http.ResponseWriter) { _, _ = w.Write([]byte("x")) },
		"too-big": func(w http.ResponseWriter) {
			w.Header().Set("Platform-Revision", "1")
			_, _ = w.Write(make([]byte, document.MaxValueBytes+1))
		},
		"cut": func(w http.ResponseWriter) {
			w.Header().Set("Platform-Revision", "1")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("x"))
		},
		"found": func(w http.ResponseWriter) { w.Header().Set("Platform-Revision", "7"); _, _ = w.Write([]byte("x")) },
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		responses[strings.TrimPrefix(r.URL.Path, "/v1/values/")](w)
	}))
	defer server.Close()
	source := NewHTTP(server.URL, "vm", nil)
	want := map[string]config.Status{"unchanged": config.Unchanged, "missing": config.Missing, "found": config.Found}
	for key := range responses {
		status, ok := want[key]
		if !ok {
			status = config.Failed
		}
		if got := source.Read(context.Background(), key); got.Status != status {
			t.Errorf("%s: got status %d, want %d", key, got.Status, status)
		}
	}
}

// blockedSource returns no result before its context ends.
type blockedSource struct{}

func (blockedSource) Read(ctx context.Context, _ string) config.Value {
	<-ctx.Done()
	return config.Value{Status: config.Failed}
}

func (b blockedSource) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) config.Value {
	return b.Read(ctx, key)
}

// seedFetcher returns the same configuration for each fetch.
type seedFetcher struct{ response *peerv1.FetchConfigResponse }

func (s seedFetcher) FetchConfig(context.Context, string, *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	return s.response, nil
}

// Guards against a newly started VM that cannot start from a seed while the platform
// does not respond, and against a Stop that hangs or leaves goroutines running.
func TestStartFromSeed(t *testing.T) {
	ticket := &document.TicketFile{Ticket: 3, Documents: docs("in", "k1", "active")}
	ix, content := ticket.Apply(nil, nil)
	index, _ := json.Marshal(ix)
	vm := func(id string) member.VM {
		return member.VM{ID: id, Address: "a", PeerAddress: id, FailureDomain: "d", State: member.Live}
	}
	list, _ := json.Marshal(member.List{Version: 1, VMs: []member.VM{vm("vm-1"), vm("vm-2")}})
	response := &peerv1.FetchConfigResponse{Index: index, Vms: list}
	for name, raw := range content {
		response.Documents = append(response.Documents, &peerv1.NamedDocument{Name: name, Content: raw})
	}
	events := &eventLog{}
	system := duty.NewSystem(slog.New(slog.DiscardHandler), events)
	applied := make(chan uint64, 8)
	r := New(Config{
		Identity: node.Identity{VM: vm("vm-1")}, Source: blockedSource{}, Fetcher: seedFetcher{response},
		Seeds: []string{"seed"}, InContact: func(string) bool { return false }, Events: events, System: system,
		OnTicket: func(s *document.Snapshot, _ bool) { applied <- s.Ticket() },
	})
	r.Start()
	for deadline := time.After(10 * time.Second); !r.Ready(); {
		select {
		case <-applied:
		case <-deadline:
			t.Fatal("not ready within 10 s")
		}
	}
	if r.Snapshot().Ticket() != 3 || r.List().Len() != 2 || r.Report().PlatformKnown {
		t.Errorf("got ticket %d and report %+v, want ticket 3, two VMs and no platform response", r.Snapshot().Ticket(), r.Report())
	}
	r.Stop()
	system.Shutdown()
}
