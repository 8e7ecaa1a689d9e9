package target

import "time"

// windowBuckets is the number of time buckets of a window.
const windowBuckets = 20

// window counts events of two kinds in a sliding time window.
type window struct {
	length time.Duration
	counts [windowBuckets][2]int
	bucket int64
}

// advance clears the buckets that have left the window and returns the current one.
func (w *window) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(w.length/windowBuckets)
	for steps := 0; w.bucket < bucket && steps < windowBuckets; steps++ {
		w.bucket++
		w.counts[w.bucket%windowBuckets] = [2]int{}
	}
	w.bucket = bucket
	return int(bucket % windowBuckets)
}

// count records one event of kind 0 or 1.
func (w *window) count(kind int, now time.Time) {
	w.add(kind, 1, now)
}

// add adds n, which may be negative, to the number of events of kind 0 or 1.
func (w *window) add(kind, n int, now time.Time) {
	w.counts[w.advance(now)][kind] += n
}

// sums returns the number of events of each kind.
func (w *window) sums(now time.Time) (first, second int) {
	w.advance(now)
	for _, c := range w.counts {
		first += c[0]
		second += c[1]
	}
	return first, second
}
