package main

import (
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/node/settings"
)

func newSettingsCommand() *cobra.Command {
	return newGroupCommand("settings", "Work with VM settings", newSettingsCheckCommand())
}

// fileResult is the check result of one settings file.
type fileResult struct {
	File    string `json:"file"`
	Valid   bool   `json:"valid"`
	Problem string `json:"problem,omitempty"`
}

func newSettingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files",
		Long:    "Check settings files. The exit code is 3 if at least one of them is invalid.",
		Example: "  galenasail settings check examples/prairie/settings/vm-01.json\n  galenasail settings check --output json vm-*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE:    checkSettings,
	}
}

func checkSettings(c *cobra.Command, files []string) error {
	var results []fileResult
	out := table{header: []string{"FILE", "RESULT", "PROBLEM"}}
	invalid := 0
	for _, file := range files {
		result := fileResult{File: file, Valid: true}
		text := "valid"
		if _, err := settings.Load(file); err != nil {
			if !trace.IsBadParameter(err) {
				return trace.Wrap(err, "cannot read %s", file)
			}
			result.Valid, result.Problem, text = false, trace.UserMessage(err), "invalid"
			invalid++
		}
		results = append(results, result)
		out.add(file, text, result.Problem)
	}
	if err := printResult(c, results, out); err != nil {
		return err
	}
	if invalid > 0 {
		return findingError("%d of %d settings files are invalid", invalid, len(files))
	}
	return nil
}
