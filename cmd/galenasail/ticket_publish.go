package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// maxErrorBytes limits how much of an error answer of the platform is printed.
const maxErrorBytes = 4096

func newTicketPublishCommand() *cobra.Command {
	var url string
	var force bool
	c := &cobra.Command{
		Use:   "publish --platform URL FILE",
		Short: "Publish a ticket at the platform stand-in",
		Long: "Check a ticket and publish it with the admin call of the platform stand-in. The exit\n" +
			"code is 3 if the check finds a problem; the ticket is not published then.",
		Example: "  galenasail ticket publish --platform http://127.0.0.1:7700 examples/cabello/tickets/001.json",
		Args:    cobra.ExactArgs(1),
	}
	c.Flags().StringVar(&url, "platform", "", "base URL of the platform stand-in")
	c.Flags().BoolVar(&force, "force", false, "publish without checking, to test how the fleet refuses an invalid ticket")
	_ = c.MarkFlagRequired("platform")
	c.RunE = func(c *cobra.Command, args []string) error {
		t, err := readTicket(args[0])
		if err != nil {
			return err
		}
		if !force {
			index, content, err := loadPlatform(c.Context(), url)
			if err != nil {
				return err
			}
			if _, _, err = checkTicket(t, index, content); err != nil {
				return err
			}
		}
		if err := publishFile(c.Context(), url, args[0]); err != nil {
			return err
		}
		out := table{header: []string{"TICKET", "RESULT"}}
		out.add(fmt.Sprint(t.Ticket), "published")
		return printResult(c, struct {
			Ticket    uint64 `json:"ticket"`
			Published bool   `json:"published"`
		}{t.Ticket, true}, out)
	}
	return c
}

// publishFile sends a ticket file to the platform stand-in. It returns an error unless
// the stand-in answers 204.
func publishFile(ctx context.Context, url, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(url, "/")+"/admin/ticket", bytes.NewReader(raw))
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "the platform at %s did not answer", url)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if res.StatusCode != http.StatusNoContent {
		return trace.Errorf("the platform refused the ticket: got %s, want 204: %s", res.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
