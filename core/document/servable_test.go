package document

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func soundService(name string) Service {
	return Service{Kind: "service", Name: name, ColdSlots: 1, ConnectionsPerTarget: 10, Targets: []Target{}}
}

func soundWorkspace(i int) Workspace {
	return Workspace{ID: fmt.Sprint("w", i), KeyDigests: []string{KeyDigest(fmt.Sprint("key", i))}, RatePerSecond: 5, Burst: 5}
}

func soundRoute(i int) Route {
	return Route{ID: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Service: "s", TimeoutMs: 1000}
}

// unsoundEntries are entries that Build refuses, by themselves or beside the sound ones.
func unsoundEntries() Entries {
	route := func(edit func(*Route)) Route {
		r := soundRoute(900)
		edit(&r)
		return r
	}
	workspace := func(edit func(*Workspace)) Workspace {
		w := soundWorkspace(900)
		edit(&w)
		return w
	}
	tooManyKeys := make([]string, 20_000)
	for i := range tooManyKeys {
		tooManyKeys[i] = KeyDigest(fmt.Sprint("many", i))
	}
	return Entries{
		Services: []Service{{Kind: "service"}, {Kind: "service", Name: "bad", ColdSlots: 1, ConnectionsPerTarget: -1}, soundService("s")},
		Workspaces: []Workspace{
			workspace(func(w *Workspace) { w.ID = "" }),
			workspace(func(w *Workspace) { w.Burst = 0 }),
			workspace(func(w *Workspace) { w.KeyDigests = []string{"short"} }),
			workspace(func(w *Workspace) { w.KeyDigests = tooManyKeys }),
			soundWorkspace(0),
		},
		Routes: []Route{
			route(func(r *Route) { r.ID = "" }),
			route(func(r *Route) { r.ID = "r0" }),
			route(func(r *Route) { r.PathPrefix = "relative/" }),
			route(func(r *Route) { r.Service = "" }),
			route(func(r *Route) { r.Service = "missing" }),
			route(func(r *Route) { r.Split = []WeightedService{{Service: "missing", Weight: 1}} }),
			route(func(r *Route) { r.Split = []WeightedService{{Service: "s", Weight: -1}} }),
			route(func(r *Route) { r.Workspaces = []string{"missing"} }),
			route(func(r *Route) { r.TimeoutMs = 0 }),
			route(func(r *Route) { r.Unavailable = "cannot be decoded" }),
		},
	}
}

// buildEntries builds the configuration that serves e as far as possible.
func buildEntries(e Entries) (*Snapshot, error) {
	kept, excluded := e.Servable()
	docs := map[string]json.RawMessage{"domains": json.RawMessage(`{"kind":"domains","domains":[]}`)}
	for _, v := range kept.Services {
		docs["services/"+v.Name], _ = json.Marshal(v)
	}
	for _, part := range []func() (Content, error){
		func() (Content, error) { return SplitWorkspaces("workspaces/all", kept.Workspaces, MaxValueBytes) },
		func() (Content, error) { return SplitRoutes("routes/all", kept.Routes, MaxValueBytes) },
		func() (Content, error) { return ExclusionsDocument(excluded) },
	} {
		content, err := part()
		if err != nil {
			return nil, err
		}
		for name, raw := range content {
			docs[name] = raw
		}
	}
	ticket := TicketFile{Ticket: 1, Documents: docs}
	return Build(ticket.Apply(nil, nil))
}

// Guards against an entry that cannot be served and keeps the others of its version from
// taking effect.
func TestUnservableEntryDoesNotHoldBackTheOthers(t *testing.T) {
	unsound := unsoundEntries()
	rapid.Check(t, func(t *rapid.T) {
		sound := Entries{Services: []Service{soundService("s")}}
		for i := range 3 {
			sound.Workspaces = append(sound.Workspaces, soundWorkspace(i))
			sound.Routes = append(sound.Routes, soundRoute(i))
		}
		mixed := Entries{
			Services:   slices.Concat(sound.Services, drawSome(t, unsound.Services, "services")),
			Workspaces: slices.Concat(sound.Workspaces, drawSome(t, unsound.Workspaces, "workspaces")),
			Routes:     slices.Concat(sound.Routes, drawSome(t, unsound.Routes, "routes")),
		}
		s, err := buildEntries(mixed)
		if err != nil {
			t.Fatal(err)
		}
		for i, w := range sound.Workspaces {
			if got, ok := s.WorkspaceByKey(fmt.Sprint("key", i)); !ok || got.ID != w.ID {
				t.Fatalf("the key of workspace %s belongs to %v", w.ID, got)
			}
			if !slices.ContainsFunc(s.Routes, func(r *Route) bool { return r.ID == fmt.Sprint("r", i) && r.Unavailable == "" }) {
				t.Fatalf("route r%d is not served: %+v", i, s.Routes)
			}
		}
		unnamed := 0
		for _, r := range mixed.Routes {
			if r.PathPrefix == "/900/" && r.Service == "s" && r.Unavailable == "" && r.TimeoutMs > 0 && len(r.Split)+len(r.Workspaces) == 0 {
				unnamed++ // only its ID was wanting
			}
		}
		excluded := len(mixed.Services) + len(mixed.Workspaces) + len(mixed.Routes) - 7 - unnamed
		if len(s.Excluded) != excluded {
			t.Fatalf("%d exclusions, want %d: %v", len(s.Excluded), excluded, s.Excluded)
		}
	})
}

// drawSome draws elements of all, in any order and repeatedly.
func drawSome[E any](t *rapid.T, all []E, label string) []E {
	var out []E
	for range rapid.IntRange(0, 5).Draw(t, label) {
		out = append(out, all[rapid.IntRange(0, len(all)-1).Draw(t, label+" entry")])
	}
	return out
}

// Guards against a route that is left out, so that its requests take the route of a shorter
// prefix and run at another service.
func TestUnservableRouteKeepsItsPrefix(t *testing.T) {
	r := soundRoute(1)
	r.Service = "missing"
	s, err := buildEntries(Entries{Services: []Service{soundService("s")}, Routes: []Route{r}})
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Routes) != 1 || s.Routes[0].PathPrefix != r.PathPrefix || !strings.Contains(s.Routes[0].Unavailable, "missing") {
		t.Errorf("routes %+v, want the route, unavailable", s.Routes)
	}
}

// Guards against a list of exclusions that grows with a configuration that is wholly wrong.
func TestListOfExclusionsIsBounded(t *testing.T) {
	all := make([]Exclusion, maxExclusions)
	for i := range all {
		all[i] = Exclusion{Entry: strings.Repeat("e", 10*maxReasonBytes), Reason: strings.Repeat("r", 10*maxReasonBytes)}
	}
	for _, n := range []int{0, 1, 100} {
		content, err := ExclusionsDocument(append(all, make([]Exclusion, n)...))
		if err != nil {
			t.Fatal(err)
		}
		var d Routes
		if err := json.Unmarshal(content[exclusionsName], &d); err != nil {
			t.Fatal(err)
		}
		if want := maxExclusions + min(n, 1); len(d.Excluded) != want || len(content[exclusionsName]) > 3*maxReasonBytes*want {
			t.Errorf("%d exclusions beyond the limit: %d listed in %d bytes, want %d", n, len(d.Excluded), len(content[exclusionsName]), want)
		}
	}
}
