package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// OutageMode is the way in which an unavailable platform behaves.
type OutageMode string

// The outage modes.
const (
	// Available is normal operation, without an outage.
	Available OutageMode = "present"
	// Refusing answers each call with status 503.
	Refusing OutageMode = "refusing"
	// Hanging does not answer until the outage ends or the client cancels.
	Hanging OutageMode = "hanging"
)

// Limits of the stand-in.
const (
	// DefaultReadsPerSecond is the read limit over all readers.
	DefaultReadsPerSecond = 2000
	// maxWait bounds how long one watch stays open.
	maxWait = time.Minute
	// maxAdminBytes bounds the body of an admin request. It is far above the size
	// of one value because a ticket holds many documents.
	maxAdminBytes = 64 << 20
	// readerHeader carries the reader's name, so that stale reads can be injected
	// for some of the readers that share one IP address.
	readerHeader = "Galenasail-Reader"
)

// Config configures a Server.
type Config struct {
	// ReadsPerSecond is the read limit over all readers. Default:
	// DefaultReadsPerSecond.
	ReadsPerSecond int
}

// Server is a stand-in for the platform. It is safe for concurrent use.
type Server struct {
	store *store
	meter *meter
	mux   *http.ServeMux
}

// New returns a server without values.
func New(c Config) *Server {
	if c.ReadsPerSecond <= 0 {
		c.ReadsPerSecond = DefaultReadsPerSecond
	}
	s := &Server{store: newStore(), meter: newMeter(c.ReadsPerSecond, time.Now()), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/values/{key...}", s.read)
	s.mux.HandleFunc("GET /v1/watch/{key...}", s.watch)
	s.mux.HandleFunc("POST /admin/ticket", s.adminTicket)
	s.mux.HandleFunc("POST /admin/vms", s.adminList)
	s.mux.HandleFunc("POST /admin/absence", s.adminOutage)
	s.mux.HandleFunc("POST /admin/stale", s.adminStale)
	s.mux.HandleFunc("GET /admin/reads", s.adminReads)
	return s
}

// ServeHTTP serves the platform protocol and the admin endpoints.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Publish publishes a ticket. Repeating the latest ticket has no effect; any other
// ticket whose number is not greater than the latest one gives a CompareFailed
// error, and an index that is too large a LimitExceeded error.
func (s *Server) Publish(t *document.TicketFile) error {
	return s.store.publish(t)
}

// SetList accepts a VM list and makes it visible to readers after lag. It returns a
// CompareFailed error when the version is not greater than that of the last
// accepted list, and a LimitExceeded error when the list is too large.
func (s *Server) SetList(l *member.List, lag time.Duration) error {
	return s.store.setList(l, lag)
}

// SetOutage makes the platform unavailable for d; Available ends an outage.
func (s *Server) SetOutage(mode OutageMode, d time.Duration) {
	s.store.setOutage(mode, d)
}

// SetStale makes the given readers get, for d, the values at the time of the call,
// whatever is published meanwhile.
func (s *Server) SetStale(readers []string, d time.Duration) {
	s.store.setStale(readers, d)
}

// Reads returns the read counters.
func (s *Server) Reads() Reads {
	return s.meter.snapshot(time.Now())
}

// admit counts a call and reports whether it may proceed. During an outage and
// above the read limit it answers the call with status 503 itself.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	withinLimit := s.meter.allow(now)
	mode, until := s.store.outage(now)
	if mode == Hanging {
		done := s.meter.startWait(now)
		select {
		case <-time.After(until.Sub(now)):
		case <-r.Context().Done():
		}
		done(time.Now())
	}
	if mode != Available {
		http.Error(w, "the platform is unavailable", http.StatusServiceUnavailable)
		return false
	}
	if !withinLimit {
		http.Error(w, "read limit per second exceeded", http.StatusServiceUnavailable)
	}
	return withinLimit
}

// readerName returns the name that the client gave, or else its IP address.
func readerName(r *http.Request) string {
	if name := r.Header.Get(readerHeader); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// writeValue answers with a value and its revision.
func writeValue(w http.ResponseWriter, v value) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Platform-Revision", strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.raw)
}

// read handles GET /v1/values/{key}.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	v, ok, _ := s.store.get(r.PathValue("key"), readerName(r), time.Now())
	if !ok {
		http.Error(w, "key not found", http.StatusNotFound)
		return
	}
	writeValue(w, v)
}

// watch handles GET /v1/watch/{key}: it answers once the value has a revision above
// the parameter after, or with status 204 after waitMs milliseconds. A revision that the
// platform has not assigned, or no longer has since it returned from a copy, gets 410.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, errWait := strconv.ParseUint(r.URL.Query().Get("waitMs"), 10, 32)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and waitMs must be whole numbers", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r) {
		return
	}
	done := s.meter.startWait(time.Now())
	defer func() { done(time.Now()) }()
	timeout := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for {
		v, ok, changed := s.store.get(r.PathValue("key"), readerName(r), time.Now())
		if mode, _ := s.store.outage(time.Now()); mode != Available {
			http.Error(w, "the platform is unavailable", http.StatusServiceUnavailable)
			return
		}
		if !s.store.hasRevision(after) {
			http.Error(w, "revision not found", http.StatusGone)
			return
		}
		if ok && v.revision > after {
			writeValue(w, v)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// decodeAdminBody decodes the body of an admin request into v.
func decodeAdminBody(w http.ResponseWriter, r *http.Request, v any) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		return trace.LimitExceeded("%v", err)
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return trace.BadParameter("%v", err)
	}
	return nil
}
