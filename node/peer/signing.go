package peer

import (
	"bytes"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// responseBuffer buffers a response until it is signed. The signature is a
// header, so the whole body must be known before the header is sent.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers of the response.
func (r *responseBuffer) Header() http.Header { return r.header }

// WriteHeader records the first status and ignores later ones.
func (r *responseBuffer) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write appends to the body.
func (r *responseBuffer) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}

// sendSigned signs the response and writes it to w, which shares its header map
// with the buffer.
func (r *responseBuffer) sendSigned(w http.ResponseWriter, key []byte, procedure string, n nonce) {
	r.WriteHeader(http.StatusOK)
	signature := signResponse(key, procedure, r.status, n, r.body.Bytes())
	r.header.Set(headerSignature, hex.EncodeToString(signature))
	w.WriteHeader(r.status)
	// An error means that the caller has disconnected, so nobody can receive it.
	_, _ = w.Write(r.body.Bytes())
}

// signingTransport signs each request before it is sent and verifies the
// signature of the response.
type signingTransport struct {
	next http.RoundTripper
	key  []byte
}

// RoundTrip reads the whole request body, whose size WithSendMaxBytes bounds,
// and sends it with its signature.
func (s signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	out := r.Clone(r.Context())
	out.ContentLength = int64(len(body))
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.GetBody = nil
	n := signRequest(out.Header, s.key, r.URL.Path, time.Now(), body)
	resp, err := s.next.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	if err := s.verify(resp, r.URL.Path, n); err != nil {
		return nil, err
	}
	return resp, nil
}

// verify reads the whole response body, checks its signature and replaces the
// body by a reader of the verified bytes.
func (s signingTransport) verify(resp *http.Response, procedure string, n nonce) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	_ = resp.Body.Close()
	if err != nil {
		return trace.Wrap(err)
	}
	if len(body) > maxResponseBytes {
		return trace.LimitExceeded("response body exceeds %d bytes", maxResponseBytes)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return verifyResponse(resp.Header, s.key, procedure, resp.StatusCode, n, body)
}
