package document

import (
	"encoding/json"
	"fmt"
	"testing"
)

// largestConfig returns a ticket with a configuration of the intended maximum size:
// 1,600 services with 44,000 targets, 140,000 workspaces and 32,000 routes.
func largestConfig(b *testing.B) *TicketFile {
	docs := map[string]json.RawMessage{"domains": json.RawMessage(`{"kind":"domains","domains":[{"name":"d","state":"in"}]}`)}
	add := func(parts Content, err error) {
		if err != nil {
			b.Fatal(err)
		}
		for name, raw := range parts {
			docs[name] = raw
		}
	}
	var routes []Route
	for i := range 1600 {
		s := Service{Kind: "service", Name: fmt.Sprintf("s%04d", i), ColdSlots: 1, ConnectionsPerTarget: 400}
		for j := range 44000 / 1600 {
			s.Targets = append(s.Targets, Target{ID: fmt.Sprintf("t%02d", j), Address: "127.0.0.1:7001", FailureDomain: "d", Slots: 3, State: Active})
		}
		docs["services/"+s.Name], _ = json.Marshal(s)
		for j := range 20 {
			routes = append(routes, Route{ID: fmt.Sprintf("r%d-%d", i, j), PathPrefix: fmt.Sprintf("/%d/%d/", i, j), Service: s.Name, TimeoutMs: 1000})
		}
	}
	var workspaces []Workspace
	for i := range 140000 {
		workspaces = append(workspaces, Workspace{ID: fmt.Sprintf("w%06d", i), KeyDigests: []string{KeyDigest(fmt.Sprint(i))}, RatePerSecond: 5, Burst: 10})
	}
	add(SplitWorkspaces("workspaces/all", workspaces, MaxValueBytes))
	add(SplitRoutes("routes/all", routes, MaxValueBytes))
	return &TicketFile{Ticket: 1, Documents: docs}
}

// BenchmarkBuild measures the first build, the build after a ticket that takes a
// failure domain out of service, and the build after one that adds a workspace.
// The latter two include the diff that a VM computes.
func BenchmarkBuild(b *testing.B) {
	ix, content := largestConfig(b).Apply(nil, nil)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			if _, err := Build(ix, content); err != nil {
				b.Fatal(err)
			}
		}
	})
	old, err := Build(ix, content)
	if err != nil {
		b.Fatal(err)
	}
	changes := map[string]string{
		"domains":        `{"kind":"domains","domains":[{"name":"d","state":"out"}]}`,
		"workspaces/new": `{"kind":"workspaces","workspaces":[{"id":"n","keyDigests":[],"ratePerSecond":1,"burst":1}]}`,
	}
	for name, raw := range changes {
		change := TicketFile{Ticket: 2, Documents: map[string]json.RawMessage{name: json.RawMessage(raw)}}
		next, nextContent := change.Apply(ix, content)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s, err := BuildFrom(old, next, nextContent)
				if err != nil || Diff(old, s).Len() != 1 {
					b.Fatal(err)
				}
			}
		})
	}
}
