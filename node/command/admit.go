package command

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/wire"
)

// MaxHeaderBytes is the maximum size in bytes of a caller's request target, host,
// header names and header values together.
const MaxHeaderBytes = 32 << 10

// minKeyBytes is the minimum length of a key. A shorter key may occur by chance in
// ordinary headers, which would then be removed although the target needs them.
const minKeyBytes = 4

// admit validates, routes and authenticates the request. An error means that
// nothing was sent to a target.
func (ex *exchange) admit() error {
	if err := ex.h.checkAccepting(); err != nil {
		return err
	}
	current := ex.h.currentIndex()
	if current == nil {
		return errNoConfiguration()
	}
	ex.snapshot = current.snapshot
	if err := validateRequest(ex.r); err != nil {
		return err
	}
	rt, ok := current.routes.Match(ex.r.Host, ex.r.Method, requestPath(ex.r))
	if !ok {
		return errNoRoute()
	}
	ex.route = rt
	if err := ex.authenticate(); err != nil {
		return err
	}
	if err := checkAvailable(rt); err != nil {
		return err
	}
	ex.service = ex.snapshot.Services[current.splitter.Service(rt)]
	if ex.r.ContentLength > rt.MaxBodyBytes {
		return fault.New(fault.TooLarge, "the body has %d bytes, the route allows %d", ex.r.ContentLength, rt.MaxBodyBytes)
	}
	if err := ex.setDeadline(); err != nil {
		return err
	}
	if err := ex.scrub(); err != nil {
		return err
	}
	return ex.readIdempotencyKey()
}

// checkAccepting returns an error while this VM may not accept requests.
func (h *Handler) checkAccepting() error {
	if h.draining.Load() {
		return fault.New(fault.ShuttingDown, "this VM is shutting down")
	}
	return h.cfg.Contact.Check()
}

func errNoConfiguration() error {
	return fault.New(fault.NotReady, "no configuration is in force yet")
}

func errNoRoute() error {
	return fault.New(fault.NoRoute, "no route for this method and path")
}

// checkAvailable refuses the requests of a route that the configuration cannot serve.
func checkAvailable(rt *document.Route) error {
	if rt.Unavailable == "" {
		return nil
	}
	return fault.New(fault.NoCapacity, "route %s cannot be served as it is configured: %s", rt.ID, rt.Unavailable)
}

// validateRequest refuses requests that cannot be forwarded safely.
func validateRequest(r *http.Request) error {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > MaxHeaderBytes {
		return fault.New(fault.TooLarge, "the header has %d bytes, the limit is %d", size, MaxHeaderBytes)
	}
	if r.Method == http.MethodConnect {
		return fault.New(fault.BadRequest, "method CONNECT is not supported")
	}
	// HTTP/2 carries any byte; in a request line a space ends the request target.
	if strings.Contains(r.RequestURI, " ") {
		return fault.New(fault.BadRequest, "the request target contains a space")
	}
	if hasDotSegment(r) {
		return fault.New(fault.BadRequest, "the path contains a dot segment")
	}
	return nil
}

// authenticate finds the workspace of the caller's key and checks that it may use
// the route. On an open route a missing or unknown key is not an error.
func (ex *exchange) authenticate() error {
	key, present := wire.BearerKey(ex.r.Header)
	if present && len(key) < minKeyBytes {
		return fault.New(fault.Unauthorized, "the key has fewer than %d bytes", minKeyBytes)
	}
	ex.key = key
	if present {
		ex.workspace, _ = ex.snapshot.WorkspaceByKey(key)
	}
	if ex.workspace != nil {
		ex.held.Assign(ex.workspace.ID)
	}
	if err := authorize(ex.route, ex.workspace); err != nil {
		return err
	}
	if ex.route.Open {
		ex.held.Prove()
		return nil
	}
	if containsKey(ex.workspace.ID, key) {
		return fault.New(fault.Unauthorized, "the workspace's ID contains the key, so targets would see it")
	}
	return nil
}

// authorize checks that requests of workspace w, nil for none, may use route rt.
func authorize(rt *document.Route, w *document.Workspace) error {
	if rt.Open {
		return nil
	}
	if w == nil {
		return fault.New(fault.Unauthorized, "the key is missing or not valid")
	}
	if !routeAllows(rt, w) {
		return fault.New(fault.Forbidden, "workspace %s may not use this route", w.ID)
	}
	return nil
}

func routeAllows(rt *document.Route, w *document.Workspace) bool {
	return len(rt.Workspaces) == 0 || slices.Contains(rt.Workspaces, w.ID)
}

// setDeadline sets the deadline from the caller's timeout, limited by the route's
// timeout.
func (ex *exchange) setDeadline() error {
	limit := time.Duration(ex.route.TimeoutMs) * time.Millisecond
	if values := ex.r.Header.Values(ex.h.cfg.Dialect.Timeout); len(values) > 0 {
		requested, err := parseTimeout(ex.h.cfg.Dialect.Timeout, values)
		if err != nil {
			return err
		}
		limit = min(limit, requested)
	}
	ex.deadline = ex.start.Add(limit)
	if ex.h.cfg.OverloadControl {
		ex.returnedAfter = ex.h.returns.elapsed(ex.route.ID, limit, ex.start)
	}
	return nil
}

// parseTimeout parses the values of the timeout header called name.
func parseTimeout(name string, values []string) (time.Duration, error) {
	ms, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || ms == 0 || len(values) > 1 {
		return 0, fault.New(fault.BadRequest, "%s must be one number of milliseconds from 1 to %d", name, 1<<31-1)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
