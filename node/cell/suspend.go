package cell

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenasail/galenasail/core/event"
)

const (
	// suspendedFor is the time that the VM must have been suspended for its leases to
	// end.
	suspendedFor = 100 * time.Millisecond
	// clockGap is the time within which both clocks must be read to be compared: a
	// process that is interrupted between them would look suspended.
	clockGap = time.Millisecond
)

// suspension notices that the VM was suspended: the steady clock, by which leases
// are counted, stands still then, and the boot clock goes on.
type suspension struct {
	behind time.Duration // of the steady clock behind the boot clock
	known  bool
}

// clocks returns how far the steady clock is behind the boot clock; ok is false
// when they could not be read close together.
func clocks() (behind time.Duration, ok bool) {
	var before, boot, after unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
		return 0, false
	}
	together := time.Duration(after.Nano()-before.Nano()) < clockGap
	return time.Duration(boot.Nano() - before.Nano()), together
}

// lasted returns how long the VM was suspended since the last call.
func (s *suspension) lasted() time.Duration {
	behind, ok := clocks()
	if !ok {
		return 0
	}
	lasted := behind - s.behind
	first := !s.known
	s.behind, s.known = behind, true
	if first || lasted < suspendedFor {
		return 0
	}
	return lasted
}

// endAfterSuspension gives up what the VM held before it was suspended.
func (r *runtime) endAfterSuspension(now time.Time) {
	lasted := r.suspension.lasted()
	if lasted == 0 {
		return
	}
	r.cell.cfg.Events.Record(event.ContactLost, r.cell.cfg.Identity.VM.ID, fmt.Sprintf("the VM was suspended for %v; its leases end", lasted))
	r.lease.ResetAfterSuspension(now)
	r.publishViews(now)
}
