package overload

import "time"

// deadlineWindow is how long the longest deadline of a route is kept at least, at most
// twice as long.
const deadlineWindow = 10 * time.Second

// Deadlines estimates how long ago callers first sent a request. A caller that returns
// after a refusal sends a new request with a new ID, but with less time left than the
// callers of the route have at first. Callers that do not state the time that they have
// left never count as returning. The zero value knows no route.
type Deadlines struct {
	routes map[string]*routeDeadline
}

// routeDeadline holds the longest deadlines of the current and the previous window.
type routeDeadline struct {
	longest, previous time.Duration
	began             time.Time
	// returnedAt is when the last returning caller was seen.
	returnedAt time.Time
}

// Elapsed records the time that the caller of a request has left and returns the time
// since the caller first sent it.
func (d *Deadlines) Elapsed(route string, left time.Duration, now time.Time) time.Duration {
	r := d.routes[route]
	if r == nil {
		if d.routes == nil {
			d.routes = map[string]*routeDeadline{}
		}
		r = &routeDeadline{began: now}
		d.routes[route] = r
	}
	if now.Sub(r.began) >= deadlineWindow {
		r.previous, r.longest, r.began = r.longest, 0, now
	}
	r.longest = max(r.longest, left)
	elapsed := max(r.longest, r.previous) - left
	if elapsed >= minRetryDelay {
		r.returnedAt = now
	}
	return elapsed
}

// ShowReturns reports whether the deadlines of a route have shown returning callers
// within deadlineWindow.
func (d *Deadlines) ShowReturns(route string, now time.Time) bool {
	r := d.routes[route]
	return r != nil && now.Sub(r.returnedAt) < deadlineWindow
}

// Retain drops the routes that are not listed.
func (d *Deadlines) Retain(listed func(route string) bool) {
	for route := range d.routes {
		if !listed(route) {
			delete(d.routes, route)
		}
	}
}
