package duty

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against duties whose timers expire at different times: an idle VM would wake up
// for each of them.
func TestDutiesAreDueAtTheSameTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 50 * time.Millisecond
		done := make(chan struct{})
		var calls [2][]time.Time
		start := func(i int, interval time.Duration) {
			go Every(done, interval, func() { calls[i] = append(calls[i], time.Now()) })
		}
		start(0, interval)
		time.Sleep(17 * time.Millisecond)
		start(1, 2*interval)
		time.Sleep(time.Second)
		close(done)
		synctest.Wait()
		due := map[time.Time]bool{}
		for _, at := range calls[0] {
			due[at] = true
		}
		if len(calls[0]) < 20 || len(calls[1]) < 10 {
			t.Fatalf("%d and %d calls in 1 s, want at least 20 and 10", len(calls[0]), len(calls[1]))
		}
		for _, at := range calls[1] {
			if !due[at] {
				t.Errorf("a call at %v is not at a time of the other duty", at)
			}
		}
	})
}
