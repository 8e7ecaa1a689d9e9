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
	"github.com/galenasail/galenasail/node/limit"
	"github.com/galenasail/galenasail/node/wire"
)

const (
	// readHeaderTimeout closes connections whose callers send the header too slowly.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout closes idle connections of callers.
	callerIdleTimeout = 2 * time.Minute
	// writeTimeout exceeds the longest timeout of a route. Each answer sets a
	// shorter write deadline (see writeGrace); net/http replaces it with this
	// value for the next request on the connection.
	writeTimeout = document.MaxTimeoutMs*time.Millisecond + time.Minute
	// serverHeaderBytes exceeds MaxHeaderBytes so that a header above the limit is
	// refused by the handler, with a specific error, and not by net/http.
	serverHeaderBytes = 2 * MaxHeaderBytes
	// maxStreams is the maximum number of concurrent streams of one HTTP/2
	// connection.
	maxStreams = 250
	// drainPollInterval is how often Drain checks the number of running requests.
	drainPollInterval = 5 * time.Millisecond
	// closeTimeout bounds the wait for the last bytes of answers and for HTTP/2
	// connections, which net/http closes 1 s after sending GOAWAY.
	closeTimeout = 5 * time.Second
)

// ServerConfig configures a Server. Fields without a default are required.
type ServerConfig struct {
	// Handler serves the requests of callers.
	Handler *Handler
	// Guard bounds what is held for callers. Default: no bound.
	Guard *limit.Guard
	// ErrorLog receives the connection errors that net/http logs. Default: the
	// standard logger.
	ErrorLog *log.Logger
}

// Server serves callers over HTTP/1.1 and HTTP/2 without TLS (h2c).
type Server struct {
	handler *Handler
	http    *http.Server
	guard   *limit.Guard
}

// NewServer returns a server; call Serve to accept connections.
func NewServer(cfg ServerConfig) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		handler: cfg.Handler,
		guard:   cfg.Guard,
		http: &http.Server{
			Handler:           newRootHandler(cfg),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       callerIdleTimeout,
			WriteTimeout:      writeTimeout,
			MaxHeaderBytes:    serverHeaderBytes,
			Protocols:         protocols,
			ErrorLog:          cfg.ErrorLog,
			ConnContext:       limit.WithConn,
			HTTP2:             limit.HTTP2(maxStreams),
		},
	}
	if cfg.Guard != nil {
		cfg.Guard.Protect(s.http)
	}
	return s
}

// newRootHandler separates the fleet's own paths from the routes of callers. It
// does not use http.ServeMux, which would redirect requests whose path is not in
// canonical form.
func newRootHandler(cfg ServerConfig) http.Handler {
	var addresses http.Handler
	if h := cfg.Handler.cfg.Addresses; h != nil {
		addresses = limit.Requests(h)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requestPath(r) == wire.AddressesPath && addresses != nil {
			// This call fails only on writers without a connection, as in tests.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
			addresses.ServeHTTP(w, r)
			return
		}
		cfg.Handler.ServeHTTP(w, r)
	})
}

// Serve accepts connections on l until Shutdown or Close is called, and then
// returns nil.
func (s *Server) Serve(l net.Listener) error {
	l = readAheadListener{l}
	if s.guard != nil {
		l = s.guard.Listener(l)
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// DisableKeepAlives closes each connection after its next answer. Requests are
// still served. Callers that cache the address of this VM thus move to other VMs
// before Shutdown, and no request is sent on a connection that is being closed.
func (s *Server) DisableKeepAlives() {
	s.handler.closeAfterAnswer.Store(true)
}

// Shutdown refuses new requests with the error shutting_down, waits until the
// running ones have finished or ctx ends, and closes all connections. Requests that a
// target could not answer before the deadline of ctx are refused; those that targets
// have at its end are answered as such whose outcome is not known. The listener
// stays open while requests run, so that new callers get an answer. It returns the
// error of ctx if running requests were aborted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.handler.cfg.Events.Record(event.Stopping, "callers", fmt.Sprintf("%d requests running", s.handler.Running()))
	drainCtx, cancelDrain := drainContext(ctx)
	defer cancelDrain()
	drainErr := s.handler.Drain(drainCtx)
	if drainErr != nil {
		s.handler.endRunning()
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if drainErr == nil {
		// No request is running any more, so connections that are still open after
		// closeTimeout can be closed without loss.
		_ = s.http.Shutdown(closeCtx)
	}
	_ = s.http.Close()
	s.handler.transport.CloseIdleConnections()
	s.handler.cfg.Events.Record(event.Stopped, "callers", fmt.Sprintf("%d running requests aborted", s.handler.Running()))
	return drainErr
}

// drainContext returns ctx with its deadline, if there is one, earlier by answerTime.
func drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if at, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, at.Add(-answerTime))
	}
	return context.WithCancel(ctx)
}

// Close closes all connections immediately and aborts running requests.
func (s *Server) Close() {
	_ = s.http.Close()
	s.handler.transport.CloseIdleConnections()
}

// Drain refuses new requests and waits until the running ones have finished or
// ctx ends. Requests that wait are refused once a target could not answer them before the
// deadline of ctx. It returns the error of ctx if requests are still running.
func (h *Handler) Drain(ctx context.Context) error {
	h.draining.Store(true)
	deadline, _ := ctx.Deadline()
	h.stopping.setDeadline(deadline)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for h.Running() > 0 {
		h.stopping.endWaiting(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			h.cfg.Events.Violated(invariant.Shutdown, "callers", fmt.Sprintf("%d requests still running when the shutdown timeout ended", h.Running()))
			return ctx.Err()
		}
	}
	return nil
}
