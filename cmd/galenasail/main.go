// Command galenasail checks and publishes configuration, shows the state and events of
// a running fleet, and runs demos and stand-ins.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	started := false
	recordStart(root, &started)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(stderr, "galenasail:", err)
	}
	if err != nil && !started {
		return exitUsage
	}
	return exitCode(err)
}

// recordStart wraps the commands so that started is set when one of them begins to
// run. An error that occurs earlier is one of the arguments or flags.
func recordStart(command *cobra.Command, started *bool) {
	if runE := command.RunE; runE != nil {
		command.RunE = func(c *cobra.Command, args []string) error {
			*started = true
			return runE(c, args)
		}
	}
	for _, sub := range command.Commands() {
		recordStart(sub, started)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "galenasail",
		Short:         "Check and publish configuration and inspect a galenasail fleet",
		Long:          "Exit codes: 0 success, 1 failure, 2 invalid command line, 3 a check found a problem.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	addOutputFlag(root)
	root.AddCommand(
		newSettingsCommand(),
		newTicketCommand(),
		newKeyCommand(),
		newStateCommand(),
		newTimelineCommand(),
		newRequestCommand(),
		newExplainCommand(),
		newDemoCommand(),
		newExampleCommand(),
		newCapacityCommand(),
		newStandinCommand(),
	)
	return root
}
