package scenario

import (
	"sync"

	"github.com/galenasail/galenasail/node/daemon"
)

// network simulates partitions between VMs and from the platform. A partition
// between two VMs may drop messages in one direction only.
type network struct {
	mu         sync.RWMutex
	dropped    map[link]bool
	noPlatform map[string]bool // VMs whose platform reads are dropped
}

// link is one direction between two VMs.
type link struct {
	from, to string
}

func newNetwork() *network {
	return &network{dropped: map[link]bool{}, noPlatform: map[string]bool{}}
}

// outgoing returns the partitions as they apply to messages that a VM sends.
func (n *network) outgoing(id string) daemon.Partition {
	return vmPartition{n, id}
}

// dropLinks drops all messages from each VM of from to each VM of to.
func (n *network) dropLinks(from, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			n.dropped[link{f, t}] = true
		}
	}
}

// dropPlatformReads drops all platform reads of the given VMs.
func (n *network) dropPlatformReads(ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.noPlatform[id] = true
	}
}

// heal ends all partitions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.dropped)
	clear(n.noPlatform)
}

// vmPartition implements daemon.Partition for one VM.
type vmPartition struct {
	network *network
	id      string
}

// ToVM implements daemon.Partition: it reports whether messages to a VM are dropped.
func (o vmPartition) ToVM(id string) bool {
	o.network.mu.RLock()
	defer o.network.mu.RUnlock()
	return o.network.dropped[link{o.id, id}]
}

// ToPlatform implements daemon.Partition: it reports whether platform reads are
// dropped.
func (o vmPartition) ToPlatform() bool {
	o.network.mu.RLock()
	defer o.network.mu.RUnlock()
	return o.network.noPlatform[o.id]
}
