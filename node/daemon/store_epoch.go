package daemon

import (
	"fmt"

	"github.com/uber-go/tally/v4"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/registry"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/mirror"
)

// fleetKnown returns what this VM knows of the fleet, for the mirror of the store.
func (d *Daemon) fleetKnown() mirror.Fleet {
	return mirror.Fleet{
		Known: func() registry.Known {
			return registry.Known{
				Applied:         d.reader.Applied(),
				ContestedTicket: d.reader.ContestedTicket(),
				NewestTicket:    d.reader.NewestTicket(),
				HearsPeers:      d.reader.HearsPeers(),
			}
		},
		PeersAsked: func() bool { return d.reader.PeersAsked() },
		Silence:    d.storeOutage,
	}
}

// storeEpochs reports changes of the store epoch. It is used by one goroutine.
type storeEpochs struct {
	events node.Events
	// epoch is the metric of the store epoch of the applied configuration.
	epoch tally.Gauge
	// ticket is the ticket applied last; 0 before the first one.
	ticket uint64
}

// newStoreEpochs returns the reporter of a VM whose configuration comes from a store;
// nil where the platform service publishes it, which has no epochs.
func newStoreEpochs(a *Adapter, events node.Events, scope tally.Scope) *storeEpochs {
	if a == nil {
		return nil
	}
	return &storeEpochs{events: events, epoch: scope.Gauge("store_epoch")}
}

// observe records an applied ticket, and an event when its store epoch differs from that
// of the ticket before it.
func (s *storeEpochs) observe(ticket uint64) {
	if s == nil {
		return
	}
	former, epoch := registry.EpochOf(s.ticket), registry.EpochOf(ticket)
	s.epoch.Update(float64(epoch))
	if s.ticket != 0 && epoch != former {
		s.events.Record(event.StoreEpoch, fmt.Sprintf("store epoch %d", epoch),
			fmt.Sprintf("the store returned from an older copy, ticket %d of store epoch %d was in force", s.ticket, former))
	}
	s.ticket = ticket
}
