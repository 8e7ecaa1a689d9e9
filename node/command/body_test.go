package command

import (
	"github.com/galenasail/galenasail/core/fault"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an attempt that has ended and still takes bytes of the body from the next one.
func TestEndedAttemptTakesNoBytesOfTheBody(t *testing.T) {
	const prefix, rest = "prefix,", "rest"
	f := startHarnessAt(t, "127.0.0.1:1")
	ex := f.newExchange("POST", "/post/x")
	ex.body = &callerBody{prefix: []byte(prefix), consumed: int64(len(prefix)), length: -1, limit: 100, source: io.NopCloser(strings.NewReader(rest))}
	bodyOf := func() io.Reader { return ex.newAttempt(&fakePermit{harness: f}).request().Body }
	ended, next := bodyOf(), bodyOf()
	if got, err := io.ReadAll(ended); string(got) != prefix || err == nil {
		t.Errorf("the ended attempt read %q, error %v; want %q and an error", got, err, prefix)
	}
	if got, err := io.ReadAll(next); string(got) != prefix+rest || err != nil {
		t.Errorf("the next attempt read %q, error %v; want %q", got, err, prefix+rest)
	}
}

// Guards against an attempt that sends a body with a gap, because the one before it had begun to read the rest.
func TestBodyBegunByAnEarlierAttemptIsNotSentWithAGap(t *testing.T) {
	f := startHarnessAt(t, "127.0.0.1:1")
	ex := f.newExchange("POST", "/post/x")
	ex.body = &callerBody{prefix: []byte("prefix,"), consumed: 7, length: -1, limit: 100, source: io.NopCloser(strings.NewReader("rest"))}
	first := ex.newAttempt(&fakePermit{harness: f}).request().Body
	if _, err := io.ReadFull(first, make([]byte, 9)); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(ex.newAttempt(&fakePermit{harness: f}).request().Body); err == nil {
		t.Errorf("the second attempt read %q without an error", got)
	}
}

// Guards against an early refusal that reaches the caller only when it sends more of its body.
func TestEarlyRefusalDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	shed := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		time.Sleep(20 * time.Millisecond) // the attempt reads on meanwhile
		return write(c, withEcho(r, shedAnswer))
	})
	f := startHarnessAt(t, shed.address)
	sent, rest := io.Pipe()
	t.Cleanup(func() { _ = rest.Close() })
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", prefixBytes)), sent)
	began := time.Now()
	a := f.doOver(false, "POST", "/post/x", body, nil, "X-Early: 1")
	t.Log(time.Since(began))
	f.wantKind(a, fault.Overloaded)
	if time.Since(began) > time.Second {
		t.Errorf("answered after %v, want at once", time.Since(began))
	}
}
