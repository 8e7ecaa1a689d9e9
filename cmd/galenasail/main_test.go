package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/settings"
)

const examplesDir = "../../examples"

// runCommand runs a command line and returns its exit code and its output.
func runCommand(args ...string) (code int, out string) {
	var buf bytes.Buffer
	code = run(args, &buf, &buf)
	return code, buf.String()
}

// writeTempFile writes content to a temporary file and returns its path.
func writeTempFile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against commands that return another exit code or message than documented:
// scripts depend on the codes.
func TestExitCodes(t *testing.T) {
	ticketDir := filepath.Join(examplesDir, "cabello/tickets")
	invalid := writeTempFile(t, `{"ticket":9,"documents":{"domains":{"kind":"domains","domains":[]}}}`)
	lowTicket := writeTempFile(t, `{"ticket":1,"documents":{"domains":null}}`)
	cases := []struct {
		want int
		text string
		args []string
	}{
		{exitOK, "valid", []string{"settings", "check", filepath.Join(examplesDir, "prairie/settings/vm-01.json")}},
		{exitFinding, "id is empty", []string{"settings", "check", writeTempFile(t, `{}`)}},
		{exitFailure, "cannot read", []string{"settings", "check", "no-such-file"}},
		{exitUsage, "requires at least 1 arg", []string{"settings", "check"}},
		{exitUsage, "unknown command", []string{"settings", "chek"}},
		{exitUsage, "unknown command", []string{"nonsense"}},
		{exitUsage, "unknown flag", []string{"ticket", "check", "--nonsense", invalid}},
		{exitUsage, "at least one of the flags", []string{"ticket", "check", invalid}},
		{exitUsage, "neither table nor json", []string{"settings", "check", "--output", "xml", filepath.Join(examplesDir, "prairie/settings/vm-01.json")}},
		{exitFinding, "no failure domain gt-central-a", []string{"ticket", "check", "--current", ticketDir, invalid}},
		{exitFinding, "ticket 1 is not greater than ticket 2", []string{"ticket", "check", "--current", ticketDir, lowTicket}},
		{exitFailure, "does not return index", []string{"ticket", "plan", "--platform", "http://127.0.0.1:1", lowTicket}},
	}
	for _, c := range cases {
		if code, out := runCommand(c.args...); code != c.want || !strings.Contains(out, c.text) {
			t.Errorf("%v: got exit code %d, want %d and a text with %q; output:\n%s", c.args, code, c.want, c.text, out)
		}
	}
}

// Guards against example files that the programs refuse or whose sizes differ from the
// deployments in the design document.
func TestExamples(t *testing.T) {
	sizes := map[string]struct {
		vms, domains int
		targets      map[string]int
	}{
		"cabello": {48, 4, map[string]int{"citas": 20, "entregas": 16}},
		"prairie": {40, 3, map[string]int{"rental-desk": 20, "ledger": 12}},
	}
	for name, want := range sizes {
		index, content, err := loadDirectory(filepath.Join(examplesDir, name, "tickets"))
		if err != nil {
			t.Fatal(err)
		}
		s, err := document.Build(index, content)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Domains) != want.domains || len(s.Workspaces) != 8 {
			t.Errorf("%s: got %d failure domains and %d workspaces", name, len(s.Domains), len(s.Workspaces))
		}
		for service, n := range want.targets {
			if got := len(s.Services[service].Targets); got != n {
				t.Errorf("%s: got %d targets of %s, want %d", name, got, service, n)
			}
		}
		raw, err := os.ReadFile(filepath.Join(examplesDir, name, "vms.json"))
		if err != nil {
			t.Fatal(err)
		}
		var l member.List
		if err := json.Unmarshal(raw, &l); err != nil || l.Normalise() != nil || l.Len() != want.vms {
			t.Errorf("%s: got a list of %d VMs, error %v", name, l.Len(), err)
		}
		vm, err := settings.Load(filepath.Join(examplesDir, name, "settings/vm-01.json"))
		if err != nil {
			t.Fatal(err)
		}
		if listed, ok := l.Find(vm.ID); !ok || listed != vm.VM() {
			t.Errorf("%s: settings %+v differ from the VM list entry %+v", name, vm.VM(), listed)
		}
	}
}

// Guards against check, plan and publish commands that read different configurations
// from the same platform.
func TestTicketsAtPlatform(t *testing.T) {
	server := httptest.NewServer(platform.New(platform.Config{}))
	defer server.Close()
	ticket := func(command, file string, extraArgs ...string) (int, string) {
		return runCommand(append([]string{"ticket", command, "--platform", server.URL, file}, extraArgs...)...)
	}
	first := filepath.Join(examplesDir, "cabello/tickets/001.json")
	second := filepath.Join(examplesDir, "cabello/tickets/002.json")
	steps := []struct {
		want    int
		text    string
		command string
		file    string
	}{
		{exitFinding, `must be "service"`, "check", writeTempFile(t, `{"ticket":1,"documents":{"services/x":{}}}`)},
		{exitOK, "published", "publish", first},
		{exitOK, "published", "publish", first},
		{exitOK, "gt-central-d", "plan", second},
		{exitOK, "drained", "plan", second},
		{exitOK, "12/s burst 24 -> 24/s burst 48", "plan", second},
		{exitOK, "published", "publish", second},
		{exitFinding, "not greater", "publish", first},
	}
	for _, s := range steps {
		if code, out := ticket(s.command, s.file); code != s.want || !strings.Contains(out, s.text) {
			t.Errorf("%s %s: got exit code %d, want %d and a text with %q; output:\n%s", s.command, s.file, code, s.want, s.text, out)
		}
	}
	if code, out := ticket("publish", first, "--force"); code != exitFailure || !strings.Contains(out, "409") {
		t.Errorf("publish of a lower ticket: got exit code %d, want 1 with 409; output: %s", code, out)
	}
	code, out := ticket("plan", writeTempFile(t, `{"ticket":3,"documents":{"routes/all":null}}`), "--output", "json")
	var p document.Changes
	if err := json.Unmarshal([]byte(out), &p); code != 0 || err != nil || len(p.Routes) != 4 || p.Len() != 4 {
		t.Errorf("plan of ticket 3: got exit code %d, error %v; output: %s", code, err, out)
	}
}
