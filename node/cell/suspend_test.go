package cell

import (
	"testing"
	"time"
)

// Guards against a suspension that is not detected, after which the VM would keep its
// leases, and against one that is reported twice or did not happen, which would end
// valid leases.
func TestSuspensionIsReportedOnce(t *testing.T) {
	var s suspension
	if s.check() != 0 {
		t.Fatal("the first check reports a suspension")
	}
	time.Sleep(30 * time.Millisecond)
	if lasted := s.check(); lasted != 0 {
		t.Fatalf("reported a suspension of %v, want none", lasted)
	}
	s.offset -= 2 * time.Second
	if lasted := s.check(); lasted < 1900*time.Millisecond || lasted > 2100*time.Millisecond {
		t.Fatalf("reported a suspension of %v, want 2 s", lasted)
	}
	if s.check() != 0 {
		t.Fatal("the same suspension was reported twice")
	}
}
