package main

import (
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/node/explain"
	"github.com/galenasail/galenasail/node/query"
)

// newExplainCommand returns the command that explains where a request would go.
func newExplainCommand() *cobra.Command {
	var flags adminFlags
	var request explain.Request
	c := &cobra.Command{
		Use:   "explain METHOD URL",
		Short: "Show where a request would go now, and why, without sending it",
		Long: `Show where a request without a body would go now if it reached one VM, and why:
its route, the rate limit of its workspace, its service, the target groups in the order
in which they would be asked, and the targets of the groups that the VM holds. Nothing is
sent to a target, and the query changes no state.`,
		Example: `  galenasail explain GET /citas/hello --workspace clinic-1 --admin 127.0.0.1:9401
  galenasail explain POST http://api.example.com/entregas --from gt-central-b --admin 127.0.0.1:9401 --output json`,
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			request.Method, request.URL = args[0], args[1]
			return printExplanation(c, &flags, request)
		},
	}
	flags.register(c)
	c.Flags().StringVar(&request.From, "from", "", "failure domain from which the request comes (default: that of the VM)")
	c.Flags().StringVar(&request.Workspace, "workspace", "", "ID of the workspace (default: a request without a key)")
	return c
}

// printExplanation prints the explanation of a VM. It returns a usage error for a request that
// no caller could send, and for any number of VMs but one.
func printExplanation(c *cobra.Command, flags *adminFlags, request explain.Request) error {
	asJSON, err := wantsJSON(c)
	if err != nil {
		return err
	}
	if _, err := query.ParseExplained(request); err != nil {
		return usageError("%v", err)
	}
	clients, err := flags.clients()
	if err != nil {
		return err
	}
	if len(clients) != 1 {
		return usageError("--admin: the view of one VM is explained, got %d addresses", len(clients))
	}
	result, err := clients[0].Explain(c.Context(), request)
	if err != nil {
		return err
	}
	if asJSON {
		return writeJSON(c.OutOrStdout(), result)
	}
	return writeExplanation(c.OutOrStdout(), result)
}
