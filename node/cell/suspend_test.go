package cell

import (
	"testing"
	"time"
)

// Guards against leases that a VM counts on after it was suspended, and against
// leases that end without a suspension.
func TestSuspensionIsReportedOnce(t *testing.T) {
	var s suspension
	if s.check() != 0 {
		t.Fatal("the first look reports a suspension")
	}
	time.Sleep(30 * time.Millisecond)
	if lasted := s.check(); lasted != 0 {
		t.Fatalf("a suspension of %v without one", lasted)
	}
	s.offset -= 2 * time.Second
	if lasted := s.check(); lasted < 1900*time.Millisecond || lasted > 2100*time.Millisecond {
		t.Fatalf("a suspension of 2 s counts as %v", lasted)
	}
	if s.check() != 0 {
		t.Fatal("reported twice")
	}
}
