package daemon

import (
	"testing"

	"github.com/galenasail/galenasail/core/lease"
)

// Guards against requests that are refused just before a takeover or a restart of the
// fleet completes: a shard has a holder again once the grants of the previous holder have
// expired and new ones have been received.
func TestHolderWaitCoversATakeover(t *testing.T) {
	takeover := max(lease.GrantRetentionFor(seatedLeaseTerm), fastTimeout+fastInterval)
	if adapterHolderWait < takeover {
		t.Fatalf("requests wait at most %v for a holder, but a takeover takes up to %v", adapterHolderWait, takeover)
	}
}
