// Package load simulates callers: it queries the fleet for addresses, sends requests at a
// fixed rate for each workspace, and counts the results.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Limits of one caller.
const (
	requestTimeout   = 10 * time.Second
	addressTimeout   = 2 * time.Second
	maxResponseBytes = 8 << 20
	maxIdlePerVM     = 64
	// minValidity is the shortest time for which an address answer is used.
	minValidity     = 100 * time.Millisecond
	addressAttempts = 5
)

// address is one entry of the answer to the address query.
type address struct {
	// Address is the VM's address for callers, host:port.
	Address string `json:"address"`
	// Instance is the prefix of idempotency keys that are sent to this address.
	Instance string `json:"instance"`
}

// addressResponse is the answer to the address query.
type addressResponse struct {
	Addresses []address `json:"addresses"`
	KeepForMs int64     `json:"keepForMs"`
}

// Caller sends requests of one workspace. It is safe for concurrent use.
type Caller struct {
	key         string
	seeds       []string
	randomSeeds bool
	http        *http.Client

	mu        sync.Mutex
	addresses []address
	expires   time.Time
}

// NewCaller returns a caller with the given workspace key. It sends address queries to
// random seeds, which are VM addresses of the form host:port.
func NewCaller(key string, seeds []string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerVM, DisableCompression: true}
	return &Caller{
		key:   key,
		seeds: seeds,
		http:  &http.Client{Transport: transport, Timeout: requestTimeout},
	}
}

// UseRandomSeeds makes the caller send each request to a random seed instead of querying
// the fleet for addresses. Its requests then have no idempotency key. Call it before the
// first request.
func (c *Caller) UseRandomSeeds() {
	c.randomSeeds = true
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.http.CloseIdleConnections()
}

// chooseAddress returns a random address for one request. It queries the fleet if the
// last answer has expired.
func (c *Caller) chooseAddress(ctx context.Context) (address, error) {
	if c.randomSeeds {
		return address{Address: c.seeds[rand.IntN(len(c.seeds))]}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.addresses) == 0 {
		if err := c.refreshAddresses(ctx); err != nil {
			return address{}, trace.Wrap(err)
		}
	}
	return c.addresses[rand.IntN(len(c.addresses))], nil
}

// dropAddress removes an address that did not serve a request, until the next query.
func (c *Caller) dropAddress(a address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.addresses[:0:0]
	for _, k := range c.addresses {
		if k != a {
			remaining = append(remaining, k)
		}
	}
	c.addresses = remaining
}

// refreshAddresses queries random seeds until one of them answers, at most
// addressAttempts times. The caller holds c.mu.
func (c *Caller) refreshAddresses(ctx context.Context) error {
	var lastErr error
	for range addressAttempts {
		seed := c.seeds[rand.IntN(len(c.seeds))]
		answer, err := c.queryAddresses(ctx, seed)
		if err != nil {
			lastErr = err
			continue
		}
		validFor := max(time.Duration(answer.KeepForMs)*time.Millisecond, minValidity)
		c.addresses = answer.Addresses
		c.expires = time.Now().Add(validFor)
		return nil
	}
	return trace.Wrap(lastErr)
}

// queryAddresses sends the address query to one seed. An answer without addresses is an
// error.
func (c *Caller) queryAddresses(ctx context.Context, seed string) (*addressResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+seed+"/galenasail/v1/addresses", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("address query at %s: got %s, want 200 OK", seed, resp.Status)
	}
	var answer addressResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&answer); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(answer.Addresses) == 0 {
		return nil, trace.NotFound("address query at %s: the answer contains no address", seed)
	}
	return &answer, nil
}

// Request is a request that a caller sends.
type Request struct {
	// Method is GET for idempotent requests and POST for others.
	Method string
	// Path is the path with the query.
	Path string
	// Body is the request body; an empty one is not sent.
	Body string
	// WithKey adds an idempotency key, if the address comes from an address query.
	WithKey bool
}

// Result is the outcome of one request as the caller sees it.
type Result struct {
	// Status is the HTTP status, 0 if no answer arrived.
	Status int
	// Kind is the error kind that the fleet or the caller itself reports; empty for an
	// answer of a target.
	Kind string
	// Ran is the value of Galenasail-Ran, by which the fleet states whether the request
	// ran; empty for an answer of a target.
	Ran string
	// RequestID is the identifier that the fleet assigned to the request.
	RequestID string
	// IdempotencyKey is the key that was sent, if any.
	IdempotencyKey string
	// Body is the body of the answer.
	Body string
	// Broken is true if no complete answer arrived.
	Broken bool
	// Elapsed is the time from sending to the end of the answer.
	Elapsed time.Duration
}

// OK reports whether the target sent a complete answer with a status of 200 to 399.
func (r Result) OK() bool {
	return !r.Broken && r.Kind == "" && r.Status >= 200 && r.Status < 400
}

// Send sends one request and reads the complete answer. After a broken connection, or a
// refusal with status 503 that did not run, it drops the address.
func (c *Caller) Send(ctx context.Context, r Request) Result {
	start := time.Now()
	a, err := c.chooseAddress(ctx)
	if err != nil {
		return Result{Broken: true, Kind: "no_address", Ran: "no", Elapsed: time.Since(start)}
	}
	res := c.sendTo(ctx, a, r)
	res.Elapsed = time.Since(start)
	if res.Broken || res.Ran == "no" && res.Status == http.StatusServiceUnavailable {
		c.dropAddress(a)
	}
	return res
}

func (c *Caller) sendTo(ctx context.Context, a address, r Request) Result {
	var body io.Reader
	if r.Body != "" {
		// Hiding the type of the reader leaves net/http without GetBody, so that it
		// cannot replay the request on its own.
		body = struct{ io.Reader }{strings.NewReader(r.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Address+r.Path, body)
	if err != nil {
		return Result{Broken: true, Kind: "bad_url"}
	}
	if r.Body != "" {
		req.ContentLength = int64(len(r.Body))
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	var res Result
	if r.WithKey && a.Instance != "" {
		res.IdempotencyKey = fmt.Sprintf("%s.%x", a.Instance, rand.Uint64())
		req.Header.Set("Idempotency-Key", res.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		res.Broken = true
		return res
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	res.RequestID = resp.Header.Get("Galenasail-Request-Id")
	res.Ran = resp.Header.Get("Galenasail-Ran")
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	res.Broken = err != nil && !errors.Is(err, io.EOF)
	res.Body = string(raw)
	if res.Ran != "" {
		res.Kind = errorKind(raw)
	}
	return res
}

// errorKind returns the error kind in an error answer of the fleet.
func errorKind(raw []byte) string {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil || answer.Error == "" {
		return "unreadable"
	}
	return answer.Error
}
