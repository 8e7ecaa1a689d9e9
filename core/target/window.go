package target

import "time"

// windowBuckets is the number of time buckets of a window.
const windowParts = 20

// window counts events of two kinds in a sliding time window.
type window struct {
	length time.Duration
	counts [windowParts][2]int
	part   int64
}

// advance clears the buckets that have left the window and returns the current one.
func (w *window) roll(now time.Time) int {
	part := now.UnixNano() / int64(w.length/windowParts)
	for steps := 0; w.part < part && steps < windowParts; steps++ {
		w.part++
		w.counts[w.part%windowParts] = [2]int{}
	}
	w.part = part
	return int(part % windowParts)
}

// count records one event of kind 0 or 1.
func (w *window) count(kind int, now time.Time) {
	w.counts[w.roll(now)][kind]++
}

// sums returns the number of events of each kind.
func (w *window) sums(now time.Time) (first, second int) {
	w.roll(now)
	for _, c := range w.counts {
		first += c[0]
		second += c[1]
	}
	return first, second
}
