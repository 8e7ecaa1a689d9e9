package document

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/galenasail/galenasail/core/document/schema"
	"github.com/galenasail/galenasail/core/member"
)

// compileSchemas returns the compiled embedded schemas by name.
func compileSchemas(t *testing.T) map[string]*jsonschema.Schema {
	t.Helper()
	c := jsonschema.NewCompiler()
	for _, name := range schema.Names() {
		raw, err := schema.Files.ReadFile(name + ".schema.json")
		if err != nil {
			t.Fatal(err)
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
		if err != nil {
			t.Fatal(err)
		}
		if err := c.AddResource(name+".schema.json", doc); err != nil {
			t.Fatal(err)
		}
	}
	compiled := map[string]*jsonschema.Schema{}
	for _, name := range schema.Names() {
		compiled[name] = c.MustCompile(name + ".schema.json")
	}
	return compiled
}

func check(s *jsonschema.Schema, raw string) error {
	v, err := jsonschema.UnmarshalJSON(strings.NewReader(raw))
	if err != nil {
		return err
	}
	return s.Validate(v)
}

// schemaOf returns the name of the schema for a document name.
func schemaOf(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return map[string]string{"domains": "domains", "services": "service", "workspaces": "workspaces", "routes": "routes"}[kind]
}

// compareType asserts that a struct and a schema have the same fields, including
// nested ones.
func compareType(t *testing.T, path string, typ reflect.Type, s *jsonschema.Schema) {
	for typ.Kind() == reflect.Slice || typ.Kind() == reflect.Pointer {
		if typ.Kind() == reflect.Slice && s.Items2020 != nil {
			s = s.Items2020
		}
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return
	}
	var fields, properties []string
	for i := range typ.NumField() {
		tag := typ.Field(i).Tag.Get("json")
		if !typ.Field(i).IsExported() || tag == "-" {
			continue // encoding/json ignores the field
		}
		name, _, _ := strings.Cut(tag, ",")
		fields = append(fields, name)
		if p := s.Properties[name]; p != nil {
			compareType(t, path+"."+name, typ.Field(i).Type, p)
		}
	}
	for name := range s.Properties {
		properties = append(properties, name)
	}
	slices.Sort(fields)
	slices.Sort(properties)
	if !slices.Equal(fields, properties) {
		t.Errorf("%s: the Go type has fields %v, the schema has %v", path, fields, properties)
	}
}

// Guards against schemas whose fields differ from those of the Go types.
func TestSchemasMatchTypes(t *testing.T) {
	schemas := compileSchemas(t)
	for name, v := range map[string]any{
		"index": Index{}, "vms": member.List{}, "service": Service{}, "workspaces": Workspaces{},
		"routes": Routes{}, "domains": Domains{}, "ticket": TicketFile{},
	} {
		compareType(t, name, reflect.TypeOf(v), schemas[name])
	}
}

// Guards against a schema that refuses what Build accepts, or that accepts an error
// which is visible in a single document.
func TestSchemasAgreeWithBuild(t *testing.T) {
	schemas := compileSchemas(t)
	documents := map[string]json.RawMessage{}
	for name, raw := range validDocuments() {
		documents[name] = json.RawMessage(raw)
		if err := check(schemas[schemaOf(name)], raw); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	ticket, _ := json.Marshal(TicketFile{Ticket: 1, Documents: documents})
	if err := check(schemas["ticket"], string(ticket)); err != nil {
		t.Error(err)
	}
	crossDocument := []string{"duplicate", "no failure domain", "no service", "no workspace", "reserved"}
	for _, docs := range faultyDocuments() {
		_, err := buildDocuments(1, docs)
		if err == nil || slices.ContainsFunc(crossDocument, func(s string) bool { return strings.Contains(err.Error(), s) }) {
			continue
		}
		refused := false
		for name, raw := range docs {
			refused = refused || check(schemas[schemaOf(name)], raw) != nil
		}
		if !refused {
			t.Errorf("the schemas accept documents that Build refuses with: %v", err)
		}
	}
}
