package cell

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenasail/galenasail/core/event"
)

const (
	// minSuspension is the shortest suspension that ends the leases of the VM.
	minSuspension = 100 * time.Millisecond
	// maxClockReadTime is the time within which both clocks must be read to be
	// compared. An interruption of the process between the reads would otherwise be
	// taken for a suspension.
	maxClockReadTime = time.Millisecond
)

// suspension detects that the VM was suspended. The monotonic clock, which times the
// leases, stops during a suspension, while the boot-time clock continues.
type suspension struct {
	offset      time.Duration // of the monotonic clock behind the boot-time clock
	initialized bool
}

// clockOffset returns how far the monotonic clock is behind the boot-time clock; ok
// is false when the two could not be read within maxClockReadTime.
func clockOffset() (behind time.Duration, ok bool) {
	var before, boot, after unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
		unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
		return 0, false
	}
	inTime := time.Duration(after.Nano()-before.Nano()) < maxClockReadTime
	return time.Duration(boot.Nano() - before.Nano()), inTime
}

// check returns how long the VM was suspended since the last call; 0 on the first
// call and for less than minSuspension.
func (s *suspension) check() time.Duration {
	behind, ok := clockOffset()
	if !ok {
		return 0
	}
	lasted := behind - s.offset
	first := !s.initialized
	s.offset, s.initialized = behind, true
	if first || lasted < minSuspension {
		return 0
	}
	return lasted
}

// endLeasesAfterSuspension gives up the leases that the VM held before it was
// suspended. By the monotonic clock they are still valid, but other VMs may hold
// them by now.
func (r *actorState) endLeasesAfterSuspension(now time.Time) {
	lasted := r.suspension.check()
	if lasted == 0 {
		return
	}
	r.cell.cfg.Events.Record(event.ContactLost, r.cell.cfg.Identity.VM.ID, fmt.Sprintf("VM was suspended for %v, its leases are given up", lasted))
	r.lease.ResetAfterSuspension(now)
	r.publishViews(now)
}
