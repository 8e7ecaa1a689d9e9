package main

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/node/platform"
)

// platformTimeout limits the time of one call to the platform.
const platformTimeout = 5 * time.Second

func newTicketCommand() *cobra.Command {
	return newGroupCommand("ticket", "Check, plan and publish change tickets",
		newTicketCheckCommand(), newTicketPlanCommand(), newTicketPublishCommand())
}

// currentFlags holds the flags that select the source of the configuration in effect.
type currentFlags struct {
	directory string
	platform  string
}

func (f *currentFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.directory, "current", "", "directory with all earlier ticket files, *.json")
	c.Flags().StringVar(&f.platform, "platform", "", "base URL of the platform service")
	c.MarkFlagsMutuallyExclusive("current", "platform")
	c.MarkFlagsOneRequired("current", "platform")
}

// load returns the index and content in effect; the index is nil before the first
// ticket. It returns an error if the source cannot be read.
func (f *currentFlags) load(ctx context.Context) (*document.Index, document.Content, error) {
	if f.platform != "" {
		return loadPlatform(ctx, f.platform)
	}
	return loadDirectory(f.directory)
}

// readTicket reads and parses a ticket file. An invalid ticket is a finding.
func readTicket(file string) (*document.TicketFile, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t, err := document.ParseTicket(raw)
	if err != nil {
		return nil, findingError("%s: %v", file, err)
	}
	return t, nil
}

// loadDirectory applies all ticket files of a directory in the order of their ticket
// numbers. Two tickets with the same number are a finding.
func loadDirectory(directory string) (*document.Index, document.Content, error) {
	if _, err := os.Stat(directory); err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	var tickets []*document.TicketFile
	for _, file := range files {
		t, err := readTicket(file)
		if err != nil {
			return nil, nil, err
		}
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b *document.TicketFile) int { return cmp.Compare(a.Ticket, b.Ticket) })
	var index *document.Index
	var content document.Content
	for _, t := range tickets {
		if index != nil && t.Ticket == index.Ticket {
			return nil, nil, findingError("%s contains two tickets with number %d", directory, t.Ticket)
		}
		index, content = t.Apply(index, content)
	}
	return index, content, nil
}

// loadPlatform reads the index and content in effect from the platform; the index is
// nil before the first ticket. It returns an error if a read fails.
func loadPlatform(ctx context.Context, url string) (*document.Index, document.Content, error) {
	source := platform.NewHTTP(url, "galenasail", nil)
	read := func(key string) (config.Value, error) {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		v := source.Read(ctx, key)
		if v.Status == config.Failed {
			return v, trace.ConnectionProblem(nil, "the platform at %s does not return %s", url, key)
		}
		return v, nil
	}
	v, err := read("index")
	if err != nil || v.Status == config.Missing {
		return nil, nil, err
	}
	index, err := document.ParseIndex(v.Raw)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	content := document.Content{}
	for _, e := range index.Documents {
		v, err := read(e.Key())
		if err != nil {
			return nil, nil, err
		}
		content[e.Name] = v.Raw
	}
	return index, content, nil
}

// checkTicket returns the configurations before and after a ticket; before is nil if
// no ticket has been published. A ticket that equals the one in effect changes
// nothing. It returns a finding if the ticket is invalid.
func checkTicket(t *document.TicketFile, index *document.Index, content document.Content) (before, after *document.Snapshot, err error) {
	if index != nil {
		if before, err = document.Build(index, content); err != nil {
			return nil, nil, findingError("the configuration in effect is invalid: %v", err)
		}
	}
	next, nextContent := t.Apply(index, content)
	if index != nil && t.Ticket == index.Ticket && document.IndexDigest(next) == document.IndexDigest(index) {
		return before, before, nil
	}
	if index != nil && t.Ticket <= index.Ticket {
		return nil, nil, findingError("ticket %d is not greater than ticket %d, which is in effect", t.Ticket, index.Ticket)
	}
	if after, err = document.Build(next, nextContent); err != nil {
		return nil, nil, findingError("%v", err)
	}
	if err := after.CheckReservedPaths(); err != nil {
		return nil, nil, findingError("%v", err)
	}
	return before, after, nil
}
