package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/core/document"
)

func newTicketPlanCommand() *cobra.Command {
	var current currentFlags
	c := &cobra.Command{
		Use:   "plan (--current DIR | --platform URL) FILE",
		Short: "List the changes that a ticket makes",
		Long:  "List the services, targets, workspaces, keys, rates, routes and failure domains that\na ticket changes.",
		Example: "  galenasail ticket plan --current examples/cabello/tickets next.json\n" +
			"  galenasail ticket plan --platform http://127.0.0.1:7700 --output json next.json",
		Args: cobra.ExactArgs(1),
	}
	current.add(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		t, err := readTicket(args[0])
		if err != nil {
			return err
		}
		index, content, err := current.load(c.Context())
		if err != nil {
			return err
		}
		before, after, err := checkTicket(t, index, content)
		if err != nil {
			return err
		}
		changes := document.Diff(before, after)
		return printResult(c, changes, planTable(changes))
	}
	return c
}

// planTable returns a table with one row for each change.
func planTable(p *document.Changes) table {
	out := table{header: []string{"KIND", "ACTION", "SUBJECT", "DETAIL"}}
	for _, x := range p.Domains {
		out.add("failure domain", string(x.Action), x.Domain, "")
	}
	for _, x := range p.Services {
		out.add("service", string(x.Action), x.Service, "")
	}
	for _, x := range p.Targets {
		out.add("target", string(x.Action), x.Service+"/"+x.Target, "")
	}
	for _, x := range p.Workspaces {
		out.add("workspace", string(x.Action), x.Workspace, "")
	}
	for _, x := range p.Keys {
		out.add("key", string(x.Action), x.Workspace, "digest "+x.Digest)
	}
	for _, x := range p.Rates {
		out.add("rate", "changed", x.Workspace,
			fmt.Sprintf("%g/s burst %g -> %g/s burst %g", x.OldRate, x.OldBurst, x.NewRate, x.NewBurst))
	}
	for _, x := range p.Routes {
		out.add("route", string(x.Action), x.Route, "")
	}
	return out
}
