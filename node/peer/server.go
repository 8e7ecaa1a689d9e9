package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/limit"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/peer/peerv1/peerv1connect"
)

const (
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 1 << 20
	// maxResponseBytes bounds the body of a response. FetchConfig responses hold
	// a whole configuration.
	maxResponseBytes = 32 << 20
	// compressMinBytes keeps small responses uncompressed; they are frequent and
	// compression would save little.
	compressMinBytes = 4 << 10
	// maxStreams is the maximum number of concurrent calls on one connection.
	maxStreams = 250
	// headerTimeout and bodyTimeout end requests whose client stops sending.
	headerTimeout = 2 * time.Second
	bodyTimeout   = 5 * time.Second
	// idleTimeout closes unused connections, for example of peers that departed.
	idleTimeout = time.Minute
)

// Handlers holds the functions that implement the calls. A call whose function is
// nil returns the code unimplemented. Errors of package fault are returned with
// the closest connect code.
type Handlers struct {
	// FetchConfig returns the index, the VM list and documents.
	FetchConfig func(context.Context, *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error)
	// AcquireTokens takes tokens from the rate of a workspace.
	AcquireTokens func(context.Context, *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error)
	// ExchangePermits releases and acquires permits.
	ExchangePermits func(context.Context, *peerv1.ExchangePermitsRequest) (*peerv1.ExchangePermitsResponse, error)
	// ExchangeMembers merges the caller's membership records and returns those of
	// this VM.
	ExchangeMembers func(context.Context, *peerv1.ExchangeMembersRequest) (*peerv1.ExchangeMembersResponse, error)
	// ReportPermits records the permits that an entry VM holds.
	ReportPermits func(context.Context, *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the local address, IP:port. Required.
	Address string
	// Key is the fleet's shared key. Without one, calls are not authenticated.
	Key []byte
	// Handlers implement the calls.
	Handlers Handlers
	// Traffic counts the bytes sent and received. Default: a new counter.
	Traffic *Traffic
	// Guard bounds what is held for calls. Default: no bound.
	Guard *limit.Guard
	// OnRefused is called for each refused call. It must not block. Default: none.
	OnRefused RefusalHandler
}

// Server serves calls from peers over HTTP/2 without TLS. Calls are authenticated
// by the HMAC of the shared key.
type Server struct {
	http      *http.Server
	listener  net.Listener
	verifier  *verifier
	traffic   *Traffic
	onRefused RefusalHandler
	errors    *connect.ErrorWriter
}

// NewServer listens on the configured address and returns an error when that
// fails.
func NewServer(cfg ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s := &Server{
		verifier:  newVerifier(cfg.Key),
		traffic:   cfg.Traffic,
		onRefused: cfg.OnRefused,
		errors:    connect.NewErrorWriter(),
	}
	if s.traffic == nil {
		s.traffic = &Traffic{}
	}
	if s.onRefused == nil {
		s.onRefused = func(string, error) {}
	}
	s.listener = countingListener{listener, s.traffic}
	if cfg.Guard != nil {
		s.listener = cfg.Guard.Listener(s.listener)
	}
	_, handler := peerv1connect.NewPeerServiceHandler(
		service{cfg.Handlers},
		connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithSendMaxBytes(maxResponseBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           limit.RequestsWithBody(s.withAuth(handler), maxRequestBytes),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    8 << 10,
		ConnContext:       limit.WithConn,
		HTTP2:             limit.HTTP2(maxStreams),
	}
	if cfg.Guard != nil {
		cfg.Guard.Protect(s.http)
	}
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve handles calls until Close or Shutdown, after which it returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown stops accepting calls and waits for running ones, at most until ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return trace.Wrap(s.http.Shutdown(ctx))
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return trace.Wrap(s.http.Close())
}

// withAuth returns a handler that authenticates calls, or next itself without a
// key.
func (s *Server) withAuth(next http.Handler) http.Handler {
	if len(s.verifier.key) == 0 {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The network is trusted, so any call counts as one of a peer.
			limit.AssignPeer(r)
			next.ServeHTTP(w, r)
		})
	}
	return s.authenticate(next)
}

// authenticate refuses calls without a valid signature and signs the responses.
// A refusal is not signed, because its caller is not authenticated.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, body, err := s.readVerified(w, r)
		if err != nil {
			s.traffic.refused.Add(1)
			s.onRefused(r.RemoteAddr, err)
			_ = s.errors.Write(w, r, connect.NewError(refusalCode(err), err))
			return
		}
		limit.AssignPeer(r)
		r.Body = io.NopCloser(bytes.NewReader(body))
		resp := &responseBuffer{header: w.Header()}
		next.ServeHTTP(resp, r)
		resp.sendSigned(w, s.verifier.key, r.URL.Path, n)
	})
}

// refusalCode returns the connect code for a call that authenticate refuses.
func refusalCode(err error) connect.Code {
	if trace.IsLimitExceeded(err) {
		return connect.CodeResourceExhausted
	}
	return connect.CodeUnauthenticated
}

// readVerified reads the body of a call, checks its signature and returns nonce
// and body. It parses the headers first, so that the body of an unsigned call is
// not read.
func (s *Server) readVerified(w http.ResponseWriter, r *http.Request) (nonce, []byte, error) {
	parsed, err := parseCallHeaders(r.Header)
	if err != nil {
		return nonce{}, nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nonce{}, nil, trace.LimitExceeded("request body exceeds %d bytes", maxRequestBytes)
	}
	if err != nil {
		return nonce{}, nil, trace.AccessDenied("request body cannot be read: %v", err)
	}
	return parsed.nonce, body, s.verifier.check(parsed, r.URL.Path, body)
}

// service implements the generated service with Handlers.
type service struct {
	handlers Handlers
}

var _ peerv1connect.PeerServiceHandler = service{}

// FetchConfig implements PeerServiceHandler.
func (s service) FetchConfig(ctx context.Context, r *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	return handleCall(ctx, s.handlers.FetchConfig, r)
}

// AcquireTokens implements PeerServiceHandler.
func (s service) AcquireTokens(ctx context.Context, r *connect.Request[peerv1.AcquireTokensRequest]) (*connect.Response[peerv1.AcquireTokensResponse], error) {
	return handleCall(ctx, s.handlers.AcquireTokens, r)
}

// ExchangePermits implements PeerServiceHandler.
func (s service) ExchangePermits(ctx context.Context, r *connect.Request[peerv1.ExchangePermitsRequest]) (*connect.Response[peerv1.ExchangePermitsResponse], error) {
	return handleCall(ctx, s.handlers.ExchangePermits, r)
}

// ReportPermits implements PeerServiceHandler.
func (s service) ReportPermits(ctx context.Context, r *connect.Request[peerv1.ReportPermitsRequest]) (*connect.Response[peerv1.ReportPermitsResponse], error) {
	return handleCall(ctx, s.handlers.ReportPermits, r)
}

// ExchangeMembers implements PeerServiceHandler.
func (s service) ExchangeMembers(ctx context.Context, r *connect.Request[peerv1.ExchangeMembersRequest]) (*connect.Response[peerv1.ExchangeMembersResponse], error) {
	return handleCall(ctx, s.handlers.ExchangeMembers, r)
}

// handleCall calls f with the message of r and converts its error.
func handleCall[Q, A any](ctx context.Context, f func(context.Context, *Q) (*A, error), r *connect.Request[Q]) (*connect.Response[A], error) {
	if f == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New(r.Spec().Procedure+" has no handler"))
	}
	resp, err := f(ctx, r.Msg)
	if err != nil {
		return nil, codedError(err)
	}
	return connect.NewResponse(resp), nil
}

// codedError converts err to a connect error with the closest code.
func codedError(err error) error {
	var coded *connect.Error
	if errors.As(err, &coded) {
		return coded
	}
	code := connect.CodeInternal
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.RateLimited:
		code = connect.CodeResourceExhausted
	case fault.NotReady, fault.NotInContact, fault.ShuttingDown, fault.NoCapacity:
		code = connect.CodeUnavailable
	case fault.DeadlineNotRun, fault.DeadlineUnknown:
		code = connect.CodeDeadlineExceeded
	case fault.BadRequest:
		code = connect.CodeInvalidArgument
	}
	return connect.NewError(code, err)
}
