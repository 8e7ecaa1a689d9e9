package document

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// properties collects the names of all properties in a JSON schema.
func properties(v any, into map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		if p, ok := v["properties"].(map[string]any); ok {
			for name := range p {
				into[name] = true
			}
		}
		for _, sub := range v {
			properties(sub, into)
		}
	case []any:
		for _, sub := range v {
			properties(sub, into)
		}
	}
}

// Guards against a document field that the operators' reference does not list.
func TestReferenceListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/reference.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("schema/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no schemas: %v", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var schema any
		if err := json.Unmarshal(raw, &schema); err != nil {
			t.Fatal(err)
		}
		names := map[string]bool{}
		properties(schema, names)
		for name := range names {
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("%s: field %s is missing in reference.md", file, name)
			}
		}
	}
}
