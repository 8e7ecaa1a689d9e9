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

// Absence is a way in which the platform does not answer.
type OutageMode string

// The kinds of absence.
const (
	// Present is a platform that answers.
	Available OutageMode = "present"
	// Refusing answers each call with 503.
	Refusing OutageMode = "refusing"
	// Hanging does not answer until the absence ends or the caller gives up.
	Hanging OutageMode = "hanging"
)

// Limits of the stand-in.
const (
	// DefaultReadsPerSecond is the read limit over all readers.
	DefaultReadsPerSecond = 2000
	// maxWait bounds the wait of one watch.
	maxWait = time.Minute
	// maxAdminBytes bounds an admin request; a ticket holds many documents.
	maxAdminBytes = 64 << 20
	// readerHeader names the reader, so that staleness can be injected for
	// readers that share one IP address.
	readerHeader = "Galenasail-Reader"
)

// Config configures a Server.
type Config struct {
	// ReadsPerSecond is the read limit. Default: DefaultReadsPerSecond.
	ReadsPerSecond int
}

// Server is the stand-in. It is safe for concurrent use.
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

// ServeHTTP serves the platform protocol and the admin calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Publish publishes a ticket. A repeated identical ticket has no effect; a
// number that is not greater than the last one is refused.
func (s *Server) Publish(t *document.TicketFile) error {
	return s.store.publish(t)
}

// SetList accepts a VM list and shows it after lag.
func (s *Server) SetList(l *member.List, lag time.Duration) error {
	return s.store.setList(l, lag)
}

// SetAbsent makes the platform absent for d.
func (s *Server) SetOutage(mode OutageMode, d time.Duration) {
	s.store.setOutage(mode, d)
}

// SetStale freezes what the given readers see for d.
func (s *Server) SetStale(readers []string, d time.Duration) {
	s.store.setStale(readers, d)
}

// Reads returns the read counts.
func (s *Server) Reads() Reads {
	return s.meter.snapshot(time.Now())
}

// admit counts a call and answers it when the platform is absent or the limit
// is reached.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	within := s.meter.allow(now)
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
		http.Error(w, "the platform is absent", http.StatusServiceUnavailable)
		return false
	}
	if !within {
		http.Error(w, "too many reads in this second", http.StatusServiceUnavailable)
	}
	return within
}

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

func writeValue(w http.ResponseWriter, v value) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Platform-Revision", strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.raw)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	v, ok, _ := s.store.get(r.PathValue("key"), readerName(r), time.Now())
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeValue(w, v)
}

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
			http.Error(w, "the platform is absent", http.StatusServiceUnavailable)
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
