package daemon

import (
	"fmt"
	"slices"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
)

// recordedEvents records the subjects of events.
type recordedEvents struct {
	invariant.Panic
	subjects []string
}

func (r *recordedEvents) Record(k event.Kind, subject, _ string) {
	r.subjects = append(r.subjects, fmt.Sprint(k, ": ", subject))
}

// Guards against a return of the store that operators do not see, and against an event
// at the start of a process or where the platform service has no epochs.
func TestEachChangeOfTheStoreEpochIsReported(t *testing.T) {
	events, scope := &recordedEvents{}, tally.NewTestScope("", nil)
	s := newStoreEpochs(&Adapter{}, events, scope)
	for _, ticket := range []uint64{2<<40 | 7, 2<<40 | 9, 3<<40 | 4, 3<<40 | 4, 5<<40 | 1} {
		s.observe(ticket)
	}
	if want := []string{"store_epoch: store epoch 3", "store_epoch: store epoch 5"}; !slices.Equal(events.subjects, want) {
		t.Errorf("got events %q, want %q", events.subjects, want)
	}
	if got := scope.Snapshot().Gauges()["store_epoch+"].Value(); got != 5 {
		t.Errorf("got metric %v, want store epoch 5", got)
	}
	newStoreEpochs(nil, events, scope).observe(20261206120000)
}
