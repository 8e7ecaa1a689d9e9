package main

import (
	"context"
	"fmt"
	"net"
	"os/signal"
	"strconv"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/cmd/internal/standin/target"
)

// standinTargetFlags holds the flags of the command standin target.
type standinTargetFlags struct {
	firstAddress string
	count        int
	prefix       string
	config       target.Config
}

// newStandinTargetCommand returns the command that runs stand-in targets on
// consecutive loopback ports.
func newStandinTargetCommand() *cobra.Command {
	var s standinTargetFlags
	c := &cobra.Command{
		Use:   "target",
		Short: "Run stand-in targets on consecutive ports",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return s.run(ctx)
		},
	}
	f := c.Flags()
	f.StringVar(&s.firstAddress, "listen", "127.0.0.1:7001", "address of the first target; must be a loopback address")
	f.IntVar(&s.count, "count", 1, "number of targets")
	f.StringVar(&s.prefix, "prefix", "target", "prefix of the target IDs")
	f.IntVar(&s.config.Slots, "slots", 3, "number of requests that run at the same time")
	f.IntVar(&s.config.Queue, "queue", 8, "number of requests that may wait for a slot")
	f.DurationVar(&s.config.MedianServiceTime, "median", 0, "median service time (default 20ms)")
	f.Float64Var(&s.config.Sigma, "sigma", 0.4, "standard deviation of the logarithm of the service time")
	f.IntVar(&s.config.ColdSlots, "cold-slots", 1, "number of requests that a cold target can run at the same time")
	f.DurationVar(&s.config.ColdRamp, "cold-ramp", 0, "time until a cold target can use all slots; 0 for no cold start")
	f.StringSliceVar(&s.config.Keys, "key", nil, "workspace key that must not reach a target")
	f.Uint64Var(&s.config.Seed, "seed", 1, "seed of the first target; each further target uses the next number")
	return c
}

// run serves all targets until ctx ends or one of them fails.
func (s *standinTargetFlags) run(parent context.Context) error {
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	var serving sync.WaitGroup
	for i, l := range listeners {
		c := s.config
		c.ID = fmt.Sprintf("%s-%02d", s.prefix, i+1)
		c.Seed += uint64(i)
		t := target.New(c)
		serving.Go(func() {
			if err := t.Serve(ctx, l); err != nil {
				cancel(fmt.Errorf("%s: %w", c.ID, err))
			}
		})
		fmt.Println(c.ID, l.Addr())
	}
	serving.Wait()
	if parent.Err() != nil {
		return nil
	}
	return context.Cause(ctx)
}

// listen opens all ports, so that no target serves if one of them cannot be opened.
func (s *standinTargetFlags) listen() ([]net.Listener, error) {
	host, portText, err := net.SplitHostPort(s.firstAddress)
	if err != nil {
		return nil, err
	}
	firstPort, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("port %q: %w", portText, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s is not a loopback address", host)
	}
	var listeners []net.Listener
	for i := range s.count {
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(firstPort+i)))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}
