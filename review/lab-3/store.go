package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: range reads with pages, and watches.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{} // closed at the next change
}

// storeItem is an item or an event of a watch.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	ModRev    uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     int    `json:",omitempty"`
	Deleted   bool   `json:",omitempty"`
}

// pageItems is the number of items in a page.
const pageItems = 500

func newStore() *Store {
	return &Store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put writes a value as JSON.
func (s *Store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: raw, ModRev: s.revision, CreateRev: s.revision}
	if old, ok := s.items[key]; ok {
		item.CreateRev = old.CreateRev
	}
	s.items[key] = item
	s.record(item)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, ModRev: s.revision, Deleted: true})
}

// record appends an event and wakes the watches. The caller holds mu.
func (s *Store) record(event storeItem) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls that read the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/kv-range":
		s.list(w, query.Get("Prefix"), query.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
		s.watch(w, r, query.Get("Prefix"), after, time.Duration(waitMs)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := map[string]any{"CurrentRev": s.revision, "Truncated": len(keys) > pageItems}
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	s.mu.Unlock()
	page["items"] = items
	_ = json.NewEncoder(w).Encode(page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for ended := false; ; {
		s.mu.Lock()
		found := []storeItem{}
		for _, e := range s.events {
			if e.ModRev > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": found, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
