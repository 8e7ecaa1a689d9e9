package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or an event of a watch.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	ModRev    uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64
	Deleted   bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store (PROTOCOL.md).
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
	// serves returns false for a caller that the store turns away with 503; nil for none.
	serves func(caller string) bool
}

// pageItems is the largest number of items of one page.
const pageItems = 500

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rev: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.guard(s.readKey))
	mux.HandleFunc("GET /-/kv-range", s.guard(s.readRange))
	mux.HandleFunc("GET /-/kv-watch", s.guard(s.watch))
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		serves := s.serves
		s.mu.Unlock()
		if serves != nil && !serves(callerIP(r)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func callerIP(r *http.Request) string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

// put writes an item and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	item := storeItem{Key: key, Value: raw, ModRev: s.rev, CreateRev: created}
	s.items[key] = item
	s.append(item)
	return time.Now()
}

// setServes sets which callers the store serves.
func (s *store) setServes(serves func(caller string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serves = serves
}

// remove deletes an item.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return time.Now()
	}
	delete(s.items, key)
	s.rev++
	s.append(storeItem{Key: key, ModRev: s.rev, Deleted: true})
	return time.Now()
}

// bornOf returns the field born of a server's entry; 0 without an entry.
func (s *store) bornOf(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e serverEntry
	if item, ok := s.items[key]; ok {
		_ = json.Unmarshal(item.Value, &e)
	}
	return e.Born
}

func (s *store) append(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := struct {
		Items      []storeItem `json:"items"`
		Truncated  bool
		CurrentRev uint64
	}{Items: []storeItem{}, CurrentRev: s.rev}
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > pageItems {
		keys, page.Truncated = keys[:pageItems], true
	}
	for _, key := range keys {
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("Prefix")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		events, rev, changed := s.eventsAfter(prefix, after)
		if len(events) > 0 {
			s.writeEvents(w, events, rev)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.writeEvents(w, []storeItem{}, rev)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) writeEvents(w http.ResponseWriter, events []storeItem, rev uint64) {
	writeJSON(w, struct {
		Events     []storeItem `json:"events"`
		CurrentRev uint64
	}{events, rev})
}

func (s *store) eventsAfter(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, item := range s.history {
		if item.ModRev > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.rev, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
