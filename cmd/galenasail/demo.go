package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/cmd/internal/scenario"
)

// newDemoCommand returns the command that runs a fleet, targets and callers in one
// process.
func newDemoCommand() *cobra.Command {
	var name, report string
	options := scenario.Options{Logger: logr.Discard()}
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet with faults in one process and print what callers saw",
		Long: `Run a platform stand-in, VMs, stand-in targets and callers in one process, with real
HTTP on loopback between them. Targets turn gray, a workspace exceeds its rate, a key
is revoked, a failure domain is taken out and put back, VMs crash and stop, a request
crashes its targets and the platform becomes unavailable; each step prints what
callers saw.`,
		Example: `  galenasail demo
  galenasail demo --vms 48 --deployment prairie-beacon --report figures.json
  galenasail demo --vms 48 --baseline
  galenasail demo --vms 12 --chaos 2m --seed 7`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := findDeployment(name)
			if err != nil {
				return trace.Wrap(err)
			}
			options.Deployment = d
			result, err := scenario.Run(c.Context(), options, c.OutOrStdout())
			if result == nil {
				return trace.Wrap(err)
			}
			return trace.NewAggregate(err, writeReport(report, result))
		},
	}
	c.Flags().StringVar(&name, "deployment", "cabello-digno", "cabello-digno or prairie-beacon")
	c.Flags().IntVar(&options.VMs, "vms", 8, "number of VMs, 3 to 64")
	c.Flags().BoolVar(&options.Baseline, "baseline", false, "run the uncoordinated policy for comparison")
	c.Flags().Float64Var(&options.LoadFactor, "load", 0.8, "share of its rate at which each workspace sends")
	c.Flags().DurationVar(&options.MedianServiceTime, "service-time", 60*time.Millisecond, "median service time of a target")
	c.Flags().StringSliceVar(&options.Steps, "steps", nil, "steps to run, out of "+strings.Join(scenario.StepNames(), ", ")+"; default all")
	c.Flags().DurationVar(&options.Chaos.Length, "chaos", 0, "inject random faults for this time instead of the steps")
	c.Flags().Uint64Var(&options.Chaos.Seed, "seed", 1, "seed of the random faults")
	c.Flags().StringVar(&report, "report", "", "file to write the figures to, as JSON")
	return c
}

// writeReport writes the figures as JSON to path; an empty path means no report.
func writeReport(path string, result *scenario.Result) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(raw, '\n'), fileMode))
}
