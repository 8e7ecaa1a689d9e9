package daemon

import (
	"net/http"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/command"
	"github.com/galenasail/galenasail/node/mirror"
	"github.com/galenasail/galenasail/node/wire"
)

// Adapter connects a VM to a platform other than the product's own and holds the bounds
// that this platform sets.
type Adapter struct {
	// StoreClient reads the store in which targets register themselves.
	StoreClient mirror.StoreClient
	// Domains lists the failure domains that exist even without targets.
	Domains []string
	// Dialect defines the headers and response rules towards callers and targets.
	Dialect *wire.Dialect
	// FleetRetryBudget is the budget of retries to each service over all VMs.
	FleetRetryBudget target.FleetRetryBudget
	// MaxAddressTTL bounds how long callers may cache an address response; 0 is no bound.
	MaxAddressTTL time.Duration
	// Grace is the time from the termination signal until the process is killed.
	Grace time.Duration
	// Servers returns additional servers that the VM runs.
	Servers func(d *Daemon) []Server
}

// Server is an additional HTTP server of a VM.
type Server struct {
	// Name is used in log lines.
	Name string
	// Address is the listen address, host:port.
	Address string
	// Handler serves the requests.
	Handler http.Handler
}

// Times and limits of a VM with an adapter.
const (
	// adapterTokenWait bounds the wait for a token: a request above its workspace's rate
	// is refused early enough for the caller to retry within its deadline.
	adapterTokenWait = 100 * time.Millisecond
	// adapterHolderWait bounds the wait while no VM holds the shard of a workspace. A
	// takeover lasts until the previous holder is out of contact and the heartbeats of
	// one interval have granted its shards; a restart of the fleet takes about as long.
	adapterHolderWait = fastTimeout + fastInterval + 50*time.Millisecond
	// adapterStartWait is how long a newly started VM queues requests while it has no
	// configuration. Together with adapterHolderWait it covers a restart of the fleet.
	adapterStartWait = time.Second
	// adapterConnsPerTarget bounds the connections of one VM to one target.
	adapterConnsPerTarget = 24
	// adapterAddressTTL is how long callers may cache an address response.
	adapterAddressTTL = time.Second
	// adapterLeaveWait is how long a VM continues to serve after the termination signal:
	// some callers cache an address for three times adapterAddressTTL.
	adapterLeaveWait = 3 * adapterAddressTTL
	// graceMargin is the part of the grace period that is reserved for the exit.
	graceMargin = 400 * time.Millisecond
	// retryMargin keeps the retries of all VMs below the platform's bound.
	retryMargin = 0.9
	// retryVMs is the number of VMs among which the constant part of the retry budget is
	// divided, at least and for each failure domain whose callers get VMs of their own. This
	// local bound applies before the holders of the target groups enforce the fleet-wide one.
	retryVMs = 2
)

// AddressResponse is the response to a caller that asks which VMs to use.
type AddressResponse struct {
	// Addresses lists the addresses of the VMs; empty when no VM is known to be usable.
	Addresses []string
	// TTL is how long the caller may cache the response.
	TTL time.Duration
}

// AddressResponse returns the VMs that callers should use now. Domain is the failure domain of
// the caller, empty when it is not known.
func (d *Daemon) AddressResponse(domain string) AddressResponse {
	ttl := adapterAddressTTL
	if d.adapter != nil && d.adapter.MaxAddressTTL > 0 {
		ttl = min(ttl, d.adapter.MaxAddressTTL)
	}
	return AddressResponse{Addresses: d.holderAddresses.Addresses(d.localDomain(domain)), TTL: ttl}
}

// localDomain returns the failure domain in which callers of a domain should stay; empty when
// they may use all VMs.
func (d *Daemon) localDomain(domain string) string {
	if slices.Contains(d.settings.LocalDomains, domain) {
		return domain
	}
	return ""
}

// vmRetryBudget returns the retry budget of a single VM, where the callers of each of
// localDomains failure domains get VMs of their own.
func (a *Adapter) vmRetryBudget(localDomains int) command.VMRetryBudget {
	vms := float64(retryVMs * max(1, localDomains))
	return command.VMRetryBudget{Ratio: a.FleetRetryBudget.Share, Reserve: a.FleetRetryBudget.Reserve / vms}
}

// fleetRetryBudget returns the fleet-wide retry budget, reduced by the safety margin.
func (d *Daemon) fleetRetryBudget() target.FleetRetryBudget {
	if d.adapter == nil {
		return target.FleetRetryBudget{}
	}
	r := d.adapter.FleetRetryBudget
	return target.FleetRetryBudget{Share: r.Share * retryMargin, Reserve: r.Reserve * retryMargin}
}

// holderWait returns the longest wait while no VM holds the shard of a workspace; 0
// selects the default.
func (d *Daemon) holderWait() time.Duration {
	if d.adapter == nil {
		return 0
	}
	return adapterHolderWait
}

// tokenWait returns the longest wait for a token; 0 selects the default.
func (d *Daemon) tokenWait() time.Duration {
	if d.adapter == nil {
		return 0
	}
	return adapterTokenWait
}

// dialect returns the dialect of the adapter; nil selects the default.
func (d *Daemon) dialect() *wire.Dialect {
	if d.adapter == nil {
		return nil
	}
	return d.adapter.Dialect
}
