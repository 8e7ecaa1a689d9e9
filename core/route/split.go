package route

import (
	"slices"
	"sync"

	"github.com/galenasail/galenasail/core/document"
)

// Splitter distributes the requests of routes among services by weight, with smooth
// weighted round-robin. Counted from the first request of a route, no service gets more
// than one request above its exact share. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*splitState
}

// splitState is the weighted round-robin state of one route.
type splitState struct {
	split  []document.WeightedService
	credit []float64
}

// NewSplitter returns a splitter without state for any route.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]*splitState{}}
}

// Service returns the service for the next request of r.
func (s *Splitter) Service(r *document.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.routes[r.ID]
	if state == nil || !slices.Equal(state.split, r.Split) {
		state = &splitState{split: r.Split, credit: make([]float64, len(r.Split))}
		s.routes[r.ID] = state
	}
	return state.next()
}

// Next returns the service that Service would return for the next request of r, without
// counting a request.
func (s *Splitter) Next(r *document.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tried := &splitState{split: r.Split, credit: make([]float64, len(r.Split))}
	if state := s.routes[r.ID]; state != nil && slices.Equal(state.split, r.Split) {
		copy(tried.credit, state.credit)
	}
	return tried.next()
}

// next adds its weight to the credit of each service, and returns the service with
// the highest credit, which pays the sum of all weights.
func (s *splitState) next() string {
	best, total := 0, 0.0
	for i, part := range s.split {
		s.credit[i] += part.Weight
		total += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.split[best].Service
}
