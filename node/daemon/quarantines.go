package daemon

import (
	"context"

	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/platform"
)

// maxFetchedQuarantines is the largest number of quarantines in the response to a VM that
// fetches the configuration.
const maxFetchedQuarantines = 256

// fetchConfig answers a VM that fetches the configuration. A VM does so before it serves, so
// it also gets the quarantines in effect.
func (d *Daemon) fetchConfig(ctx context.Context, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	res, err := d.reader.FetchConfig(ctx, req)
	if err != nil {
		return nil, err
	}
	res.Quarantines = peer.EncodeQuarantines(d.handler.Quarantines(maxFetchedQuarantines))
	return res, nil
}

// quarantineFetcher fetches configurations and learns the quarantines that come with them.
type quarantineFetcher struct {
	platform.PeerFetcher
	daemon *Daemon
}

// FetchConfig implements platform.PeerFetcher.
func (f quarantineFetcher) FetchConfig(ctx context.Context, address string, req *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	res, err := f.PeerFetcher.FetchConfig(ctx, address, req)
	if err != nil {
		return nil, err
	}
	all := peer.DecodeQuarantines(res.GetQuarantines())
	for _, a := range all[:min(len(all), maxFetchedQuarantines)] {
		f.daemon.handler.LearnQuarantine(a)
	}
	return res, nil
}
