package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newTicketCheckCommand() *cobra.Command {
	var current currentFlags
	c := &cobra.Command{
		Use:   "check (--current DIR | --platform URL) FILE",
		Short: "Check a ticket against the configuration in effect",
		Long: "Check the number, documents and references of a ticket as each VM does. The exit\n" +
			"code is 3 if the fleet would refuse the ticket.",
		Example: "  galenasail ticket check --current examples/cabello/tickets next.json\n" +
			"  galenasail ticket check --platform http://127.0.0.1:7700 next.json",
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
		if _, _, err = checkTicket(t, index, content); err != nil {
			return err
		}
		out := table{header: []string{"TICKET", "DOCUMENTS", "RESULT"}}
		out.add(fmt.Sprint(t.Ticket), fmt.Sprint(len(t.Documents)), "valid")
		return printResult(c, struct {
			Ticket    uint64 `json:"ticket"`
			Documents int    `json:"documents"`
			Valid     bool   `json:"valid"`
		}{t.Ticket, len(t.Documents), true}, out)
	}
	return c
}
