package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/cell"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/platform"
)

// Partition drops messages that one VM sends, for tests of network partitions. Methods
// are safe for concurrent use and do not block.
type Partition interface {
	// ToVM reports whether messages to the member are dropped.
	ToVM(id string) bool
	// ToPlatform reports whether reads of the platform get no response.
	ToPlatform() bool
}

// partitionedTransport drops heartbeats to blocked VMs.
type partitionedTransport struct {
	cell.Transport
	partition Partition
}

// Send implements cell.Transport. A dropped datagram is not an error.
func (t partitionedTransport) Send(to member.VM, h *contact.Heartbeat) error {
	if t.partition.ToVM(to.ID) {
		return nil
	}
	return t.Transport.Send(to, h)
}

// partitionedSource blocks reads of the platform.
type partitionedSource struct {
	platform.Source
	partition Partition
}

// Read implements platform.Source.
func (s partitionedSource) Read(ctx context.Context, key string) config.Value {
	if s.partition.ToPlatform() {
		<-ctx.Done()
		return config.Value{Status: config.Failed}
	}
	return s.Source.Read(ctx, key)
}

// Watch implements platform.Source.
func (s partitionedSource) Watch(ctx context.Context, key string, after uint64, wait time.Duration) config.Value {
	if s.partition.ToPlatform() {
		<-ctx.Done()
		return config.Value{Status: config.Failed}
	}
	return s.Source.Watch(ctx, key, after, wait)
}

// partitionedFetcher blocks calls to the peer addresses of blocked VMs.
type partitionedFetcher struct {
	platform.PeerFetcher
	daemon *Daemon
}

// FetchConfig implements platform.PeerFetcher.
func (f partitionedFetcher) FetchConfig(ctx context.Context, address string, r *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	if f.daemon.blocksAddress(address) {
		<-ctx.Done()
		return nil, trace.ConnectionProblem(ctx.Err(), "no route to %s", address)
	}
	return f.PeerFetcher.FetchConfig(ctx, address, r)
}

// blocksAddress reports whether messages to the member with the peer address are
// dropped.
func (d *Daemon) blocksAddress(address string) bool {
	list := d.reader.List()
	if list == nil {
		return false
	}
	for _, vm := range list.VMs {
		if vm.PeerAddress == address {
			return d.partition.ToVM(vm.ID)
		}
	}
	return false
}

// awaitBlocked returns nil unless messages to vm are dropped; then it returns an error
// when ctx or blockedCallTimeout ends.
func (c vmClient) awaitBlocked(ctx context.Context, vm member.VM) error {
	if c.partition == nil || !c.partition.ToVM(vm.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, blockedCallTimeout)
	defer cancel()
	<-ctx.Done()
	return trace.ConnectionProblem(ctx.Err(), "no route to %s", vm.ID)
}

// blockedCallTimeout bounds how long a call to a blocked VM takes to fail, like the
// timeout of a real call, which is 1 s plus the permitted wait in the holder's queue.
const blockedCallTimeout = 2 * time.Second
