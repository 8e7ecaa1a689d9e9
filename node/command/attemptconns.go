package command

import (
	"slices"
	"sync"
)

// attemptConns holds the connections that the attempts of one request have used. All attempts
// carry the ID of the request, so an answer that a target sends a second time, late, cannot be
// told from the answer to a later attempt on the same connection. Each attempt therefore gets a
// connection of its own. It is safe for concurrent use.
type attemptConns struct {
	mu   sync.Mutex
	used []*targetConn
}

// contains reports whether an attempt has used c.
func (a *attemptConns) contains(c *targetConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.used, c)
}

// add records that an attempt uses c.
func (a *attemptConns) add(c *targetConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = append(a.used, c)
}
