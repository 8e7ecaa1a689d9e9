// Package query is the side of a VM that only reads: the addresses that
// callers are told, state, time line and metrics. It never imports command.
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

// defaultKeepFor leaves 1 s of the 3 s within which a failure domain that was
// taken out gets no new work, for the configuration to reach this VM.
const defaultCacheTTL = 2 * time.Second

// AddressesConfig configures Addresses. Fields without a default are required.
type AddressesConfig struct {
	// Identity is this VM.
	Identity node.Identity
	// Configs gives the configuration in force.
	Configs node.Configs
	// Contact is the contact rule.
	Contact node.Contact
	// KeepFor is how long callers may cache an answer. Default: 2 s.
	CacheTTL time.Duration
}

// Address is one VM that a caller may use.
type Address struct {
	// Address is host:port.
	Address string `json:"address"`
	// VM is the identifier of the VM.
	VM string `json:"vm"`
	// Instance is the prefix of idempotency keys for this VM, in hexadecimal;
	// empty when it is not known.
	Instance string `json:"instance,omitempty"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failureDomain"`
}

// AddressesAnswer is the JSON answer of Addresses.
type AddressesResponse struct {
	// Addresses lists the VMs, the preferred one first.
	Addresses []Address `json:"addresses"`
	// KeepForMs is how long the answer may be cached, in milliseconds.
	KeepForMs int64 `json:"keepForMs"`
}

// Addresses serves GET /galenasail/v1/addresses. It is safe for concurrent use.
type Addresses struct {
	cfg AddressesConfig
}

// NewAddresses returns the handler.
func NewAddresses(cfg AddressesConfig) *Addresses {
	if cfg.CacheTTL <= 0 {
		cfg.CacheTTL = defaultCacheTTL
	}
	return &Addresses{cfg: cfg}
}

// ServeHTTP answers with the VMs for the workspace of the key.
func (a *Addresses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := a.answer(r)
	if err != nil {
		wire.WriteError(w, fault.Of(err), "")
		return
	}
	raw, err := json.Marshal(answer)
	if err != nil {
		wire.WriteError(w, fault.Of(err), "")
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	h.Set("Cache-Control", "no-store")
	// A caller that went away cannot be told anything.
	_, _ = w.Write(raw)
}

func (a *Addresses) answer(r *http.Request) (*AddressesResponse, error) {
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
	key, _ := wire.Key(r.Header)
	workspace, ok := snapshot.WorkspaceByKey(key)
	if !ok {
		return nil, fault.New(fault.Unauthorized, "the key is missing or not valid")
	}
	vms := steer.Choose(workspace, a.candidates(workspace, list), snapshot.DomainIsOut)
	if len(vms) == 0 {
		return nil, fault.New(fault.NoCapacity, "no VM for workspace %s is in contact", workspace.ID)
	}
	answer := &AddressesResponse{KeepForMs: a.cfg.CacheTTL.Milliseconds()}
	for _, vm := range vms {
		answer.Addresses = append(answer.Addresses, a.describe(vm))
	}
	return answer, nil
}

// candidates returns the VMs of the workspace's cell. This VM exchanges
// heartbeats with its own cell only; for another cell the VM list decides.
func (a *Addresses) candidates(w *document.Workspace, list *member.List) []steer.Candidate {
	cells := list.Cells()
	cell := member.CellOf(w.ID, cells)
	own := cell == member.CellOf(a.cfg.Identity.VM.ID, cells)
	all := make([]steer.Candidate, 0, member.CellSize)
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
