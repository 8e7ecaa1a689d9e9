package daemon

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/node/settings"
)

// Guards against derived limits that exceed the machine, and against settings that are ignored.
func TestLimitsAreDerivedFromTheMachine(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		memoryMB, descriptors int
		held                  int64
	}{{184, 4100, 60 * mb}, {536, 8192, 236 * mb}, {32, 64, 4 * mb}} {
		r := ResourcesOf(&settings.Settings{MemoryMB: c.memoryMB, MaxDescriptors: c.descriptors})
		l := deriveLimits(settings.CallerLimits{}, r)
		if l.callers.Bytes != c.held {
			t.Errorf("%d MB: %d bytes for callers, want %d", c.memoryMB, l.callers.Bytes, c.held)
		}
		conns := l.callers.Connections + l.admin.Connections + l.peers.Connections + l.idleTargetConns
		if conns >= c.descriptors || l.bodyBuffer < minBodyBuffer || l.stall != defaultStall {
			t.Errorf("%d descriptors: %d connections, body buffer %d, stall %v", c.descriptors, conns, l.bodyBuffer, l.stall)
		}
	}
	l := deriveLimits(settings.CallerLimits{HeldMB: 7, Connections: 9, BodyBufferKB: 5, StallMs: 11}, Resources{MemoryBytes: 1 << 40, Descriptors: 100})
	if l.callers.Bytes != 7*mb || l.callers.Connections != 9 || l.bodyBuffer != 5<<10 || l.stall != 11*time.Millisecond {
		t.Errorf("settings ignored: %+v", l)
	}
}

// Guards against a system whose memory or descriptors are not read.
func TestResourcesOfTheSystem(t *testing.T) {
	if r := ResourcesOf(&settings.Settings{}); r.MemoryBytes <= 0 || r.Descriptors <= 0 {
		t.Errorf("the system reports %+v", r)
	}
}
