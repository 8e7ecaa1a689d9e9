package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a server writes its entry.
const heartbeat = 1500 * time.Millisecond

// arrival is a request that reached a server.
type arrival struct {
	at        time.Time
	id        string
	server    string
	tenant    string
	path      string
	ran       bool
	body      int
	bodyError string
}

// serverEntry is the entry that a server writes into the store.
type serverEntry struct {
	Service         string
	Address         string
	Zone            string
	Version         string
	Concurrency     int
	State           string
	ColdRemainingMs int
	Sequence        int
	Born            int64 `json:"born"`
}

// serverConfig describes one server.
type serverConfig struct {
	service string
	address string // empty: a new port
	ip      string
	zone    string
	slots   int
	queue   int
	// id is the ID that the server had before; empty for a new one.
	id string
	// cold is how long the server is cold after its start; 0 for a warm start.
	cold time.Duration
	// work returns how long a request takes.
	work func(path string) time.Duration
	// crashes reports whether a request crashes the server when it begins to run.
	crashes func(path string) bool
	// answer writes the answer of a request that ran; nil for a short 200.
	answer func(w http.ResponseWriter, r *http.Request)
}

// server is a stand-in for a server of the users (PROTOCOL.md). Each start is a new
// incarnation with a new ID.
type server struct {
	cfg     serverConfig
	store   *store
	log     *arrivals
	id      string
	address string
	born    int64
	// coldUntil is when the server is warm.
	coldUntil time.Time
	slots     chan struct{}
	waiting   int
	http      *http.Server
	mu        sync.Mutex
	conns     map[net.Conn]bool
	sequence  int
	state     string
	down      chan struct{}
	downOnce  sync.Once
	onCrash   func(*server)
}

// arrivals collects what reached the servers.
type arrivals struct {
	mu  sync.Mutex
	all []*arrival
}

func (a *arrivals) add(x *arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]arrival, len(a.all))
	for i, x := range a.all {
		out[i] = *x
	}
	return out
}

func (a *arrivals) set(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

var serverCount struct {
	sync.Mutex
	n int
}

// startServer starts an incarnation of a server and registers it.
func startServer(cfg serverConfig, st *store, log *arrivals) (*server, error) {
	address := cfg.address
	if address == "" {
		address = net.JoinHostPort(cfg.ip, "0")
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	serverCount.Lock()
	serverCount.n++
	n := serverCount.n
	serverCount.Unlock()
	s := &server{
		cfg: cfg, store: st, log: log, id: fmt.Sprintf("i-%06d", n), address: l.Addr().String(),
		born: time.Now().UnixMilli(), coldUntil: time.Now().Add(cfg.cold), slots: make(chan struct{}, cfg.slots), conns: map[net.Conn]bool{},
		state: "ready", down: make(chan struct{}),
	}
	if cfg.id != "" {
		s.id = cfg.id
	}
	s.http = &http.Server{Handler: s, ConnState: s.track, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go s.beatLoop()
	return s, nil
}

func (s *server) key() string { return "servers/" + s.id }

func (s *server) beat() {
	s.mu.Lock()
	s.sequence++
	e := serverEntry{
		Service: s.cfg.service, Address: s.address, Zone: s.cfg.zone, Version: "v1",
		Concurrency: s.cfg.slots, State: s.state, Sequence: s.sequence, Born: s.born,
		ColdRemainingMs: s.coldRemaining(),
	}
	s.mu.Unlock()
	s.store.put(s.key(), e)
}

// coldRemaining returns how long the server stays cold, in milliseconds.
func (s *server) coldRemaining() int {
	return int(max(0, time.Until(s.coldUntil)).Milliseconds())
}

func (s *server) beatLoop() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-s.down:
			return
		case <-tick.C:
			s.beat()
		}
	}
}

func (s *server) track(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash ends the server: it resets its connections and writes nothing more. Its entry
// lapses after three heartbeat intervals.
func (s *server) crash() {
	s.downOnce.Do(func() {
		close(s.down)
		s.mu.Lock()
		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		s.mu.Unlock()
		_ = s.http.Close()
		time.AfterFunc(3*heartbeat, s.lapse)
		if s.onCrash != nil {
			s.onCrash(s)
		}
	})
}

// lapse removes the entry unless a later process of the server has written it.
func (s *server) lapse() {
	if s.store.bornOf(s.key()) == s.born {
		s.store.remove(s.key())
	}
}

// ServeHTTP answers as PROTOCOL.md says of servers.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		if ms := s.coldRemaining(); ms > 0 {
			w.Header().Set("Cold-Remaining", strconv.Itoa(ms))
		}
		_, _ = io.WriteString(w, "ok")
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := &arrival{at: time.Now(), id: id, server: s.id, tenant: r.Header.Get("Tenant"), path: r.URL.Path}
	s.log.add(a)
	n, err := io.Copy(io.Discard, r.Body)
	s.log.set(func() {
		a.body = int(n)
		if err != nil {
			a.bodyError = err.Error()
		}
	})
	if err != nil {
		return
	}
	ctx, cancel := s.deadline(r)
	defer cancel()
	if !s.enter(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.log.set(func() { a.ran = true })
	if s.cfg.crashes != nil && s.cfg.crashes(r.URL.Path) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.workTime(r.URL.Path)):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Server-Signature", s.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Server-Signature", s.id+"."+id)
	if s.cfg.answer != nil {
		s.cfg.answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "done "+id+" "+strings.Repeat("x", 200))
}

// workTime is twice as long while the server is cold.
func (s *server) workTime(path string) time.Duration {
	if time.Now().Before(s.coldUntil) {
		return 2 * s.cfg.work(path)
	}
	return s.cfg.work(path)
}

// enter waits for a slot. It returns false if the queue is full or ctx ends.
func (s *server) enter(ctx context.Context) bool {
	s.mu.Lock()
	if s.waiting >= s.cfg.queue+s.cfg.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get("Request-Deadline"))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
