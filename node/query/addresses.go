// Package query serves the read-only queries of a VM: the VM addresses for callers,
// state, events, health and metrics. It never changes the state of the VM and never
// imports package command.
package query

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/idem"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/steer"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// defaultCacheTTL bounds how long callers continue to use a failure domain that was taken
// out. New work must stop within 3 s; this leaves 1 s for the configuration to reach this
// VM.
const defaultCacheTTL = 2 * time.Second

// AddressesConfig configures Addresses. Fields without a default are required.
type AddressesConfig struct {
	// Identity is this VM.
	Identity node.Identity
	// Configs provides the configuration in effect.
	Configs node.Configs
	// Contact reports which VMs are in contact, and whether this one accepts work.
	Contact node.Contact
	// CacheTTL is how long callers may cache a response. Default: 2 s.
	CacheTTL time.Duration
}

// Address is one VM that a caller may use.
type Address struct {
	// Address is host:port.
	Address string `json:"address"`
	// VM is the ID of the VM.
	VM string `json:"vm"`
	// Instance is the process instance of the VM in hexadecimal, with which idempotency
	// keys for this VM start; empty when it is not known.
	Instance string `json:"instance,omitempty"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failureDomain"`
}

// AddressesResponse is the JSON response of Addresses.
type AddressesResponse struct {
	// Addresses lists the VMs, the preferred one first.
	Addresses []Address `json:"addresses"`
	// KeepForMs is how long the response may be cached, in milliseconds.
	KeepForMs int64 `json:"keepForMs"`
}

// Addresses serves GET /galenasail/v1/addresses. It is safe for concurrent use.
type Addresses struct {
	cfg AddressesConfig
}

// NewAddresses returns a handler of address queries.
func NewAddresses(cfg AddressesConfig) *Addresses {
	if cfg.CacheTTL <= 0 {
		cfg.CacheTTL = defaultCacheTTL
	}
	return &Addresses{cfg: cfg}
}

// ServeHTTP responds with the VMs that serve the workspace of the API key.
func (a *Addresses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, err := a.response(r)
	if err != nil {
		wire.WriteError(w, fault.From(err), "")
		return
	}
	raw, err := json.Marshal(response)
	if err != nil {
		wire.WriteError(w, fault.From(err), "")
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	h.Set("Cache-Control", "no-store")
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(raw)
}

func (a *Addresses) response(r *http.Request) (*AddressesResponse, error) {
	if r.Method != http.MethodGet {
		return nil, fault.New(fault.BadRequest, "method %s is not supported here", r.Method)
	}
	if err := a.cfg.Contact.Check(); err != nil {
		return nil, err
	}
	snapshot, list := a.cfg.Configs.Snapshot(), a.cfg.Configs.List()
	if snapshot == nil || list == nil {
		return nil, fault.New(fault.NotReady, "no configuration is in force yet")
	}
	key, _ := wire.BearerKey(r.Header)
	workspace, ok := snapshot.WorkspaceByKey(key)
	if !ok {
		return nil, fault.New(fault.Unauthorized, "the key is missing or not valid")
	}
	vms := steer.Choose(workspace, a.candidates(workspace, list), snapshot.DomainIsOut)
	if len(vms) == 0 {
		return nil, fault.New(fault.NoCapacity, "no VM for workspace %s is in contact", workspace.ID)
	}
	response := &AddressesResponse{KeepForMs: a.cfg.CacheTTL.Milliseconds()}
	for _, vm := range vms {
		response.Addresses = append(response.Addresses, a.describe(vm))
	}
	return response, nil
}

// candidates returns the VMs of the workspace's cell. VMs of this VM's own cell count as
// in contact according to heartbeats. All VMs of another cell count as in contact, because
// heartbeats are exchanged only within a cell.
func (a *Addresses) candidates(w *document.Workspace, list *member.List) []steer.Candidate {
	cells := list.Cells()
	cell := member.CellOf(w.ID, cells)
	own := cell == member.CellOf(a.cfg.Identity.VM.ID, cells)
	all := make([]steer.Candidate, 0, member.DefaultCellSize)
	for _, vm := range list.VMs {
		if cells > 1 && member.CellOf(vm.ID, cells) != cell {
			continue
		}
		all = append(all, steer.Candidate{VM: vm, InContact: !own || a.cfg.Contact.InContact(vm.ID)})
	}
	return all
}

func (a *Addresses) describe(vm member.VM) Address {
	d := Address{Address: vm.Address, VM: vm.ID, FailureDomain: vm.FailureDomain}
	if vm.ID == a.cfg.Identity.VM.ID {
		d.Instance = idem.FormatInstance(a.cfg.Identity.Instance)
	} else if instance, ok := a.cfg.Contact.InstanceOf(vm.ID); ok {
		d.Instance = idem.FormatInstance(instance)
	}
	return d
}
