package pool

import (
	"testing"

	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
)

// Guards against a permit for a process that has ended, which is used for the next process with its ID and address.
func TestPermitOfAFormerProcessIsNotUsed(t *testing.T) {
	s := service(1)
	s.Targets[0].Process = "1"
	c := newTestCell(t, 2, s)
	held := c.mustAcquire(1)
	s.Targets[0].Process = "2"
	c.publish(s, 2)
	if err := held.Check(); fault.KindOf(err) != fault.NoCapacity {
		t.Errorf("the permit of process 1 for process 2: got %v, want an error of kind NoCapacity", err)
	}
	held.Release(node.OutcomeUnused, 0)
}
