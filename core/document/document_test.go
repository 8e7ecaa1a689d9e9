package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// validDocuments returns one valid document of each kind.
func validDocuments() map[string]string {
	return map[string]string{
		"domains":      `{"kind":"domains","domains":[{"name":"a","state":"in"},{"name":"b","state":"in"}]}`,
		"services/s":   `{"kind":"service","service":"s","floorPercent":60,"coldSlots":1,"coldRampMs":5000,"connectionsPerTarget":400,"targets":[{"id":"t1","address":"127.0.0.1:7001","failureDomain":"a","slots":3,"state":"active"},{"id":"t2","address":"127.0.0.1:7002","failureDomain":"b","slots":3,"state":"active"}]}`,
		"workspaces/w": `{"kind":"workspaces","workspaces":[{"id":"w1","keyDigests":["` + KeyDigest("k1") + `"],"ratePerSecond":50,"burst":100}]}`,
		"routes/r":     `{"kind":"routes","routes":[{"id":"r1","pathPrefix":"/s/","methods":["POST"],"service":"s","open":false,"idempotent":false,"timeoutMs":10000,"maxBodyBytes":1048576,"workspaces":["w1"]}]}`,
	}
}

// buildDocuments builds a snapshot from documents that are published with the given
// ticket.
func buildDocuments(ticket uint64, docs map[string]string) (*Snapshot, error) {
	t := TicketFile{Ticket: ticket, Documents: map[string]json.RawMessage{}}
	for name, raw := range docs {
		t.Documents[name] = json.RawMessage(raw)
	}
	s, err := Build(t.Apply(nil, nil))
	if err != nil {
		return nil, err
	}
	return s, s.CheckReservedPaths()
}

// editedDocuments returns the valid documents with one text of one document replaced.
func editedDocuments(doc, old, replacement string) map[string]string {
	docs := validDocuments()
	if !strings.Contains(docs[doc], old) {
		panic("no " + old + " in " + doc)
	}
	docs[doc] = strings.Replace(docs[doc], old, replacement, 1)
	return docs
}

// faultyDocuments returns sets of documents that Build must refuse.
func faultyDocuments() []map[string]string {
	service, routes, workspaces := "services/s", "routes/r", "workspaces/w"
	return []map[string]string{
		editedDocuments("domains", `"in"`, `"gone"`),
		editedDocuments("domains", `"b"`, `"a"`),
		editedDocuments("domains", `"kind"`, `"sort"`),
		editedDocuments("domains", `"domains","domains"`, `"routes","domains"`),
		editedDocuments(service, `60`, `101`),
		editedDocuments(service, `"coldSlots":1`, `"coldSlots":0`),
		editedDocuments(service, `"coldRampMs":5000`, `"coldRampMs":-1`),
		editedDocuments(service, `400`, `0`),
		editedDocuments(service, `127.0.0.1:7001`, `127.0.0.1`),
		editedDocuments(service, `"failureDomain":"b"`, `"failureDomain":"c"`),
		editedDocuments(service, `"t2"`, `"t1"`),
		editedDocuments(service, `"slots":3`, `"slots":"3"`),
		editedDocuments(service, `"active"`, `"leaving"`),
		editedDocuments(workspaces, `"ratePerSecond":50`, `"ratePerSecond":0`),
		editedDocuments(workspaces, `"burst":100`, `"burst":0.5`),
		editedDocuments(workspaces, KeyDigest("k1"), `k1`),
		editedDocuments(routes, `"/s/"`, `"s/"`),
		editedDocuments(routes, `"/s/"`, `"/galenasail/v1"`),
		editedDocuments(routes, `"service":"s"`, `"service":"x"`),
		editedDocuments(routes, `"w1"`, `"w2"`),
		editedDocuments(routes, `10000`, `600001`),
		editedDocuments(routes, `]}]}`, `]}]} {}`),
	}
}

// Guards against error messages without ticket, document, field or reason.
// Operators pass these messages on by phone and need all four.
func TestErrorMessages(t *testing.T) {
	var out strings.Builder
	for i, docs := range faultyDocuments() {
		_, err := buildDocuments(18, docs)
		if err == nil {
			t.Errorf("faulty documents %d were accepted: %v", i, docs)
			continue
		}
		fmt.Fprintln(&out, err)
	}
	for _, raw := range []string{
		`{"ticket":3,"documents":[{"name":"services/a","ticket":4,"digest":""}]}`,
		`{"ticket":3,"documents":[{"name":"other","ticket":1,"digest":""}]}`,
		`{"ticket":3,"documents":[{"name":"domains","ticket":1,"digest":""},{"name":"domains","ticket":2,"digest":""}]}`,
		`{"ticket":-1}`,
	} {
		_, err := ParseIndex([]byte(raw))
		fmt.Fprintln(&out, err)
	}
	for _, raw := range []string{`{"ticket":0}`, `{"ticket":2,"documents":{"x":null}}`, `{"number":2}`} {
		_, err := ParseTicket([]byte(raw))
		fmt.Fprintln(&out, err)
	}
	goldie.New(t).Assert(t, "errors", []byte(out.String()))
}

// Guards against a diff that omits a change or reports one that does not exist.
func TestDiff(t *testing.T) {
	old, err := buildDocuments(17, validDocuments())
	if err != nil {
		t.Fatal(err)
	}
	docs := validDocuments()
	docs["domains"] = `{"kind":"domains","domains":[{"name":"a","state":"in"},{"name":"b","state":"out"},{"name":"c","state":"in"}]}`
	docs["services/s"] = strings.NewReplacer(`"active"}]`, `"draining"},{"id":"t3","address":"127.0.0.1:7003","failureDomain":"c","slots":3,"state":"active"}]`, `"t1"`, `"t0"`, `60`, `70`).Replace(docs["services/s"])
	docs["services/n"] = `{"kind":"service","service":"n","floorPercent":60,"coldSlots":1,"coldRampMs":5000,"connectionsPerTarget":400,"targets":[]}`
	docs["workspaces/w"] = `{"kind":"workspaces","workspaces":[{"id":"w1","keyDigests":["` + KeyDigest("k2") + `"],"ratePerSecond":60,"burst":100},{"id":"w2","keyDigests":[],"ratePerSecond":5,"burst":5}]}`
	docs["routes/r"] = strings.NewReplacer(`"r1"`, `"r2"`).Replace(docs["routes/r"])
	next, err := buildDocuments(18, docs)
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.AssertJson(t, "plan", Diff(old, next))
	g.AssertJson(t, "plan-first", Diff(nil, old))
	if same := Diff(next, next); same.Len() != 0 {
		t.Errorf("diff of a snapshot with itself: got %d changes %+v, want none", same.Len(), same)
	}
}

// Guards against a build on top of a previous snapshot that differs from a build
// without one, or that modifies the previous snapshot.
func TestBuildFromEqualsBuild(t *testing.T) {
	steps := []map[string]string{validDocuments(), editedDocuments("domains", `"in"`, `"out"`), editedDocuments("workspaces/w", `50`, `51`), editedDocuments("services/s", `60`, `61`), validDocuments()}
	steps[4]["workspaces/x"] = `{"kind":"workspaces","workspaces":[{"id":"w9","keyDigests":[],"ratePerSecond":1,"burst":1}]}`
	prev, err := buildDocuments(1, steps[0])
	if err != nil {
		t.Fatal(err)
	}
	for i, docs := range steps[1:] {
		want, err := buildDocuments(uint64(i+2), docs)
		if err != nil {
			t.Fatal(err)
		}
		content := Content{}
		for name, raw := range want.Raw {
			content[name] = raw
			if old := prev.Raw[name]; string(old) == string(raw) && name != "workspaces/w" {
				content[name] = old
			}
		}
		got, err := BuildFrom(prev, want.Index, content)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("step %d: error %v\ngot  %+v\nwant %+v", i, err, got, want)
		}
		if again, err := Build(prev.Index, prev.Raw); err != nil || !reflect.DeepEqual(again, prev) {
			t.Fatalf("step %d modified the previous snapshot", i)
		}
		prev = got
	}
	if _, err := BuildFrom(prev, prev.Index, Content{"domains": []byte("{}")}); err == nil {
		t.Error("content with a wrong digest was accepted")
	}
}

// Guards against split documents that lose, repeat or reorder entries or exceed
// the size limit of the platform.
func TestSplit(t *testing.T) {
	var all []Workspace
	for i := range 500 {
		all = append(all, Workspace{ID: fmt.Sprintf("w%03d", i), KeyDigests: []string{KeyDigest(fmt.Sprint(i))}, RatePerSecond: 5, Burst: 5})
	}
	const limit = 10_000
	parts, err := SplitWorkspaces("workspaces/all", all, limit)
	if err != nil {
		t.Fatal(err)
	}
	docs := map[string]string{}
	for name, raw := range parts {
		if docs[name] = string(raw); len(raw) > limit {
			t.Errorf("document %s has %d bytes, the limit is %d", name, len(raw), limit)
		}
	}
	s, err := buildDocuments(1, docs)
	if err != nil || len(s.Workspaces) != len(all) || len(parts) < 7 {
		t.Errorf("got %d parts, error %v, want at least 7 parts with all workspaces", len(parts), err)
	}
	if _, err := SplitRoutes("routes/all", []Route{{ID: strings.Repeat("x", limit)}}, limit); err == nil {
		t.Error("an entry above the limit was accepted")
	}
}

// FuzzParseIndex guards against an index from a faulty platform or peer that makes
// ParseIndex panic, or that it accepts although it is inconsistent.
func FuzzParseIndex(f *testing.F) {
	f.Add([]byte(`{"ticket":18,"documents":[{"name":"services/citas","ticket":18,"digest":"00"}]}`))
	f.Add([]byte(`{"ticket":1,"documents":null} x`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		ix, err := ParseIndex(raw)
		if err != nil {
			return
		}
		for _, e := range ix.Documents {
			if e.Ticket == 0 || e.Ticket > ix.Ticket {
				t.Errorf("entry %+v was accepted in the index of ticket %d", e, ix.Ticket)
			}
		}
	})
}

// FuzzBuild guards against a document that makes Build panic, or that Build accepts
// although it refers to a service that does not exist.
func FuzzBuild(f *testing.F) {
	for _, raw := range validDocuments() {
		f.Add([]byte(raw))
	}
	f.Add([]byte(`{"kind":"routes","routes":[{"id":"x","pathPrefix":"/","service":"none","timeoutMs":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		for name := range validDocuments() {
			docs := validDocuments()
			docs[name] = string(raw)
			s, err := buildDocuments(1, docs)
			if err != nil {
				continue
			}
			for _, r := range s.Routes {
				if s.Services[r.Service] == nil {
					t.Errorf("route %s was accepted without its service %s", r.ID, r.Service)
				}
			}
		}
	})
}
