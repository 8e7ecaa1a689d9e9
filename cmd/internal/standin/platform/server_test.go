package platform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// do sends a request to the server and returns the answer's status, body and revision.
func do(s *Server, method, path, body, reader string) (status int, text, revision string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(readerHeader, reader)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	raw, _ := io.ReadAll(w.Body)
	return w.Code, string(raw), w.Header().Get("Platform-Revision")
}

// Guards against a stand-in that accepts more or less than the platform protocol:
// ticket numbers, sizes, immutable documents, removed documents and repeated tickets.
func TestProtocol(t *testing.T) {
	s := New(Config{})
	big := `{"ticket":9,"documents":{"domains":"` + strings.Repeat("x", 1_000_001) + `"}}`
	steps := []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"GET", "/v1/values/index", "", 404, ""},
		{"POST", "/admin/ticket", `{"ticket":5,"documents":{"domains":{"any": "thing"},"routes/a":{}}}`, 204, ""},
		{"POST", "/admin/ticket", `{"ticket":5,"documents":{"domains":{"any":"thing"},"routes/a":{}}}`, 204, ""},
		{"POST", "/admin/ticket", `{"ticket":5,"documents":{"domains":{"other":"thing"}}}`, 409, "not greater"},
		{"POST", "/admin/ticket", `{"ticket":4,"documents":{}}`, 409, "not greater"},
		{"POST", "/admin/ticket", big, 400, "1000000"},
		{"POST", "/admin/ticket", `{"ticket":6,"documents":{"routes/a":null}}`, 204, ""},
		{"GET", "/v1/values/index", "", 200, `{"ticket":6,"documents":[{"name":"domains","ticket":5`},
		{"GET", "/v1/values/documents/domains@5", "", 200, `{"any":"thing"}`},
		{"GET", "/v1/values/documents/routes/a@5", "", 200, `{}`},
		{"POST", "/admin/vms", `{"version":3,"vms":[]}`, 204, ""},
		{"POST", "/admin/vms", `{"version":3,"vms":[]}`, 409, "not greater"},
		{"GET", "/v1/watch/index?after=0&waitMs=10", "", 200, `"ticket":6`},
		{"GET", "/v1/watch/index?after=x&waitMs=10", "", 400, ""},
		{"POST", "/admin/absence", `{"mode":"asleep","forMs":10}`, 400, "asleep"},
	}
	for _, c := range steps {
		if status, text, _ := do(s, c.method, c.path, c.body, ""); status != c.status || !strings.Contains(text, c.text) {
			t.Errorf("%s %s: got status %d, body %s; want %d and a body with %q", c.method, c.path, status, text, c.status, c.text)
		}
	}
}

// Guards against a watch that misses a change, returns early, or is not counted
// in each second in which it is open, and against a read limit that refuses no call.
func TestWatchAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ReadsPerSecond: 5})
		start := time.Now()
		time.AfterFunc(2500*time.Millisecond, func() { publish(t, s, `{"ticket":1,"documents":{}}`) })
		status, _, revision := do(s, http.MethodGet, "/v1/watch/index?after=0&waitMs=9000", "", "")
		if took := time.Since(start); status != 200 || took != 2500*time.Millisecond {
			t.Errorf("watch of a change after 2.5 s: got status %d after %v, want 200 after 2.5 s", status, took)
		}
		if r := s.Reads(); r.Total != 3 || r.PeakPerSecond != 1 {
			t.Errorf("watch of 2.5 s: got %+v, want 3 reads in total and a peak of 1", r)
		}
		if status, _, _ = do(s, http.MethodGet, "/v1/watch/index?after="+revision+"&waitMs=300", "", ""); status != 204 {
			t.Errorf("watch without a change: got status %d, want 204", status)
		}
		time.Sleep(time.Second)
		for i := range 6 {
			if status, _, _ = do(s, http.MethodGet, "/v1/values/index", "", ""); (status == 503) != (i == 5) {
				t.Errorf("call %d of this second, limit 5: got status %d", i+1, status)
			}
		}
		if r := s.Reads(); r.Refused != 1 || r.PeakPerSecond != 6 {
			t.Errorf("%+v", r) // The counters after six calls with a limit of 5.
		}
	})
}

// Guards against injected faults that have no effect, affect other readers or do
// not end.
func TestInjectedFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		publish(t, s, `{"ticket":1,"documents":{}}`)
		do(s, "POST", "/admin/stale", `{"readers":["vm-1"],"forMs":1000}`, "")
		publish(t, s, `{"ticket":2,"documents":{}}`)
		want := func(reader string, ticket int) {
			t.Helper()
			if _, text, _ := do(s, "GET", "/v1/values/index", "", reader); !strings.Contains(text, fmt.Sprintf(`"ticket":%d`, ticket)) {
				t.Errorf("reader %s: got index %s, want ticket %d", reader, text, ticket)
			}
		}
		want("vm-1", 1)
		want("vm-2", 2)
		time.Sleep(time.Second)
		want("vm-1", 2)
		do(s, "POST", "/admin/absence", `{"mode":"hanging","forMs":700}`, "")
		start := time.Now()
		if status, _, _ := do(s, "GET", "/v1/values/index", "", ""); status != 503 || time.Since(start) != 700*time.Millisecond {
			t.Errorf("hanging platform: got status %d after %v, want 503 after 700 ms", status, time.Since(start))
		}
		want("vm-1", 2)
		do(s, "POST", "/admin/vms?lagMs=400", `{"version":1,"vms":[]}`, "")
		before, _, _ := do(s, "GET", "/v1/values/vms", "", "")
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		if after, _, _ := do(s, "GET", "/v1/values/vms", "", ""); before != 404 || after != 200 {
			t.Errorf("VM list with a lag of 400 ms: got status %d before the lag and %d after it, want 404 and 200", before, after)
		}
	})
}
