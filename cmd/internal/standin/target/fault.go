package target

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Fault describes the injected faults of a target. The zero value is a healthy
// target. Percentages are probabilities per request, 0 to 100.
type Fault struct {
	// SlowFactor multiplies the service time when positive.
	SlowFactor float64 `json:"slowFactor"`
	// ErrorPercent is the share of requests answered with status 500.
	ErrorPercent float64 `json:"errorPercent"`
	// TruncatePercent is the share of answers truncated to half of their bytes.
	TruncatePercent float64 `json:"truncatePercent"`
	// ClosePercent is the share of requests whose connection is closed without an
	// answer, after they ran.
	ClosePercent float64 `json:"closePercent"`
	// HangPercent is the share of requests that are never answered.
	HangPercent float64 `json:"hangPercent"`
	// ShedPercent is the share of requests refused before they run.
	ShedPercent float64 `json:"shedPercent"`
	// LateCopyPercent is the share of answers before which the target sends the former
	// answer on the same connection a second time.
	LateCopyPercent float64 `json:"lateCopyPercent"`
	// FlapOnMs and FlapOffMs are the times, in milliseconds, for which a flapping
	// fault is on and off in turn; if one is 0, the fault stays on.
	FlapOnMs  int `json:"flapOnMs"`
	FlapOffMs int `json:"flapOffMs"`
	// CrashMarker crashes the target when a request's path or body contains it;
	// empty for never.
	CrashMarker string `json:"crashMarker"`
	// AlwaysHealthy makes /health report the target as healthy in any state.
	AlwaysHealthy bool `json:"healthLies"`
	// LoadLagMs is the age, in milliseconds, that the load reported by /load may
	// reach before it is updated.
	LoadLagMs int `json:"loadLagMs"`
	// FalseLoad, if not nil, is reported by /load instead of the load.
	FalseLoad *int `json:"loadLie"`
}

// setFault handles POST /standin/fault with a Fault as JSON, which replaces the
// active one.
func (t *Target) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFault replaces the active fault; the zero Fault ends it.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	t.faultSetAt = time.Now()
}

// activeFault returns the fault at now. In the off phase of a flapping fault, only
// its crash marker and the false reports of health and load remain.
func (t *Target) activeFault(now time.Time) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fault
	period := f.FlapOnMs + f.FlapOffMs
	if f.FlapOnMs <= 0 || f.FlapOffMs <= 0 {
		return f
	}
	phase := int(now.Sub(t.faultSetAt).Milliseconds()) % period
	if phase < f.FlapOnMs {
		return f
	}
	return Fault{CrashMarker: f.CrashMarker, AlwaysHealthy: f.AlwaysHealthy, LoadLagMs: f.LoadLagMs, FalseLoad: f.FalseLoad}
}

// crashesOn reports whether the request crashes the target.
func (f Fault) crashesOn(r *http.Request, body []byte) bool {
	if f.CrashMarker == "" {
		return false
	}
	return strings.Contains(r.URL.Path, f.CrashMarker) || bytes.Contains(body, []byte(f.CrashMarker))
}

// Crash resets all connections and makes the target cold, as if its process had
// crashed and been restarted.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Crashes++
	t.restart(time.Now())
	for c := range t.conns {
		if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
			// With a linger time of 0, Close sends a TCP reset instead of a FIN.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// setDraining handles POST /standin/drain with parameter on=true or on=false.
func (t *Target) setDraining(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on")
	if on != "true" && on != "false" {
		http.Error(w, "parameter on: want true or false", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on == "true"
	w.WriteHeader(http.StatusNoContent)
}
