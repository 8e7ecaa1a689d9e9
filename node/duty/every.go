package duty

import "time"

// processStart is the origin of the times at which Every calls its function.
var processStart = time.Now()

// Every calls f at each multiple of interval after the start of the process until done is
// closed. Duties with the same interval, or with multiples of it, are thus due at the same
// times, and an idle process wakes up once for all of them. Calls that are overdue are
// dropped.
func Every(done <-chan struct{}, interval time.Duration, f func()) {
	timer := time.NewTimer(UntilNext(interval))
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-timer.C:
			f()
			timer.Reset(UntilNext(interval))
		}
	}
}

// UntilNext returns the time until the next multiple of interval after the start of the
// process, which is above 0 and at most interval.
func UntilNext(interval time.Duration) time.Duration {
	phase := time.Since(processStart) % interval
	if phase < 0 {
		phase += interval
	}
	return interval - phase
}
