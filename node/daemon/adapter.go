package daemon

import (
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/command"
	"github.com/galenasail/galenasail/node/mirror"
	"github.com/galenasail/galenasail/node/wire"
)

// Bridge is how a VM speaks with surroundings that are not the product's own, and
// the bounds that these set.
type Adapter struct {
	// Feed reads the store in which targets register themselves, and Domains are the
	// failure domains that exist even without targets.
	Feed    mirror.Feed
	Domains []string
	// Dialect is spoken with callers and targets.
	Dialect *wire.Dialect
	// Repeats bounds repeated requests to each service over all VMs.
	RetryBudget target.Repeats
	// MaxKeep bounds for how long callers may keep an address answer.
	MaxAddressTTL time.Duration
	// Grace is the time from the signal to end until the process is killed.
	Grace time.Duration
	// Servers returns further servers of the VM.
	Servers func(d *Daemon) []Server
}

// Server is one listener of a VM.
type Server struct {
	Name    string
	Address string
	Handler http.Handler
}

// Times and limits of a VM with a bridge.
const (
	// bridgedTokenWait bounds the wait for a token: a request above its workspace's
	// rate is refused while there is time to come back.
	adapterTokenWait = 100 * time.Millisecond
	// bridgedHolderWait bounds the wait while no VM holds a workspace. A takeover takes
	// until the former holder is out of contact and the heartbeats of one period have
	// granted its shards; a restarted fleet takes about as long.
	adapterHolderWait = fastTimeout + fastInterval + 50*time.Millisecond
	// bridgedStart is how long after its start a VM holds requests until it has a
	// configuration. Together with bridgedHolderWait it covers the restart of a fleet.
	adapterStartWait = time.Second
	// bridgedConns bounds the connections of one VM to one target.
	adapterConnsPerTarget = 24
	// bridgedKeep is how long callers may keep an address answer.
	adapterAddressTTL = time.Second
	// bridgedLeave is how long a VM serves on after the signal to end: some callers
	// keep an address for three times bridgedKeep.
	adapterLeaveWait = 3 * adapterAddressTTL
	// graceMargin is the part of the grace time that is left for the exit.
	graceMargin = 400 * time.Millisecond
	// repeatMargin keeps the repeats of all VMs below their bound.
	retryMargin = 0.9
	// repeatVMs is the number of VMs among which the reserve of repeats is divided
	// before the holders of targets count them over all VMs.
	retryVMs = 2
)

// Naming tells a caller which VMs to use.
type AddressAnswer struct {
	// Addresses are the addresses of the VMs, none when there is no VM to name.
	Addresses []string
	// KeepFor is how long the caller may keep the answer.
	TTL time.Duration
}

// Naming returns the VMs that callers should use now.
func (d *Daemon) AddressAnswer() AddressAnswer {
	ttl := adapterAddressTTL
	if d.adapter != nil && d.adapter.MaxAddressTTL > 0 {
		ttl = min(ttl, d.adapter.MaxAddressTTL)
	}
	return AddressAnswer{Addresses: d.holderAddresses.Addresses(), TTL: ttl}
}

// retries returns the bound of one VM on the attempts beyond the first.
func (b *Adapter) vmRetries() command.Retries {
	return command.Retries{Share: b.RetryBudget.Share, Reserve: b.RetryBudget.Reserve / retryVMs}
}

// repeats returns the bound on repeated requests of all VMs.
func (d *Daemon) retryBudget() target.Repeats {
	if d.adapter == nil {
		return target.Repeats{}
	}
	r := d.adapter.RetryBudget
	return target.Repeats{Share: r.Share * retryMargin, Reserve: r.Reserve * retryMargin}
}

// holderWait returns the longest wait while no VM holds a workspace, 0 for the
// default.
func (d *Daemon) holderWait() time.Duration {
	if d.adapter == nil {
		return 0
	}
	return adapterHolderWait
}

// tokenWait returns the longest wait for a token, 0 for the default.
func (d *Daemon) tokenWait() time.Duration {
	if d.adapter == nil {
		return 0
	}
	return adapterTokenWait
}
