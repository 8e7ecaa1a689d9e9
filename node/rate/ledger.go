package rate

import (
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/invariant"
)

// ledger counts the tokens of a workspace at an entry VM independently of the
// cache, to assert that no token is used twice or after its deadline.
type ledger struct {
	batches []ledgerBatch
}

// ledgerBatch holds the tokens of one response. remaining is negative after a
// token was used twice.
type ledgerBatch struct {
	batch     uint64
	remaining int
	deadline  time.Time
}

// receive records the tokens of one response and drops expired ones.
func (l *ledger) receive(batch uint64, received int, deadline, now time.Time) {
	kept := l.batches[:0]
	for _, o := range l.batches {
		if now.Before(o.deadline) {
			kept = append(kept, o)
		}
	}
	l.batches = append(kept, ledgerBatch{batch, received, deadline})
}

// use records the use of one token. It returns a description of the violation;
// empty for none.
func (l *ledger) use(batch uint64, now time.Time) string {
	for i := range l.batches {
		o := &l.batches[i]
		if o.batch != batch {
			continue
		}
		o.remaining--
		if o.remaining < 0 {
			return fmt.Sprintf("%d more tokens of response %d were used than were received", -o.remaining, batch)
		}
		if !now.Before(o.deadline) {
			return fmt.Sprintf("a token was used %v after its deadline", now.Sub(o.deadline))
		}
		return ""
	}
	return fmt.Sprintf("a token of response %d was used, but that response is unknown or its tokens have expired", batch)
}

// reportViolation reports a violation of the invariant "rate"; an empty problem
// means none.
func (e *entry) reportViolation(ws *workspace, problem string) {
	if problem != "" {
		e.cfg.Events.Violated(invariant.Rate, ws.id, problem)
	}
}
