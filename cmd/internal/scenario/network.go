package scenario

import (
	"sync"

	"github.com/galenasail/galenasail/node/daemon"
)

// network holds the cuts between VMs and to the platform. A cut has a direction.
type network struct {
	mu         sync.RWMutex
	dropped    map[link]bool
	noPlatform map[string]bool
}

// link is the direction from one VM to another.
type link struct {
	from, to string
}

func newNetwork() *network {
	return &network{dropped: map[link]bool{}, noPlatform: map[string]bool{}}
}

// outgoing returns the cuts of the messages that a VM sends.
func (n *network) outgoing(id string) daemon.Cuts {
	return vmCuts{n, id}
}

// dropLinks loses all messages from each of from to each of to.
func (n *network) dropLinks(from, to []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			n.dropped[link{f, t}] = true
		}
	}
}

// dropPlatformReads loses the reads of the given VMs.
func (n *network) dropPlatformReads(ids []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.noPlatform[id] = true
	}
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.dropped)
	clear(n.noPlatform)
}

// vmCuts implements daemon.Cuts for one VM.
type vmCuts struct {
	network *network
	id      string
}

// ToVM implements daemon.Cuts.
func (o vmCuts) ToVM(id string) bool {
	o.network.mu.RLock()
	defer o.network.mu.RUnlock()
	return o.network.dropped[link{o.id, id}]
}

// ToPlatform implements daemon.Cuts.
func (o vmCuts) ToPlatform() bool {
	o.network.mu.RLock()
	defer o.network.mu.RUnlock()
	return o.network.noPlatform[o.id]
}
