// Package schema provides the JSON Schemas of the documents, the index, the VM
// list and the ticket file, for editors and for tools in other languages.
//
// The schemas describe each file by itself. Only document.Build checks references
// between documents and duplicate names.
package schema

import "embed"

// Files holds the schema files, for example service.schema.json.
//
//go:embed *.schema.json
var Files embed.FS

// Names returns the names of the schemas, without the suffix .schema.json.
func Names() []string {
	return []string{"index", "vms", "service", "workspaces", "routes", "domains", "ticket"}
}
