package command

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/galenasail/galenasail/core/fault"
)

// Guards against a request that gets the stored answer of a request to another host.
func TestIdempotencyKeyBelongsToOneHost(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Host) })
	send := func(host string) answer {
		req, err := http.NewRequest("POST", f.url+"/post/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Idempotency-Key", "abc.1")
		return receive(callerTransport(false).RoundTrip(req))
	}
	if a := send("a.example"); a.body != "a.example" {
		t.Fatalf("status %d, body %q, error %v", a.StatusCode, a.body, a.err)
	}
	f.wantKind(send("b.example"), fault.KeyReused)
}
