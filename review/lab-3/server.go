package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Headers between clients, the system and servers.
const (
	headerID        = "Request-Id"
	headerDeadline  = "Request-Deadline"
	headerSignature = "Server-Signature"
	headerInstance  = "Target-Instance"
	headerTenant    = "Tenant"
	headerNotRun    = "Not-Executed"
)

// Run is one run of a request at a server.
type Run struct {
	at                             time.Time
	server, id, method, path, body string
	tenant                         string
}

// Runs collects the runs of all servers.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

func (r *Runs) list() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.all...)
}

// Server is a stand-in for a server that keeps to the pages. Fault, if set, may take over the
// answer to a request that has run.
type Server struct {
	id, service, address string
	slots                int
	work                 func() time.Duration
	fault                func(w http.ResponseWriter, r *http.Request) (answered bool)
	runs                 *Runs
	born                 int64

	mu   sync.Mutex
	busy int
}

// startServer serves s on ip and registers it.
func startServer(s *Server, ip string, store *Store) error {
	address, err := serve(ip, s)
	if err != nil {
		return err
	}
	s.address, s.born = address, time.Now().UnixMilli()
	s.register(store, "ready")
	return nil
}

func (s *Server) register(store *Store, state string) {
	store.Put("servers/"+s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": zone, "Version": "v1", "Concurrency": s.slots,
		"State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": s.born,
	})
}

// take takes a slot; a server without a free one rejects the request.
func (s *Server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots+4 {
		return false
	}
	s.busy++
	return true
}

func (s *Server) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// ServeHTTP rejects or runs a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if want := r.Header.Get(headerInstance); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if !s.take() {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.give()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.runs.add(Run{at: time.Now(), server: s.id, id: id, method: r.Method, path: r.URL.RequestURI(), body: string(body), tenant: r.Header.Get(headerTenant)})
	time.Sleep(s.work())
	w.Header().Set(headerSignature, s.id+"."+id)
	if s.fault != nil && s.fault(w, r) {
		return
	}
	_, _ = io.WriteString(w, bodyOf(s.id, id))
}

// bodyOf is the body of a server's answer to a request.
func bodyOf(server, id string) string {
	return fmt.Sprintf("answer of %s to %s", server, id)
}

// route is one rule of the configuration.
func route(name, kind, prefix, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"Name": name, "Kind": kind, "TargetLatencyMs": 500, "Priority": 1, "Public": false,
		"Match":  map[string]any{"Prefix": prefix},
		"Action": map[string]any{"Service": service, "TimeoutMs": timeoutMs, "MaxAttempts": 2},
	}
}

// tenant is one tenant of the configuration; rate 0 is no limit.
func tenant(name, key string, rate, burst float64) map[string]any {
	return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "RatePerS": rate, "Burst": burst}
}

// putConfig writes a configuration.
func putConfig(store *Store, version int, tenants, routes []map[string]any, services ...string) {
	var clusters []map[string]any
	for _, name := range services {
		clusters = append(clusters, map[string]any{
			"Name": name, "HealthPath": "/health", "MaxConns": 390, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 11.0,
		})
	}
	store.Put("op/config", map[string]any{
		"Version": version,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants, "Listeners": []map[string]any{{"Host": host, "Policy": routes}}, "Clusters": clusters,
	})
}

// serveStore serves the store and returns its address.
func serveStore(s *Store) string {
	address, err := serve("127.0.0.1", s)
	if err != nil {
		panic(err)
	}
	return address
}
