package daemon

import (
	"testing"

	"github.com/galenasail/galenasail/core/lease"
)

// Guards against requests that are given up just before a takeover or a restart of the
// fleet ends: a shard is held again when the grants of the former holder are forgotten
// and new ones have come.
func TestHolderWaitCoversATakeover(t *testing.T) {
	takeover := max(lease.MemoryOf(seatedLeaseTerm), fastTimeout+fastInterval)
	if adapterHolderWait < takeover {
		t.Fatalf("requests wait %v for a holder, a takeover takes up to %v", adapterHolderWait, takeover)
	}
}
