package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// valid returns valid settings with all required fields.
func valid() map[string]any {
	return map[string]any{
		"id": "vm-01", "address": "127.0.0.1:1", "peerAddress": "127.0.0.1:2", "adminAddress": "127.0.0.1:3",
		"failureDomain": "a", "platformURL": "http://127.0.0.1:4", "sharedKey": strings.Repeat("k", MinSharedKeyBytes),
	}
}

// Guards against invalid settings that are accepted, and against errors that do not name
// the invalid field.
func TestBadSettingsNameTheField(t *testing.T) {
	bad := map[string]any{
		"id": "", "address": "localhost:1", "peerAddress": "127.0.0.1", "adminAddress": "127.0.0.1:notaport",
		"failureDomain": "", "platformURL": "ftp://x", "sharedKey": "short", "seeds": []string{"x"}, "unknown": 1,
		"maxDescriptors": -1, "callerLimits": map[string]int{"stallMs": -1}, "memoryMB": -1,
	}
	for field, value := range bad {
		s := valid()
		s[field] = value
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(raw); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s = %v: got error %v, want one that names the field", field, value, err)
		}
	}
	raw, _ := json.Marshal(valid())
	if _, err := Parse(raw); err != nil {
		t.Errorf("valid settings: %v", err)
	}
	if _, err := Parse(append(raw, '{')); err == nil {
		t.Error("trailing data was accepted")
	}
}

// Guards against a setting that is missing from the operators' reference.
func TestReferenceListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/reference.md")
	if err != nil {
		t.Fatal(err)
	}
	fields := reflect.TypeFor[Settings]()
	for i := range fields.NumField() {
		name, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("reference.md lacks %s", name)
		}
	}
}

// FuzzParse guards against settings that crash the program, and against accepted settings
// that fail validation.
func FuzzParse(f *testing.F) {
	raw, _ := json.Marshal(valid())
	f.Add(raw)
	f.Add([]byte(`{"seeds":["[::1]:x"],"platformURL":"http://%zz"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil && s.Check() != nil {
			t.Fatal("accepted settings that fail validation")
		}
	})
}
