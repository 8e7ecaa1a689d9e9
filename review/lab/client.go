package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	mrand "math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "shop.example"

// client is a client of the users: it asks a directory node where to connect, nearest
// first, keeps the answer for its TTL and connects there.
type client struct {
	fleet *fleet
	zone  string
	http  *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// newClient returns a client in a zone. It opens a connection for each request unless
// kept is true.
func newClient(f *fleet, zone string, kept bool) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	t := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: !kept, DisableCompression: true, MaxIdleConnsPerHost: 4}
	return &client{fleet: f, zone: zone, http: &http.Client{Transport: t}}
}

// addressTTL is how long an address answer is kept.
const addressTTL = time.Second

// address returns the address of a machine to connect to; empty when none is known.
func (c *client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		if found := c.resolve(); len(found) > 0 {
			c.addresses, c.until = found, time.Now().Add(addressTTL)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[mrand.Intn(len(c.addresses))]
}

// resolve asks up to three directory nodes, those of the own zone first.
func (c *client) resolve() []string {
	var near, far []*vm
	for _, v := range c.fleet.vms {
		if v.zone == c.zone {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	mrand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	mrand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	for i, v := range append(near, far...) {
		if i == 3 {
			break
		}
		if found := v.resolve(host); len(found) > 0 {
			return found
		}
	}
	return nil
}

// forget drops an address that failed.
func (c *client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []string
	for _, a := range c.addresses {
		if a != address {
			kept = append(kept, a)
		}
	}
	c.addresses = kept
	if len(kept) == 0 {
		c.until = time.Time{}
	}
}

// request is one client attempt.
type request struct {
	method, path, key string
	deadline          time.Duration
	body              []byte
	id                string
	leaves            time.Duration // after which the client closes its connection; 0 if it stays
}

// result is what the client got.
type result struct {
	request
	sent      time.Time
	address   string
	status    int
	signature string
	complete  bool
	err       error
	took      time.Duration
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// do sends one attempt to a machine that the directory named.
func (c *client) do(r request) result {
	address := c.address()
	if address == "" {
		return result{request: r, sent: time.Now(), err: errNoAddress}
	}
	res := c.doAt(address, r)
	if res.err != nil {
		c.forget(address)
	}
	return res
}

var errNoAddress = io.ErrNoProgress

// doAt sends one attempt to the machine at address.
func (c *client) doAt(address string, r request) result {
	if r.id == "" {
		r.id = newID()
	}
	res := result{request: r, sent: time.Now(), address: address}
	patience := r.deadline
	if r.leaves > 0 {
		patience = r.leaves
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var body io.Reader
	if len(r.body) > 0 {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		res.err = err
		return res
	}
	req.Host = host
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	resp, err := c.http.Do(req)
	res.took = time.Since(res.sent)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status, res.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
	_, err = io.Copy(io.Discard, resp.Body)
	res.took = time.Since(res.sent)
	res.complete, res.err = err == nil, err
	return res
}
