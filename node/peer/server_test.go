package peer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/peer/peerv1/peerv1connect"
	"github.com/galenasail/galenasail/node/platform"
)

var key = []byte("0123456789abcdef0123456789abcdef")

func startServer(t *testing.T, h Handlers) *Server {
	t.Helper()
	s, err := NewServer(ServerConfig{Address: "127.0.0.1:0", Key: key, Handlers: h})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func tokenHandlers(n uint32) Handlers {
	return Handlers{AcquireTokens: func(_ context.Context, r *peerv1.AcquireTokensRequest) (*peerv1.AcquireTokensResponse, error) {
		return &peerv1.AcquireTokensResponse{Given: n + r.Want, Holder: true}, nil
	}}
}

// Guards against calls that do not reach their handler, lose their error code or
// hang when no handler is registered, and against traffic that is not counted.
func TestCallsReachHandlers(t *testing.T) {
	h := tokenHandlers(1)
	h.ReportPermits = func(context.Context, *peerv1.ReportPermitsRequest) (*peerv1.ReportPermitsResponse, error) {
		return nil, fault.New(fault.Overloaded, "full")
	}
	h.FetchConfig = func(context.Context, *peerv1.FetchConfigRequest) (*peerv1.FetchConfigResponse, error) {
		return &peerv1.FetchConfigResponse{Index: make([]byte, platform.MaxFetchBytes)}, nil
	}
	s, c := startServer(t, h), NewClient(ClientConfig{Key: key})
	defer c.Close()
	resp, err := c.AcquireTokens(t.Context(), s.Address(), &peerv1.AcquireTokensRequest{Want: 2})
	if err != nil || resp.Given != 3 || !resp.Holder {
		t.Errorf("AcquireTokens: got %v, %v, want 3 tokens of the holder", resp, err)
	}
	config, err := c.FetchConfig(t.Context(), s.Address(), &peerv1.FetchConfigRequest{})
	if err != nil || len(config.Index) != platform.MaxFetchBytes {
		t.Errorf("FetchConfig with a configuration of the maximum size: %v", err)
	}
	if _, err = c.ReportPermits(t.Context(), s.Address(), &peerv1.ReportPermitsRequest{}); connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Errorf("overloaded handler: got %v, want resource exhausted", err)
	}
	if _, err = c.ExchangePermits(t.Context(), s.Address(), &peerv1.ExchangePermitsRequest{}); connect.CodeOf(err) != connect.CodeUnimplemented {
		t.Errorf("missing handler: got %v, want unimplemented", err)
	}
	if s.traffic.Sent() < platform.MaxFetchBytes>>10 || s.traffic.Received() == 0 {
		t.Errorf("counted %d bytes sent and %d received, fewer than the calls have", s.traffic.Sent(), s.traffic.Received())
	}
}

// Guards against calls that reach a handler although they come from outside the
// fleet or were altered, replayed or signed too long ago.
func TestCallsAreAuthenticated(t *testing.T) {
	const path = peerv1connect.PeerServiceAcquireTokensProcedure
	body := []byte{0x20, 7} // protobuf encoding of want = 7
	now := time.Now()
	sign := func(key []byte, at time.Time, signedPath string, signedBody []byte) http.Header {
		h := http.Header{"Content-Type": {"application/proto"}}
		signRequest(h, key, signedPath, at, signedBody)
		return h
	}
	repeated := sign(key, now, path, body)
	noNonce := sign(key, now, path, body)
	noNonce.Del(headerNonce)
	large := make([]byte, maxRequestBytes+1)
	cases := []struct {
		name   string
		header http.Header
		body   []byte
		status int
	}{
		{"valid", repeated, body, http.StatusOK},
		{"repeated", repeated, body, http.StatusUnauthorized},
		{"unsigned", http.Header{"Content-Type": {"application/proto"}}, body, http.StatusUnauthorized},
		{"without nonce", noNonce, body, http.StatusUnauthorized},
		{"other key", sign(bytes.Repeat([]byte{1}, 32), now, path, body), body, http.StatusUnauthorized},
		{"altered body", sign(key, now, path, body), []byte{0x20, 8}, http.StatusUnauthorized},
		{"other procedure", sign(key, now, peerv1connect.PeerServiceReportPermitsProcedure, body), body, http.StatusUnauthorized},
		{"old", sign(key, now.Add(-maxCallAge-time.Second), path, body), body, http.StatusUnauthorized},
		{"future", sign(key, now.Add(maxCallAge+5*time.Second), path, body), body, http.StatusUnauthorized},
		{"too large", sign(key, now, path, large), large, http.StatusTooManyRequests},
	}
	s, c := startServer(t, tokenHandlers(0)), NewClient(ClientConfig{Key: key})
	defer c.Close()
	for _, tc := range cases {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+path, bytes.NewReader(tc.body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header = tc.header
		resp, err := c.transport.RoundTrip(r)
		if err != nil {
			t.Fatalf("%s: %v", tc.name, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != tc.status {
			t.Errorf("%s: got status %d, want %d", tc.name, resp.StatusCode, tc.status)
		}
	}
	if got := s.traffic.Refused(); got != int64(len(cases)-1) {
		t.Errorf("counted %d refusals, want all cases but the first", got)
	}
}

// Guards against accepting a response from outside the fleet, or one that a member
// sent to another call, for example a recorded one.
func TestAnswersAreAuthenticated(t *testing.T) {
	h, n, body := http.Header{}, nonce{1}, []byte("body")
	(&responseBuffer{header: h, status: 200, body: *bytes.NewBuffer(body)}).sendSigned(httptest.NewRecorder(), key, "/p", n)
	if err := verifyResponse(h, key, "/p", 200, n, body); err != nil {
		t.Error(err)
	}
	for i, err := range []error{
		verifyResponse(http.Header{}, key, "/p", 200, n, body),
		verifyResponse(h, key, "/p", 200, nonce{2}, body),
		verifyResponse(h, key, "/q", 200, n, body),
		verifyResponse(h, key, "/p", 401, n, body),
		verifyResponse(h, key, "/p", 200, n, []byte("other")),
	} {
		if !trace.IsAccessDenied(err) {
			t.Errorf("altered response %d: got %v, want access denied", i, err)
		}
	}
	// A server with another key refuses the call without a signature, so the client
	// must not accept the refusal as a response.
	s, c := startServer(t, tokenHandlers(0)), NewClient(ClientConfig{Key: bytes.Repeat([]byte{1}, 32)})
	defer c.Close()
	if _, err := c.AcquireTokens(t.Context(), s.Address(), &peerv1.AcquireTokensRequest{}); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("response of a server with another key: got %v, want unavailable", err)
	}
}

// Guards against a nonce that is dropped while its call is still valid. A call from
// a VM whose clock is ahead by maxCallAge is valid for 2*maxCallAge.
func TestNonceIsKeptWhileCallIsValid(t *testing.T) {
	v := newVerifier(key)
	start := time.Now()
	for age := time.Duration(0); age <= 2*maxCallAge; age += time.Second {
		if err := v.recordNonce(nonce{1}, start.Add(age)); (err == nil) != (age == 0) {
			t.Errorf("%v after the first use of the nonce: %v", age, err)
		}
		if err := v.recordNonce(nonce{2, byte(age / time.Second)}, start.Add(age)); err != nil {
			t.Fatal(err)
		}
	}
}
