package target

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBodyBytes bounds the request body that a target reads and the padding of an
// answer, in bytes.
const maxBodyBytes = 64 << 20

// Answer is the JSON body of a complete answer.
type Answer struct {
	// Target is the ID of the target.
	Target string `json:"target"`
	// RequestID, Workspace and Path are those of the request.
	RequestID string `json:"requestId"`
	Workspace string `json:"workspace"`
	Path      string `json:"path"`
	// BodyBytes and BodySHA256 are the size and the SHA-256 of the request's body.
	BodyBytes  int    `json:"bodyBytes"`
	BodySHA256 string `json:"bodySha256"`
	// Run is the number of executions of this request ID on this target, this one
	// included.
	Run int `json:"run"`
	// Padding has the number of bytes that the query parameter bytes asks for.
	Padding string `json:"padding,omitempty"`
}

// serve handles one request: it sheds the request or queues and runs it.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(HeaderRequestID); id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body cannot be read or is too large", http.StatusBadRequest)
		return
	}
	t.countKeyLeaks(r, body)
	ctx, cancel := withTimeout(r)
	defer cancel()
	now := time.Now()
	if t.random.chance(t.activeFault(now).ShedPercent) {
		t.recordShed()
		t.shed(w)
		return
	}
	if !t.admit(now) {
		t.shed(w)
		return
	}
	defer t.release()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		t.rejectExpired(w)
		return
	}
	t.run(ctx, w, r, body)
}

// withTimeout returns the request's context with the deadline that the request
// carries, if any.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// admit admits a request unless the target is draining or its queue is full.
func (t *Target) admit(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining || t.inFlight >= t.config.Slots+t.config.Queue {
		t.stats.Shed++
		if t.draining {
			t.stats.ShedDraining++
		}
		return false
	}
	t.inFlight++
	t.stats.MaxInFlight = max(t.stats.MaxInFlight, t.inFlight)
	t.collapseIfOverloaded(now)
	return true
}

// release ends a request that admit has admitted.
func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// shed refuses a request that did not run.
func (t *Target) shed(w http.ResponseWriter) {
	w.Header().Set(HeaderShed, ShedNotRun)
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// rejectExpired refuses a request whose deadline passed in the queue.
func (t *Target) rejectExpired(w http.ResponseWriter) {
	t.mu.Lock()
	t.stats.ExpiredInQueue++
	t.mu.Unlock()
	t.shed(w)
}

// run executes a request and answers it, subject to the active fault.
func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	f := t.activeFault(time.Now())
	if f.crashesOn(r, body) {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	run := t.recordRun(r)
	if t.random.chance(f.HangPercent) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(t.serviceTime(r, f, time.Now())):
	case <-ctx.Done():
		t.recordCanceled()
		panic(http.ErrAbortHandler)
	}
	if t.random.chance(f.ClosePercent) {
		panic(http.ErrAbortHandler)
	}
	if t.random.chance(f.ErrorPercent) {
		http.Error(w, "injected error", http.StatusInternalServerError)
		return
	}
	t.answer(w, r, body, run, t.random.chance(f.TruncatePercent))
}

// answer writes the answer, or, if truncate is true, the first half of its bytes and
// then aborts the response.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, body []byte, run int, truncate bool) {
	sum := sha256.Sum256(body)
	a := Answer{
		Target:     t.config.ID,
		RequestID:  r.Header.Get(HeaderRequestID),
		Workspace:  r.Header.Get(HeaderWorkspace),
		Path:       r.URL.Path,
		BodyBytes:  len(body),
		BodySHA256: hex.EncodeToString(sum[:]),
		Run:        run,
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && n > 0 && n <= maxBodyBytes {
		a.Padding = strings.Repeat("x", n)
	}
	raw, err := json.Marshal(a)
	if err != nil {
		http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if !truncate {
		_, _ = w.Write(raw)
		return
	}
	_, _ = w.Write(raw[:len(raw)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// countKeyLeaks counts the workspace keys that occur in any part of the request.
func (t *Target) countKeyLeaks(r *http.Request, body []byte) {
	for _, key := range t.config.Keys {
		if !containsKey(r, body, key) {
			continue
		}
		t.mu.Lock()
		t.stats.KeysSeen++
		t.mu.Unlock()
	}
}

func containsKey(r *http.Request, body []byte, key string) bool {
	if strings.Contains(r.RequestURI, key) || bytes.Contains(body, []byte(key)) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}
