package cell

import (
	"log/slog"
	"sync"
	"testing"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/duty"
	"github.com/galenasail/galenasail/node/peer"
)

// Guards against a data race and a nil actor when a component that started earlier
// calls Announce or AnnounceInDomain before or during Start.
func TestAnnounceBeforeStart(t *testing.T) {
	events := &events{}
	udp, err := peer.NewUDP(peer.UDPConfig{ID: "vm-00", Address: "127.0.0.1:0", Key: key, Traffic: &peer.Traffic{}})
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{
		Identity:  node.Identity{VM: member.VM{ID: "vm-00", PeerAddress: udp.Address()}, Instance: 1},
		Configs:   &configs{},
		Events:    events,
		System:    duty.NewSystem(slog.New(slog.DiscardHandler), events),
		Transport: udp,
	})
	c.Announce()
	if c.Shed() != 0 {
		t.Error("messages were counted as shed before Start")
	}
	var announcing sync.WaitGroup
	announcing.Go(func() {
		for range 1000 {
			c.AnnounceInDomain()
		}
	})
	c.Start()
	announcing.Wait()
	_ = udp.Close()
	c.Stop()
}
