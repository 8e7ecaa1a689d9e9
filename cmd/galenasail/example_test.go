package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/settings"
)

// Guards against example files that a VM refuses: the README starts 48 processes from
// them.
func TestExampleFleetIsValid(t *testing.T) {
	for _, name := range []string{"cabello-digno", "prairie-beacon"} {
		dir := t.TempDir()
		var out bytes.Buffer
		if code := run([]string{"example", "--deployment", name, "--out", dir}, &out, &out); code != exitOK {
			t.Fatalf("example: got exit code %d, want 0: %s", code, out.String())
		}
		files, err := filepath.Glob(filepath.Join(dir, "settings", "*.json"))
		if err != nil || len(files) != 48 {
			t.Fatalf("got %d settings files, want 48; error %v", len(files), err)
		}
		for _, file := range files {
			s, err := settings.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			if s.MemoryMB != exampleMemoryMB {
				t.Errorf("%s: memoryMB %d, want %d", file, s.MemoryMB, exampleMemoryMB)
			}
		}
		checkExampleDocuments(t, dir)
	}
}

func checkExampleDocuments(t *testing.T, dir string) {
	raw, err := os.ReadFile(filepath.Join(dir, "ticket-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	ticket, err := document.ParseTicket(raw)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := document.Build(ticket.Apply(nil, nil)); err != nil {
		t.Error(err)
	}
	var list member.List
	raw, err = os.ReadFile(filepath.Join(dir, "vms.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		t.Fatal(err)
	}
	if err := list.Normalise(); err != nil || list.Len() != 48 {
		t.Errorf("got a list of %d VMs, want 48; error %v", list.Len(), err)
	}
}
