package event

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// Guards against a kind without a name, which could not be decoded from a timeline.
func TestEveryKindSurvivesJSON(t *testing.T) {
	for _, k := range Kinds() {
		raw, err := json.Marshal(k)
		if err != nil {
			t.Fatal(err)
		}
		var back Kind
		if err := json.Unmarshal(raw, &back); err != nil || back != k {
			t.Errorf("kind %s: decoded as %s, error %v", k, back, err)
		}
	}
}

// Guards against a ring buffer that repeats or skips events after wrapping around.
func TestRingAfterWrap(t *testing.T) {
	r := NewRing(4)
	for i := 0; i < 10; i++ {
		r.Add(Event{Kind: Started})
	}
	got := r.Since(0, 100)
	if len(got) != 4 || got[0].Seq != 7 || got[3].Seq != 10 {
		t.Fatalf("got %d events from %d on, want events 7 to 10", len(got), got[0].Seq)
	}
	if rest := r.Since(9, 100); len(rest) != 1 || rest[0].Seq != 10 {
		t.Fatalf("events after 9: got %v, want event 10 only", rest)
	}
}

// Guards against an event kind that is missing in the operators' documentation.
func TestOperatorsPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/events.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Kinds() {
		if !strings.Contains(string(page), "`"+k.String()+"`") {
			t.Errorf("event kind %s is missing in docs/operators/events.md", k)
		}
	}
}
