// Command galenasaild runs one entry VM of the fleet: it admits the requests of callers
// and forwards them to targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/galenasail/galenasail/node/daemon"
	"github.com/galenasail/galenasail/node/settings"
	"github.com/galenasail/galenasail/platform"
)

// Exit codes of the program.
const (
	exitFailure  = 1
	exitSettings = 3
)

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "galenasaild:", trace.UserMessage(err))
	if trace.IsBadParameter(err) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailure)
}

func newRootCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "galenasaild",
		Short: "Run one entry VM of a galenasail fleet",
		Long: `Run one entry VM of a galenasail fleet until SIGTERM or SIGINT.
On a signal the VM removes itself from the address responses, serves until callers have
refreshed their addresses, refuses new requests, lets running requests finish and exits,
all within 60 s. Exit code 3 means that the settings are invalid.`,
		Example:       "  galenasaild --settings vm-01.json",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return trace.Wrap(run(c.Context(), path))
		},
	}
	c.Flags().StringVar(&path, "settings", "", "path of the JSON settings file (required)")
	_ = c.MarkFlagRequired("settings")
	c.AddCommand(platform.Command())
	return c
}

// run runs the VM with the settings at path until SIGTERM or SIGINT.
func run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	daemon.ConfigureGC(s)
	logger, err := newLogger(s)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, daemon.Options{Logger: logger})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := d.Start(); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	return trace.Wrap(d.Shutdown(context.Background()))
}

// newLogger returns a logger that writes JSON lines to standard error, without
// sampling.
func newLogger(s *settings.Settings) (logr.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.Level = zap.NewAtomicLevelAt(zapcore.Level(-s.LogLevel))
	z, err := config.Build()
	if err != nil {
		return logr.Discard(), trace.Wrap(err)
	}
	return zapr.NewLogger(z).WithName("galenasaild").WithValues("vm", s.ID), nil
}
