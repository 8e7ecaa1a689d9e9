package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/node/settings"
)

// Permissions of written directories and files. Settings contain the shared key, so
// only their owner may read them.
const (
	directoryMode = 0o755
	settingsMode  = 0o600
	fileMode      = 0o644
)

// exampleFlags holds the flags of the example command.
type exampleFlags struct {
	deployment string
	vms        int
	out        string
	platform   string
	sharedKey  string
}

// newExampleCommand returns the command that writes the files of a complete fleet
// on loopback.
func newExampleCommand() *cobra.Command {
	var flags exampleFlags
	c := &cobra.Command{
		Use:   "example",
		Short: "Write the settings, VM list and first ticket of a fleet on loopback",
		Long: `Write settings for each VM (settings/vm-NN.json), the VM list (vms.json) and the
first ticket (ticket-1.json) of a fleet on loopback. VM number NN listens for
callers on port 9000+NN, for peers on 9200+NN and for operators on 9400+NN; targets
listen from port 9601. The key of workspace W is "key-of-W".`,
		Example: `  galenasail example --out run
  galenasail example --deployment prairie-beacon --vms 40 --out run`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := writeExample(flags); err != nil {
				return trace.Wrap(err)
			}
			fmt.Fprintf(c.OutOrStdout(), "wrote %d settings files, vms.json and ticket-1.json to %s\n", flags.vms, flags.out)
			return nil
		},
	}
	c.Flags().StringVar(&flags.deployment, "deployment", "cabello-digno", "cabello-digno or prairie-beacon")
	c.Flags().IntVar(&flags.vms, "vms", 48, "number of VMs, 1 to 64")
	c.Flags().StringVar(&flags.out, "out", "run", "directory to write to")
	c.Flags().StringVar(&flags.platform, "platform", "http://127.0.0.1:9100", "base URL of the platform")
	c.Flags().StringVar(&flags.sharedKey, "shared-key", "replace-this-key-before-real-use-0123456789", "shared key of the VMs, at least 32 bytes")
	return c
}

// exampleMemoryMB is the memory of the smallest machine in the users' deployments.
const exampleMemoryMB = 184

// maxExampleVMs keeps the port ranges of the example from overlapping.
const maxExampleVMs = 64

// findDeployment returns the built-in deployment with the given name.
func findDeployment(name string) (deployment.Deployment, error) {
	for _, d := range []deployment.Deployment{deployment.CabelloDigno(), deployment.PrairieBeacon()} {
		if d.Name == name {
			return d, nil
		}
	}
	return deployment.Deployment{}, usageError("deployment %q is neither cabello-digno nor prairie-beacon", name)
}

// writeExample writes the settings of each VM, the VM list and the first ticket.
func writeExample(flags exampleFlags) error {
	d, err := findDeployment(flags.deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	if flags.vms < 1 || flags.vms > maxExampleVMs {
		return usageError("--vms %d is out of range 1 to %d", flags.vms, maxExampleVMs)
	}
	if err := os.MkdirAll(filepath.Join(flags.out, "settings"), directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	ports := deployment.DefaultPorts()
	list := d.VMList(flags.vms, ports)
	for i, vm := range list.VMs {
		s := &settings.Settings{
			ID: vm.ID, Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: ports.AdminAddress(i),
			FailureDomain: vm.FailureDomain, PlatformURL: flags.platform, SharedKey: flags.sharedKey,
			Seeds:    []string{list.VMs[(i+1)%len(list.VMs)].PeerAddress},
			MemoryMB: exampleMemoryMB,
		}
		if err := s.Check(); err != nil {
			return trace.Wrap(err)
		}
		if err := writeFile(filepath.Join(flags.out, "settings", vm.ID+".json"), s, settingsMode); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := writeFile(filepath.Join(flags.out, "vms.json"), list, fileMode); err != nil {
		return trace.Wrap(err)
	}
	ticket, err := firstTicket(d, ports)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeFile(filepath.Join(flags.out, "ticket-1.json"), ticket, fileMode))
}

// firstTicket returns ticket 1 with all documents of the deployment.
func firstTicket(d deployment.Deployment, ports deployment.Ports) (*document.TicketFile, error) {
	t := &document.TicketFile{Ticket: 1, Documents: map[string]json.RawMessage{}}
	for _, named := range d.Documents(ports) {
		raw, err := json.Marshal(named.Document)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		t.Documents[named.Name] = raw
	}
	return t, nil
}

// writeFile writes v as indented JSON.
func writeFile(path string, v any, mode os.FileMode) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, append(raw, '\n'), mode))
}
