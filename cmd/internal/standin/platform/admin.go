package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// OutageRequest is the body of POST /admin/absence.
type OutageRequest struct {
	// Mode is present (no outage), refusing or hanging.
	Mode OutageMode `json:"mode"`
	// ForMs is the length of the outage, in milliseconds.
	ForMs int64 `json:"forMs"`
}

// StaleRequest is the body of POST /admin/stale.
type StaleRequest struct {
	// Readers lists the clients that get stale values, by VM ID, or by IP address
	// for clients that send no reader name.
	Readers []string `json:"readers"`
	// ForMs is the time for which their values stay stale, in milliseconds.
	ForMs int64 `json:"forMs"`
}

// adminTicket handles POST /admin/ticket with a ticket file as its body.
func (s *Server) adminTicket(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		writeError(w, trace.LimitExceeded("%v", err))
		return
	}
	t, err := document.ParseTicket(raw)
	if err != nil {
		writeError(w, trace.BadParameter("%v", err))
		return
	}
	writeResult(w, s.Publish(t))
}

// adminList handles POST /admin/vms with a VM list as its body. The parameter
// lagMs delays the time at which readers get the list.
func (s *Server) adminList(w http.ResponseWriter, r *http.Request) {
	lagMs := int64(0)
	if text := r.URL.Query().Get("lagMs"); text != "" {
		var err error
		if lagMs, err = strconv.ParseInt(text, 10, 32); err != nil {
			writeError(w, trace.BadParameter("lagMs: got %q, want a whole number of milliseconds", text))
			return
		}
	}
	var l member.List
	if err := decodeAdminBody(w, r, &l); err != nil {
		writeError(w, err)
		return
	}
	writeResult(w, s.SetList(&l, time.Duration(lagMs)*time.Millisecond))
}

// adminOutage handles POST /admin/absence.
func (s *Server) adminOutage(w http.ResponseWriter, r *http.Request) {
	var req OutageRequest
	if err := decodeAdminBody(w, r, &req); err != nil {
		writeError(w, err)
		return
	}
	if req.Mode != Available && req.Mode != Refusing && req.Mode != Hanging {
		writeError(w, trace.BadParameter("mode: got %q, want present, refusing or hanging", req.Mode))
		return
	}
	s.SetOutage(req.Mode, time.Duration(req.ForMs)*time.Millisecond)
	writeResult(w, nil)
}

// adminStale handles POST /admin/stale.
func (s *Server) adminStale(w http.ResponseWriter, r *http.Request) {
	var req StaleRequest
	if err := decodeAdminBody(w, r, &req); err != nil {
		writeError(w, err)
		return
	}
	s.SetStale(req.Readers, time.Duration(req.ForMs)*time.Millisecond)
	writeResult(w, nil)
}

// adminReads handles GET /admin/reads.
func (s *Server) adminReads(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Reads())
}

// writeResult answers with status 204, or with err when it is not nil.
func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
