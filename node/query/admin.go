package query

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// EventSource gives access to the recorded events.
type EventSource interface {
	// Since returns at most limit events with sequence numbers greater than after, oldest
	// first.
	Since(after uint64, limit int) []event.Event
}

// StateSource returns the current state of the VM.
type StateSource func() State

// Admin is the configuration of the handler for the admin address.
type Admin struct {
	// Events provides the recorded events of the VM.
	Events EventSource
	// State returns the state of the VM.
	State StateSource
	// Metrics serves the Prometheus text format.
	Metrics http.Handler
	// Explain explains requests. Default: such queries get 404.
	Explain http.Handler
}

// MaxEvents is the maximum number of events in one response.
const MaxEvents = 1000

// EventPage is the response to an event query. The VM's clock in it lets a client estimate
// the offset between its own clock and the VM's.
type EventPage struct {
	// VM is the ID of the VM.
	VM string `json:"vm"`
	// Wall is the VM's wall clock when it answered.
	Wall time.Time `json:"wall"`
	// Events holds the events, oldest first.
	Events []event.Event `json:"events"`
}

// Handler returns the handler of the admin address: GET on
// /galenasail/v1/{health,state,events,metrics,explain}.
func (a Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /galenasail/v1/health", a.health)
	mux.HandleFunc("GET /galenasail/v1/state", a.state)
	mux.HandleFunc("GET /galenasail/v1/events", a.events)
	mux.Handle("GET /galenasail/v1/metrics", a.Metrics)
	if a.Explain != nil {
		mux.Handle("GET /galenasail/v1/explain", a.Explain)
	}
	return mux
}

func (a Admin) health(w http.ResponseWriter, _ *http.Request) {
	s := a.State()
	status := http.StatusOK
	if !s.Accepting {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, Health{VM: s.VM.ID, Accepting: s.Accepting, Reason: s.Reason, FailedDuties: s.FailedDuties})
}

func (a Admin) state(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.State())
}

func (a Admin) events(w http.ResponseWriter, r *http.Request) {
	after, err := uintParam(r, "after")
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	page := EventPage{VM: a.State().VM.ID, Wall: time.Now().UTC(), Events: a.Events.Since(after, MaxEvents)}
	writeJSON(w, http.StatusOK, page)
}

func uintParam(r *http.Request, name string) (uint64, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	return strconv.ParseUint(value, 10, 64)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
