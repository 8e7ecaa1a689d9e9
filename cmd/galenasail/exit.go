package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	exitFinding = 3
)

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	text string
}

// Error returns the error message.
func (e *exitError) Error() string { return e.text }

// usageError returns an error for an invalid command line.
func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, text: fmt.Sprintf(format, args...)}
}

// findingError returns an error for a check that ran and found a problem.
func findingError(format string, args ...any) error {
	return &exitError{code: exitFinding, text: fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code for the error of a command, exitOK for nil.
func exitCode(err error) int {
	var coded *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &coded):
		return coded.code
	default:
		return exitFailure
	}
}

// newGroupCommand returns a command that only contains subcommands.
func newGroupCommand(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError("unknown command %q for %q", args[0], c.CommandPath())
			}
			return usageError("%q needs a subcommand, see --help", c.CommandPath())
		},
	}
	group.AddCommand(subcommands...)
	return group
}
