package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/core/member"
)

// headerTimeout limits the time for reading a request header.
const headerTimeout = 5 * time.Second

func newStandinPlatformCommand() *cobra.Command {
	var listen, vms string
	var tickets []string
	var reads int
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform service",
		Long: "Serve the platform protocol and the admin calls /admin/ticket, /admin/vms,\n" +
			"/admin/absence, /admin/stale and /admin/reads until SIGINT or SIGTERM.",
		Example: "  galenasail standin platform --listen 127.0.0.1:7700 --vms examples/cabello/vms.json \\\n" +
			"      --ticket examples/cabello/tickets/001.json",
		Args: cobra.NoArgs,
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:7700", "address to listen on")
	c.Flags().StringVar(&vms, "vms", "", "file with the initial VM list")
	c.Flags().StringArrayVar(&tickets, "ticket", nil, "ticket file to publish at startup; can be repeated")
	c.Flags().IntVar(&reads, "reads-per-second", platform.DefaultReadsPerSecond, "total limit of reads per second for all readers")
	c.RunE = func(c *cobra.Command, _ []string) error {
		server := platform.New(platform.Config{ReadsPerSecond: reads})
		if err := publishInitial(server, vms, tickets); err != nil {
			return err
		}
		return servePlatform(c, server, listen)
	}
	return c
}

// publishInitial publishes the VM list and the tickets that the flags name.
func publishInitial(server *platform.Server, vms string, tickets []string) error {
	if vms != "" {
		raw, err := os.ReadFile(vms)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		var l member.List
		if err := json.Unmarshal(raw, &l); err != nil {
			return trace.BadParameter("%s: %v", vms, err)
		}
		if err := server.SetList(&l, 0); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, file := range tickets {
		t, err := readTicket(file)
		if err != nil {
			return err
		}
		if err := server.Publish(t); err != nil {
			return trace.Wrap(err, "%s", file)
		}
	}
	return nil
}

// servePlatform serves the stand-in until SIGINT, SIGTERM or the end of the command's
// context.
func servePlatform(c *cobra.Command, handler http.Handler, listen string) error {
	parent := c.Context()
	if parent == nil {
		parent = context.Background()
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(c.OutOrStdout(), "serving the platform protocol at http://%s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}
