package platform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
)

// readerHeader is the request header with the ID of the VM that reads.
const readerHeader = "Galenasail-Reader"

// Source reads the platform. Implementations are safe for concurrent use and
// return when ctx ends.
type Source interface {
	// Read returns the current value of key.
	Read(ctx context.Context, key string) config.Value
	// Watch returns the value of key as soon as its revision is greater than after. It
	// returns config.Unchanged when that is not the case within wait, and the current value,
	// as Read does, when the platform no longer has that revision.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) config.Value
}

// HTTP is a Source that speaks the platform's HTTP protocol.
type HTTP struct {
	base   string
	reader string
	client *http.Client
}

// NewHTTP returns a source for the platform at the base URL. Reader is the ID of this
// VM. If transport is nil, a new one with at most 4 idle connections is used.
func NewHTTP(base, reader string, transport http.RoundTripper) *HTTP {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	}
	return &HTTP{base: strings.TrimSuffix(base, "/"), reader: reader, client: &http.Client{Transport: transport}}
}

// Read implements Source.
func (h *HTTP) Read(ctx context.Context, key string) config.Value {
	v, _ := h.get(ctx, "/v1/values/"+escapeKey(key))
	return v
}

// Watch implements Source.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64, wait time.Duration) config.Value {
	query := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	v, status := h.get(ctx, "/v1/watch/"+escapeKey(key)+"?"+query.Encode())
	if status == http.StatusGone {
		// The platform has returned from an older copy. A watch from the lost revision would
		// miss changes until revisions have passed it.
		return h.Read(ctx, key)
	}
	return v
}

// escapeKey escapes a key for a URL path except for its slashes.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

// get requests path and returns config.Failed for any error, and the HTTP status, 0 without a
// response.
func (h *HTTP) get(ctx context.Context, path string) (v config.Value, status int) {
	failed := config.Value{Status: config.Failed}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return failed, 0
	}
	req.Header.Set(readerHeader, h.reader)
	res, err := h.client.Do(req)
	if err != nil {
		return failed, 0
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := readBounded(res.Body, document.MaxValueBytes)
	if err != nil {
		return failed, res.StatusCode
	}
	switch res.StatusCode {
	case http.StatusNoContent:
		return config.Value{Status: config.Unchanged}, res.StatusCode
	case http.StatusNotFound:
		return config.Value{Status: config.Missing}, res.StatusCode
	case http.StatusOK:
	default:
		return failed, res.StatusCode
	}
	revision, err := strconv.ParseUint(res.Header.Get("Platform-Revision"), 10, 64)
	if err != nil {
		return failed, res.StatusCode
	}
	return config.Value{Status: config.Found, Raw: raw, Revision: revision}, res.StatusCode
}

// readBounded reads r to its end. It returns an error when r has more than limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(raw)) > limit {
		return nil, trace.LimitExceeded("platform response exceeds the limit of %d bytes", limit)
	}
	return raw, nil
}
