package route

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/document"
)

// Guards against services of a split whose share of the requests does not match their
// weight, and against an announced next service that differs from the one that follows.
func TestSplitSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 5).Draw(t, "weights")
		r := &document.Route{ID: "r"}
		total := 0.0
		for i, w := range weights {
			r.Split = append(r.Split, document.WeightedService{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		s := NewSplitter()
		counts := map[string]int{}
		n := rapid.IntRange(1, 300).Draw(t, "requests")
		for range n {
			expected := s.Next(r)
			got := s.Service(r)
			if got != expected {
				t.Fatalf("the next service was given as %s, the request got %s", expected, got)
			}
			counts[got]++
		}
		for _, part := range r.Split {
			want := float64(n) * part.Weight / total
			if math.Abs(float64(counts[part.Service])-want) > float64(len(weights)) {
				t.Fatalf("service %s: got %d of %d requests, want %.1f by its weight", part.Service, counts[part.Service], n, want)
			}
		}
	})
}
