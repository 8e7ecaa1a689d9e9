package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client gets for a request.
type Answer struct {
	status int
	header http.Header
	body   string
	err    error // why there is no complete answer
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request is a request of a client.
type Request struct {
	id, method, path, body, key string
	deadline                    time.Duration
	header                      map[string]string
}

// newTransport returns the connections of clients, without an encoding of answers and without
// retries of their own.
func newTransport() *http.Transport {
	return &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

// send sends a request to a front address and reads the answer.
func send(t *http.Transport, front string, q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var body io.Reader
	if q.body != "" {
		body = bytes.NewReader([]byte(q.body))
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+front+q.path, body)
	if err != nil {
		return Answer{err: err}
	}
	r.GetBody = nil // no silent retry
	r.Host = host
	r.Header.Set(headerID, q.id)
	r.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return Answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return Answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
