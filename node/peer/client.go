package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/peer/peerv1/peerv1connect"
)

const (
	// dialTimeout bounds connecting to a peer, which normally takes about 1 ms.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds a call, not counting its wait in the holder's queue.
	callTimeout = time.Second
	// fetchTimeout bounds FetchConfig, whose response may have 32 MiB.
	fetchTimeout = 10 * time.Second
	// pingAfter and pingTimeout detect connections to peers that are unreachable
	// or paused, which HTTP/2 would otherwise keep using.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// clientIdleTimeout closes unused connections. Each open one sends a ping every
	// pingAfter, and in a large fleet a VM calls many others once, to exchange members.
	clientIdleTimeout = 2 * time.Second
	// maxClients bounds the table of peers, because the addresses of replaced VMs
	// accumulate over months.
	maxClients = 1024
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Key is the fleet's shared key. Without one, calls are not signed and
	// responses are not checked.
	Key []byte
	// Traffic counts the bytes sent and received. Default: a new counter.
	Traffic *Traffic
}

// Client calls peers over pooled HTTP/2 connections. It opens a second connection
// to a peer only when the first one has no free stream. It is safe for concurrent
// use.
type Client struct {
	http      *http.Client
	transport *http.Transport

	mu      sync.Mutex
	clients map[string]peerv1connect.PeerServiceClient // by peer address
}

// NewClient returns a client. It connects to a peer with the first call to it.
func NewClient(cfg ClientConfig) *Client {
	traffic := cfg.Traffic
	if traffic == nil {
		traffic = &Traffic{}
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: clientIdleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, traffic}, nil
		},
	}
	return &Client{
		http:      &http.Client{Transport: withSigning(transport, cfg.Key)},
		transport: transport,
		clients:   map[string]peerv1connect.PeerServiceClient{},
	}
}

// withSigning returns a transport that signs calls with key, or next itself
// without a key.
func withSigning(next http.RoundTripper, key []byte) http.RoundTripper {
	if len(key) == 0 {
		return next
	}
	return signingTransport{next, key}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// clientFor returns the cached client of the peer at address, or creates it. A
// full table is cleared, which does not close connections.
func (c *Client) clientFor(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.clients[address]; ok {
		return known
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	client := peerv1connect.NewPeerServiceClient(c.http, "http://"+address,
		connect.WithReadMaxBytes(maxResponseBytes),
		connect.WithSendMaxBytes(maxRequestBytes))
	c.clients[address] = client
	return client
}

// FetchConfig calls FetchConfig of the peer at address. The errors of all calls
// wrap a connect error; connect.CodeOf returns the code.
func (c *Client) FetchConfig(ctx context.Context, address string, r *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
	return invoke(ctx, fetchTimeout, c.clientFor(address).FetchConfig, r)
}

// AcquireTokens calls AcquireTokens of the peer at address.
func (c *Client) AcquireTokens(ctx context.Context, address string, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
	return invoke(ctx, callTimeout, c.clientFor(address).AcquireTokens, r)
}

// ExchangePermits calls ExchangePermits of the peer at address. The time that the
// request may wait in the holder's queue is added to the timeout.
func (c *Client) ExchangePermits(ctx context.Context, address string, r *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error) {
	timeout := callTimeout + time.Duration(r.GetAcquire().GetWaitMs())*time.Millisecond
	return invoke(ctx, timeout, c.clientFor(address).ExchangePermits, r)
}

// ReportPermits calls ReportPermits of the peer at address.
func (c *Client) ReportPermits(ctx context.Context, address string, r *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
	return invoke(ctx, callTimeout, c.clientFor(address).ReportPermits, r)
}

// ExchangeMembers calls ExchangeMembers of the peer at address.
func (c *Client) ExchangeMembers(ctx context.Context, address string, r *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error) {
	return invoke(ctx, callTimeout, c.clientFor(address).ExchangeMembers, r)
}

// method is a generated client method with request Q and response A.
type method[Q, A any] func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// invoke calls f with r and a timeout.
func invoke[Q, A any](ctx context.Context, timeout time.Duration, f method[Q, A], r *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := f(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return resp.Msg, nil
}
