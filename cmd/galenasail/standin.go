package main

import "github.com/spf13/cobra"

func newStandinCommand() *cobra.Command {
	return newGroupCommand("standin", "Run stand-ins for external systems", newStandinPlatformCommand(), newStandinTargetCommand())
}
