package fault

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against a kind without an entry in the table: its caller would get status 0
// and an empty name.
func TestEveryKindHasAnAnswer(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Answer()
		if a.Name == "" || a.Status < 400 {
			t.Errorf("kind %d: incomplete answer %+v", k, a)
		}
		if other, dup := seen[a.Name]; dup {
			t.Errorf("kinds %d and %d share the name %s", k, other, a.Name)
		}
		seen[a.Name] = k
	}
}

// Guards against an error that loses its kind when it is wrapped.
func TestKindSurvivesWrapping(t *testing.T) {
	err := Wrap(New(RateLimited, "workspace a"), RateLimited, "outer")
	if KindOf(err) != RateLimited {
		t.Fatalf("kind of %v: got %s, want rate_limited", err, KindOf(err))
	}
	if KindOf(errors.New("plain")) != Internal {
		t.Fatal("kind of an error without a kind: want internal")
	}
}

// Guards against operators' documentation that differs from the table.
func TestOperatorsPageMatchesTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/answers.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Kinds() {
		a := k.Answer()
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", a.Name, a.Status, a.Ran, a.Retry)
		if !strings.Contains(string(page), row) {
			t.Errorf("row %s is missing in docs/operators/answers.md", row)
		}
	}
}
