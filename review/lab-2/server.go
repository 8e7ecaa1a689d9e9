package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a sound server of the platform unless behave says otherwise.
type server struct {
	rec         *record
	store       *store
	id, service string
	address     string
	zone        string
	slots       int
	born        int64 // Unix milliseconds of its start
	free        chan struct{}
	queue       int
	// work is how long a request runs.
	work func(r *http.Request) time.Duration
	// behave, if not nil, serves a request instead; it returns false to leave it to the server.
	behave func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool

	mu      sync.Mutex
	waiting int
	runs    map[string]int
	bodies  map[string]string
	http    *http.Server
}

func newServer(f *fleet, id, service, address, zone string, slots int) (*server, error) {
	s := &server{rec: f.rec, store: f.store, id: id, service: service, address: address, zone: zone, slots: slots, queue: 8, born: time.Now().UnixMilli(),
		free: make(chan struct{}, slots), runs: map[string]int{}, bodies: map[string]string{},
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.register("ready", 0)
	return s, nil
}

// entry returns the registration of s.
func (s *server) entry(state string, coldMs int) string {
	raw, _ := json.Marshal(map[string]any{"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Concurrency": s.slots,
		"State": state, "ColdRemainingMs": coldMs, "Sequence": 1, "born": s.born})
	return string(raw)
}

func (s *server) register(state string, coldMs int) {
	s.store.put("servers/"+s.id, s.entry(state, coldMs))
	s.rec.logf("server %s registers as %s", s.id, state)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.behave != nil && s.behave(s, w, r, body) {
		return
	}
	if !s.begin(r) {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.free }()
	s.run(r, body)
	time.Sleep(s.work(r))
	s.answer(w, r, 200, "body of "+id)
}

// begin waits for a slot. It returns false if the queue is full or the caller leaves.
func (s *server) begin(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.waiting--; s.mu.Unlock() }()
	select {
	case s.free <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// run records that a request runs.
func (s *server) run(r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.runs[id]++
	s.bodies[id] = string(body)
	s.mu.Unlock()
	s.rec.logf("server %s runs %s (%s %s, tenant %s, %d bytes)", s.id, id, r.Method, r.URL.RequestURI(), r.Header.Get("Tenant"), len(body))
}

func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) answer(w http.ResponseWriter, r *http.Request, status int, body string) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Signature", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
	s.rec.logf("server %s answers %s with %d", s.id, id, status)
}

// route is a route of the configuration.
type route struct {
	name, kind, prefix, service  string
	timeoutMs, targetMs, attempt int
	priority                     int
	public                       bool
}

// tenant is a tenant of the configuration.
type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}

const host = "ficu95.example"

// configuration returns the operator's configuration.
func configuration(version int, routes []route, tenants []tenant, services ...string) string {
	policy := []any{}
	for _, r := range routes {
		policy = append(policy, map[string]any{"Name": r.name, "Kind": r.kind, "TargetLatencyMs": r.targetMs, "Priority": r.priority, "Public": r.public,
			"Match":  map[string]any{"Prefix": r.prefix},
			"Action": map[string]any{"Service": r.service, "TimeoutMs": r.timeoutMs, "MaxAttempts": r.attempt}})
	}
	ts := []any{}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"Name": t.name, "ApiKeys": t.keys, "Priority": 1, "RatePerS": t.rate, "Burst": t.burst})
	}
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"Name": s, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 7.6})
	}
	raw, _ := json.Marshal(map[string]any{"Version": version,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": ts, "Listeners": []any{map[string]any{"Host": host, "Policy": policy}}, "Clusters": clusters})
	return string(raw)
}

// get sends a simple request to one of the system's own interfaces.
func get(address, path string) (status int, body string, err error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + address + path)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// maxAnswer bounds what a client reads of an answer, in bytes.
const maxAnswer = 4 << 20

// client is a client with kept connections.
type client struct {
	rec  *record
	key  string
	http http.Client
}

func newClient(rec *record, key string) *client {
	return &client{rec: rec, key: key, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}}
}

// result is what a client saw of a request.
type result struct {
	id        string
	sent      time.Time
	took      time.Duration
	status    int
	signature string
	body      string
	err       error
}

// send sends a request and waits for its answer.
func (c *client) send(address, method, path, id string, deadline time.Duration, body string) result {
	req, _ := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Host = host
	req.GetBody = nil
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("User-Agent", "")
	res := result{id: id, sent: time.Now()}
	c.rec.logf("client sends %s (%s %s) to %s", id, method, path, address)
	resp, err := c.http.Do(req)
	if err == nil {
		res.status, res.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
		var raw []byte
		raw, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
		_ = resp.Body.Close()
		res.body = string(raw)
	}
	res.took, res.err = time.Since(res.sent), err
	if err != nil {
		c.rec.logf("client gets no answer to %s after %.3f s: %v", id, res.took.Seconds(), err)
	} else {
		c.rec.logf("client gets %d to %s after %.3f s, signature %q, %d bytes", res.status, id, res.took.Seconds(), res.signature, len(res.body))
	}
	return res
}

var sequence struct {
	sync.Mutex
	n int
}

// newID returns a new request ID.
func newID() string {
	sequence.Lock()
	defer sequence.Unlock()
	sequence.n++
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, sequence.n)
}
