package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/cmd/internal/adminclient"
	"github.com/galenasail/galenasail/cmd/internal/timeline"
	"github.com/galenasail/galenasail/node/query"
)

// adminFlags holds the flag that selects the VMs to query.
type adminFlags struct {
	addresses []string
}

func (f *adminFlags) register(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.addresses, "admin", nil, "admin addresses, host:port or host:first-last (required)")
}

func (f *adminFlags) clients() ([]*adminclient.Client, error) {
	addresses, err := adminclient.ParseAddresses(f.addresses)
	if err != nil {
		return nil, usageError("--admin: %v", err)
	}
	clients := make([]*adminclient.Client, 0, len(addresses))
	for _, a := range addresses {
		clients = append(clients, adminclient.New(a))
	}
	return clients, nil
}

// newStateCommand returns the command that shows the state of VMs.
func newStateCommand() *cobra.Command {
	var flags adminFlags
	c := &cobra.Command{
		Use:   "state",
		Short: "Show the configuration, leases, targets and refusals of VMs",
		Example: `  galenasail state --admin 127.0.0.1:9401
  galenasail state --admin 127.0.0.1:9401-9448 --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			clients, err := flags.clients()
			if err != nil {
				return err
			}
			asJSON, err := wantsJSON(c)
			if err != nil {
				return err
			}
			return printStates(c.Context(), c.OutOrStdout(), clients, asJSON)
		},
	}
	flags.register(c)
	return c
}

// printStates prints the states of the VMs that answer. It returns an error if a VM
// does not answer.
func printStates(ctx context.Context, w io.Writer, clients []*adminclient.Client, asJSON bool) error {
	var states []query.State
	var failures []error
	for _, client := range clients {
		s, err := client.State(ctx)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		states = append(states, s)
	}
	if asJSON {
		if err := writeJSON(w, states); err != nil {
			return trace.Wrap(err)
		}
		return trace.NewAggregate(failures...)
	}
	writeStateTables(w, states)
	return trace.NewAggregate(failures...)
}

func writeStateTables(w io.Writer, states []query.State) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "VM\tACCEPTING\tTICKET\tLIST\tIN CONTACT\tLEASES\tRUNNING\tVIOLATIONS\tREASON")
	for _, s := range states {
		fmt.Fprintf(tw, "%s\t%t\t%d\t%d\t%d/%d\t%d\t%d\t%d\t%s\n", s.VM.ID, s.Accepting, s.Ticket, s.ListVersion,
			countPeersInContact(s), len(s.Peers), countExclusiveLeases(s), s.Running, s.Violations, s.Reason)
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "HOLDER\tGROUP\tTARGET\tSTATUS\tIN USE\tLIMIT\tREASON")
	for _, s := range states {
		for _, t := range s.Targets {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", s.VM.ID, t.Group, t.ID, t.Status, t.InUse, t.Limit, t.Reason)
		}
	}
	fmt.Fprintln(tw)
	fmt.Fprintln(tw, "VM\tWORKSPACE\tADMITTED\tREFUSED")
	for _, s := range states {
		for _, ws := range s.Workspaces {
			fmt.Fprintf(tw, "%s\t%s\t%d\t%s\n", s.VM.ID, ws.ID, ws.Admitted, formatRefusals(ws))
		}
	}
	_ = tw.Flush()
}

func countPeersInContact(s query.State) int {
	n := 0
	for _, p := range s.Peers {
		if p.InContact {
			n++
		}
	}
	return n
}

func countExclusiveLeases(s query.State) int {
	n := 0
	for _, l := range s.Leases {
		if l.Exclusive {
			n++
		}
	}
	return n
}

func formatRefusals(ws query.WorkspaceState) string {
	text := ""
	for _, r := range ws.Refused {
		text += fmt.Sprintf("%s=%d ", r.Kind, r.Count)
	}
	return text
}

// newTimelineCommand returns the command that merges the events of VMs.
func newTimelineCommand() *cobra.Command {
	var flags adminFlags
	var filter timeline.Filter
	c := &cobra.Command{
		Use:   "timeline",
		Short: "Merge the events of VMs into one ordered timeline",
		Long: `Merge the events of VMs into one timeline on the clock of this machine.
Column OFFSET MS shows by how much each VM's clock is ahead and the uncertainty of
that offset; the order of events of two VMs that are closer together than the
uncertainty is unknown.`,
		Example: `  galenasail timeline --admin 127.0.0.1:9401-9448
  galenasail timeline --admin 127.0.0.1:9401-9448 --kind target_ejected,target_returned
  galenasail timeline --admin 127.0.0.1:9401-9448 --subject citas-03 --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return printTimeline(c, &flags, filter)
		},
	}
	flags.register(c)
	c.Flags().StringVar(&filter.Subject, "subject", "", "show only events whose subject or detail contains this text")
	c.Flags().StringSliceVar(&filter.Kinds, "kind", nil, "show only events of these kinds")
	return c
}

// newRequestCommand returns the command that shows the events of one request on all
// VMs.
func newRequestCommand() *cobra.Command {
	var flags adminFlags
	c := &cobra.Command{
		Use:   "request ID",
		Short: "Show the events of one request by its Galenasail-Request-Id",
		Long: `Show the events of one request on all VMs, given the value of Galenasail-Request-Id
in its answer. Only requests that failed, were refused or were retried are recorded.`,
		Example: `  galenasail request 3f2a-17 --admin 127.0.0.1:9401-9448`,
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return printTimeline(c, &flags, timeline.Filter{Subject: args[0]})
		},
	}
	flags.register(c)
	return c
}

// printTimeline prints the filtered events of the VMs that answer. It returns an error
// if a VM does not answer.
func printTimeline(c *cobra.Command, flags *adminFlags, filter timeline.Filter) error {
	asJSON, err := wantsJSON(c)
	if err != nil {
		return err
	}
	clients, err := flags.clients()
	if err != nil {
		return err
	}
	var samples []adminclient.Sample
	var failures []error
	for _, client := range clients {
		s, err := client.Events(c.Context(), 0)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		samples = append(samples, s)
	}
	rows := timeline.Select(timeline.Merge(samples), filter)
	if asJSON {
		err = writeJSON(c.OutOrStdout(), rows)
	} else {
		err = timeline.WriteTable(c.OutOrStdout(), rows)
	}
	return trace.NewAggregate(append(failures, err)...)
}
