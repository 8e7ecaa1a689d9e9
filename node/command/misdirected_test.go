package command

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

// retryPicker counts the permit requests that say that an earlier attempt may have reached a
// target.
type retryPicker struct {
	*harness
	all, retries atomic.Int64
}

func (p *retryPicker) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	p.all.Add(1)
	if r.Retry {
		p.retries.Add(1)
	}
	return p.harness.Acquire(ctx, r)
}

// Guards against repeats that the fleet's retry budget does not count: after an answer that
// another target is listening on the address, the request has reached a target, and its next
// attempt is one arrival more.
func TestAttemptAfterMisdirectedAnswerIsARepeat(t *testing.T) {
	target := startRaw(t, func(_ int64, r *http.Request, c net.Conn) bool {
		return write(c, withEcho(r, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"))
	})
	f := startHarnessAt(t, target.address, target.address)
	picker := &retryPicker{harness: f}
	f.handler.cfg.Picker = picker
	dialect := *wire.Native()
	dialect.Classify = func(*http.Response) wire.ResponseClass { return wire.Misdirected }
	f.handler.cfg.Dialect = &dialect
	f.wantKind(f.do("POST", "/post/x", "body"), fault.NoCapacity)
	if all, retries := picker.all.Load(), picker.retries.Load(); all < 2 || retries != all-1 {
		t.Errorf("%d of %d permit requests counted as repeats, want all but the first", retries, all)
	}
}
