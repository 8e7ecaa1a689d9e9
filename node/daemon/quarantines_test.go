package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/poison"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/command"
	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/platform"
)

// noEvents drops all events.
type noEvents struct{}

func (noEvents) Record(event.Kind, string, string)       {}
func (noEvents) Violated(invariant.Name, string, string) {}

// noList is a configuration source before the first list.
type noList struct{ node.Configs }

func (noList) List() *member.List { return nil }

// peerWithQuarantines is a peer whose responses carry n quarantines.
type peerWithQuarantines int

func (n peerWithQuarantines) FetchConfig(context.Context, string, *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	var all []poison.Announcement
	for i := range n {
		all = append(all, poison.Announcement{Fingerprint: uint64(i + 1), Round: 1, Remaining: time.Minute})
	}
	return &peerv1.FetchConfigResponse{Quarantines: peer.EncodeQuarantines(all)}, nil
}

// Guards against a VM that learns quarantines without bound from a response, against one that
// sends them so, and against a bound that is off by one.
func TestFetchedQuarantinesAreBounded(t *testing.T) {
	for _, c := range []struct{ sent, want int }{
		{maxFetchedQuarantines - 1, maxFetchedQuarantines - 1},
		{maxFetchedQuarantines, maxFetchedQuarantines},
		{maxFetchedQuarantines + 1, maxFetchedQuarantines},
	} {
		d := &Daemon{handler: command.New(command.Config{Events: noEvents{}, Configs: noList{}}), reader: platform.New(platform.Config{})}
		fetcher := quarantineFetcher{PeerFetcher: peerWithQuarantines(c.sent), daemon: d}
		if _, err := fetcher.FetchConfig(t.Context(), "", nil); err != nil {
			t.Fatal(err)
		}
		if got := len(d.handler.Quarantines(2 * c.sent)); got != c.want {
			t.Errorf("of %d quarantines %d were learned, want %d", c.sent, got, c.want)
		}
		d.handler.LearnQuarantine(poison.Announcement{Fingerprint: 1 << 60, Round: 1, Remaining: time.Minute})
		res, err := d.fetchConfig(t.Context(), &peerv1.FetchConfigRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if got := len(peer.DecodeQuarantines(res.GetQuarantines())); got != min(c.want+1, maxFetchedQuarantines) {
			t.Errorf("of %d known quarantines %d were sent, want at most %d", c.want+1, got, maxFetchedQuarantines)
		}
	}
}
