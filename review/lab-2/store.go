package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as it is sent.
type item struct {
	Key       string `json:"Key"`
	Value     string `json:"Value,omitempty"`
	ModRev    uint64 `json:"ModRev"`
	CreateRev uint64 `json:"CreateRev,omitempty"`
	Lease     uint64 `json:"Lease"`
	Deleted   bool   `json:"Deleted,omitempty"`
}

// store is the platform's store.
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore(address string) (*store, error) {
	s := &store{address: address, rev: 100, items: map[string]item{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value)), ModRev: s.rev, CreateRev: s.rev}
	if old, ok := s.items[key]; ok {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/-/kv-key":
		s.mu.Lock()
		it, ok := s.items[r.FormValue("Key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.write(w, map[string]any{"Key": it.Key, "Value": it.Value, "ModRev": it.ModRev, "CreateRev": it.CreateRev, "Lease": 0, "CurrentRev": rev})
	case "/-/kv-range":
		s.list(w, r)
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.FormValue("Prefix")) && k > r.FormValue("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, k := range keys[:min(page, len(keys))] {
		items = append(items, s.items[k])
	}
	rev := s.rev
	s.mu.Unlock()
	s.write(w, map[string]any{"items": items, "Truncated": len(keys) > page, "CurrentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mu.Lock()
		if after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.ModRev > after && strings.HasPrefix(e.Key, r.FormValue("Prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			s.write(w, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
