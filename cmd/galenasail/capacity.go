package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/cmd/internal/capacity"
)

// newCapacityCommand returns the command that computes the capacity table from
// benchmark output.
func newCapacityCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "capacity",
		Short: "Compute the load of one VM at the design size from benchmark output",
		Long: `Read the output of go test -bench from standard input and print the load of one VM
in a fleet of 2,800 VMs and its ratio to the limit. docs/capacity.sh runs all benchmarks.`,
		Example: "  docs/capacity.sh",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			metrics, err := capacity.Parse(c.InOrStdin())
			if err != nil {
				return err
			}
			rows, missing := capacity.Table(metrics)
			if len(missing) > 0 {
				return findingError("the benchmark output lacks the metrics %q", missing)
			}
			if err := capacity.Write(c.OutOrStdout(), rows); err != nil {
				return fmt.Errorf("writing the capacity table: %w", err)
			}
			return nil
		},
	}
}
