package overload

import (
	"slices"
	"time"
)

const (
	// recentDeadlines is the number of requests of a route whose deadlines are kept.
	recentDeadlines = 64
	// minDeadlines is the number of requests from which the first deadline is known, and
	// after each of which it is computed again.
	minDeadlines = 16
	// firstDeadlineQuantile is the quantile of the deadlines that counts as the one that
	// callers have at first. Returning callers have shorter ones, and some callers state
	// longer ones or none.
	firstDeadlineQuantile = 0.8
	// returnMemory is how long after the last returning caller the deadlines of a route
	// show returns.
	returnMemory = 10 * time.Second
)

// Deadlines estimates how long ago callers first sent a request. A caller that returns
// after a refusal sends a new request with a new ID, but with less time left than most
// callers of the route have at first. Callers that do not state the time that they have
// left do not count as returning. The zero value knows no route.
type Deadlines struct {
	routes map[string]*routeDeadlines
}

// routeDeadlines holds the deadlines of the last requests of a route.
type routeDeadlines struct {
	recent []time.Duration
	next   int
	// first is the deadline that callers have at first, 0 while it is unknown.
	first time.Duration
	// returnedAt is when the last returning caller was seen.
	returnedAt time.Time
}

// Elapsed records the time that the caller of a request has left and returns the time
// since the caller first sent it, 0 when it seems to be new.
func (d *Deadlines) Elapsed(route string, left time.Duration, now time.Time) time.Duration {
	r := d.routes[route]
	if r == nil {
		if d.routes == nil {
			d.routes = map[string]*routeDeadlines{}
		}
		r = &routeDeadlines{}
		d.routes[route] = r
	}
	r.record(left)
	elapsed := r.first - left
	if elapsed < minRetryDelay {
		return 0
	}
	r.returnedAt = now
	return elapsed
}

// ForQuery returns a copy that knows one route, to try out decisions on its requests
// without a change of d.
func (d *Deadlines) ForQuery(route string) Deadlines {
	c := Deadlines{routes: map[string]*routeDeadlines{}}
	if r := d.routes[route]; r != nil {
		copied := *r
		copied.recent = slices.Clone(r.recent)
		c.routes[route] = &copied
	}
	return c
}

// record adds a deadline and computes the first one again from time to time.
func (r *routeDeadlines) record(left time.Duration) {
	if len(r.recent) < recentDeadlines {
		r.recent = append(r.recent, left)
	} else {
		r.recent[r.next%recentDeadlines] = left
	}
	r.next++
	if r.next%minDeadlines == 0 {
		sorted := slices.Sorted(slices.Values(r.recent))
		r.first = sorted[int(firstDeadlineQuantile*float64(len(sorted)-1))]
	}
}

// ShowReturns reports whether the deadlines of a route have shown returning callers
// within returnMemory.
func (d *Deadlines) ShowReturns(route string, now time.Time) bool {
	r := d.routes[route]
	return r != nil && now.Sub(r.returnedAt) < returnMemory
}

// Retain drops the routes that are not listed.
func (d *Deadlines) Retain(listed func(route string) bool) {
	for route := range d.routes {
		if !listed(route) {
			delete(d.routes, route)
		}
	}
}
