package daemon

import (
	"context"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// vmClient calls other VMs by their peer address. It implements rate.TokenPeer and
// pool.PermitPeer.
type vmClient struct {
	client *peer.Client
	// partition drops calls in tests; nil otherwise.
	partition Partition
}

// AcquireTokens requests tokens from the holder vm.
func (c vmClient) AcquireTokens(ctx context.Context, vm member.VM, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	if err := c.awaitBlocked(ctx, vm); err != nil {
		return nil, err
	}
	return c.client.AcquireTokens(ctx, vm.PeerAddress, r)
}

// ExchangePermits releases and acquires permits at the holder vm.
func (c vmClient) ExchangePermits(ctx context.Context, vm member.VM, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	if err := c.awaitBlocked(ctx, vm); err != nil {
		return nil, err
	}
	return c.client.ExchangePermits(ctx, vm.PeerAddress, r)
}

// ReportPermits reports the permits of this VM to the new holder vm.
func (c vmClient) ReportPermits(ctx context.Context, vm member.VM, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
	if err := c.awaitBlocked(ctx, vm); err != nil {
		return nil, err
	}
	return c.client.ReportPermits(ctx, vm.PeerAddress, r)
}

// startPeerServer binds the TCP port of the peer address.
func (d *Daemon) startPeerServer() error {
	var err error
	d.peerServer, err = peer.NewServer(peer.ServerConfig{
		Address:   d.settings.PeerAddress,
		Key:       []byte(d.settings.SharedKey),
		Traffic:   d.traffic,
		OnRefused: d.recordRefusedPeer,
		Guard:     d.guards.peers,
		Handlers: peer.Handlers{
			FetchConfig:     d.fetchConfig,
			AcquireTokens:   d.limiter.AcquireTokens,
			ExchangePermits: d.pool.ExchangePermits,
			ReportPermits:   d.pool.ReportPermits,
			ExchangeMembers: d.exchangeMembers,
		},
	})
	return err
}

// exchangeMembers answers a peer that exchanges its known members with this VM. It returns
// an error of kind BadRequest in a fleet whose VM list comes from the platform.
func (d *Daemon) exchangeMembers(ctx context.Context, r *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error) {
	if d.roster == nil {
		return nil, fault.New(fault.BadRequest, "this fleet reads its VM list from the platform")
	}
	return d.roster.ExchangeMembers(ctx, r)
}
