package command

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/node/wire"
)

const (
	// readHeaderTimeout ends connections that send their header slowly.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout ends unused connections of callers.
	callerIdleTimeout = 2 * time.Minute
	// writeTimeout is above the longest deadline of a route. Each answer has a
	// shorter limit of its own; this one resets it for the next request.
	writeTimeout = document.MaxTimeoutMs*time.Millisecond + time.Minute
	// serverHeaderBytes is above MaxHeaderBytes, so that the handler and not
	// net/http refuses a large header and the caller gets a clear error.
	serverHeaderBytes = 2 * MaxHeaderBytes
	// maxStreams bounds concurrent requests of one HTTP/2 connection.
	maxStreams = 250
	// drainPoll is the time between two looks at the running requests.
	drainPollInterval = 5 * time.Millisecond
	// closeWait bounds the wait for the last bytes of answers and for HTTP/2
	// connections, which net/http closes 1 s after it told the caller.
	closeTimeout = 5 * time.Second
)

// ServerConfig configures a Server. Fields without a default are required.
type ServerConfig struct {
	// Handler is the caller path.
	Handler *Handler
	// Addresses serves GET /galenasail/v1/addresses. Default: no such path.
	Addresses http.Handler
	// ErrorLog gets what net/http reports about connections. Default: the
	// standard logger.
	ErrorLog *log.Logger
}

// Server serves callers over HTTP/1.1 and HTTP/2 without TLS (h2c).
type Server struct {
	handler *Handler
	http    *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		handler: cfg.Handler,
		http: &http.Server{
			Handler:           newRootHandler(cfg),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       callerIdleTimeout,
			WriteTimeout:      writeTimeout,
			MaxHeaderBytes:    serverHeaderBytes,
			Protocols:         protocols,
			ErrorLog:          cfg.ErrorLog,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		},
	}
}

// dispatch separates the fleet's own paths from the callers' routes. It uses no
// http.ServeMux, which would redirect paths that it cleans.
func newRootHandler(cfg ServerConfig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.AddressesPath && cfg.Addresses != nil {
			cfg.Addresses.ServeHTTP(w, r)
			return
		}
		cfg.Handler.ServeHTTP(w, r)
	})
}

// Serve accepts connections on l until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave lets each connection end after its next answer. Requests are still
// served. Callers that keep an address for a while so move away before the
// connections close, and none sends a request on a connection that closes.
func (s *Server) Leave() {
	s.handler.closeAfterAnswer.Store(true)
}

// Shutdown refuses new requests with shutting_down, waits until the running
// ones have finished or ctx ends, and closes all connections. The listener stays
// open while requests run, so that new callers get an answer. It returns the
// error of ctx when requests were cut.
func (s *Server) Shutdown(ctx context.Context) error {
	s.handler.cfg.Events.Record(event.Stopping, "callers", fmt.Sprintf("%d requests running", s.handler.Running()))
	cut := s.handler.Drain(ctx)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if cut == nil {
		// Idle connections that stay open past closeWait belong to no request.
		_ = s.http.Shutdown(closing)
	}
	_ = s.http.Close()
	s.handler.transport.CloseIdleConnections()
	s.handler.cfg.Events.Record(event.Stopped, "callers", fmt.Sprintf("%d requests cut", s.handler.Running()))
	return cut
}

// Close ends all connections at once and cuts running requests.
func (s *Server) Close() {
	_ = s.http.Close()
	s.handler.transport.CloseIdleConnections()
}

// Drain refuses new requests and waits until the running ones have finished or
// ctx ends. It returns the error of ctx when requests still run.
func (h *Handler) Drain(ctx context.Context) error {
	h.draining.Store(true)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for h.Running() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			h.cfg.Events.Violated(invariant.Shutdown, "callers", fmt.Sprintf("%d requests still run at the end of the wait", h.Running()))
			return ctx.Err()
		}
	}
	return nil
}
