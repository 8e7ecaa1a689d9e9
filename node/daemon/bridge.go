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
type Bridge struct {
	// Feed reads the store in which targets register themselves, and Domains are the
	// failure domains that exist even without targets.
	Feed    mirror.StoreClient
	Domains []string
	// Dialect is spoken with callers and targets.
	Dialect *wire.Dialect
	// Repeats bounds repeated requests to each service over all VMs.
	Repeats target.RepeatBudget
	// MaxKeep bounds for how long callers may keep an address answer.
	MaxKeep time.Duration
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
	bridgedTokenWait = 100 * time.Millisecond
	// bridgedHolderWait bounds the wait while no VM holds a workspace. A takeover takes
	// until the former holder is out of contact and the heartbeats of one period have
	// granted its shards; a restarted fleet takes about as long.
	bridgedHolderWait = nearTimeout + nearInterval + 50*time.Millisecond
	// bridgedStart is how long after its start a VM holds requests until it has a
	// configuration. Together with bridgedHolderWait it covers the restart of a fleet.
	bridgedStart = time.Second
	// bridgedConns bounds the connections of one VM to one target.
	bridgedConns = 24
	// bridgedKeep is how long callers may keep an address answer.
	bridgedKeep = time.Second
	// bridgedLeave is how long a VM serves on after the signal to end: some callers
	// keep an address for three times bridgedKeep.
	bridgedLeave = 3 * bridgedKeep
	// graceMargin is the part of the grace time that is left for the exit.
	graceMargin = 400 * time.Millisecond
	// repeatMargin keeps the repeats of all VMs below their bound.
	repeatMargin = 0.9
	// repeatVMs is the number of VMs among which the reserve of repeats is divided
	// before the holders of targets count them over all VMs.
	repeatVMs = 2
)

// Naming tells a caller which VMs to use.
type Naming struct {
	// Addresses are the addresses of the VMs, none when there is no VM to name.
	Addresses []string
	// KeepFor is how long the caller may keep the answer.
	KeepFor time.Duration
}

// Naming returns the VMs that callers should use now.
func (d *Daemon) Naming() Naming {
	keep := bridgedKeep
	if d.bridge != nil && d.bridge.MaxKeep > 0 {
		keep = min(keep, d.bridge.MaxKeep)
	}
	return Naming{Addresses: d.seats.Addresses(), KeepFor: keep}
}

// retries returns the bound of one VM on the attempts beyond the first.
func (b *Bridge) retries() command.Retries {
	return command.Retries{Share: b.Repeats.Share, Reserve: b.Repeats.Reserve / repeatVMs}
}

// repeats returns the bound on repeated requests of all VMs.
func (d *Daemon) repeats() target.RepeatBudget {
	if d.bridge == nil {
		return target.RepeatBudget{}
	}
	r := d.bridge.Repeats
	return target.RepeatBudget{Share: r.Share * repeatMargin, Reserve: r.Reserve * repeatMargin}
}

// holderWait returns the longest wait while no VM holds a workspace, 0 for the
// default.
func (d *Daemon) holderWait() time.Duration {
	if d.bridge == nil {
		return 0
	}
	return bridgedHolderWait
}

// tokenWait returns the longest wait for a token, 0 for the default.
func (d *Daemon) tokenWait() time.Duration {
	if d.bridge == nil {
		return 0
	}
	return bridgedTokenWait
}
