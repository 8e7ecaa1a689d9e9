package command

import (
	"fmt"
	"time"
)

// connUse is what an attempt sent on which connection.
type connUse struct {
	conn      uint64    // number of the connection; 0 if nothing was written
	request   int       // number of the request on its connection, from 1
	writtenAt time.Time // zero if nothing was written
	undone    int       // writes that sent nothing
}

// connUse returns what the attempt has sent so far.
func (g *writeGuard) connUse() connUse {
	g.mu.Lock()
	defer g.mu.Unlock()
	use := connUse{writtenAt: g.writtenAt, undone: g.undone}
	if g.conn != nil {
		use.conn = g.conn.number
		use.request = g.requestOnConn
	}
	return use
}

// describe returns the target of the attempt, the ticket under which it was sent, its connection,
// its times since the arrival of the request, and its result.
func (a *attempt) describe() string {
	use := a.guard.connUse()
	target := a.permit.Target()
	text := fmt.Sprintf("%s at %s, ", target.ID, target.Address)
	if use.writtenAt.IsZero() {
		text += "not written"
	} else {
		text += fmt.Sprintf("written at %.1f ms under ticket %d as request %d of connection %d",
			milliseconds(use.writtenAt.Sub(a.exchange.start)), a.sentUnder.Load(), use.request, use.conn)
	}
	if use.undone > 0 {
		text += fmt.Sprintf(", %d writes sent nothing", use.undone)
	}
	return text + ", " + a.result
}

// resultPending is the result of an attempt that has not ended when its request has.
const resultPending = "abandoned"

// endedWith records the result of the attempt for the event about its request.
func (a *attempt) endedWith(f *failure) {
	if f == nil {
		a.result = fmt.Sprintf("answered after %.1f ms", milliseconds(a.latency))
		return
	}
	a.result = fmt.Sprintf("failed at %.1f ms, ran %s: %v", milliseconds(time.Since(a.exchange.start)), f.ran, f.err)
	if a.latency > 0 {
		a.result = fmt.Sprintf("answered after %.1f ms, %s", milliseconds(a.latency), a.result)
	}
}
