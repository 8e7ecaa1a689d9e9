package timeline

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/adminclient"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/node/query"
)

// newSample returns a sample of a VM whose clock is ahead by clockOffset, with events at
// the given true times after base. The call takes 2 ms.
func newSample(vm string, base time.Time, clockOffset time.Duration, at ...time.Duration) adminclient.Sample {
	s := adminclient.Sample{Sent: base, Received: base.Add(2 * time.Millisecond)}
	s.Page = query.EventPage{VM: vm, Wall: base.Add(time.Millisecond + clockOffset)}
	for i, d := range at {
		s.Page.Events = append(s.Page.Events, event.Event{Seq: uint64(i + 1), VM: vm, Kind: event.Started, Wall: base.Add(d + clockOffset)})
	}
	return s
}

// Guards against events that are ordered by uncorrected wall clocks: the events of a VM
// whose clock is 10 s ahead would then follow all events of the other VM.
func TestMergeCorrectsClockOffsets(t *testing.T) {
	base := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	rows := Merge([]adminclient.Sample{
		newSample("a", base, 10*time.Second, -3*time.Second, -time.Second),
		newSample("b", base, -5*time.Second, -2*time.Second),
	})
	got := rows[0].Event.VM + rows[1].Event.VM + rows[2].Event.VM
	if got != "aba" {
		t.Fatalf("got events of VMs in the order %s, want aba", got)
	}
	if rows[0].OffsetMs != 10000 || rows[0].UncertaintyMs != 1 {
		t.Fatalf("got offset %v ± %v ms, want 10000 ± 1 ms", rows[0].OffsetMs, rows[0].UncertaintyMs)
	}
}

// Guards against a change of the order of events of one VM whose wall clock is set back
// between them.
func TestMergeKeepsTheOrderOfOneVM(t *testing.T) {
	base := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	rows := Merge([]adminclient.Sample{newSample("a", base, 0, 5*time.Second, time.Second)})
	if rows[0].Event.Seq != 1 || rows[1].Event.Seq != 2 {
		t.Fatal("the events of one VM do not have the order of their sequence numbers")
	}
}
