package target

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"
)

// Fault is what is wrong with a target. The zero value is a healthy one.
type Fault struct {
	// SlowFactor multiplies the service time when positive.
	SlowFactor float64 `json:"slowFactor"`
	// ErrorPercent of the requests are answered with status 500.
	ErrorPercent float64 `json:"errorPercent"`
	// TruncatePercent of the answers are cut after half of their bytes.
	TruncatePercent float64 `json:"truncatePercent"`
	// ClosePercent of the connections are closed without an answer.
	ClosePercent float64 `json:"closePercent"`
	// HangPercent of the requests are never answered.
	HangPercent float64 `json:"hangPercent"`
	// FlapOnMs and FlapOffMs switch the fault on and off in turn; 0 keeps it on.
	FlapOnMs  int `json:"flapOnMs"`
	FlapOffMs int `json:"flapOffMs"`
	// CrashMarker crashes the target when path or body contain it.
	CrashMarker string `json:"crashMarker"`
	// HealthLies makes /health answer well whatever the state is.
	AlwaysHealthy bool `json:"healthLies"`
	// LoadLagMs delays /load by this time.
	LoadLagMs int `json:"loadLagMs"`
	// LoadLie replaces the load that /load shows when not nil.
	FalseLoad *int `json:"loadLie"`
}

// setFault handles POST /standin/fault with a Fault as JSON; it replaces the
// fault in force.
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

// SetFault replaces the fault in force.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	t.faultSetAt = time.Now()
}

// activeFault returns the fault at this moment of a flapping period.
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

func (f Fault) crashesOn(r *http.Request, body []byte) bool {
	if f.CrashMarker == "" {
		return false
	}
	return strings.Contains(r.URL.Path, f.CrashMarker) || bytes.Contains(body, []byte(f.CrashMarker))
}

// crash resets all connections and starts cold, as a process that died does.
func (t *Target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Crashes++
	t.restart(time.Now())
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Linger 0 makes Close send a reset instead of an orderly end.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// setDraining handles POST /standin/drain with parameter on=true or on=false.
func (t *Target) setDraining(w http.ResponseWriter, r *http.Request) {
	on := r.URL.Query().Get("on")
	if on != "true" && on != "false" {
		http.Error(w, "parameter on must be true or false", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on == "true"
	w.WriteHeader(http.StatusNoContent)
}
